"""The policies that the bench of worst load compares.

The previous and the current one are the product's own home of places, fed as the
control process feeds it; they differ in what they do with engines that leave.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import attrs

from bench.worst_load_arrivals import Arrival, class_named
from bench.worst_load_engines import (
    COPY_TOKEN_S,
    SERVICE,
    Copy,
    SimEngine,
    SimRun,
)
from endivesill.fleet.load import FleetLoads
from endivesill.fleet.reports import EngineReport
from endivesill.fleet.sync_client import FleetView
from endivesill.forwarding.fair_queue import FairQueue, Flow, SortKey
from endivesill.forwarding.placement import PREFILL_TOKENS_PER_S, estimate_demand
from endivesill.forwarding.placement_service import PlacementService
from endivesill.forwarding.placer import (
    LATENCY_RESERVE_FRACTION,
    REFUSED_MAX_WAIT_FRACTION,
    REFUSED_MAX_WAIT_S,
)
from endivesill.forwarding.protocol import RequestInfo
from endivesill.forwarding.targets import TargetTable
from endivesill.timer import TimerService

__all__ = ["POLICIES", "Fleet", "Grant", "Policy", "Refusal"]

# What the previous version told the callers of most refused requests.
PREVIOUS_RETRY_S = (1.0, 3.0)
# Notice that an engine has; the users' kinds of trouble say about two seconds.
NOTICE_S = 1.8
# How late the list, and a health check, show that an engine leaves.
LIST_LAG_S = 1.0
CHECK_LAG_S = 0.25


@attrs.define
class Fleet:
    """The engines that there are, with the time."""

    timer: TimerService
    engines: list[SimEngine] = attrs.Factory(list)

    def named(self, name: str) -> SimEngine | None:
        """Return an engine that still is there, or None."""
        return next((e for e in self.engines if e.info.identity == name), None)


@attrs.frozen
class Grant:
    """A place for a run."""

    engine: SimEngine
    backup: SimEngine | None
    reserved_tokens: int


@attrs.frozen
class Refusal:
    """No place, and when to come back."""

    retry_after_s: float


class Policy:
    """Base of what places runs.

    Args:
      fleet: the engines.
      seed: of the policy's own draws.

    Attributes:
      notice_lag_s: how late it learns that an engine leaves.
      moves_at_once: whether runs leave an engine before its end.
    """

    notice_lag_s = LIST_LAG_S
    moves_at_once = False

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.fleet = fleet

    async def place(
        self, arrival: Arrival, left_s: float, on_time_s: float
    ) -> Grant | Refusal:
        """Return a place or a refusal.

        Args:
          arrival: the request.
          left_s: how long its caller still waits.
          on_time_s: how long an answer is still on time.
        """
        raise NotImplementedError

    async def place_copy(self, run: SimRun) -> SimEngine | None:
        """Return who shall get a copy of a run whose engine leaves."""
        return None

    def update(self) -> None:
        """Take the state of the fleet."""


class Baseline(Policy):
    """Fewest requests first; the engines queue what does not fit."""

    async def place(
        self, arrival: Arrival, left_s: float, on_time_s: float
    ) -> Grant | Refusal:
        """Return the engine with the fewest requests."""
        now_s = self.fleet.timer.now_s()
        open_engines = [e for e in self.fleet.engines if _may_have_work(e, now_s)]
        if not open_engines:
            return Refusal(1.0)
        engine = min(open_engines, key=lambda e: len(e.runs) + len(e.queue))
        return Grant(engine, None, arrival.prompt_tokens)


def _may_have_work(engine: SimEngine, now_s: float) -> bool:
    # The list shows a departure late to everybody.
    return engine.ends_s is None or now_s < engine.ends_s - NOTICE_S + LIST_LAG_S


class HomePolicy(Policy):
    """The product's home of places."""

    new_queue: type[FairQueue[Any]] = FairQueue

    def __init__(self, fleet: Fleet, seed: int) -> None:
        super().__init__(fleet, seed)
        self._random = random.Random(seed)
        self._view = FleetView()
        self._loads = FleetLoads()
        self._table = TargetTable(fleet.timer, self._view, "")
        self._seen = 0
        self._home = PlacementService(
            fleet.timer,
            self._table,
            self._loads,
            lambda name: SERVICE,
            (1.5, 5.0),
            lambda: True,
            self._random,
            self.new_queue,
        )

    def update(self) -> None:
        """Give the home what the control process would."""
        now_s = self.fleet.timer.now_s()
        self._view.engines = {
            engine.info.incarnation: attrs.evolve(
                engine.info, is_draining=self._knows_end(engine, now_s)
            )
            for engine in self.fleet.engines
        }
        self._table.update_engines()
        reports = {}
        for engine in self.fleet.engines:
            used, queued = engine.report(now_s)
            reports[engine.info.incarnation] = EngineReport(
                used, queued, False, False, now_s
            )
        self._table.update_reports(reports.get, frozenset())
        self._loads.record_report("entry", self._rows(), self._seen, now_s)
        self._home.update()

    def _knows_end(self, engine: SimEngine, now_s: float) -> bool:
        ends_s = engine.ends_s
        return ends_s is not None and now_s >= ends_s - NOTICE_S + self.notice_lag_s

    def _rows(self) -> dict[str, list[int]]:
        rows = {e.info.incarnation: [0, 0, 0] for e in self.fleet.engines}
        for engine in self.fleet.engines:
            for run in [*engine.runs, *engine.queue]:
                row = rows[engine.info.incarnation]
                row[0] += 1
                row[1] += run.reserved_tokens
                row[2] += run.arrival.prompt_tokens if run.first_event_s is None else 0
                for holder in _holders(run):
                    if holder.info.incarnation in rows:
                        rows[holder.info.incarnation][1] += run.reserved_tokens
        return rows

    def _message(self, arrival: Arrival, reserved: int) -> dict[str, object]:
        return {
            "entry": "entry",
            "loads": self._rows(),
            "grants_seen": self._seen,
            "service": SERVICE.name,
            "priority": class_named(arrival.kind).priority,
            "request_id": arrival.session,
            "session": arrival.session,
            "organisation": arrival.organisation,
            "prompt_tokens": arrival.prompt_tokens,
            "memory_tokens": reserved,
            "excluded": [],
        }

    async def place(
        self, arrival: Arrival, left_s: float, on_time_s: float
    ) -> Grant | Refusal:
        """Ask the home, as an entry does."""
        kind = class_named(arrival.kind)
        reserved = estimate_demand(_info_of(arrival), SERVICE).memory_tokens
        read_s = arrival.prompt_tokens / PREFILL_TOKENS_PER_S
        reserve_s = LATENCY_RESERVE_FRACTION * kind.target_latency_s
        answer = await self._home.handle(
            {
                **self._message(arrival, reserved),
                "patience_s": max(0.0, on_time_s - read_s - reserve_s),
                "return_patience_s": min(
                    REFUSED_MAX_WAIT_S, REFUSED_MAX_WAIT_FRACTION * left_s
                ),
                "holder": "",
            }
        )
        if "refused" in answer:
            return Refusal(self._retry_after_s(answer["retry_after_s"]))
        self._seen = max(self._seen, answer["number"])
        engine = self.fleet.named(answer["target"]["identity"])
        if engine is None:
            return Refusal(1.0)
        found = answer["backup"]
        backup = self.fleet.named(found["identity"]) if found else None
        return Grant(engine, backup, reserved)

    def _retry_after_s(self, told_s: float) -> float:
        return told_s

    async def place_copy(self, run: SimRun) -> SimEngine | None:
        """Ask the home for a place for a copy."""
        assert run.engine is not None
        answer = await self._home.handle(
            {
                **self._message(run.arrival, run.reserved_tokens),
                "patience_s": 0.0,
                "return_patience_s": 0.0,
                "holder": run.engine.info.incarnation,
            }
        )
        if "refused" in answer:
            return None
        self._seen = max(self._seen, answer["number"])
        return self.fleet.named(answer["target"]["identity"])


