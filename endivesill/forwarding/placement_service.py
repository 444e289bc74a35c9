"""Placement of generations for all entries, on the leader of the control VMs.

Entries that each know only their own load would overcommit engines: several of them
would fill the same new engine at once. The leader sees the load of all entries and
grants one placement after another.
"""

from __future__ import annotations

import collections
import math
import random
from collections.abc import Callable, Mapping
from typing import Any

import attrs

from endivesill import errors, events
from endivesill.fleet.load import EngineLoad, FleetLoads
from endivesill.fleet.model import Service
from endivesill.forwarding.events import FLEET_BUSY, PLACE_REFUSED
from endivesill.forwarding.fair_queue import FairQueue
from endivesill.forwarding.placement import choose_backup, choose_destination
from endivesill.forwarding.placement_view import PlacementQuery, view_targets
from endivesill.forwarding.refusals import (
    PlacementRate,
    RefusedSessions,
    expected_wait_s,
    retry_after_s,
)
from endivesill.forwarding.targets import ResourceDemand, Target, TargetTable
from endivesill.forwarding.waiting import AdmissionQueue, NoRoomError, PlacementRequest
from endivesill.peers import Message
from endivesill.timer import TimerService

__all__ = ["PLACE_PATH", "PlacementService"]

PLACE_PATH = "/fleet/place"

# Fraction of a cold target's request rate that the leader may use; the rest is for
# entries that place requests while there is no leader.
LEADER_COLD_FRACTION = 0.5


