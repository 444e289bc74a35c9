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
    UpstreamConnection,
    UpstreamError,
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
        idle_s = None if call.is_idempotent else UNREPEATABLE_IDLE_S
        try:
            connection = await self._pool.acquire(target.info.address, idle_s)
        except UpstreamError as error:
            raise AttemptError(Failure.NO_CONNECTION, str(error)) from None
        try:
            # The list may have changed while the connection was set up.
            if not self._table.may_have_work(target):
                raise AttemptError(Failure.TARGET_LEFT, target.info.identity)
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
            self._write(call, connection, dispatch, target)
            return await self._matching_answer(call, connection, target)
        except BaseException:
            self._pool.release(connection)
            raise

    def _write(
        self,
        call: Call,
        connection: UpstreamConnection,
        dispatch: Dispatch,
        target: Target,
    ) -> None:
        exchange = call.exchange
        head = self._protocol.encode_request(
            exchange.method, exchange.target, exchange.headers, dispatch
        )
        try:
            connection.send(head + exchange.body, no_body=exchange.method == "HEAD")
        except UpstreamError as error:
            raise AttemptError(Failure.NO_CONNECTION, str(error)) from None
        call.sends += 1
        call.may_have_run = True

    async def _matching_answer(
        self, call: Call, connection: UpstreamConnection, target: Target
    ) -> Attempt:
        skipped = 0
        while True:
            try:
                head = await connection.head()
                answer = self._protocol.decode_answer(head)
                if answer.attempt_id in ("", call.info.attempt_id):
                    break
                # Late answers to others may stand before this one's.
                events.emit(
                    ANSWER_SKIPPED,
                    request_id=call.info.attempt_id,
                    target=target.info.identity,
                    answers=answer.attempt_id,
                )
                await connection.read_all()
            except UpstreamError as error:
                raise AttemptError(Failure.BROKEN, str(error)) from None
            skipped += 1
            if skipped > SKIPPED_ANSWERS_LIMIT:
                raise AttemptError(Failure.FOREIGN_ANSWER, answer.attempt_id)
            connection.skip_answer()
        if answer.wrong_target:
            raise AttemptError(Failure.WRONG_TARGET, str(answer.status))
        if answer.not_run:
            raise AttemptError(Failure.REJECTED, str(answer.status))
        return Attempt(target, connection, head, answer)


def urgency(call: Call) -> int | None:
    """Return the urgency of a generation at its engine, 0 first and 9 last."""
    if call.service.memory is None:
        return None
    return min(9, 3 + 2 * call.priority)
