"""The callers' port: an ASGI application."""

from __future__ import annotations

import asyncio
import logging
import uuid

from endivesill import errors, events
from endivesill.configuration.model import Limits, Organisation
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
from endivesill.entry.http import Answer, AsgiRequest, Receive, Scope, Send
from endivesill.entry.identity import parse_event_id
from endivesill.entry.plain import answer_plain
from endivesill.entry.plain_request import parse_plain_request
from endivesill.entry.reconnect import reconnect
from endivesill.entry.relay import Relay
from endivesill.entry.streaming import stream_generation
from endivesill.entry.table import RelayTable
from endivesill.entry.whole import answer_whole
from endivesill.routing import RouteRequest

__all__ = ["EntryApplication"]

GENERATION_PATHS = ("/v1/completions", "/v1/chat/completions")
MOVE_WAIT_S = 1.0
LAST_EVENT_HEADER = "last-event-id"

_log = logging.getLogger(__name__)


class EntryApplication:
    """Takes callers' requests, routes them and streams the answers.

    Args:
      context: what the entry's parts share.
    """

    def __init__(self, context: EntryContext) -> None:
        self._context = context
        self.table = RelayTable(
            context.timer, context.settings.resume_window_s, context.metrics
        )
        self.running = 0
        metrics = context.metrics
        metrics.gauge("entry_running", lambda: self.running)
        metrics.gauge("entry_kept_generations", lambda: self.table.kept_count())

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one HTTP request."""
        if scope["type"] != "http":
            return
        request = AsgiRequest(scope, receive)
        is_last = self._context.is_draining()
        answer = Answer(scope, send, uuid.uuid4().hex, is_last)
        if request.path.startswith("/health/"):
            await self._health(request, answer)
            return
        self.running += 1
        try:
            outcome = await self._conclude(request, answer)
            self._context.metrics.counter("entry_requests", outcome=outcome).add()
        finally:
            self.running -= 1

    async def _conclude(self, request: AsgiRequest, answer: Answer) -> str:
        """Answer a request; return how it ended, for the metrics."""
        try:
            await self._answer(request, answer)
            self._note_end(request, answer)
            return "answered"
        except errors.CallerGoneError as error:
            events.emit(CALLER_GONE, request_id=answer.request_id)
            await answer.problem(error)
            return "caller-gone"
        except errors.EndivesillError as error:
            self._note_refusal(request, answer, error)
            await answer.problem(error)
            return "refused"
        except Exception as error:
            events.emit(REQUEST_FAILED, request_id=answer.request_id, error=repr(error))
            _log.exception("request %s failed", answer.request_id)
            await answer.problem(error)
            return "failed"

    def is_ready(self) -> bool:
        """Tell whether the balancer may send new callers."""
        return self._context.source.holds_lease() and not self._context.is_draining()

    async def _health(self, request: AsgiRequest, answer: Answer) -> None:
        healthy = request.path == "/health/live" or (
            request.path == "/health/ready" and self.is_ready()
        )
        await answer.whole(200 if healthy else 503, [], b"")

    async def _answer(self, request: AsgiRequest, answer: Answer) -> None:
        self._context.check_accepts()
        index = self._context.index.current()
        limits = index.configuration.limits
        request.check_header_size(limits.header_bytes)
        organisation = index.authenticate(request.header("authorization"))
        with self._context.admission.admit(organisation):
            events.emit(
                REQUEST_RECEIVED,
                request_id=answer.request_id,
                organisation=organisation.name,
                method=request.method,
                path=request.path,
            )
            if request.path in GENERATION_PATHS:
                await self._generate(request, answer, organisation, limits)
                return
            service = index.plain_service(request.path)
            body = await self._body(request, limits)
            call = parse_plain_request(request, service, organisation, body)
            await answer_plain(self._context, answer, call)

    async def _body(self, request: AsgiRequest, limits: Limits) -> bytes:
        return await request.body(
            self._context.timer, limits.body_bytes, limits.slow_sender_s
        )

    async def _generate(
        self,
        request: AsgiRequest,
        answer: Answer,
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
                self._context, self.table, request, answer, organisation, last
            )
            return
        call = parse_generation_call(request.path, body)
        service = self._context.index.current().model(call.model)
        generation = Generation(
            self._context, self.table, call, service, organisation, answer.request_id
        )
        if call.streamed:
            await stream_generation(self._context, request, answer, generation)
        else:
            await answer_whole(request, answer, generation)

    async def move_generations(self, target_name: str) -> None:
        """Let an engine that goes away soon hand its generations to others.

        Those that it cannot hand over stay and finish there if they can.
        """
        relays = self.table.running_at(target_name)
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
            deadline_s=self._context.timer.now_s() + MOVE_WAIT_S,
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

    def _note_end(self, request: AsgiRequest, answer: Answer) -> None:
        events.emit(
            REQUEST_ENDED,
            request_id=answer.request_id,
            path=request.path,
            status=answer.status,
        )

    def _note_refusal(
        self, request: AsgiRequest, answer: Answer, error: errors.EndivesillError
    ) -> None:
        run = getattr(error, "run", errors.RunState.NOT_RUN)
        events.emit(
            REQUEST_REFUSED,
            request_id=answer.request_id,
            path=request.path,
            error=str(error),
            run=run.value,
        )