class PlacementService:
    """Grants placements to entries while this VM leads.

    Args:
      timer: the timer service.
      table: the targets; this process adds no load of its own.
      loads: the loads of all entries.
      services: returns a service of the configuration in force, or None.
      cold_bounds: factor and slack applied to the request rate of cold targets.
      is_leader: returns whether this VM leads.
      random_source: breaks ties between engines and draws the jitter of Retry-After.
      new_queue: creates the queue of a service.
    """

    def __init__(
        self,
        timer: TimerService,
        table: TargetTable,
        loads: FleetLoads,
        services: Callable[[str], Service | None],
        cold_bounds: tuple[float, float],
        is_leader: Callable[[], bool],
        random_source: random.Random,
        new_queue: Callable[[], FairQueue[Any]] = FairQueue,
    ) -> None:
        self._timer = timer
        self._table = table
        self._loads = loads
        self._services = services
        self._cold_bounds = cold_bounds
        self._is_leader = is_leader
        self._admission = AdmissionQueue(
            timer,
            table,
            self._cold_allowance,
            self._record_placement,
            random_source,
            new_queue,
        )
        self._random = random_source
        # By service and priority: less urgent requests get what the others leave.
        self._placement_rates: dict[tuple[str, int], PlacementRate] = (
            collections.defaultdict(PlacementRate)
        )
        self._admission.expected_wait_s = self._wait_behind_s
        self._refused_sessions = RefusedSessions()
        self._requesting_entries: dict[int, str] = {}
        self._grants: dict[int, tuple[int, Target | None]] = {}

    def _cold_allowance(self, service: Service) -> float:
        factor, slack = self._cold_bounds
        return LEADER_COLD_FRACTION * (factor * service.cold_requests_per_s + slack)

    def update(self) -> None:
        """Apply changed loads and targets, then place queued requests.

        A VM that no longer leads releases them instead: entries place them.
        """
        if not self._is_leader():
            self._admission.release_waiting()
            return
        self._table.update_loads(self._loads.totals(self._timer.now_s()))
        self._admission.admit_waiting()

    def queue_length(self) -> int:
        """Return the number of queued requests."""
        return self._admission.queue_length()

    def log_load(self) -> None:
        """Log the engine load of each congested service."""
        for name in {service for service, _ in self._placement_rates}:
            if not self._admission.is_congested(name):
                continue
            targets = self._table.candidates(name, ())
            events.emit(
                FLEET_BUSY,
                service=name,
                waiting=self._admission.queue_length(),
                places_per_s=self._placements_per_s(name),
                targets={t.info.identity: _load_row(t) for t in targets},
            )

    def _placements_per_s(self, service: str) -> float | None:
        rate = sum(
            rate.per_s(self._timer.now_s())
            for (name, _), rate in self._placement_rates.items()
            if name == service
        )
        return None if math.isinf(rate) else round(rate, 2)

    async def handle(self, message: Message) -> Message:
        """Answer an entry's request for a placement.

        Args:
          message: `{"entry", "loads", "grants_seen", "service", "priority",
            "request_id", "route", "session", "organisation", "prompt_tokens",
            "memory_tokens", "pause_limit_s", "patience_s", "return_patience_s",
            "excluded", "holder"}`: the entry, its load and the demand. With a
            `holder`, a copy of a run is placed, whose source is the engine of that
            incarnation.

        Returns:
          `{"number", "target", "backup"}` with engines as in the list; `{"refused",
          "retry_after_s"}` with the reason; `{"leader": None}` from a VM that does not
          lead, or no longer does.
        """
        now_s = self._timer.now_s()
        service = self._services(message["service"])
        if not self._is_leader() or service is None or service.model_engine is None:
            return {"leader": None}
        self._loads.record_report(
            message["entry"], message["loads"], message["grants_seen"], now_s
        )
        self.update()
        was_refused = self._refused_sessions.consume(message["session"], now_s)
        max_wait_s = message["return_patience_s" if was_refused else "patience_s"]
        request = PlacementRequest(
            service=service,
            demand=ResourceDemand(
                message["prompt_tokens"],
                message["memory_tokens"],
                message.get("pause_limit_s", 0.0),
            ),
            priority=message["priority"],
            wait_until_s=now_s + max_wait_s,
            excluded=self._table.find_all(message["excluded"]),
            was_refused=was_refused,
            organisation=message["organisation"],
        )
        if message["holder"]:
            return self._place_copy(message, request)
        return await self._place_run(message, request)

    async def _place_run(self, message: Message, request: PlacementRequest) -> Message:
        self._requesting_entries[id(request)] = message["entry"]
        wait_s = self._expected_wait_s(request)
        try:
            target = self._admission.try_canary(request, message.get("route", ""))
            if target is None:
                target = await self._place_or_refuse(request, wait_s)
            number, backup = self._grants.pop(id(request))
        except errors.NotLeaderError:
            return {"leader": None}
        except NoRoomError as error:
            self._refused_sessions.add(message["session"], self._timer.now_s())
            events.emit(
                PLACE_REFUSED,
                request_id=message["request_id"],
                entry=message["entry"],
                service=request.service.name,
                reason=error.reason,
                comes_back=request.was_refused,
                waiting=self._admission.queue_length(),
                expected_wait_s=round(wait_s, 3),
                patience_s=round(request.wait_until_s - self._timer.now_s(), 3),
            )
            after_s = error.retry_after_s
            if after_s is None:
                after_s = retry_after_s(wait_s, self._random.random())
            return {"refused": error.reason, "retry_after_s": after_s}
        finally:
            self._requesting_entries.pop(id(request), None)
            self._grants.pop(id(request), None)
        return _grant_reply(number, target, backup)

    def view(self, fields: Mapping[str, str]) -> Message:
        """Explain where a generation would be placed now; changes nothing.

        Args:
          fields: see `PlacementQuery.read`.
        """
        query = PlacementQuery.read(fields)
        service = self._services(query.service)
        if not self._is_leader():
            return {"error": "this control VM does not lead"}
        if service is None or service.model_engine is None:
            return {"error": f"no model engines of a service {query.service!r}"}
        now_s = self._timer.now_s()
        request = PlacementRequest(
            service,
            query.demand,
            query.priority,
            now_s + query.patience_s,
            organisation=query.organisation,
        )
        views = view_targets(self._table, service, query.demand, now_s)
        ahead = self._admission.count_ahead(request)
        wait_s = self._expected_wait_s(request)
        chosen = next((view for view in views if not view.excluded), None)
        if chosen is not None and not ahead:
            outcome = "placed"
        else:
            outcome = "waits" if wait_s <= query.patience_s else "refused"
        return {
            "outcome": outcome,
            "target": chosen.target if chosen is not None else None,
            "ahead": ahead,
            "expected_wait_s": round(wait_s, 3),
            "candidates": [attrs.asdict(view) for view in views],
        }

    def _expected_wait_s(self, request: PlacementRequest) -> float:
        """Return the expected wait of a request that no target can take now."""
        return self._wait_behind_s(request, self._admission.count_peers_ahead(request))

    def _wait_behind_s(self, request: PlacementRequest, ahead: int) -> float:
        """Return the expected wait behind some requests of the same priority."""
        rate = self._placement_rates.get((request.service.name, request.priority))
        if rate is None:
            return 0.0
        return expected_wait_s(ahead, rate.per_s(self._timer.now_s()))

    async def _place_or_refuse(
        self, request: PlacementRequest, wait_s: float
    ) -> Target:
        """Place a request, or refuse it if it would have to wait for too long."""
        if self._timer.now_s() + wait_s <= request.wait_until_s:
            return await self._admission.place(request)
        target = None
        if not self._admission.count_ahead(request):
            target = self._admission.try_place(request)
        if target is None:
            raise NoRoomError("would wait in vain")
        return target

    def _record_placement(self, request: PlacementRequest, target: Target) -> None:
        """Record a grant and its backup in the load of the requesting entry."""
        demand = request.demand
        targets = self._table.candidates(request.service.name, request.excluded)
        is_congested = self._admission.is_congested(request.service.name)
        backup = choose_backup(
            targets, request.service, demand, target, is_congested=is_congested
        )
        loads = {
            target.info.incarnation: EngineLoad(
                1, demand.memory_tokens, demand.prompt_tokens
            )
        }
        if backup is not None:
            loads[backup.info.incarnation] = EngineLoad(0, demand.memory_tokens, 0)
        now_s = self._timer.now_s()
        number = self._loads.grant(self._requesting_entries[id(request)], loads, now_s)
        self._grants[id(request)] = (number, backup)
        self._placement_rates[request.service.name, request.priority].note(now_s)
        self._table.note_send(target)
        self._table.note_placement(target, demand.memory_tokens)
        if backup is not None:
            self._table.note_placement(backup, demand.memory_tokens)
        self._table.update_loads(self._loads.totals(now_s))

    def _place_copy(self, message: Message, request: PlacementRequest) -> Message:
        source = self._table.find_all([message["holder"]])
        destination = None
        if source:
            targets = self._table.candidates(request.service.name, request.excluded)
            destination = choose_destination(
                targets, request.service, request.demand, source[0]
            )
        if destination is None:
            return {"refused": "no room for a copy", "retry_after_s": 0.0}
        self._table.note_placement(destination, request.demand.memory_tokens)
        load = EngineLoad(1, request.demand.memory_tokens, 0)
        now_s = self._timer.now_s()
        incarnation = destination.info.incarnation
        number = self._loads.grant(message["entry"], {incarnation: load}, now_s)
        self._table.update_loads(self._loads.totals(now_s))
        return _grant_reply(number, destination, None)


def _load_row(target: Target) -> dict[str, int]:
    return {
        "requests": target.total_requests,
        "reserved_tokens": target.remote_load.reserved_tokens,
        "used_tokens": target.report.used_tokens if target.report else -1,
        "queued": target.report.queued_requests if target.report else -1,
        "unread_tokens": target.total_prefill_tokens,
    }


def _grant_reply(number: int, target: Target, backup: Target | None) -> Message:
    return {
        "number": number,
        "target": target.info.to_row(),
        "backup": backup.info.to_row() if backup else None,
    }
