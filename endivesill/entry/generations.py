"""Generations: from a caller's request to the last token.

Until a token has gone out to the caller, a failed attempt may start again at
another engine, as a new generation. After it, only that generation goes on; see
`relay`.
"""

from __future__ import annotations

from endivesill import errors, events
from endivesill.configuration.model import Organisation, Service
from endivesill.entry.attempts import Attempts
from endivesill.entry.calls import GenerationCall
from endivesill.entry.context import EntryContext
from endivesill.entry.events import GENERATION_STARTED
from endivesill.entry.relay import Deliver, Relay
from endivesill.entry.table import RelayTable
from endivesill.routing import Grant, prefix_hashes
from endivesill.targets import EngineStream, GenerationRequest

__all__ = ["Generation"]


class Generation:
    """One caller's generation with its attempts.

    Args:
      context: what the entry shares.
      table: the entry's relays.
      call: the checked request.
      service: the service of its model.
      organisation: who asks.
      request_id: the caller's request.

    Attributes:
      relay: the attempt in progress, or the last one.
    """

    def __init__(
        self,
        context: EntryContext,
        table: RelayTable,
        call: GenerationCall,
        service: Service,
        organisation: Organisation,
        request_id: str,
    ) -> None:
        self._context = context
        self._table = table
        self._call = call
        self._service = service
        self._organisation = organisation
        self._prefix = prefix_hashes(call.prompt)
        self._attempts = Attempts(context, service, organisation, request_id)
        self.request_id = request_id
        self.relay: Relay | None = None

    async def run(self, deliver: Deliver) -> Relay:
        """Deliver blocks of whole events, each token once and in order.

        Returns:
          The relay that came to the end.

        Raises:
          RefusedError: it was not started, or its first token is late.
          TargetError: it broke; the relay's `next_index` tells how far it came.
        """
        while True:
            grant = await self._attempts.acquire(
                self._call.prompt_tokens,
                self._prefix,
                self._call.maximum_output_tokens,
            )
            try:
                relay = await self._attempt(grant, deliver)
                break
            except errors.TargetError as error:
                if self._has_reached_caller():
                    raise
                await self._attempts.back_off(grant, error)
        self._attempts.succeeded()
        return relay

    def _has_reached_caller(self) -> bool:
        """Tell whether tokens have gone out, so that no other generation may."""
        relay = self.relay
        return relay is not None and relay.next_index > 0 and self._call.streamed

    async def _attempt(self, grant: Grant, deliver: Deliver) -> Relay:
        generation_id = self._context.ids.make(
            grant.target.name, self._organisation.name
        )
        relay = Relay(
            self._context, self._service, grant, generation_id, self.request_id
        )
        relay.is_kept = self._call.streamed
        self.relay = relay
        left_s = max(0.0, self._attempts.deadline_s - self._context.timer.now_s())

        async def open_stream(attempt_id: str) -> EngineStream:
            return await self._open(relay, attempt_id, left_s)

        await self._table.run(relay, open_stream, deliver, left_s)
        return relay

    async def _open(
        self, relay: Relay, attempt_id: str, timeout_s: float
    ) -> EngineStream:
        request = GenerationRequest(
            self._call.path,
            self._call.body,
            relay.generation_id,
            attempt_id,
            self._service.priority,
        )
        events.emit(
            GENERATION_STARTED,
            request_id=self.request_id,
            generation_id=relay.generation_id,
            attempt_id=attempt_id,
            target=relay.target.name,
        )
        opening = self._context.engines.generate(
            relay.target, request, self._context.start_check(relay.grant)
        )
        try:
            return await self._context.timer.wait_for(opening, timeout_s)
        except errors.DeadlineExceededError:
            raise errors.TargetError("no answer by the deadline") from None
