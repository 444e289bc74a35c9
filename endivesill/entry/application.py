"""The callers' port: an ASGI application."""

from __future__ import annotations

import asyncio
import hmac
import json
import uuid
from collections.abc import Callable

from endivesill import errors, events
from endivesill.configuration.model import Configuration, Organisation, Service
from endivesill.entry.events import REQUEST_ENDED, REQUEST_REFUSED
from endivesill.entry.generations import (
    DONE_EVENT,
    Generation,
    parse_generation_call,
)
from endivesill.entry.http import (
    AsgiRequest,
    Receive,
    Scope,
    Send,
    problem_document,
    send_answer,
    send_problem,
)
from endivesill.keys import bearer_key, hash_key
from endivesill.routing import Outcome, Router, RouteRequest
from endivesill.targets import EngineAdapter, PlainAdapter, PlainCall
from endivesill.targets.plain import end_to_end_headers
from endivesill.timer import TimerService

__all__ = ["EntryApplication"]

GENERATION_PATHS = ("/v1/completions", "/v1/chat/completions")
STREAM_HEADERS = [
    (b"content-type", b"text/event-stream"),
    (b"cache-control", b"no-store"),
]


class EntryApplication:
    """Takes callers' requests, routes them and streams the answers.

    Args:
      timer: the timer service.
      configuration: returns the configuration in force.
      router: the router.
      engines: the engine adapter.
      plain: the adapter to plain services.
      is_ready: tells whether the VM may take new work.
    """

    def __init__(
        self,
        timer: TimerService,
        configuration: Callable[[], Configuration],
        router: Router,
        engines: EngineAdapter,
        plain: PlainAdapter,
        is_ready: Callable[[], bool] = lambda: True,
    ) -> None:
        self._timer = timer
        self._configuration = configuration
        self._router = router
        self._engines = engines
        self._plain = plain
        self._is_ready = is_ready
        self.running = 0

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one HTTP request."""
        if scope["type"] != "http":
            return
        request = AsgiRequest(scope, receive)
        if request.path.startswith("/health/"):
            await self._health(request, send)
            return
        request_id = uuid.uuid4().hex
        self.running += 1
        try:
            await self._answer(request, send, request_id)
            events.emit(REQUEST_ENDED, request_id=request_id, path=request.path)
        except errors.EndivesillError as error:
            events.emit(
                REQUEST_REFUSED,
                request_id=request_id,
                path=request.path,
                error=str(error),
            )
            await send_problem(send, request_id, error)
        finally:
            self.running -= 1

    async def _health(self, request: AsgiRequest, send: Send) -> None:
        healthy = request.path == "/health/live" or (
            request.path == "/health/ready" and self._is_ready()
        )
        await send_answer(send, 200 if healthy else 503, [], b"")

    async def _answer(self, request: AsgiRequest, send: Send, request_id: str) -> None:
        configuration = self._configuration()
        limits = configuration.limits
        request.check_header_size(limits.header_bytes)
        organisation = self._authenticate(request, configuration)
        body = await request.body(self._timer, limits.body_bytes, limits.slow_sender_s)
        if request.path in GENERATION_PATHS:
            if request.method != "POST":
                raise errors.RequestError(405, "only POST is answered here")
            await self._generate(request, send, request_id, organisation, body)
            return
        service = self._plain_service(request, configuration)
        await self._call_plain(request, send, request_id, organisation, service, body)

    def _authenticate(
        self, request: AsgiRequest, configuration: Configuration
    ) -> Organisation:
        key = bearer_key(request.header("authorization"))
        if key is None:
            raise errors.RequestError(401, "the key is missing", "authorization")
        digest = hash_key(key)
        for organisation in configuration.organisations.values():
            if hmac.compare_digest(organisation.key_sha256, digest):
                return organisation
        raise errors.RequestError(401, "the key is unknown", "authorization")

    async def _generate(
        self,
        request: AsgiRequest,
        send: Send,
        request_id: str,
        organisation: Organisation,
        body: bytes,
    ) -> None:
        call = parse_generation_call(request.path, body)
        service = self._configuration().services.get(call.model)
        if service is None or service.protocol != "engine":
            raise errors.RequestError(404, f"no model {call.model}", "model")
        generation = Generation(
            self._timer,
            self._router,
            self._engines,
            call,
            service,
            organisation,
            request_id,
        )
        if call.streamed:
            await self._stream(request, send, generation)
        else:
            await self._whole(send, generation)

    async def _stream(
        self, request: AsgiRequest, send: Send, generation: Generation
    ) -> None:
        sender = asyncio.ensure_future(self._send_blocks(send, generation))
        watcher = asyncio.ensure_future(request.disconnected())
        try:
            await asyncio.wait((sender, watcher), return_when=asyncio.FIRST_COMPLETED)
            if sender.done():
                sender.result()
        finally:
            watcher.cancel()
            sender.cancel()
            await asyncio.gather(sender, watcher, return_exceptions=True)

    async def _send_blocks(self, send: Send, generation: Generation) -> None:
        started = False
        try:
            async for block in generation.blocks():
                if not started:
                    await send(self._stream_start(generation))
                    started = True
                await send(
                    {"type": "http.response.body", "body": block, "more_body": True}
                )
        except errors.EndivesillError as error:
            if not started:
                raise
            await send(
                {"type": "http.response.body", "body": _error_event(error, generation)}
            )
            return
        if not started:
            await send(self._stream_start(generation))
        await send({"type": "http.response.body", "body": DONE_EVENT})

    def _stream_start(self, generation: Generation) -> dict:
        headers = [
            *STREAM_HEADERS,
            (b"x-request-id", generation.request_id.encode()),
            (b"x-generation-id", generation.generation_id.encode()),
        ]
        return {"type": "http.response.start", "status": 200, "headers": headers}

    async def _whole(self, send: Send, generation: Generation) -> None:
        pieces = [block async for block in generation.blocks()]
        document = _join_chunks(b"".join(pieces), generation.generation_id)
        headers = [
            (b"content-type", b"application/json"),
            (b"x-request-id", generation.request_id.encode()),
        ]
        await send_answer(send, 200, headers, json.dumps(document).encode())

    def _plain_service(
        self, request: AsgiRequest, configuration: Configuration
    ) -> Service:
        matches = [
            service
            for service in configuration.services.values()
            if service.protocol == "plain"
            and (request.path + "/").startswith(service.path_prefix.rstrip("/") + "/")
        ]
        if not matches:
            raise errors.RequestError(404, f"no service at {request.path}")
        return max(matches, key=lambda service: len(service.path_prefix))

    async def _call_plain(
        self,
        request: AsgiRequest,
        send: Send,
        request_id: str,
        organisation: Organisation,
        service: Service,
        body: bytes,
    ) -> None:
        path = request.raw_path.decode("ascii")
        path = path[len(service.path_prefix.rstrip("/")) :] or "/"
        if request.query:
            path += "?" + request.query.decode("ascii")
        headers = end_to_end_headers(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in request.raw_headers
            if name not in (b"authorization", b"content-length")
        )
        route = RouteRequest(request_id, service, organisation)
        grant = await self._router.acquire(route)
        call = PlainCall(request.method, path, headers, body, uuid.uuid4().hex)
        outcome = Outcome.FAILED
        try:
            answer = await self._plain.call(grant.target, call, service.deadline_s)
            outcome = Outcome.DONE
        finally:
            grant.finished(outcome)
        raw = [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in answer.headers
            if name.lower() != "content-length"
        ]
        raw.append((b"x-request-id", request_id.encode()))
        await send_answer(send, answer.status, raw, answer.body)


def _error_event(error: errors.EndivesillError, generation: Generation) -> bytes:
    _, document = problem_document(generation.request_id, error)
    document["generation"] = generation.generation_id
    document["next_index"] = generation.next_index
    return b"event: error\ndata: " + json.dumps(document).encode() + b"\n\n"


def _join_chunks(data: bytes, generation_id: str) -> dict:
    """Join streamed chunks into one whole completion document."""
    texts = []
    finish_reason = None
    is_chat = False
    for event in data.split(b"\n\n"):
        for line in event.split(b"\n"):
            if not line.startswith(b"data: "):
                continue
            choice = json.loads(line[6:])["choices"][0]
            is_chat = is_chat or "delta" in choice
            texts.append(
                choice.get("text") or choice.get("delta", {}).get("content", "")
            )
            finish_reason = choice.get("finish_reason") or finish_reason
    text = "".join(texts)
    choice = {"index": 0, "finish_reason": finish_reason}
    if is_chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    kind = "chat.completion" if is_chat else "text_completion"
    usage = {"completion_tokens": len(texts)}
    return {"id": generation_id, "object": kind, "choices": [choice], "usage": usage}
