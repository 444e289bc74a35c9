"""One attempt to send a request to a target, up to the head of its response."""

from __future__ import annotations

import enum

import attrs

from endivesill import errors, events
from endivesill.forwarding.call import Call
from endivesill.forwarding.events import ANSWER_SKIPPED
from endivesill.forwarding.protocol import Dispatch, EngineProtocol, ResponseInfo
from endivesill.forwarding.proxy_messages import ProxyLostError
from endivesill.forwarding.target_client import ResponseBody, SendOptions, TargetClient
from endivesill.forwarding.targets import Target, TargetTable
from endivesill.http1 import ResponseHead, SendError, SendFailure
from endivesill.timer import TimerService

__all__ = [
    "Attempt",
    "AttemptError",
    "Failure",
    "Sender",
    "is_proxy_lost",
    "is_response_to",
]

# A connection idle for longer may be half-open or forgotten by the target, and a
# request that cannot be retried would be lost on it.
NON_IDEMPOTENT_MAX_IDLE_S = 0.25


class Failure(enum.Enum):
    """Why an attempt has no usable response."""

    NO_CONNECTION = "no-connection"
    TARGET_LEFT = "target-left"
    REJECTED = "rejected"
    WRONG_TARGET = "wrong-target"
    UNMET_EXPECTATION = "unmet-expectation"
    BROKEN = "broken"
    NO_ANSWER = "no-answer"
    FOREIGN_RESPONSE = "foreign-answer"
    PROXY_LOST = "proxy-lost"

    @property
    def says_of_target(self) -> bool:
        """Whether it counts as an outcome of the target."""
        return self not in (
            Failure.TARGET_LEFT,
            Failure.PROXY_LOST,
            Failure.UNMET_EXPECTATION,
        )

    @property
    def not_run(self) -> bool:
        """Whether the target certainly has not run the request and will not."""
        return self not in (
            Failure.BROKEN,
            Failure.NO_ANSWER,
            Failure.FOREIGN_RESPONSE,
            Failure.PROXY_LOST,
        )

    @property
    def reached_target(self) -> bool:
        """Whether the target has seen the request."""
        return self not in (Failure.NO_CONNECTION, Failure.TARGET_LEFT)


FAILURES = {
    SendFailure.NO_CONNECTION: Failure.NO_CONNECTION,
    SendFailure.NOT_STARTED: Failure.TARGET_LEFT,
    SendFailure.BROKEN: Failure.BROKEN,
    SendFailure.FOREIGN_RESPONSE: Failure.FOREIGN_RESPONSE,
}


class AttemptError(errors.EndivesillError):
    """An attempt without a usable response.

    Attributes:
      failure: the kind of failure.
      detail: text for logs.
    """

    def __init__(self, failure: Failure, detail: str) -> None:
        super().__init__(f"{failure.value}: {detail}")
        self.failure = failure
        self.detail = detail


def is_proxy_lost(error: errors.EndivesillError) -> bool:
    """Return whether a run ended because its proxy failed."""
    if isinstance(error, AttemptError):
        return error.failure is Failure.PROXY_LOST
    return isinstance(error, ProxyLostError)


@attrs.define(eq=False)
class Attempt:
    """A request whose response has begun.

    Attributes:
      target: the target that runs it.
      body: the body of the response; to be released.
      head: the head of the response.
      response: what routing needs of the head.
    """

    target: Target
    body: ResponseBody
    head: ResponseHead
    response: ResponseInfo