class _ReturnsFirst(FairQueue[Any]):
    """The previous order: who comes back, then who came first."""

    def sort_key_of(self, priority: int, flow: Flow, cost: float) -> SortKey:
        """Return where a request would stand."""
        return priority, 0.0 if flow.was_refused else 1.0, False


class Previous(HomePolicy):
    """The version before this one.

    Departures from the list; runs go on elsewhere when their engine ends; who comes
    back goes first, and is told to come back soon.
    """

    new_queue = _ReturnsFirst

    def _retry_after_s(self, told_s: float) -> float:
        return self._random.uniform(*PREVIOUS_RETRY_S)


class Current(HomePolicy):
    """Departures from health checks; runs leave one by one before the end."""

    notice_lag_s = CHECK_LAG_S
    moves_at_once = True


POLICIES: dict[str, Callable[[Fleet, int], Policy]] = {
    "baseline": Baseline,
    "previous": Previous,
    "current": Current,
}


def _info_of(arrival: Arrival) -> RequestInfo:
    """Return what a request's head says to the product."""
    return RequestInfo(
        attempt_id=arrival.session,
        remaining_s=None,
        key="",
        prompt_tokens=arrival.prompt_tokens,
        maximum_output_tokens=0,
        expected_output_tokens=arrival.hint_tokens,
        prefix=(),
    )


def _holders(run: SimRun) -> list[SimEngine]:
    """Return the engines that hold a copy of a run."""
    found = [run.backup] if run.backup is not None else []
    return [*found, run.copy.destination] if run.copy is not None else found


def order_copy(run: SimRun, destination: SimEngine, now_s: float) -> Copy:
    """Copy a run's memory over the links of both engines."""
    source = run.engine
    assert source is not None
    near = source.info.data_centre == destination.info.data_centre
    duration_s = run.tokens * COPY_TOKEN_S * (1 if near else 2)
    done_s = max(now_s, source.link_free_s, destination.link_free_s) + duration_s
    source.link_free_s = destination.link_free_s = done_s
    destination.held[run.number] = run.tokens
    return Copy(destination, done_s, run.made)
