"""Answers that stream the tokens of a generation."""

from __future__ import annotations

import json

from endivesill import errors, events
from endivesill.configuration.model import Limits
from endivesill.entry.context import EntryContext
from endivesill.entry.events import READER_STALLED, STREAM_BROKEN
from endivesill.entry.generations import Generation
from endivesill.entry.http import Answer, AsgiRequest, problem_document
from endivesill.entry.relay import Relay

__all__ = ["StreamAnswer", "stream_generation"]

DONE_EVENT = b"data: [DONE]\n\n"
STREAM_HEADERS = [
    (b"content-type", b"text/event-stream"),
    (b"cache-control", b"no-store"),
]


class StreamAnswer:
    """Sends a generation's events to one caller, within a bound on its waits.

    Args:
      context: what the entry shares.
      answer: the answer to the caller.
      limits: the bound on slow readers.
    """

    def __init__(self, context: EntryContext, answer: Answer, limits: Limits) -> None:
        self._answer = answer
        self._send = answer.send
        self._watch = context.watchdog.watch(limits.slow_reader_s, self._stalled)
        self._relay: Relay | None = None

    def __enter__(self) -> StreamAnswer:
        self._sending = self._watch.__enter__()
        return self

    def __exit__(self, *exception: object) -> None:
        self._watch.__exit__(None, None, None)

    async def deliver(self, relay: Relay, block: bytes) -> None:
        """Send a block of events and wait while the caller's buffer is full."""
        if relay is not self._relay:
            await self._start(relay)
        sending = self._sending
        sending.active = True
        await self._send(
            {"type": "http.response.body", "body": block, "more_body": True}
        )
        sending.active = False
        sending.steps += 1

    async def _start(self, relay: Relay) -> None:
        self._relay = relay
        generation_id = relay.generation_id.encode()
        headers = [*STREAM_HEADERS, (b"x-generation-id", generation_id)]
        await self._answer.start(200, headers)

    async def finish(self, relay: Relay) -> None:
        """Send the end event."""
        if relay is not self._relay:
            await self._start(relay)
        await self._end(DONE_EVENT)

    async def fail(self, error: errors.EndivesillError) -> None:
        """Send a typed error event with the index of the first token missing.

        Raises:
          EndivesillError: the same error, if nothing has been sent yet.
        """
        if self._relay is None:
            raise error
        if isinstance(error, errors.SupersededError):
            self._answer.abort()
            return
        events.emit(
            STREAM_BROKEN,
            request_id=self._answer.request_id,
            generation_id=self._relay.generation_id,
            next_index=self._relay.next_index,
            error=str(error),
        )
        _, document = problem_document(self._answer.request_id, error)
        document["generation"] = self._relay.generation_id
        document["next_index"] = self._relay.next_index
        data = json.dumps(document).encode()
        await self._end(b"event: error\ndata: " + data + b"\n\n")

    async def _end(self, event: bytes) -> None:
        self._sending.active = True
        await self._send({"type": "http.response.body", "body": event})
        self._sending.active = False

    def _stalled(self) -> None:
        events.emit(READER_STALLED, request_id=self._answer.request_id)
        if self._relay is not None:
            self._relay.is_kept = False
        self._answer.abort()


async def stream_generation(
    context: EntryContext, request: AsgiRequest, answer: Answer, generation: Generation
) -> None:
    """Answer a request with a new generation's stream.

    Raises:
      EndivesillError: it did not begin.
    """
    limits = context.index.current().configuration.limits
    with StreamAnswer(context, answer, limits) as stream:

        async def work() -> None:
            try:
                relay = await generation.run(stream.deliver)
            except errors.EndivesillError as error:
                await stream.fail(error)
                return
            await stream.finish(relay)

        await request.run_while_connected(work())
