"""The soak's checks: what callers were told against what the stand-ins ran."""

from __future__ import annotations

import collections
from collections.abc import Sequence

import attrs

from endivesill.load import RequestRecord

__all__ = ["SoakFindings", "StandinRuns", "check_soak"]

NOT_RUN = "not-run"


@attrs.frozen
class StandinRuns:
    """What the stand-ins ran, over all their restarts.

    Attributes:
      generations: how often each caller's tag was started at any engine.
      calls: how often each body of a non-repeatable call ran at any service.
    """

    generations: dict[str, int]
    calls: dict[str, int]


@attrs.define
class SoakFindings:
    """What was found to be wrong, by promise; each entry names a request."""

    disorder: list[str] = attrs.Factory(list)
    doubled_calls: list[str] = attrs.Factory(list)
    lost_calls: list[str] = attrs.Factory(list)
    false_not_run: list[str] = attrs.Factory(list)
    cut_by_planned_stop: list[str] = attrs.Factory(list)
    incomplete: collections.Counter[str] = attrs.Factory(collections.Counter)

    @property
    def violations(self) -> int:
        """How many promises were seen broken."""
        return (
            len(self.disorder)
            + len(self.doubled_calls)
            + len(self.lost_calls)
            + len(self.false_not_run)
            + len(self.cut_by_planned_stop)
        )


def tag_of(record: RequestRecord, seed: int) -> str:
    """Return the tag by which the stand-ins know a request."""
    return f"{record.stream}-{seed}-{record.number}"


def check_soak(
    records: Sequence[RequestRecord],
    runs: StandinRuns,
    seed: int,
    non_repeatable: frozenset[str],
    planned_stops: Sequence[tuple[str, float, float]],
) -> SoakFindings:
    """Check every request.

    Args:
      records: what callers saw.
      runs: what the stand-ins ran.
      seed: the load's seed.
      non_repeatable: names of the streams whose calls may run once only.
      planned_stops: address, begin and end of each planned stop.
    """
    findings = SoakFindings()
    for record in records:
        tag = tag_of(record, seed)
        if record.stream in non_repeatable:
            _check_call(record, tag, runs.calls.get(tag, 0), findings)
        else:
            _check_generation(record, tag, runs, findings)
        for address, at_s in record.breaks:
            if _in_planned_stop(address, at_s, planned_stops):
                findings.cut_by_planned_stop.append(f"{tag} at {address}")
        if not record.complete:
            findings.incomplete[f"{record.reason} ({record.run})"] += 1
    return findings


def _check_call(
    record: RequestRecord, tag: str, ran: int, findings: SoakFindings
) -> None:
    if ran > 1:
        findings.doubled_calls.append(f"{tag} ran {ran} times")
    if record.complete and ran == 0:
        findings.lost_calls.append(f"{tag} was answered but never ran")
    if record.run == NOT_RUN and ran:
        findings.false_not_run.append(f"{tag} ran although refused as not run")


def _check_generation(
    record: RequestRecord, tag: str, runs: StandinRuns, findings: SoakFindings
) -> None:
    if record.disorder:
        findings.disorder.append(f"{tag}: {record.disorder} tokens")
    if record.run == NOT_RUN and runs.generations.get(tag, 0):
        findings.false_not_run.append(f"{tag} ran although refused as not run")


def _in_planned_stop(
    address: str, at_s: float, stops: Sequence[tuple[str, float, float]]
) -> bool:
    return any(
        address == where and begin_s <= at_s <= end_s for where, begin_s, end_s in stops
    )
