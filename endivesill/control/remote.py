"""The client of the replicated state for processes that are no replica."""

from __future__ import annotations

import itertools
import json
import uuid
from collections.abc import Callable

from endivesill import errors
from endivesill.control.batching import ProposalBatcher
from endivesill.control.client import ControlClient
from endivesill.control.wire import raise_command_failure, raise_error
from endivesill.peers import Message, PeerTransport
from endivesill.timer import TimerService

__all__ = ["PROPOSE_PATH", "QUERY_PATH", "RemoteControlClient"]

PROPOSE_PATH = "/control/propose"
QUERY_PATH = "/control/query"

ATTEMPT_TIMEOUT_S = 2.0
# Share of the whole time that one attempt may take, so that a silent leader
# leaves time for its successor.
ATTEMPT_SHARE = 0.4
BACKOFF_S = 0.05
BACKOFF_LIMIT_S = 0.2
LONGEST_PROPOSAL_S = 600.0
REDIRECTS = 3


class RemoteControlClient(ControlClient):
    """Calls any replica and follows redirects to the leader.

    A proposal keeps its number over all attempts, so that it is run once and a
    resend gets the first answer.

    Args:
      timer: the timer service.
      transport: how peers are called.
      addresses: peer addresses of the control VMs.
      hint: returns the address of the leader, if this process knows it.
    """

    def __init__(
        self,
        timer: TimerService,
        transport: PeerTransport,
        addresses: tuple[str, ...],
        hint: Callable[[], str | None] = lambda: None,
    ) -> None:
        self._timer = timer
        self._transport = transport
        self._addresses = list(addresses)
        self._hint = hint
        self._leader: str | None = None
        self._position = 0
        self._client = uuid.uuid4().hex
        self._sequence = itertools.count(1)
        self._unanswered: set[int] = set()
        self._batcher = ProposalBatcher(timer, self._send_proposals)

    async def stop(self) -> None:
        """End the calls that are under way."""
        self._batcher.close()

    async def propose(
        self, command: str, message: Message, timeout_s: float
    ) -> Message:
        """Commit a command; see the base class."""
        timeout_s = min(timeout_s, LONGEST_PROPOSAL_S)
        sequence = next(self._sequence)
        self._unanswered.add(sequence)
        request = {
            "command": command,
            "message": message,
            "client": self._client,
            "sequence": sequence,
            "answered": min(self._unanswered),
        }
        try:
            outcome = await self._batcher.propose(request, timeout_s)
        finally:
            self._unanswered.discard(sequence)
        raise_command_failure(outcome)
        return outcome["result"]

    async def _send_proposals(
        self, proposals: list[Message], timeout_s: float
    ) -> list[Message]:
        message = {"proposals": proposals}
        answer = await self.call_leader(PROPOSE_PATH, message, timeout_s)
        return answer["outcomes"]

    async def query(self, query: str, message: Message, timeout_s: float) -> Message:
        """Run a linearizable query; see the base class."""
        request = {"query": query, "message": message}
        try:
            answer = await self.call_leader(QUERY_PATH, request, timeout_s)
        except errors.OutcomeUnknownError as error:
            raise errors.UnavailableError(str(error)) from None
        return answer["result"]

    async def call_leader(
        self,
        path: str,
        message: Message,
        timeout_s: float,
        attempt_timeout_s: float | None = None,
    ) -> Message:
        """Call the leader, wherever it is, until it answers.

        Args:
          path: the peer path.
          message: the message; each attempt adds its own `timeout_s`.
          timeout_s: the bound of all attempts together.
          attempt_timeout_s: the bound of one attempt; None for a part of the
            whole time.

        Raises:
          UnavailableError: no attempt has changed anything.
          OutcomeUnknownError: an attempt may have.
        """
        end_s = self._timer.now_s() + timeout_s
        if attempt_timeout_s is None:
            attempt_timeout_s = min(ATTEMPT_TIMEOUT_S, ATTEMPT_SHARE * timeout_s)
        backoff_s = BACKOFF_S
        unknown = False
        redirects = 0
        address: str | None = None
        while True:
            left_s = end_s - self._timer.now_s()
            if left_s <= 0:
                break
            address = self._next_address(address)
            redirected = False
            try:
                return await self._attempt(
                    address, path, message, min(left_s, attempt_timeout_s)
                )
            except errors.PeerUnreachableError as error:
                unknown = unknown or error.sent
                self._leader = None
            except errors.OutcomeUnknownError:
                unknown = True
            except errors.NotLeaderError as error:
                redirected = error.leader_address not in (None, address)
                self._note_leader(error.leader_address if redirected else None)
            except errors.UnavailableError:
                self._leader = None
            redirects = redirects + 1 if redirected else 0
            if redirects in (0, REDIRECTS):
                redirects = 0
                await self._timer.sleep(min(backoff_s, left_s))
                backoff_s = min(2 * backoff_s, BACKOFF_LIMIT_S)
        if unknown:
            raise errors.OutcomeUnknownError(f"no answer within {timeout_s} s")
        raise errors.UnavailableError(f"no leader within {timeout_s} s")

    def _next_address(self, last_address: str | None) -> str:
        # A replica hears of a new leader before its own calls fail.
        known = self._hint() or self._leader
        if known is not None and known != last_address:
            return known
        self._position = (self._position + 1) % len(self._addresses)
        return self._addresses[self._position]

    def _note_leader(self, address: str | None) -> None:
        self._leader = address
        if address is not None and address not in self._addresses:
            self._addresses.append(address)

    async def _attempt(
        self, address: str, path: str, message: Message, timeout_s: float
    ) -> Message:
        request = {**message, "timeout_s": timeout_s}
        if address == self._transport.address:
            answer = await self._transport.handlers[path](request)
            if path == QUERY_PATH:
                # The caller must not get hold of the state itself.
                answer = json.loads(json.dumps(answer))
        else:
            answer = await self._transport.call(address, path, request, timeout_s)
        raise_error(answer)
        self._leader = address
        return answer
