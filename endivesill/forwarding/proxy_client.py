"""Sends requests to targets through another entry."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from endivesill import errors, events
from endivesill.forwarding.events import PROXY_FAILED, TARGET_UNCHECKED
from endivesill.forwarding.proxy_messages import (
    COMPLETE,
    END_TRAILER,
    ProxyLostError,
    ProxyRequest,
    ProxyUnavailableError,
    decode_proxy_head,
    encode_proxy_request,
)
from endivesill.forwarding.proxy_peers import ProxyPeers
from endivesill.forwarding.proxy_search import (
    MAX_SEARCH_S,
    Answer,
    ProxySearch,
    SearchResult,
)
from endivesill.http1 import (
    ConnectionPool,
    ResponseHead,
    SendError,
    SendFailure,
    UpstreamConnection,
    UpstreamError,
    send_request,
)
from endivesill.timer import TimerService

__all__ = ["ProxyClient", "ProxiedBody"]

# Entries that one request is handed to, one after the other. One that has reached a
# target a few seconds ago may have lost its links since.
MAX_PEERS = 3
# Connecting to another VM takes a few milliseconds.
CONNECT_TIMEOUT_S = 0.15
# Time that the check of a target through one entry may take.
CHECK_TIMEOUT_S = 0.4


class ProxiedBody:
    """The body of a response that another entry passes on.

    Args:
      pool: connections to entries.
      connection: the connection to the proxy.
      on_released: called when the body is released.
    """

    is_proxied = True

    def __init__(
        self,
        pool: ConnectionPool,
        connection: UpstreamConnection,
        on_released: Callable[[], None],
    ) -> None:
        self._pool = pool
        self._connection = connection
        self._on_released = on_released
        self._is_released = False

    async def read(self) -> bytes:
        """Return the next part; empty bytes at the end of a complete body.

        Raises:
          ProxyLostError: the proxy failed.
          UpstreamError: the target broke off.
        """
        try:
            data = await self._connection.read()
        except UpstreamError as error:
            raise ProxyLostError(str(error), sent=True) from None
        if not data and self._connection.trailer(END_TRAILER) != COMPLETE:
            raise UpstreamError("the target broke off", sent=True)
        return data

    async def read_all(self) -> bytes:
        """Return the rest of the body; see `read` and `UpstreamConnection.read_all`."""
        try:
            data = await self._connection.read_all()
        except UpstreamError as error:
            raise ProxyLostError(str(error), sent=True) from None
        if self._connection.trailer(END_TRAILER) != COMPLETE:
            raise UpstreamError("the target broke off", sent=True)
        return data

    def has_lost_target(self) -> None:
        """Return None: only the proxy sees the target's connection."""

    def abort(self) -> None:
        """Close the connection, so that the proxy ends the request."""
        self._connection.abort()

    def release(self) -> None:
        """End the exchange; an unread rest ends the request."""
        if self._is_released:
            return
        self._is_released = True
        self._pool.release(self._connection)
        self._on_released()


