"""One call to a plain service: its attempts, and the answer that is passed on."""

from __future__ import annotations

import uuid

from endivesill import errors, events
from endivesill.configuration.model import Limits
from endivesill.entry.attempts import Attempts
from endivesill.entry.claims import StoredAnswer
from endivesill.entry.context import EntryContext
from endivesill.entry.events import (
    CALL_SENT,
    CALL_SKIPPED,
    READER_STALLED,
)
from endivesill.entry.http import Answer, raw_headers
from endivesill.entry.plain_request import PlainRequest
from endivesill.routing import Grant, Outcome
from endivesill.targets import PlainAnswer, PlainCall

__all__ = ["PlainExchange"]


class PlainExchange:
    """One call with its attempts; the answer is passed on as it arrives.

    Args:
      context: what the entry shares.
      answer: the answer to the caller.
      call: the caller's call.
      limits: the bound on slow readers.
    """

    def __init__(
        self, context: EntryContext, answer: Answer, call: PlainRequest, limits: Limits
    ) -> None:
        self._context = context
        self._answer = answer
        self._call = call
        self._limits = limits
        self._attempts = Attempts(
            context, call.service, call.organisation, answer.request_id
        )
        self._target_answer: PlainAnswer | None = None
        self._stored: list[bytes] = []
        self._stored_bytes = 0

    def stored_answer(self) -> StoredAnswer | None:
        """Return the answer for the ledger, or None if it is too large."""
        if self._target_answer is None:
            return None
        if self._stored_bytes > self._context.settings.stored_answer_bytes:
            return None
        return StoredAnswer(
            self._target_answer.status,
            self._target_answer.headers,
            b"".join(self._stored),
        )

    async def run(self) -> None:
        """Send the call, again where that is allowed, and pass the answer on.

        Raises:
          TargetError: it failed; `run` tells whether it may have run.
          RefusedError: no target took it.
        """
        while True:
            grant = await self._attempts.acquire()
            try:
                await self._attempt(grant)
                break
            except errors.TargetError as error:
                if self._answer.status or not self._may_repeat(error):
                    raise self._attempts.final_error(error) from error
                await self._attempts.back_off(grant, error)
        self._attempts.succeeded()

    async def _attempt(self, grant: Grant) -> None:
        outcome = Outcome.FAILED
        try:
            answer = await self._send(grant)
            try:
                await self._pass_on(answer)
            finally:
                answer.close()
            outcome = Outcome.DONE
        except errors.TargetRefusedError as error:
            outcome = Outcome.NOT_RUN
            events.emit(
                CALL_SKIPPED,
                request_id=self._answer.request_id,
                target=grant.target.name,
                error=str(error),
            )
            raise
        finally:
            grant.finished(outcome)

    async def _send(self, grant: Grant) -> PlainAnswer:
        attempt_id = uuid.uuid4().hex
        events.emit(
            CALL_SENT,
            request_id=self._answer.request_id,
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

    async def _pass_on(self, target_answer: PlainAnswer) -> None:
        """Pass the answer on as it arrives, within bounds on both sides.

        A caller that goes away or reads too slowly does not end the exchange
        while its answer is still to be stored.
        """
        self._target_answer = target_answer
        answer = self._answer
        await answer.start(target_answer.status, raw_headers(target_answer.headers))
        watchdog = self._context.watchdog
        deadline_s = self._call.service.deadline_s
        with (
            watchdog.watch(deadline_s, target_answer.close) as reading,
            watchdog.watch(self._limits.slow_reader_s, self._stalled) as sending,
        ):
            while True:
                reading.active = True
                chunk = await target_answer.read()
                reading.active = False
                reading.steps += 1
                self._store(chunk)
                sending.active = True
                await answer.send(
                    {
                        "type": "http.response.body",
                        "body": chunk,
                        "more_body": bool(chunk),
                    }
                )
                sending.active = False
                sending.steps += 1
                if not chunk or self._is_in_vain():
                    return

    def _is_in_vain(self) -> bool:
        """Tell whether nobody is left who could use the rest of the answer."""
        if not self._answer.is_cut():
            return False
        kept_bytes = self._context.settings.stored_answer_bytes
        return self._call.key is None or self._stored_bytes > kept_bytes

    def _store(self, chunk: bytes) -> None:
        if self._call.key is None:
            return
        self._stored_bytes += len(chunk)
        if self._stored_bytes <= self._context.settings.stored_answer_bytes:
            self._stored.append(chunk)
        else:
            self._stored.clear()

    def _stalled(self) -> None:
        events.emit(READER_STALLED, request_id=self._answer.request_id)
        self._answer.abort()

    def _may_repeat(self, error: errors.TargetError) -> bool:
        """Tell whether another attempt keeps the call's promise.

        A call that may not be repeated goes out again only if no byte of it
        has gone out.
        """
        if self._call.repeatable:
            return True
        return isinstance(error, errors.TargetUnreachableError)
