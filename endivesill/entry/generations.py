"""Generations: from a caller's request to the last token.

Each token goes to the caller once, in order, and from one generation: the
scanner checks the indexes, a broken stream is resumed at the same engine, and
no fresh generation is ever spliced on.
"""

from __future__ import annotations

import json
import uuid
from collections.abc import AsyncIterator
from typing import Any

import attrs

from endivesill import errors, events
from endivesill.configuration.model import Organisation, Service
from endivesill.entry.events import STREAM_RESUMED
from endivesill.routing import Grant, Outcome, Router, RouteRequest
from endivesill.targets import EngineAdapter, GenerationRequest, TokenScanner
from endivesill.timer import TimerService

__all__ = ["Generation", "GenerationCall", "parse_generation_call"]

MAXIMUM_ATTEMPTS = 3
MAXIMUM_RESUMES = 5
RESUME_BACKOFF_S = 0.1
CHARACTERS_PER_TOKEN = 4
DONE_EVENT = b"data: [DONE]\n\n"


@attrs.frozen
class GenerationCall:
    """A caller's checked request for a generation.

    Attributes:
      path: `/v1/completions` or `/v1/chat/completions`.
      model: the service's name.
      streamed: whether the caller wants a stream.
      body: the JSON body for the engine, with `stream` set.
      prompt: the prompt as one text.
      maximum_output_tokens: the caller's bound; 0 for none.
    """

    path: str
    model: str
    streamed: bool
    body: bytes
    prompt: str
    maximum_output_tokens: int


def parse_generation_call(path: str, body: bytes) -> GenerationCall:
    """Check a request body.

    Raises:
      RequestError: it names the field at fault.
    """
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        raise errors.RequestError(400, "the body is not JSON") from None
    if not isinstance(document, dict):
        raise errors.RequestError(400, "the body is not a JSON object")
    model = _typed(document, "model", str, required=True)
    streamed = _typed(document, "stream", bool) or False
    bound = _typed(document, "max_tokens", int) or 0
    if bound < 0:
        raise errors.RequestError(400, "max_tokens is under 0", "max_tokens")
    prompt = _chat_prompt(document) if "chat" in path else _prompt(document)
    engine_body = json.dumps({**document, "stream": True}).encode()
    return GenerationCall(path, model, streamed, engine_body, prompt, bound)


def _typed(
    document: dict[str, Any], field: str, kind: type, *, required: bool = False
) -> Any:
    value = document.get(field)
    if value is None:
        if required:
            raise errors.RequestError(400, f"{field} is missing", field)
        return None
    if not isinstance(value, kind) or (kind is int and isinstance(value, bool)):
        raise errors.RequestError(400, f"{field} is not of type {kind.__name__}", field)
    return value


def _prompt(document: dict[str, Any]) -> str:
    return _typed(document, "prompt", str, required=True)


def _chat_prompt(document: dict[str, Any]) -> str:
    messages = _typed(document, "messages", list, required=True)
    if not messages:
        raise errors.RequestError(400, "messages is empty", "messages")
    parts = []
    for number, message in enumerate(messages):
        field = f"messages[{number}]"
        if not isinstance(message, dict):
            raise errors.RequestError(400, f"{field} is not an object", field)
        content = message.get("content")
        if not isinstance(content, str):
            raise errors.RequestError(400, f"{field}.content is not a string", field)
        parts.append(content)
    return "\n".join(parts)


class Generation:
    """One generation with its attempts.

    Args:
      timer: the timer service.
      router: where grants come from.
      adapter: the engine adapter.
      call: the checked request.
      service: the service of its model.
      organisation: who asks.
      request_id: the caller's request.
    """

    def __init__(
        self,
        timer: TimerService,
        router: Router,
        adapter: EngineAdapter,
        call: GenerationCall,
        service: Service,
        organisation: Organisation,
        request_id: str,
    ) -> None:
        self._timer = timer
        self._router = router
        self._adapter = adapter
        self._call = call
        self._service = service
        self._organisation = organisation
        self._excluded: set[str] = set()
        self._deadline_s = timer.now_s() + service.deadline_s
        self.request_id = request_id
        self.generation_id = uuid.uuid4().hex
        self.next_index = 0

    async def blocks(self) -> AsyncIterator[bytes]:
        """Yield blocks of whole events, each token once and in order.

        Raises:
          RefusedError: it was not started.
          TargetError: it broke; `next_index` tells how far it came.
        """
        for attempt in range(MAXIMUM_ATTEMPTS):
            grant = await self._router.acquire(self._route_request())
            try:
                async for block in self._attempt(grant):
                    yield block
                return
            except errors.TargetError:
                self._excluded.add(grant.target.name)
                last = attempt + 1 == MAXIMUM_ATTEMPTS
                if self.next_index or last:
                    raise

    def _route_request(self) -> RouteRequest:
        return RouteRequest(
            request_id=self.request_id,
            service=self._service,
            organisation=self._organisation,
            prompt_tokens=len(self._call.prompt) // CHARACTERS_PER_TOKEN + 1,
            maximum_output_tokens=self._call.maximum_output_tokens,
            priority=self._service.priority,
            deadline_s=self._deadline_s,
            excluded=frozenset(self._excluded),
        )

    async def _attempt(self, grant: Grant) -> AsyncIterator[bytes]:
        outcome = Outcome.CANCELLED
        try:
            async for block in self._stream(grant):
                yield block
            outcome = Outcome.DONE
        except errors.TargetRefusedError:
            outcome = Outcome.NOT_RUN
            raise
        except errors.TargetError:
            outcome = Outcome.FAILED
            raise
        finally:
            grant.finished(outcome)
            if outcome is not Outcome.DONE:
                await self._adapter.cancel(grant.target, self.generation_id)

    async def _stream(self, grant: Grant) -> AsyncIterator[bytes]:
        scanner = TokenScanner(self.generation_id)
        resumes = 0
        while True:
            try:
                async for block in self._read_stream(grant, scanner, resumes):
                    resumes = 0
                    yield block
                return
            except errors.TargetRefusedError:
                if not scanner.next_index:
                    raise
            except errors.TargetGoneError:
                raise
            except errors.TargetError:
                pass
            resumes += 1
            if resumes > MAXIMUM_RESUMES:
                raise errors.TargetError("the engine could not be reached again")
            await self._timer.sleep(RESUME_BACKOFF_S * resumes)
            events.emit(
                STREAM_RESUMED,
                request_id=self.request_id,
                target=grant.target.name,
                next_index=scanner.next_index,
            )

    async def _read_stream(
        self, grant: Grant, scanner: TokenScanner, resumes: int
    ) -> AsyncIterator[bytes]:
        attempt_id = uuid.uuid4().hex
        if resumes:
            stream = await self._adapter.resume(
                grant.target, self.generation_id, scanner.next_index, attempt_id
            )
        else:
            request = GenerationRequest(
                self._call.path,
                self._call.body,
                self.generation_id,
                attempt_id,
                self._service.priority,
            )
            stream = await self._adapter.generate(grant.target, request)
        try:
            while not scanner.done:
                chunk = await stream.read()
                if not chunk:
                    raise errors.TargetError("the stream ended before its end event")
                block = scanner.scan(chunk)
                if block.tokens:
                    grant.tokens(block.tokens)
                    self.next_index = scanner.next_index
                    yield block.data
        finally:
            stream.close()
