"""Placement policies of the overload bench.

The previous and the current policy run the product's own placement service with the
inputs of the control process. They differ in how they handle departing engines.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import attrs

from bench.worst_load_arrivals import Arrival, find_class
from bench.worst_load_engines import (
    COPY_S_PER_TOKEN,
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

__all__ = ["POLICIES", "SimFleet", "Grant", "Policy", "Refusal"]

# Range of the Retry-After that the previous version gave to most refused requests.
PREVIOUS_RETRY_S = (1.0, 3.0)
# Notice before an engine departs; in the users' incidents about two seconds.
DEPARTURE_NOTICE_S = 1.8
# Delay after which the engine list, or a health check, shows the notice.
LIST_LAG_S = 1.0
HEALTH_CHECK_LAG_S = 0.25


@attrs.define
class SimFleet:
    """The present engines and the timer of the simulation."""

    timer: TimerService
    engines: list[SimEngine] = attrs.Factory(list)

    def find_engine(self, name: str) -> SimEngine | None:
        """Return an engine by name; None if it has departed."""
        return next((e for e in self.engines if e.info.identity == name), None)


@attrs.frozen
class Grant:
    """Placement of a run.

    Attributes:
      engine: the engine to run it.
      backup: the engine for its backup copy, if any.
      reserved_tokens: memory reserved for the run.
    """

    engine: SimEngine
    backup: SimEngine | None
    reserved_tokens: int


@attrs.frozen
class Refusal:
    """Refusal of a run, with the time to wait before a retry."""

    retry_after_s: float


class Policy:
    """Base class of the placement policies.

    Args:
      fleet: the engines.
      seed: seed of the policy's own draws.

    Attributes:
      notice_lag_s: delay after which the policy knows of a departure notice.
      moves_before_departure: whether runs are moved before their engine departs.
    """

    notice_lag_s = LIST_LAG_S
    moves_before_departure = False

    def __init__(self, fleet: SimFleet, seed: int) -> None:
        self.fleet = fleet

    async def place(
        self, arrival: Arrival, remaining_s: float, latency_remaining_s: float
    ) -> Grant | Refusal:
        """Place a request or refuse it; may wait for capacity.

        Args:
          arrival: the request.
          remaining_s: time until the caller's deadline.
          latency_remaining_s: time until the request's target latency has passed.
        """
        raise NotImplementedError

    async def place_copy(self, run: SimRun) -> SimEngine | None:
        """Return the engine for a copy of a run whose engine departs, or None."""
        return None

    def update(self) -> None:
        """Update the policy's view of the fleet; called at every tick."""


class Baseline(Policy):
    """Fewest requests first, without admission control; engines queue the excess."""

    async def place(
        self, arrival: Arrival, remaining_s: float, latency_remaining_s: float
    ) -> Grant | Refusal:
        """Return the engine with the fewest requests."""
        now_s = self.fleet.timer.now_s()
        accepting_engines = [
            e for e in self.fleet.engines if _accepts_requests(e, now_s)
        ]
        if not accepting_engines:
            return Refusal(1.0)
        engine = min(accepting_engines, key=lambda e: len(e.runs) + len(e.queue))
        return Grant(engine, None, arrival.prompt_tokens)


def _accepts_requests(engine: SimEngine, now_s: float) -> bool:
    # The engine list shows a departure notice with a delay.
    return (
        engine.departs_s is None
        or now_s < engine.departs_s - DEPARTURE_NOTICE_S + LIST_LAG_S
    )


