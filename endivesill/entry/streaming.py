"""Streaming responses: the tokens of a generation as server-sent events."""

from __future__ import annotations

import json

from endivesill import errors, events
from endivesill.configuration.model import Limits
from endivesill.entry.context import EntryContext
from endivesill.entry.events import READER_STALLED, STREAM_BROKEN
from endivesill.entry.generations import Generation
from endivesill.entry.http import AsgiRequest, Response, problem_document
from endivesill.entry.relay import Relay

__all__ = ["StreamResponse", "stream_generation"]

DONE_EVENT = b"data: [DONE]\n\n"
STREAM_HEADERS = [
    (b"content-type", b"text/event-stream"),
    (b"cache-control", b"no-store"),
]


class StreamResponse:
    """Sends the events of a generation to one caller, with a stall timeout.

    Args:
      context: services shared by the modules of the entry.
      response: the response to the caller.
      limits: the configured limits; `slow_reader_s` is used.
    """

    def __init__(
        self, context: EntryContext, response: Response, limits: Limits
    ) -> None:
        self._response = response
        self._send = response.send
        self._watch = context.watchdog.watch(limits.slow_reader_s, self._on_stall)
        self._relay: Relay | None = None

    def __enter__(self) -> StreamResponse:
        self._caller_wait = self._watch.__enter__()
        return self

    def __exit__(self, *exception: object) -> None:
        self._watch.__exit__(None, None, None)

    async def deliver(self, relay: Relay, block: bytes) -> None:
        """Send a block of events, waiting while the send buffer is full."""
        if relay is not self._relay:
            await self._start(relay)
        caller_wait = self._caller_wait
        caller_wait.active = True
        await self._send(
            {"type": "http.response.body", "body": block, "more_body": True}
        )
        caller_wait.active = False
        caller_wait.steps += 1

    async def _start(self, relay: Relay) -> None:
        self._relay = relay
        generation_id = relay.generation_id.encode()
        headers = [*STREAM_HEADERS, (b"x-generation-id", generation_id)]
        await self._response.start(200, headers)

    async def finish(self, relay: Relay) -> None:
        """Send the final `[DONE]` event."""
        if relay is not self._relay:
            await self._start(relay)
        await self._end(DONE_EVENT)

    async def fail(self, error: errors.EndivesillError) -> None:
        """Send an error event with the index of the first missing token.

        If a newer attempt has taken the stream over, the connection is aborted.

        Raises:
          EndivesillError: the given error, if nothing has been sent yet.
        """
        if self._relay is None:
            raise error
        if isinstance(error, errors.SupersededError):
            self._response.abort()
            return
        events.emit(
            STREAM_BROKEN,
            request_id=self._response.request_id,
            generation_id=self._relay.generation_id,
            next_index=self._relay.next_index,
            error=str(error),
        )
        _, document = problem_document(self._response.request_id, error)
        document["generation"] = self._relay.generation_id
        document["next_index"] = self._relay.next_index
        data = json.dumps(document).encode()
        await self._end(b"event: error\ndata: " + data + b"\n\n")

    async def _end(self, event: bytes) -> None:
        self._caller_wait.active = True
        await self._send({"type": "http.response.body", "body": event})
        self._caller_wait.active = False

    def _on_stall(self) -> None:
        events.emit(READER_STALLED, request_id=self._response.request_id)
        if self._relay is not None:
            self._relay.retain_on_disconnect = False
        self._response.abort()


async def stream_generation(
    context: EntryContext,
    request: AsgiRequest,
    response: Response,
    generation: Generation,
) -> None:
    """Run a new generation and stream it to the caller.

    Raises:
      EndivesillError: the stream could not be started.
    """
    limits = context.index.current().configuration.limits
    with StreamResponse(context, response, limits) as stream:

        async def work() -> None:
            try:
                relay = await generation.run(stream.deliver)
            except errors.EndivesillError as error:
                await stream.fail(error)
                return
            await stream.finish(relay)

        await request.run_while_connected(work())
