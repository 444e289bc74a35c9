"""Checks of the soak: responses to callers against the runs of the stand-ins."""

from __future__ import annotations

import collections
from collections.abc import Sequence

import attrs

from endivesill.load import RequestRecord

__all__ = ["SoakFindings", "StandinRuns", "check_soak"]

NOT_RUN = "not-run"


@attrs.frozen
class StandinRuns:
    """Runs recorded by the stand-ins, over all their restarts.

    Attributes:
      generations: number of starts at all engines, by the request's tag.
      calls: number of runs at all plain services, by the request's body, its tag.
    """

    generations: dict[str, int]
    calls: dict[str, int]


@attrs.define
class SoakFindings:
    """Violations by promise, each with the tag of its request.

    Attributes:
      disorder: generations with tokens lost, doubled or out of order.
      duplicate_calls: non-repeatable calls that ran more than once.
      lost_calls: completed calls that never ran.
      false_not_run: requests that ran although refused as not run.
      cut_by_planned_stop: streams broken by the planned stop of their entry.
      incomplete: number of incomplete requests by reason; not violations.
    """

    disorder: list[str] = attrs.Factory(list)
    duplicate_calls: list[str] = attrs.Factory(list)
    lost_calls: list[str] = attrs.Factory(list)
    false_not_run: list[str] = attrs.Factory(list)
    cut_by_planned_stop: list[str] = attrs.Factory(list)
    incomplete: collections.Counter[str] = attrs.Factory(collections.Counter)

    @property
    def violations(self) -> int:
        """Number of violations of all promises."""
        return (
            len(self.disorder)
            + len(self.duplicate_calls)
            + len(self.lost_calls)
            + len(self.false_not_run)
            + len(self.cut_by_planned_stop)
        )


def tag_of(record: RequestRecord, seed: int) -> str:
    """Return the tag under which the stand-ins record a request."""
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
      records: the requests as observed by the callers.
      runs: the runs recorded by the stand-ins.
      seed: the load's seed.
      non_repeatable: names of the streams whose calls must not run twice.
      planned_stops: caller address, start and end in seconds of each planned stop.
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
    record: RequestRecord, tag: str, run_count: int, findings: SoakFindings
) -> None:
    if run_count > 1:
        findings.duplicate_calls.append(f"{tag} ran {run_count} times")
    if record.complete and run_count == 0:
        findings.lost_calls.append(f"{tag} got a response but never ran")
    if record.run == NOT_RUN and run_count:
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
        address == stopped_address and started_s <= at_s <= ended_s
        for stopped_address, started_s, ended_s in stops
    )
