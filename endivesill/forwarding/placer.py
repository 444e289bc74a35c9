"""How an entry gets a place for a request: from the leader, or by itself."""

from __future__ import annotations

import asyncio

import attrs

from endivesill import errors
from endivesill.fleet.follower import FleetFollower
from endivesill.fleet.model import EngineInfo
from endivesill.forwarding.call import Call
from endivesill.forwarding.home import PLACE_PATH
from endivesill.forwarding.placement import (
    READ_TOKENS_PER_S,
    choose_backup,
    choose_destination,
)
from endivesill.forwarding.targets import Target, TargetTable
from endivesill.forwarding.waiting import Admission, NoRoomError, PlaceRequest
from endivesill.peers import Message, PeerTransport
from endivesill.timer import TimerService

__all__ = ["Place", "Placer", "latest_start_s"]

# What an answer of the leader may take besides the wait for a place.
HOME_MARGIN_S = 0.25
# How long the request of a caller who comes back after a refusal waits: it is the
# next to be placed, and a full fleet gives some places each second.
RETURN_WAIT_S = 3.0
RETURN_WAIT_SHARE = 0.5
# Part of the target latency that is kept back for what cannot be foreseen.
RESERVE_SHARE = 0.1


@attrs.frozen
class Place:
    """A place at a target.

    Attributes:
      target: who runs the request.
      backup: who gets a copy of its memory; None for no copy.
      by_leader: whether the leader gave it.
    """

    target: Target
    backup: Target | None
    by_leader: bool


def latest_start_s(call: Call) -> float:
    """Return until when it is worth to wait for a place.

    Answers the pattern of a burst: an answer that begins after its target
    latency helps its caller less than another caller's answer in time, so the
    wait ends when the first answer would be late.
    """
    read_s = call.need.prompt_tokens / READ_TOKENS_PER_S
    reserve_s = RESERVE_SHARE * call.route.target_latency_s
    latest_s = call.on_time_s - read_s - reserve_s
    return min(max(latest_s, call.received_s), call.end_s)


class Placer:
    """Gets places for an entry's requests.

    Generations get theirs from the leader, which knows the load of all entries.
    Plain requests are placed here, and so is everything while no leader answers.

    Args:
      timer: the timer service.
      table: the targets.
      admission: places without the leader.
      follower: knows the leader.
      transport: calls the leader.
    """

    def __init__(
        self,
        timer: TimerService,
        table: TargetTable,
        admission: Admission,
        follower: FleetFollower,
        transport: PeerTransport,
    ) -> None:
        self._timer = timer
        self._table = table
        self._admission = admission
        self._follower = follower
        self._transport = transport

    async def place(self, call: Call) -> Place:
        """Return a place for a request; it is counted as taken.

        Raises:
          NoRoomError: there will be none in time.
        """
        began_s = self._timer.now_s()
        try:
            if call.service.memory is not None:
                place = await self._ask_for_run(call)
                if place is not None:
                    return place
            return await self._place_here(call)
        finally:
            call.waited_s += self._timer.now_s() - began_s

    async def _place_here(self, call: Call) -> Place:
        request = PlaceRequest(
            call.service,
            call.need,
            call.priority,
            latest_start_s(call),
            call.excluded,
            organisation=call.organisation,
        )
        target = await self._admission.place(request)
        self._table.note_send(target)
        backup = self.backup_for(call, target)
        return Place(target, backup, by_leader=False)

    def backup_for(self, call: Call, target: Target) -> Target | None:
        """Return a backup with a place taken for a run at a target, or None."""
        targets = self._table.candidates(call.service.name, ())
        is_busy = self._admission.is_busy(call.service.name)
        backup = choose_backup(
            targets, call.service, call.need, target, is_busy=is_busy
        )
        if backup is not None:
            backup.take_copy(call.need)
        return backup

    async def _ask_for_run(self, call: Call) -> Place | None:
        """Ask the leader; None if it does not answer."""
        patience_s = max(0.0, latest_start_s(call) - self._timer.now_s())
        answer = await self._ask(call, patience_s, holder="")
        if answer is None:
            return None
        if "refused" in answer:
            raise NoRoomError(answer["refused"], answer["retry_after_s"])
        target = self._table.learn(EngineInfo(**answer["target"]))
        target.take(call.need)
        backup = None
        if answer["backup"] is not None:
            backup = self._table.learn(EngineInfo(**answer["backup"]))
            backup.take_copy(call.need)
        return Place(target, backup, by_leader=True)

    def _return_patience_s(self, call: Call) -> float:
        """Return how long a caller waits who was refused before; it is late anyway."""
        left_s = call.end_s - self._timer.now_s()
        return max(0.0, min(RETURN_WAIT_S, RETURN_WAIT_SHARE * left_s))

    async def place_copy(self, call: Call, holder: Target) -> Target | None:
        """Return a target with a place taken for a copy of a run, or None."""
        answer = await self._ask(call, 0.0, holder=holder.info.incarnation)
        if answer is None:
            targets = self._table.candidates(call.service.name, ())
            target = choose_destination(targets, call.service, call.need, holder)
        elif "refused" in answer:
            target = None
        else:
            target = self._table.learn(EngineInfo(**answer["target"]))
        if target is not None:
            target.take_copy(call.need)
        return target

    async def _ask(
        self, call: Call, patience_s: float, *, holder: str
    ) -> Message | None:
        leader = self._follower.leader
        if leader is None:
            return None
        message = {
            **self._follower.report(),
            "service": call.service.name,
            "priority": call.priority,
            "prompt_tokens": call.need.prompt_tokens,
            "memory_tokens": call.need.memory_tokens,
            "request_id": call.info.attempt_id,
            "session": call.info.session,
            "organisation": call.organisation,
            "patience_s": patience_s,
            "return_patience_s": self._return_patience_s(call),
            "excluded": [target.info.incarnation for target in call.excluded],
            "holder": holder,
        }
        longest_s = max(patience_s, message["return_patience_s"])
        answer = await self._call_leader(leader, message, longest_s + HOME_MARGIN_S)
        if answer is None or "leader" in answer:
            return None
        if "number" in answer:
            self._follower.note_grant(answer["number"])
        return answer

    async def _call_leader(
        self, leader: str, message: Message, timeout_s: float
    ) -> Message | None:
        """Return the leader's answer; None once it is lost.

        The answer may take as long as a place does, while the sync shows within
        half a second that a leader is gone.
        """
        calling = asyncio.ensure_future(
            self._transport.call(leader, PLACE_PATH, message, timeout_s)
        )
        losing = asyncio.ensure_future(self._follower.leader_lost.wait())
        try:
            await asyncio.wait({calling, losing}, return_when="FIRST_COMPLETED")
            return calling.result() if calling.done() else None
        except errors.PeerUnreachableError:
            # The follower notices and logs the loss of the leader.
            return None
        finally:
            calling.cancel()
            losing.cancel()
