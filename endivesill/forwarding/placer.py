"""Placement of an entry's requests, by the leader or locally."""

from __future__ import annotations

import asyncio

import attrs

from endivesill import errors
from endivesill.fleet.model import EngineInfo, RequestKind
from endivesill.fleet.sync_client import FleetSyncClient
from endivesill.forwarding.call import Call
from endivesill.forwarding.placement import (
    PREFILL_TOKENS_PER_S,
    choose_backup,
    choose_destination,
)
from endivesill.forwarding.placement_service import PLACE_PATH
from endivesill.forwarding.targets import ResourceDemand, Target, TargetTable
from endivesill.forwarding.waiting import AdmissionQueue, NoRoomError, PlacementRequest
from endivesill.peers import Message, PeerTransport
from endivesill.timer import TimerService

__all__ = ["Placement", "Placer", "compute_wait_until_s"]

# Time allowed for the leader's reply beyond the wait in its queue.
LEADER_REPLY_MARGIN_S = 0.25
# Longest wait of a retry after a refusal. It is among the next to be placed, and even
# full engines release some capacity each second.
REFUSED_MAX_WAIT_S = 3.0
REFUSED_MAX_WAIT_FRACTION = 0.5
# Fraction of the target latency kept as a safety margin.
LATENCY_RESERVE_FRACTION = 0.1


@attrs.frozen
class Placement:
    """A target chosen for a request.

    Attributes:
      target: runs the request.
      backup: receives a live copy of the run's KV cache; None for no copy.
      by_leader: whether the leader chose it.
    """

    target: Target
    backup: Target | None
    by_leader: bool

    def release(self, demand: ResourceDemand) -> None:
        """Release the reserved demand of a request that is not sent."""
        self.target.release(demand)
        if self.backup is not None:
            self.backup.release_copy(demand)


def compute_wait_until_s(call: Call) -> float:
    """Return when to stop waiting for a placement.

    The wait ends once the first byte would miss its target latency: during a burst,
    capacity helps more if it goes to a request that can still be answered on time.
    """
    prefill_s = call.demand.prompt_tokens / PREFILL_TOKENS_PER_S
    reserve_s = LATENCY_RESERVE_FRACTION * call.route.target_latency_s
    wait_until_s = call.latency_deadline_s - prefill_s - reserve_s
    return min(max(wait_until_s, call.received_s), call.deadline_s)


