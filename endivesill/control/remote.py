"""Client of the replicated state that calls the leader over the network."""

from __future__ import annotations

import itertools
import json
import uuid
from collections.abc import Callable, Iterable

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
# Fraction of the total timeout for one attempt, so that an unresponsive leader leaves
# time to call its successor.
ATTEMPT_TIMEOUT_RATIO = 0.4
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.2
MAX_PROPOSAL_TIMEOUT_S = 600.0
MAX_REDIRECTS = 3


class RemoteControlClient(ControlClient):
    """Calls replicas in turn and follows redirects to the leader.

    A proposal keeps its sequence number over all attempts, so that it is run once
    and a resend returns the stored result.

    Args:
      timer: the timer service.
      transport: used to call replicas.
      addresses: peer addresses of the control VMs.
      leader_hint: returns the leader's peer address if this process knows it.
      more_addresses: returns further addresses of control VMs.

    Attributes:
      timer: the argument.
    """

    def __init__(
        self,
        timer: TimerService,
        transport: PeerTransport,
        addresses: tuple[str, ...],
        leader_hint: Callable[[], str | None] = lambda: None,
        more_addresses: Callable[[], Iterable[str]] = lambda: (),
    ) -> None:
        self.timer = timer
        self._transport = transport
        self._addresses = list(addresses)
        self._leader_hint = leader_hint
        self._more_addresses = more_addresses
        self._leader: str | None = None
        self._address_index = 0
        self._client_id = uuid.uuid4().hex
        self._sequence = itertools.count(1)
        self._pending_sequences: set[int] = set()
        self._batcher = ProposalBatcher(timer, self._send_proposals)

    async def stop(self) -> None:
        """Cancel the proposals in flight."""
        self._batcher.close()

    async def propose(
        self, command: str, message: Message, timeout_s: float
    ) -> Message:
        """Commit a command; see the base class."""
        timeout_s = min(timeout_s, MAX_PROPOSAL_TIMEOUT_S)
        sequence = next(self._sequence)
        self._pending_sequences.add(sequence)
        request = {
            "command": command,
            "message": message,
            "client": self._client_id,
            "sequence": sequence,
            "answered": min(self._pending_sequences),
        }
        try:
            outcome = await self._batcher.propose(request, timeout_s)
        finally:
            self._pending_sequences.discard(sequence)
        raise_command_failure(outcome)
        return outcome["result"]

    async def _send_proposals(
        self, proposals: list[Message], timeout_s: float
    ) -> list[Message]:
        message = {"proposals": proposals}
        response = await self.call_leader(PROPOSE_PATH, message, timeout_s)
        return response["outcomes"]

    async def query(self, query: str, message: Message, timeout_s: float) -> Message:
        """Run a linearizable query; see the base class."""
        request = {"query": query, "message": message}
        try:
            response = await self.call_leader(QUERY_PATH, request, timeout_s)
        except errors.OutcomeUnknownError as error:
            raise errors.UnavailableError(str(error)) from None
        return response["result"]

    async def call_leader(
        self,
        path: str,
        message: Message,
        timeout_s: float,
        attempt_timeout_s: float | None = None,
    ) -> Message:
        """Find and call the leader, with retries and backoff.

        Args:
          path: the peer path.
          message: the message; each attempt adds its own `timeout_s`.
          timeout_s: timeout of all attempts together.
          attempt_timeout_s: timeout of one attempt; None for a fraction of
            `timeout_s`.

        Raises:
          UnavailableError: no attempt had an effect.
          OutcomeUnknownError: an attempt may have had an effect.
        """
        deadline_s = self.timer.now_s() + timeout_s
        if attempt_timeout_s is None:
            attempt_timeout_s = min(
                ATTEMPT_TIMEOUT_S, ATTEMPT_TIMEOUT_RATIO * timeout_s
            )
        backoff_s = INITIAL_BACKOFF_S
        may_have_run = False
        redirects = 0
        address: str | None = None
        while True:
            remaining_s = deadline_s - self.timer.now_s()
            if remaining_s <= 0:
                break
            address = self._next_address(address)
            redirected = False
            try:
                return await self._attempt(
                    address, path, message, min(remaining_s, attempt_timeout_s)
                )
            except errors.PeerUnreachableError as error:
                may_have_run = may_have_run or error.sent
                self._leader = None
            except errors.OutcomeUnknownError:
                may_have_run = True
            except errors.NotLeaderError as error:
                redirected = error.leader_address not in (None, address)
                self._remember_leader(error.leader_address if redirected else None)
            except errors.UnavailableError:
                self._leader = None
            redirects = redirects + 1 if redirected else 0
            if redirects in (0, MAX_REDIRECTS):
                redirects = 0
                await self.timer.sleep(min(backoff_s, remaining_s))
                backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)
        if may_have_run:
            raise errors.OutcomeUnknownError(f"no answer within {timeout_s} s")
        raise errors.UnavailableError(f"no leader within {timeout_s} s")

    def _next_address(self, last_address: str | None) -> str:
        # A replica learns of a new leader before its calls to the old one fail.
        known = self._leader_hint() or self._leader
        if known is not None and known != last_address:
            return known
        addresses = list(dict.fromkeys([*self._addresses, *self._more_addresses()]))
        self._address_index = (self._address_index + 1) % len(addresses)
        return addresses[self._address_index]

    def _remember_leader(self, address: str | None) -> None:
        self._leader = address
        if address is not None and address not in self._addresses:
            self._addresses.append(address)

    async def _attempt(
        self, address: str, path: str, message: Message, timeout_s: float
    ) -> Message:
        request = {**message, "timeout_s": timeout_s}
        if address == self._transport.address:
            response = await self._transport.handlers[path](request)
            if path == QUERY_PATH:
                # Copied, so that the caller cannot modify the state.
                response = json.loads(json.dumps(response))
        else:
            response = await self._transport.call(address, path, request, timeout_s)
        raise_error(response)
        self._leader = address
        return response
