"""Sends requests to targets, over own connections or through another entry."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import attrs

from endivesill.fleet.model import EngineInfo
from endivesill.forwarding.proxy_client import ProxyClient
from endivesill.forwarding.proxy_messages import ProxyRequest, ProxyUnavailableError
from endivesill.forwarding.proxy_search import MAX_SEARCH_S, SHORT_SEARCH_S
from endivesill.forwarding.target_links import TargetLinks
from endivesill.http1 import (
    ConnectionPool,
    ResponseHead,
    SendError,
    SendFailure,
    UpstreamConnection,
    UpstreamError,
    send_request,
)
from endivesill.http1.client import ignore_head
from endivesill.http1.sending import IsOwnResponse
from endivesill.timer import TimerService

__all__ = ["ResponseBody", "SendOptions", "TargetClient"]

# Responses to other requests skipped on one connection.
MAX_SKIPPED_RESPONSES = 2
# Time without a byte of a target after which its link is tried with a new connection.
SILENCE_S = 0.25
# Part of the time left in which a connection must be established, and its least value.
MAX_CONNECT_FRACTION = 0.25
MIN_CONNECT_TIMEOUT_S = 0.1


class ResponseBody(Protocol):
    """The body of a target's response.

    Attributes:
      is_proxied: whether it comes through another entry.
    """

    is_proxied: bool

    async def read(self) -> bytes:
        """Return the next part; empty bytes at the end of a complete body."""

    async def read_all(self) -> bytes:
        """Return the rest of the body."""

    def has_lost_target(self) -> bool | None:
        """Return whether the target has ended the connection of the response since.

        Also to be called after the release. None if it is not known.
        """

    def abort(self) -> None:
        """End the request at once."""

    def release(self) -> None:
        """End the exchange; to be called once the body is not needed any more."""


class _DirectBody:
    """The body of a response on an own connection."""

    is_proxied = False

    def __init__(
        self,
        pool: ConnectionPool,
        connection: UpstreamConnection,
        on_data: Callable[[], None],
    ) -> None:
        self._pool = pool
        self._connection = connection
        self._on_data = on_data

    async def read(self) -> bytes:
        data = await self._connection.read()
        self._on_data()
        return data

    async def read_all(self) -> bytes:
        return await self._connection.read_all()

    def has_lost_target(self) -> bool | None:
        connection = self._connection
        if connection.ended_by_peer:
            return True
        return False if connection.is_usable(float("inf")) else None

    def abort(self) -> None:
        self._connection.abort()

    def release(self) -> None:
        self._pool.release(self._connection)


def _any_response(head: ResponseHead, is_first: bool) -> bool:
    return True


@attrs.frozen
class SendOptions:
    """How a request is sent; see `send_request` for the callables.

    Attributes:
      deadline_s: when its response is not needed any more.
      attempt_id: id by which a response is recognised; empty for any response.
      max_idle_s: longest idle time of the connection; None for the pool's limit.
      is_order: whether it is an order to an engine, which a leaving one gets as well.
      is_direct: whether it is not sent through another entry.
      stops_run: whether it is an order to stop a run, which nothing holds back.
      no_body: whether the response has no body, regardless of its head (HEAD).
    """

    deadline_s: float
    attempt_id: str = ""
    max_idle_s: float | None = None
    is_order: bool = False
    is_direct: bool = False
    stops_run: bool = False
    no_body: bool = False
    may_start: Callable[[], bool] = lambda: True
    on_started: Callable[[], None] = lambda: None
    is_own_response: IsOwnResponse = _any_response
    on_head: Callable[[ResponseHead], None] = ignore_head


class TargetClient:
    """Sends requests of this entry to targets.

    Args:
      timer: the timer service.
      pool: connections to targets.
      links: the targets that this entry reaches.
      proxy: hands requests to other entries.

    Attributes:
      links: the links.
    """

    def __init__(
        self,
        timer: TimerService,
        pool: ConnectionPool,
        links: TargetLinks,
        proxy: ProxyClient,
    ) -> None:
        self._timer = timer
        self._pool = pool
        self.links = links
        self._proxy = proxy

    async def send(
        self, info: EngineInfo, encode: Callable[[], bytes], options: SendOptions
    ) -> tuple[ResponseBody, ResponseHead]:
        """Send a request and wait for the head of its response.

        Args:
          info: the target.
          encode: returns the encoded request; called after connecting.
          options: how it is sent.

        Returns:
          The body of the response, unread, and the head. The caller releases the body.

        Raises:
          SendError: there is no response.
          ProxyLostError: the proxy failed; the target may run the request.
        """
        options = _once_started(options)
        if options.is_direct:
            return await self._send_direct(info, encode, options)
        if self._prefers_proxy(info):
            try:
                return await self._send_by_proxy(info, encode, options)
            except ProxyUnavailableError:
                # The own link may be back.
                return await self._send_direct(info, encode, options)
        try:
            return await self._send_direct(info, encode, options)
        except SendError as error:
            if error.failure is not SendFailure.NO_CONNECTION:
                raise
            direct_error = error
        # A refusal is known at once, while a time-out has taken time from the caller.
        if not direct_error.is_refused:
            await self.links.settle()
            if not self.links.may_be_alone():
                raise direct_error
        try:
            return await self._send_by_proxy(info, encode, options)
        except ProxyUnavailableError:
            raise direct_error from None

    def _prefers_proxy(self, info: EngineInfo) -> bool:
        """Return whether another entry is asked first; tries the own link beside it."""
        if not self.links.is_suspect(info):
            return False
        self.links.try_again(info)
        return self._proxy.peers.has_usable()

    async def _send_direct(
        self, info: EngineInfo, encode: Callable[[], bytes], options: SendOptions
    ) -> tuple[ResponseBody, ResponseHead]:
        sent_s = self._timer.now_s()
        check = self._timer.call_after(
            SILENCE_S, lambda: self.links.check_silent(info, sent_s)
        )

        def on_head(head: ResponseHead) -> None:
            self.links.note_heard(info)
            options.on_head(head)

        try:
            connection, head = await send_request(
                self._pool,
                info.address,
                encode,
                max_idle_s=options.max_idle_s,
                may_start=options.may_start,
                on_started=options.on_started,
                is_own_response=options.is_own_response,
                max_foreign_responses=MAX_SKIPPED_RESPONSES,
                on_head=on_head,
                no_body=options.no_body,
                connect_timeout_s=self._connect_timeout_s(options),
            )
        except SendError as error:
            if error.failure is SendFailure.NO_CONNECTION:
                self.links.note_lost(info, error)
            raise
        finally:
            check.cancel()
        body = _DirectBody(self._pool, connection, lambda: self.links.note_heard(info))
        return body, head

    def _search_s(self, info: EngineInfo) -> float:
        """Return how long to look for an entry that reaches a target.

        Where the own network is sound, the target is likely down.
        """
        if self.links.is_network_suspect(info):
            return MAX_SEARCH_S
        return SHORT_SEARCH_S

    def _connect_timeout_s(self, options: SendOptions) -> float:
        """Return how long to wait for a connection; other ways need time as well."""
        remaining_s = options.deadline_s - self._timer.now_s()
        share_s = max(MIN_CONNECT_TIMEOUT_S, MAX_CONNECT_FRACTION * remaining_s)
        return min(self._pool.connect_timeout_s, share_s)

    async def _send_by_proxy(
        self, info: EngineInfo, encode: Callable[[], bytes], options: SendOptions
    ) -> tuple[ResponseBody, ResponseHead]:
        request = ProxyRequest(
            address=info.address,
            incarnation=info.incarnation,
            attempt_id=options.attempt_id,
            max_idle_s=options.max_idle_s,
            timeout_s=max(0.0, options.deadline_s - self._timer.now_s()),
            is_order=options.is_order,
            stops_run=options.stops_run,
            no_body=options.no_body,
        )
        body, head = await self._proxy.send(
            request,
            encode,
            options.may_start,
            options.on_started,
            search_s=self._search_s(info),
        )
        options.on_head(head)
        return body, head

    async def exchange(
        self, info: EngineInfo, data: bytes, options: SendOptions
    ) -> tuple[ResponseHead, bytes]:
        """Send a request and return the head and the body of the response.

        Raises:
          UpstreamError: there is no complete response.
        """
        body, head = await self.send(info, lambda: data, options)
        try:
            return head, await body.read_all()
        finally:
            body.release()

    def close_idle(self, info: EngineInfo) -> None:
        """Close the idle connections to a target."""
        self._pool.close_idle(info.address)

    def has_lost_idle(self, info: EngineInfo) -> bool:
        """Return whether a target has closed the newest idle connection to it."""
        return self._pool.has_lost_idle(info.address)

    async def check(self, info: EngineInfo) -> bool | None:
        """Return whether a target accepts connections, of this entry or another one.

        Returns:
          False if its host refuses them; None if it is not known.
        """
        try:
            connection = await self._pool.acquire(info.address, 0)
        except UpstreamError as error:
            self.links.note_lost(info, error)
            is_refused = error.is_refused
        else:
            self._pool.release(connection)
            return True
        if self._proxy.peers.is_empty():
            return False if is_refused else None
        # Where this entry alone is refused, its network may be the cause.
        return await self._proxy.check(info.address, info.incarnation)


def _once_started(options: SendOptions) -> SendOptions:
    """Return options whose `on_started` is passed on once."""
    started = False

    def on_started() -> None:
        nonlocal started
        if not started:
            started = True
            options.on_started()

    return attrs.evolve(options, on_started=on_started)
