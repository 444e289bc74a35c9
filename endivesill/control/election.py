"""Elections: when to stand, and whom to vote for.

A pre-vote comes first, so that a replica that was cut off does not raise the
term of a cluster that works. A replica that has heard its leader lately votes
for nobody, so that the leader can rest a lease on it.
"""

from __future__ import annotations

import asyncio

from endivesill import errors, events
from endivesill.control.core import ReplicaCore, Role
from endivesill.control.events import CAMPAIGN_STARTED, LEADER_ELECTED
from endivesill.control.leadership import Leadership
from endivesill.control.messages import (
    VOTE_PATH,
    LeadAnswer,
    LeadRequest,
    VoteAnswer,
    VoteRequest,
    from_message,
    to_message,
)

__all__ = ["Election"]

TIMEOUT_SPREAD = 0.6
FIRST_RETRY_S = 0.05


class Election:
    """The part of a replica that votes and stands for election.

    Args:
      core: the replica's shared state.
    """

    def __init__(self, core: ReplicaCore) -> None:
        self._core = core
        self._campaigning = False
        self._lost_s = float("-inf")
        self._retry_s = FIRST_RETRY_S

    async def run(self) -> None:
        """Stand for election whenever the leader has been silent for too long."""
        core = self._core
        while True:
            await self._silence()
            began_s = core.election_reset_s = core.timer.now_s()
            if core.is_voter and await self._has_disk():
                await self._campaign_or_wait(transfer=False)
                self._note_end(began_s)

    def _note_end(self, began_s: float) -> None:
        """Stand again soon if nobody was elected, ever less often."""
        core = self._core
        if core.role is Role.LEADER or core.leader_contact_s >= began_s:
            return
        self._lost_s = core.election_reset_s = core.timer.now_s()
        self._retry_s = min(2 * self._retry_s, core.settings.election_timeout_s)

    async def _silence(self) -> None:
        """Wait until it is time to stand for election."""
        core = self._core
        share = core.random.random()
        while True:
            if core.role is Role.LEADER:
                core.election_reset_s = core.timer.now_s()
            if core.election_reset_s == self._lost_s:
                wait_s = self._retry_s * (0.5 + share)
            else:
                self._retry_s = FIRST_RETRY_S
                wait_s = core.settings.election_timeout_s * (1 + TIMEOUT_SPREAD * share)
            left_s = core.election_reset_s + wait_s - core.timer.now_s()
            if left_s <= 0:
                return
            await core.timer.sleep(left_s)

    async def _has_disk(self) -> bool:
        """Tell whether the log can be written; it is tried again if it failed."""
        log = self._core.log
        if log.last_error is None:
            return True
        try:
            await log.sync_to(log.last_index)
        except errors.StorageError:
            return False
        return True

    async def _campaign_or_wait(self, transfer: bool) -> None:
        if self._campaigning:
            return
        self._campaigning = True
        try:
            await self._campaign(transfer)
        except errors.StorageError as error:
            # Without a durable term there is no candidate.
            self._core.step_down(str(error))
        finally:
            self._campaigning = False

    async def _campaign(self, transfer: bool) -> None:
        core = self._core
        term = core.term + 1
        if not transfer and not await self._collect(term, pre=True, transfer=False):
            return
        if core.term + 1 != term or core.role is Role.LEADER:
            return
        core.step_down("stands for election")
        core.term = term
        core.voted_for = core.identity
        core.role = Role.CANDIDATE
        events.emit(CAMPAIGN_STARTED, term=term, transfer=transfer)
        await core.persist()
        won = await self._collect(term, pre=False, transfer=transfer)
        if won and core.term == term and core.role is Role.CANDIDATE:
            self._lead()

    def _lead(self) -> None:
        core = self._core
        core.role = Role.LEADER
        core.leader = core.identity
        core.leader_address = core.transport.address
        core.leadership = Leadership(core)
        events.emit(LEADER_ELECTED, term=core.term, identity=core.identity)
        core.leadership.begin()
        core.changed.notify()

    async def _collect(self, term: int, *, pre: bool, transfer: bool) -> bool:
        """Ask all other voters and tell whether a majority would have us."""
        core = self._core
        voter_set = core.voter_set
        granted = {core.identity}

        async def ask(identity: str, address: str) -> None:
            if await self._ask(identity, address, term, pre, transfer):
                granted.add(identity)

        pending = {
            asyncio.ensure_future(ask(identity, address))
            for identity, address in voter_set.voters.items()
            if identity != core.identity
        }
        try:
            while pending and not voter_set.has_quorum(granted):
                _, pending = await asyncio.wait(pending, return_when="FIRST_COMPLETED")
        finally:
            for task in pending:
                task.cancel()
        return voter_set.has_quorum(granted)

    async def _ask(
        self, identity: str, address: str, term: int, pre: bool, transfer: bool
    ) -> bool:
        core = self._core
        request = VoteRequest(
            cluster=core.cluster,
            to=identity,
            candidate=core.identity,
            term=term,
            last_index=core.log.last_index,
            last_term=core.log.last_term,
            pre=pre,
            transfer=transfer,
        )
        timeout_s = core.settings.election_timeout_s / 2
        try:
            message = await core.transport.call(
                address, VOTE_PATH, to_message(request), timeout_s
            )
            answer = from_message(VoteAnswer, message)
        except errors.PeerUnreachableError:
            return False
        if answer.term > core.term:
            core.note_term(answer.term)
        return answer.granted

    async def handle_vote(self, request: VoteRequest) -> VoteAnswer:
        """Answer a request for a vote."""
        core = self._core
        if not request.transfer and core.heard_leader():
            return VoteAnswer(core.term, False)
        if request.pre:
            granted = request.term > core.term and self._is_up_to_date(request)
            return VoteAnswer(core.term, granted)
        await core.observe_term(request.term)
        if request.term < core.term or not self._is_up_to_date(request):
            return VoteAnswer(core.term, False)
        if core.voted_for not in (None, request.candidate):
            return VoteAnswer(core.term, False)
        core.voted_for = request.candidate
        core.election_reset_s = core.timer.now_s()
        await core.persist()
        granted = core.term == request.term and core.voted_for == request.candidate
        return VoteAnswer(core.term, granted)

    def _is_up_to_date(self, request: VoteRequest) -> bool:
        log = self._core.log
        own = (log.last_term, log.last_index)
        return (request.last_term, request.last_index) >= own

    async def handle_lead(self, request: LeadRequest) -> LeadAnswer:
        """Stand for election at once because the leader wants to hand over."""
        core = self._core
        if request.term == core.term and core.is_voter:
            await self._campaign_or_wait(transfer=True)
        return LeadAnswer(core.role is Role.LEADER)
