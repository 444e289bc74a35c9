"""Sends requests of other entries to targets that they do not reach.

Only own connections are used, so that no request is passed on in a circle. The entry
that asks has admitted the request: its limits, budgets and loads are kept there.
"""

from __future__ import annotations

import asyncio

from endivesill import errors, events
from endivesill.forwarding.attempt import is_response_to
from endivesill.forwarding.events import REQUEST_PROXIED
from endivesill.forwarding.protocol import EngineProtocol
from endivesill.forwarding.proxy_messages import (
    ProxyRequest,
    broken_trailer,
    complete_trailer,
    decode_proxy_request,
    failure_headers,
    response_headers,
)
from endivesill.forwarding.target_links import TargetLinks
from endivesill.forwarding.targets import Target, TargetTable
from endivesill.http1 import (
    ConnectionLimits,
    ConnectionPool,
    Exchange,
    HttpListener,
    ResponseHead,
    SendError,
    SendFailure,
    UpstreamConnection,
    UpstreamError,
    send_request,
)
from endivesill.timer import TimerService

__all__ = ["ProxyService"]

# Requests of other entries at a time; each buffers up to 0.25 MB of its response.
MAX_PROXIED = 96
# Responses to other requests skipped on one connection.
MAX_SKIPPED_RESPONSES = 2
# The other entry's request may have waited for its own link before.
CONNECT_TIMEOUT_S = 0.15
# A request with its body, and the fields of the message.
PROXY_LIMITS = ConnectionLimits(
    header_bytes=32_768, body_bytes=8_388_608, idle_timeout_s=20.0
)
STOP_POLL_PERIOD_S = 0.05


class ProxyService:
    """The port of an entry for requests of other entries.

    Args:
      timer: the timer service.
      address: HOST:PORT to listen on.
      table: the targets.
      pool: connections to targets.
      links: the targets that this entry reaches.
      protocol: decodes heads of responses.

    Attributes:
      listener: the listener.
      proxied: number of responses passed on so far.
    """

    def __init__(
        self,
        timer: TimerService,
        address: str,
        table: TargetTable,
        pool: ConnectionPool,
        links: TargetLinks,
        protocol: EngineProtocol,
    ) -> None:
        self._timer = timer
        self._table = table
        self._pool = pool
        self._links = links
        self._protocol = protocol
        self.listener = HttpListener(timer, address, self.handle, PROXY_LIMITS)
        self.proxied = 0

    async def drain(self, end_s: float) -> None:
        """Accept no more requests and wait for the running ones, up to a time."""
        self.listener.closing = True
        while self.listener.active_exchanges and self._timer.now_s() < end_s:
            await self._timer.sleep(STOP_POLL_PERIOD_S)
        await self.listener.stop()

    async def handle(self, exchange: Exchange) -> None:
        """Send one request of another entry to its target."""
        request = decode_proxy_request(exchange)
        if request is None:
            exchange.respond(400, [])
            return
        target = self._usable_target(request)
        if target is None:
            self._fail(exchange, request, None)
        elif not self._may_start(request, target):
            self._fail(exchange, request, SendFailure.NOT_STARTED)
        else:
            task = asyncio.current_task()
            assert task is not None
            exchange.on_disconnect = task.cancel
            try:
                await self._timer.wait_for(
                    self._send(exchange, request, target), request.timeout_s
                )
            except errors.DeadlineExceededError:
                exchange.abort()

    def _usable_target(self, request: ProxyRequest) -> Target | None:
        """Return the target of a request; None if this entry cannot send it now.

        Orders to stop a run, and questions whether a target is reached, bring targets
        no work and are not held back.
        """
        is_held_back = not (request.stops_run or request.is_check)
        is_busy = self.listener.active_exchanges > MAX_PROXIED
        if is_held_back and (self.listener.closing or is_busy):
            return None
        for target in self._table.find_all([request.incarnation]):
            is_paused = self._table.notices.is_paused(target.info)
            if target.info.address == request.address and not (
                is_held_back and is_paused
            ):
                return target
        return None

    def _may_start(self, request: ProxyRequest, target: Target) -> bool:
        """Return whether the target may get the request as far as this entry knows."""
        return request.is_order or self._table.accepts_requests(target)

    async def _send(
        self, exchange: Exchange, request: ProxyRequest, target: Target
    ) -> None:
        if request.is_check:
            await self._check(exchange, request, target)
            return
        if not await self._links.is_reached(target.info):
            self._fail(exchange, request, SendFailure.NO_CONNECTION)
            return
        try:
            connection, head = await send_request(
                self._pool,
                target.info.address,
                lambda: exchange.body,
                max_idle_s=request.max_idle_s,
                may_start=lambda: self._may_start(request, target),
                is_own_response=lambda head, is_first: self._is_own(
                    request, head, is_first
                ),
                max_foreign_responses=MAX_SKIPPED_RESPONSES,
                on_head=lambda head: self._note_head(target, head),
                no_body=request.no_body,
                connect_timeout_s=CONNECT_TIMEOUT_S,
            )
        except SendError as error:
            if error.failure is SendFailure.NO_CONNECTION:
                self._links.note_lost(target.info, error)
            self._fail(exchange, request, error.failure, is_refused=error.is_refused)
            return
        self.proxied += 1
        try:
            exchange.start(200, response_headers(head))
            await self._pass_on_body(exchange, request, connection)
        finally:
            self._pool.release(connection)

    async def _pass_on_body(
        self, exchange: Exchange, request: ProxyRequest, connection: UpstreamConnection
    ) -> None:
        outcome = "complete"
        try:
            while data := await connection.read():
                exchange.send(data)
                await exchange.drain()
            exchange.finish(complete_trailer())
        except UpstreamError as error:
            outcome = str(error)
            exchange.finish(broken_trailer())
        self._log(request, outcome)

    async def _check(
        self, exchange: Exchange, request: ProxyRequest, target: Target
    ) -> None:
        """Say whether a connection to a target can be established."""
        info = target.info
        error = await self._links.connect(info)
        if error is not None:
            # Where this VM's network refuses, the target may well run.
            is_alone = not self._links.is_network_suspect(info)
            failure = SendFailure.NO_CONNECTION
            is_refused = error.is_refused and is_alone
            self._fail(exchange, request, failure, is_refused=is_refused)
            return
        exchange.start(200, response_headers(ResponseHead(204, [], True)))
        exchange.finish(complete_trailer())

    def _is_own(
        self, request: ProxyRequest, head: ResponseHead, is_first: bool
    ) -> bool:
        # Orders to engines have no attempt id.
        if not request.attempt_id:
            return True
        answered_id = self._protocol.response_attempt_id(head)
        return is_response_to(answered_id, request.attempt_id, is_first=is_first)

    def _note_head(self, target: Target, head: ResponseHead) -> None:
        """Record what a target announces; it counts for requests of this entry too."""
        self._links.note_heard(target.info)
        response = self._protocol.decode_response(head)
        if not response.wrong_target:
            self._table.note_announcements(
                target, is_leaving=response.is_leaving, pause_s=response.pause_s
            )

    def _fail(
        self,
        exchange: Exchange,
        request: ProxyRequest,
        failure: SendFailure | None,
        *,
        is_refused: bool = False,
    ) -> None:
        exchange.respond(200, failure_headers(failure, is_refused=is_refused))
        self._log(request, failure.value if failure is not None else "unavailable")

    def _log(self, request: ProxyRequest, outcome: str) -> None:
        events.emit(
            REQUEST_PROXIED,
            request_id=request.attempt_id,
            target=request.incarnation,
            outcome=outcome,
        )