class Sender:
    """Sends requests to targets.

    Args:
      timer: the timer service.
      client: sends requests to targets.
      table: the targets.
      protocol: encodes and decodes heads.
    """

    def __init__(
        self,
        timer: TimerService,
        client: TargetClient,
        table: TargetTable,
        protocol: EngineProtocol,
    ) -> None:
        self._timer = timer
        self._client = client
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
        """Send a request and wait for the head of its response.

        Args:
          call: the request.
          target: where to send it; its demand is already reserved there.
          backup: receives a live copy of the run's KV cache.
          resume_from: name of the copy to resume from; empty for a new run.
          last_event_id: the last event that the caller has received.

        Raises:
          AttemptError: there is no usable response.
        """
        options = SendOptions(
            deadline_s=call.deadline_s,
            attempt_id=call.info.attempt_id,
            max_idle_s=_max_idle_s(call),
            # The target may have left the list during connection set-up.
            may_start=lambda: self._table.accepts_requests(target),
            on_started=call.note_sent,
            is_own_response=lambda head, is_first: self._is_response_to(
                call, target, head, is_first
            ),
            on_head=lambda head: self._note_announcements(target, head),
            no_body=call.exchange.method == "HEAD",
        )
        try:
            body, head = await self._client.send(
                target.info,
                lambda: self._encode(call, target, backup, resume_from, last_event_id),
                options,
            )
        except SendError as error:
            raise AttemptError(FAILURES[error.failure], str(error)) from None
        except ProxyLostError as error:
            raise AttemptError(Failure.PROXY_LOST, str(error)) from None
        response = self._protocol.decode_response(head)
        if not response.is_from_engine:
            body.release()
            detail = f"status {response.status}, not from an engine"
            raise AttemptError(Failure.FOREIGN_RESPONSE, detail)
        if not response.wrong_target:
            self._table.note_limit(
                target,
                response.limit_per_s,
                response.brittle_per_s,
                may_end=not response.not_run,
            )
        if response.wrong_target or response.not_run:
            body.release()
            failure = _rejection(call, response)
            raise AttemptError(failure, str(response.status))
        return Attempt(target, body, head, response)

    def check_silent(self, attempt: Attempt, since_s: float) -> None:
        """Try to connect to a target that has sent nothing since a time."""
        if not attempt.body.is_proxied:
            self._client.links.check_silent(attempt.target.info, since_s)

    def is_unreachable(self, attempt: Attempt) -> bool:
        """Return whether this entry, which has the response, has lost its link."""
        is_lost = self._client.links.is_lost(attempt.target.info)
        return is_lost and not attempt.body.is_proxied

    def _note_announcements(self, target: Target, head: ResponseHead) -> None:
        """Record what a target announces in any response, also in a skipped one."""
        response = self._protocol.decode_response(head)
        if not response.wrong_target:
            self._table.note_announcements(
                target, is_leaving=response.is_leaving, pause_s=response.pause_s
            )

    def _encode(
        self,
        call: Call,
        target: Target,
        backup: Target | None,
        resume_from: str,
        last_event_id: str,
    ) -> bytes:
        """Return the head and body of the request for a target."""
        organisation = call.organisation
        dispatch = Dispatch(
            identity=target.info.identity,
            remaining_s=max(0.0, call.caller_deadline_s - self._timer.now_s()),
            organisation=None if organisation is None else organisation.name,
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

    def _is_response_to(
        self, call: Call, target: Target, head: ResponseHead, is_first: bool
    ) -> bool:
        """Return whether a response belongs to the call.

        A response to an earlier request may arrive late, or once more, on a connection.
        """
        answered_id = self._protocol.response_attempt_id(head)
        if is_response_to(answered_id, call.info.attempt_id, is_first=is_first):
            return True
        events.emit(
            ANSWER_SKIPPED,
            request_id=call.info.attempt_id,
            target=target.info.identity,
            answers=answered_id,
        )
        return False


def is_response_to(answered_id: str, attempt_id: str, *, is_first: bool) -> bool:
    """Return whether a response belongs to an attempt.

    Args:
      answered_id: the attempt that the response names; empty if it names none.
      attempt_id: the attempt; empty if its caller has sent no id.
      is_first: whether the connection carries its first request. A response that names
        no attempt can belong to no other request then.
    """
    if answered_id:
        return answered_id == attempt_id
    return is_first or not attempt_id


def _rejection(call: Call, response: ResponseInfo) -> Failure:
    """Return why a target has rejected a request."""
    if not response.wrong_target:
        return Failure.REJECTED
    # What follows from the caller's own header is no evidence about the target.
    if call.info.expects_version:
        return Failure.UNMET_EXPECTATION
    return Failure.WRONG_TARGET


def _max_idle_s(call: Call) -> float | None:
    """Return the longest idle time of the connection to use; None for any."""
    if not call.info.attempt_id:
        # Only on a new connection a response that names no attempt is its own for sure.
        return 0.0
    return None if call.is_idempotent else NON_IDEMPOTENT_MAX_IDLE_S


def urgency(call: Call) -> int | None:
    """Return the engine's urgency of a generation, 0 highest; None for the default."""
    if call.service.model_engine is None:
        return None
    return max(0, min(9, 3 + 2 * call.priority))
