"""Places generations for all entries, at the leader of the control VMs.

An engine's memory and its prompts to read are too scarce to be shared out by
entries that each know only their own load: several would fill the same new
engine at once. The leader sees all of it and gives one place after the other.
"""

from __future__ import annotations

import collections
import math
import random
from collections.abc import Callable
from typing import Any

import attrs

from endivesill import events
from endivesill.fleet.load import EngineLoad, FleetLoads
from endivesill.fleet.model import Service
from endivesill.forwarding.events import FLEET_BUSY, PLACE_REFUSED
from endivesill.forwarding.fair_queue import FairQueue
from endivesill.forwarding.placement import choose_backup, choose_destination
from endivesill.forwarding.refusals import (
    PlaceRate,
    ReturnList,
    expected_wait_s,
    retry_after_s,
)
from endivesill.forwarding.targets import Need, Target, TargetTable
from endivesill.forwarding.waiting import Admission, NoRoomError, PlaceRequest
from endivesill.peers import Message
from endivesill.timer import TimerService

__all__ = ["PLACE_PATH", "PlacementHome"]

PLACE_PATH = "/fleet/place"

# Part of the rate that cold targets bear which the leader gives out; the other
# part is for entries that place by themselves while there is no leader.
COLD_SHARE = 0.5


class PlacementHome:
    """Answers entries that ask for a place.

    Args:
      timer: the timer service.
      table: the targets, with no load of their own.
      loads: the loads of all entries.
      services: returns a service of the configuration in force, or None.
      cold_bounds: factor and slack on the rate that a cold target bears.
      leads: tells whether this VM leads.
      random_source: draws among equal engines and spreads returns.
      new_queue: returns the queue of waiting requests of a service.
    """

    def __init__(
        self,
        timer: TimerService,
        table: TargetTable,
        loads: FleetLoads,
        services: Callable[[str], Service | None],
        cold_bounds: tuple[float, float],
        leads: Callable[[], bool],
        random_source: random.Random,
        new_queue: Callable[[], FairQueue[Any]] = FairQueue,
    ) -> None:
        self._timer = timer
        self._table = table
        self._loads = loads
        self._services = services
        self._cold_bounds = cold_bounds
        self._leads = leads
        self._admission = Admission(
            timer,
            table,
            self._cold_allowance,
            self._note_placed,
            random_source,
            new_queue,
        )
        self._random = random_source
        self._rates: dict[str, PlaceRate] = collections.defaultdict(PlaceRate)
        self._returns = ReturnList()
        self._asking: dict[int, str] = {}
        self._grants: dict[int, tuple[int, Target | None]] = {}

    def _cold_allowance(self, service: Service) -> float:
        factor, slack = self._cold_bounds
        return COLD_SHARE * (factor * service.cold_requests_per_s + slack)

    def update(self) -> None:
        """Take changed loads and targets, and serve who waits."""
        self._table.update_loads(self._loads.sums(self._timer.now_s()))
        self._admission.serve_waiters()

    def waiting(self) -> int:
        """Return how many requests wait for a place."""
        return self._admission.waiting()

    def log_load(self) -> None:
        """Write the load of the engines of busy services to the log."""
        for name in list(self._rates):
            if not self._admission.is_busy(name):
                continue
            targets = self._table.candidates(name, ())
            events.emit(
                FLEET_BUSY,
                service=name,
                waiting=self._admission.waiting(),
                places_per_s=self._places_per_s(name),
                targets={t.info.identity: _load_row(t) for t in targets},
            )

    def _places_per_s(self, service: str) -> float | None:
        rate = self._rates[service].per_s(self._timer.now_s())
        return None if math.isinf(rate) else round(rate, 2)

    async def handle(self, message: Message) -> Message:
        """Give an entry a place.

        Args:
          message: `{"entry", "loads", "grants_seen", "service", "priority",
            "request_id", "session", "organisation", "prompt_tokens",
            "memory_tokens", "patience_s", "return_patience_s", "excluded",
            "holder"}`: who asks, its load, and
            what it needs a place for; with a `holder`, the place is for a copy
            of a run at that engine.

        Returns:
          `{"number", "target", "backup"}` with engines as in the list;
          `{"refused", "retry_after_s"}` with the reason; `{"leader": None}`
          from a VM that does not lead.
        """
        now_s = self._timer.now_s()
        service = self._services(message["service"])
        if not self._leads() or service is None or service.memory is None:
            return {"leader": None}
        self._loads.report(
            message["entry"], message["loads"], message["grants_seen"], now_s
        )
        self.update()
        comes_back = self._returns.take(message["session"], now_s)
        patience_s = message["return_patience_s" if comes_back else "patience_s"]
        request = PlaceRequest(
            service=service,
            need=Need(message["prompt_tokens"], message["memory_tokens"]),
            priority=message["priority"],
            latest_s=now_s + patience_s,
            excluded=self._table.find_all(message["excluded"]),
            comes_back=comes_back,
            organisation=message["organisation"],
        )
        if message["holder"]:
            return self._place_copy(message, request)
        return await self._place_run(message, request)

    async def _place_run(self, message: Message, request: PlaceRequest) -> Message:
        self._asking[id(request)] = message["entry"]
        wait_s = self._expected_wait_s(request)
        try:
            target = await self._place_or_refuse(request, wait_s)
            number, backup = self._grants.pop(id(request))
        except NoRoomError as error:
            self._returns.refuse(message["session"], self._timer.now_s())
            events.emit(
                PLACE_REFUSED,
                request_id=message["request_id"],
                entry=message["entry"],
                service=request.service.name,
                reason=error.reason,
                comes_back=request.comes_back,
                waiting=self._admission.waiting(),
                expected_wait_s=round(wait_s, 3),
                patience_s=round(request.latest_s - self._timer.now_s(), 3),
            )
            after_s = retry_after_s(wait_s, self._random.random())
            return {"refused": error.reason, "retry_after_s": after_s}
        finally:
            self._asking.pop(id(request), None)
            self._grants.pop(id(request), None)
        return _granted(number, target, backup)

    def _expected_wait_s(self, request: PlaceRequest) -> float:
        """Return how long a request waits if there is no room right now."""
        rate = self._rates[request.service.name].per_s(self._timer.now_s())
        return expected_wait_s(self._admission.ahead_of(request), rate)

    async def _place_or_refuse(self, request: PlaceRequest, wait_s: float) -> Target:
        """Give a place, unless the request would wait in vain."""
        if self._timer.now_s() + wait_s <= request.latest_s:
            return await self._admission.place(request)
        target = None
        if not self._admission.ahead_of(request):
            target = self._admission.try_place(request)
        if target is None:
            raise NoRoomError("would wait in vain")
        return target

    def _note_placed(self, request: PlaceRequest, target: Target) -> None:
        """Count a place for the entry that has asked, with its backup."""
        need = request.need
        targets = self._table.candidates(request.service.name, ())
        is_busy = self._admission.is_busy(request.service.name)
        backup = choose_backup(targets, request.service, need, target, is_busy=is_busy)
        loads = {
            target.info.incarnation: EngineLoad(
                1, need.memory_tokens, need.prompt_tokens
            )
        }
        if backup is not None:
            loads[backup.info.incarnation] = EngineLoad(0, need.memory_tokens, 0)
        now_s = self._timer.now_s()
        number = self._loads.grant(self._asking[id(request)], loads, now_s)
        self._grants[id(request)] = (number, backup)
        self._rates[request.service.name].note(now_s)
        self._table.note_send(target)
        self._table.note_placed(target, need.memory_tokens)
        if backup is not None:
            self._table.note_placed(backup, need.memory_tokens)
        self._table.update_loads(self._loads.sums(now_s))

    def _place_copy(self, message: Message, request: PlaceRequest) -> Message:
        holder = self._table.find_all([message["holder"]])
        destination = None
        if holder:
            targets = self._table.candidates(request.service.name, ())
            destination = choose_destination(
                targets, request.service, request.need, holder[0]
            )
        if destination is None:
            return {"refused": "no room for a copy", "retry_after_s": 0.0}
        self._table.note_placed(destination, request.need.memory_tokens)
        load = EngineLoad(1, request.need.memory_tokens, 0)
        now_s = self._timer.now_s()
        incarnation = destination.info.incarnation
        number = self._loads.grant(message["entry"], {incarnation: load}, now_s)
        self._table.update_loads(self._loads.sums(now_s))
        return _granted(number, destination, None)


def _load_row(target: Target) -> dict[str, int]:
    return {
        "requests": target.all_requests,
        "reserved_tokens": target.others.reserved_tokens,
        "used_tokens": target.report.used_tokens if target.report else -1,
        "queued": target.report.queued_requests if target.report else -1,
        "unread_tokens": target.all_unread_tokens,
    }


def _granted(number: int, target: Target, backup: Target | None) -> Message:
    return {
        "number": number,
        "target": attrs.asdict(target.info),
        "backup": attrs.asdict(backup.info) if backup else None,
    }
