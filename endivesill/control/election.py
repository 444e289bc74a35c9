"""Leader election with pre-votes.

A pre-vote precedes each election, so that a replica that returns from a partition
does not raise the term of a healthy cluster. A replica that heard from a leader
within the election timeout grants no vote, except for a leadership transfer, so
that the leader can rely on its lease.
"""

from __future__ import annotations

import asyncio

from endivesill import errors, events
from endivesill.control.core import ReplicaCore, Role
from endivesill.control.events import CAMPAIGN_STARTED, LEADER_ELECTED
from endivesill.control.leadership import Leadership
from endivesill.control.messages import (
    VOTE_PATH,
    LeadRequest,
    LeadResponse,
    VoteRequest,
    VoteResponse,
    from_message,
    to_message,
)

__all__ = ["Election"]

TIMEOUT_JITTER_RATIO = 0.6
INITIAL_RETRY_DELAY_S = 0.05


class Election:
    """Runs the election timer, campaigns and votes for a replica.

    Args:
      core: the replica's shared state.
    """

    def __init__(self, core: ReplicaCore) -> None:
        self._core = core
        self._campaigning = False
        self._failed_campaign_s = float("-inf")
        self._retry_delay_s = INITIAL_RETRY_DELAY_S

    async def run(self) -> None:
        """Campaign whenever the election timeout elapses without a leader."""
        core = self._core
        while True:
            await self._wait_for_timeout()
            started_s = core.election_reset_s = core.timer.now_s()
            if core.is_voter and await self._is_log_writable():
                await self._try_campaign(transfer=False)
                self._schedule_retry(started_s)

    def _schedule_retry(self, started_s: float) -> None:
        """Retry with exponential backoff if the election had no winner."""
        core = self._core
        if core.role is Role.LEADER or core.leader_contact_s >= started_s:
            return
        self._failed_campaign_s = core.election_reset_s = core.timer.now_s()
        self._retry_delay_s = min(
            2 * self._retry_delay_s, core.settings.election_timeout_s
        )

    async def _wait_for_timeout(self) -> None:
        """Wait for the election timeout, or for the retry delay after a failure."""
        core = self._core
        jitter = core.random.random()
        while True:
            if core.role is Role.LEADER:
                core.election_reset_s = core.timer.now_s()
            if core.election_reset_s == self._failed_campaign_s:
                wait_s = self._retry_delay_s * (0.5 + jitter)
            else:
                self._retry_delay_s = INITIAL_RETRY_DELAY_S
                wait_s = core.settings.election_timeout_s * (
                    1 + TIMEOUT_JITTER_RATIO * jitter
                )
            remaining_s = core.election_reset_s + wait_s - core.timer.now_s()
            if remaining_s <= 0:
                return
            await core.timer.sleep(remaining_s)

    async def _is_log_writable(self) -> bool:
        """Return whether the log can be written, retrying a failed write."""
        log = self._core.log
        if log.last_error is None:
            return True
        try:
            await log.wait_synced(log.last_index)
        except errors.StorageError:
            return False
        return True

    async def _try_campaign(self, transfer: bool) -> None:
        if self._campaigning:
            return
        self._campaigning = True
        try:
            await self._campaign(transfer)
        except errors.StorageError as error:
            # A candidate must not ask for votes before its term is durable.
            self._core.step_down(str(error))
        finally:
            self._campaigning = False

    async def _campaign(self, transfer: bool) -> None:
        core = self._core
        term = core.term + 1
        if not transfer and not await self._collect_votes(
            term, pre_vote=True, transfer=False
        ):
            return
        if core.term + 1 != term or core.role is Role.LEADER:
            return
        core.step_down("starting an election")
        core.term = term
        core.voted_for = core.identity
        core.role = Role.CANDIDATE
        events.emit(CAMPAIGN_STARTED, term=term, transfer=transfer)
        await core.persist()
        won = await self._collect_votes(term, pre_vote=False, transfer=transfer)
        if won and core.term == term and core.role is Role.CANDIDATE:
            self._become_leader()

    def _become_leader(self) -> None:
        core = self._core
        core.role = Role.LEADER
        core.leader = core.identity
        core.leader_address = core.transport.address
        core.leadership = Leadership(core)
        events.emit(LEADER_ELECTED, term=core.term, identity=core.identity)
        core.leadership.start()
        core.changed.notify()

    async def _collect_votes(
        self, term: int, *, pre_vote: bool, transfer: bool
    ) -> bool:
        """Request votes from all other voters; return whether a majority agreed."""
        core = self._core
        voter_set = core.voter_set
        granted = {core.identity}

        async def request_vote(identity: str, address: str) -> None:
            if await self._request_vote(identity, address, term, pre_vote, transfer):
                granted.add(identity)

        pending = {
            asyncio.ensure_future(request_vote(identity, address))
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

    async def _request_vote(
        self, identity: str, address: str, term: int, pre_vote: bool, transfer: bool
    ) -> bool:
        core = self._core
        request = VoteRequest(
            cluster=core.cluster,
            to=identity,
            candidate=core.identity,
            term=term,
            last_index=core.log.last_index,
            last_term=core.log.last_term,
            pre_vote=pre_vote,
            transfer=transfer,
        )
        timeout_s = core.settings.election_timeout_s / 2
        try:
            message = await core.transport.call(
                address, VOTE_PATH, to_message(request), timeout_s
            )
            response = from_message(VoteResponse, message)
        except errors.PeerUnreachableError:
            return False
        if response.term > core.term:
            core.advance_term(response.term)
        return response.granted

    async def handle_vote(self, request: VoteRequest) -> VoteResponse:
        """Handle a vote or pre-vote request; a granted vote is durable.

        Raises:
          StorageError: the term or the vote could not be written.
        """
        core = self._core
        if not request.transfer and core.has_active_leader():
            return VoteResponse(core.term, False)
        if request.pre_vote:
            granted = request.term > core.term and self._is_up_to_date(request)
            return VoteResponse(core.term, granted)
        await core.advance_and_persist_term(request.term)
        if request.term < core.term or not self._is_up_to_date(request):
            return VoteResponse(core.term, False)
        if core.voted_for not in (None, request.candidate):
            return VoteResponse(core.term, False)
        core.voted_for = request.candidate
        core.election_reset_s = core.timer.now_s()
        await core.persist()
        granted = core.term == request.term and core.voted_for == request.candidate
        return VoteResponse(core.term, granted)

    def _is_up_to_date(self, request: VoteRequest) -> bool:
        log = self._core.log
        own = (log.last_term, log.last_index)
        return (request.last_term, request.last_index) >= own

    async def handle_lead(self, request: LeadRequest) -> LeadResponse:
        """Campaign at once, without a pre-vote, for a leadership transfer."""
        core = self._core
        if request.term == core.term and core.is_voter:
            await self._try_campaign(transfer=True)
        return LeadResponse(core.role is Role.LEADER)