class PlacementPolicy(Policy):
    """The product's placement service."""

    queue_class: type[FairQueue[Any]] = FairQueue

    def __init__(self, fleet: SimFleet, seed: int) -> None:
        super().__init__(fleet, seed)
        self._random = random.Random(seed)
        self._view = FleetView()
        self._loads = FleetLoads()
        self._table = TargetTable(fleet.timer, self._view, "")
        self._grants_seen = 0
        self._placement = PlacementService(
            fleet.timer,
            self._table,
            self._loads,
            lambda name: SERVICE,
            (1.5, 5.0),
            lambda: True,
            self._random,
            self.queue_class,
        )

    def update(self) -> None:
        """Update the placement service as the control process does."""
        now_s = self.fleet.timer.now_s()
        self._view.engines = {
            engine.info.incarnation: attrs.evolve(
                engine.info, is_draining=self._is_departure_known(engine, now_s)
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
        self._loads.record_report("entry", self._load_rows(), self._grants_seen, now_s)
        self._placement.update()

    def _is_departure_known(self, engine: SimEngine, now_s: float) -> bool:
        departs_s = engine.departs_s
        return (
            departs_s is not None
            and now_s >= departs_s - DEPARTURE_NOTICE_S + self.notice_lag_s
        )

    def _load_rows(self) -> dict[str, list[int]]:
        rows = {e.info.incarnation: [0, 0, 0] for e in self.fleet.engines}
        for engine in self.fleet.engines:
            for run in [*engine.runs, *engine.queue]:
                row = rows[engine.info.incarnation]
                row[0] += 1
                row[1] += run.reserved_tokens
                row[2] += run.arrival.prompt_tokens if run.first_event_s is None else 0
                for holder in _copy_holders(run):
                    if holder.info.incarnation in rows:
                        rows[holder.info.incarnation][1] += run.reserved_tokens
        return rows

    def _message(self, arrival: Arrival, reserved: int) -> dict[str, object]:
        return {
            "entry": "entry",
            "loads": self._load_rows(),
            "grants_seen": self._grants_seen,
            "service": SERVICE.name,
            "priority": find_class(arrival.kind).priority,
            "request_id": arrival.session,
            "session": arrival.session,
            "organisation": arrival.organisation,
            "prompt_tokens": arrival.prompt_tokens,
            "memory_tokens": reserved,
            "excluded": [],
        }

    async def place(
        self, arrival: Arrival, remaining_s: float, latency_remaining_s: float
    ) -> Grant | Refusal:
        """Request a placement, as an entry does."""
        kind = find_class(arrival.kind)
        reserved = estimate_demand(_request_info(arrival), SERVICE).memory_tokens
        prefill_s = arrival.prompt_tokens / PREFILL_TOKENS_PER_S
        reserve_s = LATENCY_RESERVE_FRACTION * kind.target_latency_s
        response = await self._placement.handle(
            {
                **self._message(arrival, reserved),
                "patience_s": max(0.0, latency_remaining_s - prefill_s - reserve_s),
                "return_patience_s": min(
                    REFUSED_MAX_WAIT_S, REFUSED_MAX_WAIT_FRACTION * remaining_s
                ),
                "holder": "",
            }
        )
        if "refused" in response:
            return Refusal(self._retry_after_s(response["retry_after_s"]))
        self._grants_seen = max(self._grants_seen, response["number"])
        engine = self.fleet.find_engine(response["target"]["identity"])
        if engine is None:
            return Refusal(1.0)
        backup_entry = response["backup"]
        backup = (
            self.fleet.find_engine(backup_entry["identity"]) if backup_entry else None
        )
        return Grant(engine, backup, reserved)

    def _retry_after_s(self, proposed_s: float) -> float:
        return proposed_s

    async def place_copy(self, run: SimRun) -> SimEngine | None:
        """Request a placement for a copy."""
        assert run.engine is not None
        response = await self._placement.handle(
            {
                **self._message(run.arrival, run.reserved_tokens),
                "patience_s": 0.0,
                "return_patience_s": 0.0,
                "holder": run.engine.info.incarnation,
            }
        )
        if "refused" in response:
            return None
        self._grants_seen = max(self._grants_seen, response["number"])
        return self.fleet.find_engine(response["target"]["identity"])


class _RefusedFirst(FairQueue[Any]):
    """The previous queue order: refused callers first, then by arrival."""

    def sort_key_of(self, priority: int, flow: Flow, cost: float) -> SortKey:
        """Return the sort key of a request."""
        return priority, 0.0 if flow.was_refused else 1.0, False


class Previous(PlacementPolicy):
    """The previous version.

    Learns of departures from the engine list, moves runs when their engine departs,
    gives retries of refused callers precedence, and asks for retries after a short
    time.
    """

    queue_class = _RefusedFirst

    def _retry_after_s(self, proposed_s: float) -> float:
        return self._random.uniform(*PREVIOUS_RETRY_S)


class Current(PlacementPolicy):
    """Learns of departures from health checks; moves runs before the departure."""

    notice_lag_s = HEALTH_CHECK_LAG_S
    moves_before_departure = True


POLICIES: dict[str, Callable[[SimFleet, int], Policy]] = {
    "baseline": Baseline,
    "previous": Previous,
    "current": Current,
}


def _request_info(arrival: Arrival) -> RequestInfo:
    """Return the request as the product reads it from the request head."""
    return RequestInfo(
        attempt_id=arrival.session,
        remaining_s=None,
        key=None,
        prompt_tokens=arrival.prompt_tokens,
        maximum_output_tokens=0,
        expected_output_tokens=arrival.hint_tokens,
        prefix=(),
    )


def _copy_holders(run: SimRun) -> list[SimEngine]:
    """Return the engines that hold a backup or copy of a run."""
    holders = [run.backup] if run.backup is not None else []
    return [*holders, run.copy.destination] if run.copy is not None else holders


def start_copy(run: SimRun, destination: SimEngine, now_s: float) -> Copy:
    """Start the transfer of a run's memory over the links of both engines.

    The transfer starts when both links are free, and takes twice as long between data
    centres.
    """
    source = run.engine
    assert source is not None
    is_local = source.info.data_centre == destination.info.data_centre
    duration_s = run.tokens * COPY_S_PER_TOKEN * (1 if is_local else 2)
    done_s = max(now_s, source.link_free_s, destination.link_free_s) + duration_s
    source.link_free_s = destination.link_free_s = done_s
    destination.copy_tokens[run.number] = run.tokens
    return Copy(destination, done_s, run.generated)
