"""ASGI application of the callers' port."""

from __future__ import annotations

import asyncio
import logging
import uuid

from endivesill import errors, events
from endivesill.configuration.model import Limits, Organisation
from endivesill.entry.buffered import respond_buffered
from endivesill.entry.calls import parse_generation_call
from endivesill.entry.context import EntryContext
from endivesill.entry.events import (
    CALLER_GONE,
    GENERATION_STAYED,
    REQUEST_ENDED,
    REQUEST_FAILED,
    REQUEST_RECEIVED,
    REQUEST_REFUSED,
)
from endivesill.entry.generations import Generation
from endivesill.entry.http import AsgiRequest, Receive, Response, Scope, Send
from endivesill.entry.identity import parse_event_id
from endivesill.entry.plain import handle_plain_call
from endivesill.entry.plain_request import parse_plain_request
from endivesill.entry.reconnect import reconnect
from endivesill.entry.relay import Relay
from endivesill.entry.streaming import stream_generation
from endivesill.entry.table import RelayTable
from endivesill.routing import RouteRequest

__all__ = ["EntryApplication"]

GENERATION_PATHS = ("/v1/completions", "/v1/chat/completions")
MOVE_GRANT_TIMEOUT_S = 1.0
LAST_EVENT_HEADER = "last-event-id"

_log = logging.getLogger(__name__)


class EntryApplication:
    """Authenticates, routes and answers callers' requests.

    Args:
      context: services shared by the modules of the entry.
    """

    def __init__(self, context: EntryContext) -> None:
        self._context = context
        self.table = RelayTable(
            context.timer, context.settings.resume_window_s, context.metrics
        )
        self.running = 0
        metrics = context.metrics
        metrics.gauge("entry_running", lambda: self.running)
        metrics.gauge("entry_kept_generations", lambda: self.table.retained_count())

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one ASGI scope; scopes other than HTTP are ignored."""
        if scope["type"] != "http":
            return
        request = AsgiRequest(scope, receive)
        closes_connection = self._context.is_draining()
        response = Response(scope, send, uuid.uuid4().hex, closes_connection)
        if request.path.startswith("/health/"):
            await self._health(request, response)
            return
        self.running += 1
        try:
            outcome = await self._respond(request, response)
            self._context.metrics.counter("entry_requests", outcome=outcome).add()
        finally:
            self.running -= 1

    async def _respond(self, request: AsgiRequest, response: Response) -> str:
        """Handle a request and return its outcome as a metric label."""
        try:
            await self._handle(request, response)
            self._log_end(request, response)
            return "answered"
        except errors.CallerGoneError as error:
            events.emit(CALLER_GONE, request_id=response.request_id)
            await response.send_problem(error)
            return "caller-gone"
        except errors.EndivesillError as error:
            self._log_refusal(request, response, error)
            await response.send_problem(error)
            return "refused"
        except Exception as error:
            events.emit(
                REQUEST_FAILED, request_id=response.request_id, error=repr(error)
            )
            _log.exception("request %s failed", response.request_id)
            await response.send_problem(error)
            return "failed"

    def is_ready(self) -> bool:
        """Return whether the load balancer may send new callers here."""
        return self._context.source.holds_lease() and not self._context.is_draining()

    async def _health(self, request: AsgiRequest, response: Response) -> None:
        healthy = request.path == "/health/live" or (
            request.path == "/health/ready" and self.is_ready()
        )
        await response.send_complete(200 if healthy else 503, [], b"")

    async def _handle(self, request: AsgiRequest, response: Response) -> None:
        self._context.check_accepting()
        index = self._context.index.current()
        limits = index.configuration.limits
        request.check_header_size(limits.header_bytes)
        organisation = index.authenticate(request.header("authorization"))
        with self._context.admission.admit(organisation):
            events.emit(
                REQUEST_RECEIVED,
                request_id=response.request_id,
                organisation=organisation.name,
                method=request.method,
                path=request.path,
            )
            if request.path in GENERATION_PATHS:
                await self._generate(request, response, organisation, limits)
                return
            service = index.plain_service(request.path)
            body = await self._body(request, limits)
            call = parse_plain_request(request, service, organisation, body)
            await handle_plain_call(self._context, response, call)

    async def _body(self, request: AsgiRequest, limits: Limits) -> bytes:
        return await request.body(
            self._context.timer, limits.body_bytes, limits.slow_sender_s
        )

    async def _generate(
        self,
        request: AsgiRequest,
        response: Response,
        organisation: Organisation,
        limits: Limits,
    ) -> None:
        last_event = request.header(LAST_EVENT_HEADER)
        allowed = ("POST",) if last_event is None else ("POST", "GET")
        if request.method not in allowed:
            raise errors.RequestError(405, "only POST is answered here", "method")
        body = await self._body(request, limits)
        if last_event is not None:
            last = parse_event_id(last_event)
            await reconnect(
                self._context, self.table, request, response, organisation, last
            )
            return
        call = parse_generation_call(request.path, body)
        service = self._context.index.current().engine_service(call.model)
        generation = Generation(
            self._context, self.table, call, service, organisation, response.request_id
        )
        if call.streamed:
            await stream_generation(self._context, request, response, generation)
        else:
            await respond_buffered(request, response, generation)

    async def move_generations(self, target_name: str) -> None:
        """Migrate the running generations of a departing engine to other engines.

        Generations that cannot be migrated keep running on the departing engine.
        """
        relays = self.table.relays_at(target_name)
        await asyncio.gather(*(self._move(relay) for relay in relays))

    async def _move(self, relay: Relay) -> None:
        request = relay.grant.request
        route = RouteRequest(
            request_id=relay.request_id,
            service=request.service,
            organisation=request.organisation,
            prompt_tokens=request.prompt_tokens + relay.next_index,
            maximum_output_tokens=request.maximum_output_tokens,
            priority=request.priority,
            deadline_s=self._context.timer.now_s() + MOVE_GRANT_TIMEOUT_S,
            excluded=frozenset((relay.target.name,)),
        )
        try:
            await relay.move(await self._context.router.acquire(route))
        except (errors.RefusedError, errors.TargetError) as error:
            events.emit(
                GENERATION_STAYED,
                request_id=relay.request_id,
                generation_id=relay.generation_id,
                target=relay.target.name,
                error=str(error),
            )

    def _log_end(self, request: AsgiRequest, response: Response) -> None:
        events.emit(
            REQUEST_ENDED,
            request_id=response.request_id,
            path=request.path,
            status=response.status,
        )

    def _log_refusal(
        self, request: AsgiRequest, response: Response, error: errors.EndivesillError
    ) -> None:
        run = getattr(error, "run", errors.RunState.NOT_RUN)
        events.emit(
            REQUEST_REFUSED,
            request_id=response.request_id,
            path=request.path,
            error=str(error),
            run=run.value,
        )
