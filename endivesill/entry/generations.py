"""Generation requests and their attempts.

Until the first token has been sent to the caller, a failed attempt may be retried
at another engine, as a new generation. After that, only the same generation may
continue; see `relay`.
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
    """One generation request with its attempts.

    Args:
      context: services shared by the modules of the entry.
      table: the relays of the entry.
      call: the validated request.
      service: the service of the model.
      organisation: the organisation of the caller.
      request_id: the id of the request.

    Attributes:
      relay: the relay of the current or last attempt; None before the first.
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
        """Deliver blocks of complete events, each token once and in order.

        Returns:
          The relay of the attempt that completed.

        Raises:
          RefusedError: no attempt was started, or no first token by the deadline.
          TargetError: the generation failed after `relay.next_index` tokens.
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
        """Return whether tokens were sent to the caller, which rules out a retry."""
        relay = self.relay
        return relay is not None and relay.next_index > 0 and self._call.streamed

    async def _attempt(self, grant: Grant, deliver: Deliver) -> Relay:
        generation_id = self._context.ids.make(
            grant.target.name, self._organisation.name
        )
        relay = Relay(
            self._context, self._service, grant, generation_id, self.request_id
        )
        relay.retain_on_disconnect = self._call.streamed
        self.relay = relay
        remaining_s = max(0.0, self._attempts.deadline_s - self._context.timer.now_s())

        async def open_stream(attempt_id: str) -> EngineStream:
            return await self._open(relay, attempt_id, remaining_s)

        await self._table.run(relay, open_stream, deliver, remaining_s)
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
