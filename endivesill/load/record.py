"""The record of each request of the load generator, and their summary."""

from __future__ import annotations

import collections

import attrs
from hdrh.histogram import HdrHistogram

__all__ = ["RequestRecord", "Summary", "format_summary", "summarize"]

MAX_DURATION_US = 3_600_000_000
SIGNIFICANT_FIGURES = 3


@attrs.define
class RequestRecord:
    """One request from its scheduled time to its end.

    Attributes:
      number: its position in the arrival sequence, from 0.
      stream: the name of its `[stream]` section.
      organisation: the name of its `[organisation]` section.
      key: the idempotency key, or an empty string.
      scheduled_s: the send time that the arrival process scheduled.
      first_s: when its first byte of content arrived; None if none did.
      end_s: when it ended.
      status: the HTTP status; 0 without a response, 599 after an error event in
        the stream.
      run: the `run` member of a problem document.
      reason: the title of a problem document, or the error that ended it.
      generation: the generation's id.
      tokens: number of tokens received.
      disorder: number of tokens that were duplicated, lost or out of order.
      resumes: number of reconnections.
      complete: whether the whole response was received.
      breaks: address and time of each connection that broke before its response
        was complete.
      gaps_s: times between received blocks of tokens.
    """

    number: int
    stream: str
    organisation: str
    key: str = ""
    scheduled_s: float = 0.0
    first_s: float | None = None
    end_s: float = 0.0
    status: int = 0
    run: str = ""
    reason: str = ""
    generation: str = ""
    tokens: int = 0
    disorder: int = 0
    resumes: int = 0
    complete: bool = False
    breaks: list[tuple[str, float]] = attrs.Factory(list)
    gaps_s: list[float] = attrs.Factory(list)


@attrs.frozen
class Summary:
    """An experiment's result.

    Attributes:
      sent: number of requests sent.
      complete: number of requests with a complete response.
      refused: number of refused requests by reason and run state.
      broken: number of requests that neither completed nor were refused, by reason.
      tokens: number of tokens received.
      disorder: number of tokens that were duplicated, lost or out of order.
      resumes: number of reconnections.
      goodput_tokens_per_s: tokens of complete responses per second.
      stall_s: time beyond the stall threshold, summed over all gaps.
      first_ms: quantiles of the time from the scheduled send to the first byte.
      gap_ms: quantiles of the time between tokens.
      total_ms: quantiles of the time from the scheduled send to the end.
    """

    sent: int
    complete: int
    refused: dict[str, int]
    broken: dict[str, int]
    tokens: int
    disorder: int
    resumes: int
    goodput_tokens_per_s: float
    stall_s: float
    first_ms: dict[str, float]
    gap_ms: dict[str, float]
    total_ms: dict[str, float]


def summarize(
    records: list[RequestRecord], duration_s: float, stall_threshold_s: float
) -> Summary:
    """Summarise an experiment.

    Args:
      records: one for each request sent.
      duration_s: the period over which the goodput is averaged.
      stall_threshold_s: the part of a gap beyond this is stall time.
    """
    first, gaps, total = _histogram(), _histogram(), _histogram()
    refused: collections.Counter[str] = collections.Counter()
    broken: collections.Counter[str] = collections.Counter()
    stall_s = 0.0
    for record in records:
        if record.first_s is not None:
            _record_duration(first, record.first_s - record.scheduled_s)
        for gap_s in record.gaps_s:
            _record_duration(gaps, gap_s)
            stall_s += max(0.0, gap_s - stall_threshold_s)
        if record.complete:
            _record_duration(total, record.end_s - record.scheduled_s)
        elif record.status >= 400:
            refused[f"{record.reason} ({record.run})"] += 1
        else:
            broken[record.reason] += 1
    completed = [record for record in records if record.complete]
    return Summary(
        sent=len(records),
        complete=len(completed),
        refused=dict(refused),
        broken=dict(broken),
        tokens=sum(record.tokens for record in records),
        disorder=sum(record.disorder for record in records),
        resumes=sum(record.resumes for record in records),
        goodput_tokens_per_s=sum(r.tokens for r in completed) / duration_s,
        stall_s=stall_s,
        first_ms=_quantiles_ms(first),
        gap_ms=_quantiles_ms(gaps),
        total_ms=_quantiles_ms(total),
    )


def format_summary(summary: Summary) -> str:
    """Return the summary as human-readable text."""
    lines = [
        f"sent {summary.sent}, complete {summary.complete}, "
        f"{summary.tokens} tokens, {summary.goodput_tokens_per_s:.0f} tokens/s",
        f"disorder {summary.disorder}, reconnections {summary.resumes}, "
        f"stall time {summary.stall_s:.3f} s",
    ]
    lines += [f"refused: {n} x {cause}" for cause, n in sorted(summary.refused.items())]
    lines += [f"broken: {n} x {cause}" for cause, n in sorted(summary.broken.items())]
    for name, values in (
        ("first token", summary.first_ms),
        ("gap", summary.gap_ms),
        ("complete response", summary.total_ms),
    ):
        shown = ", ".join(f"{q} {value:.1f} ms" for q, value in values.items())
        lines.append(f"{name}: {shown}")
    return "\n".join(lines)


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_DURATION_US, SIGNIFICANT_FIGURES)


def _record_duration(histogram: HdrHistogram, duration_s: float) -> None:
    histogram.record_value(max(1, int(duration_s * 1_000_000)))


def _quantiles_ms(histogram: HdrHistogram) -> dict[str, float]:
    if not histogram.get_total_count():
        return {}
    return {
        f"p{percent}": histogram.get_value_at_percentile(percent) / 1000
        for percent in (50, 95, 99)
    }
