"""One call to a plain service: its attempts and the forwarded response."""

from __future__ import annotations

import uuid

from endivesill import errors, events
from endivesill.configuration.model import Limits
from endivesill.entry.attempts import Attempts
from endivesill.entry.claims import StoredResponse
from endivesill.entry.context import EntryContext
from endivesill.entry.events import (
    CALL_NOT_RUN,
    CALL_SENT,
    READER_STALLED,
)
from endivesill.entry.http import Response, raw_headers
from endivesill.entry.plain_request import PlainRequest
from endivesill.routing import Grant, Outcome
from endivesill.targets import PlainCall, PlainResponse

__all__ = ["PlainExchange"]


class PlainExchange:
    """Sends one call, with retries, and forwards the response as it arrives.

    Args:
      context: services shared by the modules of the entry.
      response: the response to the caller.
      call: the validated call.
      limits: the configured limits; `slow_reader_s` is used.
    """

    def __init__(
        self,
        context: EntryContext,
        response: Response,
        call: PlainRequest,
        limits: Limits,
    ) -> None:
        self._context = context
        self._response = response
        self._call = call
        self._limits = limits
        self._attempts = Attempts(
            context, call.service, call.organisation, response.request_id
        )
        self._target_response: PlainResponse | None = None
        self._stored: list[bytes] = []
        self._stored_bytes = 0

    def stored_response(self) -> StoredResponse | None:
        """Return the response for the ledger, or None if absent or too large."""
        if self._target_response is None:
            return None
        if self._stored_bytes > self._context.settings.stored_answer_bytes:
            return None
        return StoredResponse(
            self._target_response.status,
            self._target_response.headers,
            b"".join(self._stored),
        )

    async def run(self) -> None:
        """Send the call, retrying where allowed, and forward the response.

        Raises:
          TargetError: the call failed; `run` states whether it may have run.
          RefusedError: no target accepted the call.
        """
        while True:
            grant = await self._attempts.acquire()
            try:
                await self._attempt(grant)
                break
            except errors.TargetError as error:
                if self._response.status or not self._may_retry(error):
                    raise self._attempts.final_error(error) from error
                await self._attempts.back_off(grant, error)
        self._attempts.succeeded()

    async def _attempt(self, grant: Grant) -> None:
        outcome = Outcome.FAILED
        try:
            response = await self._send(grant)
            try:
                await self._forward_response(response)
            finally:
                response.close()
            outcome = Outcome.DONE
        except errors.TargetRefusedError as error:
            outcome = Outcome.NOT_RUN
            events.emit(
                CALL_NOT_RUN,
                request_id=self._response.request_id,
                target=grant.target.name,
                error=str(error),
            )
            raise
        finally:
            grant.finished(outcome)

    async def _send(self, grant: Grant) -> PlainResponse:
        attempt_id = uuid.uuid4().hex
        events.emit(
            CALL_SENT,
            request_id=self._response.request_id,
            attempt_id=attempt_id,
            target=grant.target.name,
            repeatable=self._call.repeatable,
        )
        call = PlainCall(
            self._call.method,
            self._call.path,
            self._call.headers,
            self._call.body,
            attempt_id,
            self._call.repeatable,
        )
        return await self._context.plain.call(
            grant.target,
            call,
            self._call.service.deadline_s,
            self._context.start_check(grant),
        )

    async def _forward_response(self, target_response: PlainResponse) -> None:
        """Forward the response as it arrives, with time limits on both sides.

        If the caller disconnects or reads too slowly, the response is still read
        to its end while it can be stored in the ledger.
        """
        self._target_response = target_response
        response = self._response
        await response.start(
            target_response.status, raw_headers(target_response.headers)
        )
        watchdog = self._context.watchdog
        deadline_s = self._call.service.deadline_s
        with (
            watchdog.watch(deadline_s, target_response.close) as target_wait,
            watchdog.watch(self._limits.slow_reader_s, self._on_stall) as caller_wait,
        ):
            while True:
                target_wait.active = True
                chunk = await target_response.read()
                target_wait.active = False
                target_wait.steps += 1
                self._store_chunk(chunk)
                caller_wait.active = True
                await response.send(
                    {
                        "type": "http.response.body",
                        "body": chunk,
                        "more_body": bool(chunk),
                    }
                )
                caller_wait.active = False
                caller_wait.steps += 1
                if not chunk or self._can_stop_reading():
                    return

    def _can_stop_reading(self) -> bool:
        """Return whether neither the caller nor the ledger needs the rest."""
        if not self._response.is_connection_closing():
            return False
        limit_bytes = self._context.settings.stored_answer_bytes
        return self._call.key is None or self._stored_bytes > limit_bytes

    def _store_chunk(self, chunk: bytes) -> None:
        if self._call.key is None:
            return
        self._stored_bytes += len(chunk)
        if self._stored_bytes <= self._context.settings.stored_answer_bytes:
            self._stored.append(chunk)
        else:
            self._stored.clear()

    def _on_stall(self) -> None:
        events.emit(READER_STALLED, request_id=self._response.request_id)
        self._response.abort()

    def _may_retry(self, error: errors.TargetError) -> bool:
        """Return whether a failed attempt may be retried.

        A non-repeatable call is retried only if no byte of it was sent.
        """
        if self._call.repeatable:
            return True
        return isinstance(error, errors.TargetUnreachableError)