class ProxyClient:
    """Hands requests to other entries, which send them to targets.

    Args:
      timer: the timer service.
      pool: connections to entries.
      peers: the entries.

    Attributes:
      peers: the argument.
      search: finds entries that reach a target.
      proxied: number of requests handed over so far.
    """

    def __init__(
        self, timer: TimerService, pool: ConnectionPool, peers: ProxyPeers
    ) -> None:
        self._timer = timer
        self._pool = pool
        self.peers = peers
        self.search = ProxySearch(timer, peers, self.ask)
        self.proxied = 0

    async def send(
        self,
        request: ProxyRequest,
        encode: Callable[[], bytes],
        may_start: Callable[[], bool],
        on_started: Callable[[], None],
        *,
        search_s: float = MAX_SEARCH_S,
    ) -> tuple[ProxiedBody, ResponseHead]:
        """Send a request and wait for the head of its response.

        It goes to an entry that has just reached a target, or else to one that says it
        reaches this one. An entry that has not sent it is followed by another one.

        Args:
          request: the target and what the proxy must know.
          encode: returns the encoded request for the target.
          may_start: checked before each hand-over; False cancels the request.
          on_started: called once, when the request was first handed over.
          search_s: longest time of a search for an entry that reaches the target.

        Returns:
          The body, which the caller releases, and the head of the target's response.

        Raises:
          ProxyUnavailableError: no entry sends requests for others now.
          ProxyLostError: the proxy failed; the target may run the request.
          SendError: the target has not responded, as far as the entry knows.
        """
        ends_s = self._timer.now_s() + request.timeout_s
        tried: list[str] = []
        failure: UpstreamError = ProxyUnavailableError("no other entry", sent=False)
        while len(tried) < MAX_PEERS:
            # If one that has reached another target fails, this target may be down.
            peer = None if tried else self.peers.choose(tried)
            if peer is None:
                found = await self.search.find(
                    request.address, request.incarnation, tried, longest_s=search_s
                )
                peer = found.peer
                if peer is None and found.is_answered:
                    failure = _not_reached(found)
            if peer is None:
                break
            tried.append(peer)
            tried_s = self._timer.now_s()
            request = attrs.evolve(request, timeout_s=max(0.0, ends_s - tried_s))
            try:
                result = await self._send_to(
                    peer, request, encode, may_start, on_started
                )
            except ProxyUnavailableError as error:
                self.peers.note_down(peer)
                if not isinstance(failure, SendError):
                    failure = error
            except SendError as error:
                if error.failure is not SendFailure.NO_CONNECTION:
                    raise
                failure = error
            else:
                # What these did not reach, another entry does.
                for other in tried[:-1]:
                    self.peers.avoid(other)
                self.peers.note_reached(peer)
                return result
            self._log_failed(peer, request, failure, tried_s)
        raise failure

    def _log_failed(
        self, peer: str, request: ProxyRequest, failure: UpstreamError, tried_s: float
    ) -> None:
        events.emit(
            PROXY_FAILED,
            request_id=request.attempt_id,
            peer=peer,
            target=request.incarnation,
            reason=str(failure),
            duration_s=round(self._timer.now_s() - tried_s, 3),
            peers_age_s=self.peers.age_s(),
        )

    async def _send_to(
        self,
        peer: str,
        request: ProxyRequest,
        encode: Callable[[], bytes],
        may_start: Callable[[], bool],
        on_started: Callable[[], None],
    ) -> tuple[ProxiedBody, ResponseHead]:
        self.peers.note_started(peer)
        try:
            connection, head = await send_request(
                self._pool,
                peer,
                lambda: encode_proxy_request(peer, request, encode()),
                max_idle_s=request.max_idle_s,
                may_start=may_start,
                on_started=on_started,
                connect_timeout_s=CONNECT_TIMEOUT_S,
            )
        except SendError as error:
            self.peers.note_ended(peer)
            if error.failure is SendFailure.NO_CONNECTION:
                raise ProxyUnavailableError(str(error), sent=False) from None
            if error.failure is SendFailure.NOT_STARTED:
                raise
            self.peers.note_down(peer)
            raise ProxyLostError(str(error), sent=True) from None
        except BaseException:
            self.peers.note_ended(peer)
            raise
        body = ProxiedBody(self._pool, connection, lambda: self.peers.note_ended(peer))
        try:
            target_head = decode_proxy_head(head)
        except UpstreamError:
            body.release()
            raise
        self.proxied += 1
        return body, target_head

    async def ask(self, peer: str, address: str, incarnation: str) -> Answer:
        """Ask an entry whether it can connect to a target."""
        request = ProxyRequest(
            address, incarnation, "", 0.0, CHECK_TIMEOUT_S, is_order=True, is_check=True
        )
        sending = self._send_to(peer, request, bytes, lambda: True, lambda: None)
        try:
            body, _ = await self._timer.wait_for(
                sending, CHECK_TIMEOUT_S, on_lost=lambda sent: sent[0].release()
            )
        except SendError as error:
            return Answer.REFUSED if error.is_refused else Answer.UNREACHED
        except (UpstreamError, errors.DeadlineExceededError) as error:
            events.emit(
                TARGET_UNCHECKED, target=incarnation, peer=peer, reason=str(error)
            )
            return Answer.UNAVAILABLE
        body.release()
        return Answer.REACHED

    async def check(self, address: str, incarnation: str) -> bool | None:
        """Return whether another entry can connect to a target.

        Returns:
          False if the target's host refuses the connection; None if it is not known.
        """
        result = await self.search.find(address, incarnation)
        if result.peer is not None:
            return True
        return False if result.is_refused else None


def _not_reached(result: SearchResult) -> SendError:
    """Return the error for a target that no other entry reaches either."""
    return SendError(
        SendFailure.NO_CONNECTION,
        "no other entry reaches the target",
        is_refused=result.is_refused,
    )