class Placer:
    """Places an entry's requests.

    Generations are placed by the leader, which knows the load of all entries. Plain
    requests are placed locally, and so are generations while no leader answers.

    Args:
      timer: the timer service.
      table: the targets.
      admission: places requests locally.
      sync_client: knows the leader.
      transport: calls the leader.
    """

    def __init__(
        self,
        timer: TimerService,
        table: TargetTable,
        admission: AdmissionQueue,
        sync_client: FleetSyncClient,
        transport: PeerTransport,
    ) -> None:
        self._timer = timer
        self._table = table
        self._admission = admission
        self._sync_client = sync_client
        self._transport = transport

    async def place(self, call: Call) -> Placement:
        """Return a placement; its demand is reserved at the target and the backup.

        Raises:
          NoRoomError: no target had capacity in time.
        """
        started_s = self._timer.now_s()
        try:
            if self._is_placed_by_leader(call):
                placement = await self._request_placement(call)
                if placement is not None:
                    return placement
            return await self._place_locally(call)
        finally:
            call.waited_s += self._timer.now_s() - started_s

    def _is_placed_by_leader(self, call: Call) -> bool:
        """Return whether the leader may find a target; it knows no pauses."""
        service = call.service
        return (
            service.model_engine is not None
            and self._table.pause_end_s(service.name) is None
        )

    async def _place_locally(self, call: Call) -> Placement:
        request = PlacementRequest(
            call.service,
            call.demand,
            call.priority,
            compute_wait_until_s(call),
            call.excluded,
            organisation=call.organisation_name,
        )
        target = None
        pool = await self._table.versions.offer(call.service.name, call.route.name)
        if pool is not None:
            target = self._admission.try_place(attrs.evolve(request, pool=pool))
        if target is None:
            target = await self._admission.place(request)
        self._table.note_send(target)
        backup = self.reserve_backup(call, target)
        return Placement(target, backup, by_leader=False)

    def reserve_backup(self, call: Call, target: Target) -> Target | None:
        """Choose a backup for a run and reserve its demand there; None without one.

        Only streams resume from a copy.
        """
        if call.route.kind is not RequestKind.STREAMING:
            return None
        targets = self._table.candidates(call.service.name, ())
        is_congested = self._admission.is_congested(call.service.name)
        backup = choose_backup(
            targets, call.service, call.demand, target, is_congested=is_congested
        )
        if backup is not None:
            backup.reserve_copy(call.demand)
        return backup

    async def _request_placement(self, call: Call) -> Placement | None:
        """Request a placement from the leader; None if it does not answer."""
        max_wait_s = max(0.0, compute_wait_until_s(call) - self._timer.now_s())
        reply = await self._request_from_leader(call, max_wait_s, source="")
        if reply is None:
            return None
        if "refused" in reply:
            raise NoRoomError(reply["refused"], reply["retry_after_s"])
        target = self._table.get_or_add(EngineInfo(**reply["target"]))
        target.reserve(call.demand)
        backup = None
        is_stream = call.route.kind is RequestKind.STREAMING
        if is_stream and reply["backup"] is not None:
            backup = self._table.get_or_add(EngineInfo(**reply["backup"]))
            backup.reserve_copy(call.demand)
        return Placement(target, backup, by_leader=True)

    def _refused_max_wait_s(self, call: Call) -> float:
        """Return the longest wait if this is a retry after a refusal.

        The target latency of such a request is missed already.
        """
        remaining_s = call.deadline_s - self._timer.now_s()
        return max(
            0.0, min(REFUSED_MAX_WAIT_S, REFUSED_MAX_WAIT_FRACTION * remaining_s)
        )

    async def place_copy(self, call: Call, source: Target) -> Target | None:
        """Return a target with the demand of a copy of a run reserved, or None."""
        reply = await self._request_from_leader(
            call, 0.0, source=source.info.incarnation
        )
        if reply is None:
            targets = self._table.candidates(call.service.name, ())
            target = choose_destination(targets, call.service, call.demand, source)
        elif "refused" in reply:
            target = None
        else:
            target = self._table.get_or_add(EngineInfo(**reply["target"]))
        if target is not None:
            target.reserve_copy(call.demand)
        return target

    async def _request_from_leader(
        self, call: Call, max_wait_s: float, *, source: str
    ) -> Message | None:
        leader = self._sync_client.leader
        if leader is None:
            return None
        message = {
            **self._sync_client.load_report(),
            "service": call.service.name,
            "route": call.route.name,
            "priority": call.priority,
            "prompt_tokens": call.demand.prompt_tokens,
            "memory_tokens": call.demand.memory_tokens,
            "pause_limit_s": call.demand.pause_limit_s,
            "request_id": call.info.attempt_id,
            "session": call.info.session,
            "organisation": call.organisation_name,
            "patience_s": max_wait_s,
            "return_patience_s": self._refused_max_wait_s(call),
            "excluded": self._excluded(call),
            "holder": source,
        }
        longest_s = max(max_wait_s, message["return_patience_s"])
        reply = await self._call_leader(
            leader, message, longest_s + LEADER_REPLY_MARGIN_S
        )
        if reply is None or "leader" in reply:
            return None
        if "number" in reply:
            self._sync_client.note_grant(reply["number"])
        return reply

    def _excluded(self, call: Call) -> list[str]:
        """Return the incarnations that the leader must not choose."""
        tried = [target.info.incarnation for target in call.excluded]
        return tried + self._table.withheld(call.service.name)

    async def _call_leader(
        self, leader: str, message: Message, timeout_s: float
    ) -> Message | None:
        """Return the leader's reply; None if the leader is lost meanwhile.

        The reply may take as long as the wait in the queue, while `leader_lost` fires
        within half a second.
        """
        call_task = asyncio.ensure_future(
            self._transport.call(leader, PLACE_PATH, message, timeout_s)
        )
        leader_lost_task = asyncio.ensure_future(self._sync_client.leader_lost.wait())
        try:
            await asyncio.wait(
                {call_task, leader_lost_task}, return_when="FIRST_COMPLETED"
            )
            return call_task.result() if call_task.done() else None
        except errors.PeerUnreachableError:
            # The sync client detects and logs the loss of the leader.
            return None
        finally:
            call_task.cancel()
            leader_lost_task.cancel()
