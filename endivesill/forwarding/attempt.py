"""One sending of a request to one target, up to the head of the answer."""

from __future__ import annotations

import enum

import attrs

from endivesill import errors, events
from endivesill.forwarding.call import Call
from endivesill.forwarding.events import ANSWER_SKIPPED
from endivesill.forwarding.protocol import AnswerInfo, Dispatch, EngineProtocol
from endivesill.forwarding.targets import Target, TargetTable
from endivesill.http1 import (
    ConnectionPool,
    ResponseHead,
    SendError,
    SendFailure,
    UpstreamConnection,
    send_request,
)
from endivesill.timer import TimerService

__all__ = ["Attempt", "AttemptError", "Failure", "Sender"]

# Answers to other requests that are skipped on one connection.
SKIPPED_ANSWERS_LIMIT = 2
# An idle connection older than this may be half dead; a request that may not be
# repeated would be lost with it.
UNREPEATABLE_IDLE_S = 1.0


class Failure(enum.Enum):
    """Why an attempt has no answer to pass on."""

    NO_CONNECTION = "no-connection"
    TARGET_LEFT = "target-left"
    REJECTED = "rejected"
    WRONG_TARGET = "wrong-target"
    BROKEN = "broken"
    FOREIGN_ANSWER = "foreign-answer"

    @property
    def not_run(self) -> bool:
        """Whether the request has certainly not run and will not."""
        return self not in (Failure.BROKEN, Failure.FOREIGN_ANSWER)

    @property
    def arrived(self) -> bool:
        """Whether the target has seen the request."""
        return self not in (Failure.NO_CONNECTION, Failure.TARGET_LEFT)


FAILURES = {
    SendFailure.NO_CONNECTION: Failure.NO_CONNECTION,
    SendFailure.NOT_STARTED: Failure.TARGET_LEFT,
    SendFailure.BROKEN: Failure.BROKEN,
    SendFailure.FOREIGN_RESPONSE: Failure.FOREIGN_ANSWER,
}


class AttemptError(errors.EndivesillError):
    """An attempt without an answer to pass on."""

    def __init__(self, failure: Failure, detail: str) -> None:
        super().__init__(f"{failure.value}: {detail}")
        self.failure = failure
        self.detail = detail


@attrs.define(eq=False)
class Attempt:
    """A request at a target whose answer has begun."""

    target: Target
    connection: UpstreamConnection
    head: ResponseHead
    answer: AnswerInfo


class Sender:
    """Sends requests to targets.

    Args:
      timer: the timer service.
      pool: connections to targets.
      table: the targets.
      protocol: writes and reads the heads.
    """

    def __init__(
        self,
        timer: TimerService,
        pool: ConnectionPool,
        table: TargetTable,
        protocol: EngineProtocol,
    ) -> None:
        self._timer = timer
        self._pool = pool
        self._table = table
        self._protocol = protocol

    async def send(
        self,
        call: Call,
        target: Target,
        *,
        backup: Target | None = None,
        resume_from: str = "",
        last_event_id: str = "",
    ) -> Attempt:
        """Send a request and wait for the head of its answer.

        Args:
          call: the request.
          target: who shall run it; the place is reserved.
          backup: who gets a copy of the run's memory.
          resume_from: a copy that the run goes on from.
          last_event_id: the last event that the caller has.

        Raises:
          AttemptError: there is no answer to pass on.
        """
        try:
            connection, head = await send_request(
                self._pool,
                target.info.address,
                lambda: self._encode(call, target, backup, resume_from, last_event_id),
                max_idle_s=None if call.is_idempotent else UNREPEATABLE_IDLE_S,
                # The list may have changed while the connection was set up.
                may_start=lambda: self._table.may_have_work(target),
                on_started=call.note_sent,
                is_own_response=lambda head: self._belongs(call, target, head),
                max_foreign_responses=SKIPPED_ANSWERS_LIMIT,
                no_body=call.exchange.method == "HEAD",
            )
        except SendError as error:
            raise AttemptError(FAILURES[error.failure], str(error)) from None
        answer = self._protocol.decode_answer(head)
        if answer.wrong_target or answer.not_run:
            self._pool.release(connection)
            wrong = answer.wrong_target
            failure = Failure.WRONG_TARGET if wrong else Failure.REJECTED
            raise AttemptError(failure, str(answer.status))
        return Attempt(target, connection, head, answer)

    def _encode(
        self,
        call: Call,
        target: Target,
        backup: Target | None,
        resume_from: str,
        last_event_id: str,
    ) -> bytes:
        """Return the request's bytes for a target."""
        dispatch = Dispatch(
            identity=target.info.identity,
            left_s=max(0.0, call.caller_end_s - self._timer.now_s()),
            organisation=call.organisation,
            urgency=urgency(call),
            backup_address=backup.info.address if backup else "",
            resume_from=resume_from,
            last_event_id=last_event_id,
            body_bytes=len(call.exchange.body),
        )
        exchange = call.exchange
        head = self._protocol.encode_request(
            exchange.method, exchange.target, exchange.headers, dispatch
        )
        return head + exchange.body

    def _belongs(self, call: Call, target: Target, head: ResponseHead) -> bool:
        """Tell whether an answer is the call's; late ones to others may come first."""
        answers = self._protocol.answered_attempt(head)
        if answers in ("", call.info.attempt_id):
            return True
        events.emit(
            ANSWER_SKIPPED,
            request_id=call.info.attempt_id,
            target=target.info.identity,
            answers=answers,
        )
        return False


def urgency(call: Call) -> int | None:
    """Return the urgency of a generation at its engine, 0 first and 9 last."""
    if call.service.memory is None:
        return None
    return min(9, 3 + 2 * call.priority)
