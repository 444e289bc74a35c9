"""Calls to plain services: repeatable ones, and those that run at most once."""

from __future__ import annotations

import posixpath
import uuid

import attrs

from endivesill import errors, events
from endivesill.configuration.model import Limits, Organisation, Service
from endivesill.entry.claims import (
    Claim,
    ClaimState,
    Result,
    StoredAnswer,
    request_digest,
)
from endivesill.entry.context import EntryContext
from endivesill.entry.events import (
    CALL_SENT,
    CALL_SKIPPED,
    READER_STALLED,
    REQUEST_RETRIED,
)
from endivesill.entry.failures import final_error
from endivesill.entry.http import Answer, AsgiRequest, RawHeaders
from endivesill.routing import Grant, Outcome, RouteRequest
from endivesill.targets import PlainAnswer, PlainCall
from endivesill.targets.plain import end_to_end_headers

__all__ = ["PlainRequest", "answer_plain", "parse_plain_request"]

KEY_HEADER = "idempotency-key"
REPLAYED_HEADER = (b"idempotency-replayed", b"true")
STILL_RUNNING_RETRY_AFTER_S = 5.0
PRIVATE_HEADERS = (b"authorization", b"content-length", b"x-attempt-id")


@attrs.frozen
class PlainRequest:
    """A caller's checked call to a plain service.

    Attributes:
      service: the service of its path.
      organisation: who calls.
      method: the HTTP method.
      path: path and query for the target.
      headers: the end-to-end headers without the caller's key.
      body: the whole body.
      repeatable: whether it may be sent again after an unknown outcome.
      key: its idempotency key; None if it has none or needs none.
    """

    service: Service
    organisation: Organisation
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    repeatable: bool
    key: str | None


def parse_plain_request(
    request: AsgiRequest, service: Service, organisation: Organisation, body: bytes
) -> PlainRequest:
    """Return the call that a request makes.

    Raises:
      RequestError: the path's prefix is written with escapes (400).
    """
    prefix = service.path_prefix.rstrip("/")
    raw_path = request.raw_path.decode("ascii")
    if not raw_path.startswith(prefix):
        raise errors.RequestError(400, "the prefix is written with escapes", "path")
    path = raw_path[len(prefix) :] or "/"
    repeatable = _is_repeatable(service, request.method, request.path[len(prefix) :])
    if request.query:
        path += "?" + request.query.decode("ascii")
    headers = end_to_end_headers(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in request.raw_headers
        if name not in PRIVATE_HEADERS
    )
    key = None if repeatable else request.header(KEY_HEADER)
    return PlainRequest(
        service, organisation, request.method, path, headers, body, repeatable, key
    )


def _is_repeatable(service: Service, method: str, path: str) -> bool:
    """Tell whether a call may be repeated, however its path is written."""
    normal = posixpath.normpath("/" + path.lstrip("/"))
    return all(service.is_repeatable(method, form) for form in (path, normal))


async def answer_plain(
    context: EntryContext, answer: Answer, call: PlainRequest
) -> None:
    """Answer a call to a plain service.

    Raises:
      EndivesillError: it was not answered.
    """
    limits = context.index.current().configuration.limits
    context.check_lease()
    if call.key is None:
        await _Exchange(context, answer, call, limits).run()
        return
    digest = request_digest(call.method, call.path, call.body)
    claim = await context.claims.claim(
        call.organisation, call.service, call.key, digest, limits, answer.request_id
    )
    if claim.state is not ClaimState.CLAIMED:
        await _answer_known(answer, claim)
        return
    await _answer_claimed(context, answer, call, claim, limits)


async def _answer_known(answer: Answer, claim: Claim) -> None:
    """Answer a key that another request has claimed before."""
    if claim.state is ClaimState.MISMATCH:
        detail = "the key was used for another request"
        raise errors.RequestError(422, detail, KEY_HEADER)
    unknown = errors.RunState.UNKNOWN
    if claim.state is ClaimState.RUNNING:
        raise errors.RefusedError(
            "still-running",
            run=unknown,
            status=409,
            retry_after_s=STILL_RUNNING_RETRY_AFTER_S,
        )
    if claim.state is ClaimState.UNKNOWN:
        raise errors.RefusedError("outcome-unknown", run=unknown, status=409)
    if claim.answer is None:
        raise errors.RefusedError("answer-not-kept", run=unknown, status=409)
    kept = _raw_headers(claim.answer.headers)
    headers = [pair for pair in kept if pair[0].lower() != b"content-length"]
    headers.append(REPLAYED_HEADER)
    await answer.whole(claim.answer.status, headers, claim.answer.body)


async def _answer_claimed(
    context: EntryContext,
    answer: Answer,
    call: PlainRequest,
    claim: Claim,
    limits: Limits,
) -> None:
    """Run a call whose key is claimed and record its outcome."""
    exchange = _Exchange(context, answer, call, limits)
    try:
        await exchange.run()
    except (errors.TargetError, errors.RefusedError) as error:
        is_released = error.run is errors.RunState.NOT_RUN
        result = Result.RELEASED if is_released else Result.UNKNOWN
        await context.claims.finish(claim, result)
        raise
    await context.claims.finish(claim, Result.DONE, exchange.stored_answer())


class _Exchange:
    """One call with its attempts; the answer is passed on as it arrives."""

    def __init__(
        self, context: EntryContext, answer: Answer, call: PlainRequest, limits: Limits
    ) -> None:
        self._context = context
        self._answer = answer
        self._call = call
        self._limits = limits
        self._excluded: set[str] = set()
        self._deadline_s = context.timer.now_s() + call.service.deadline_s
        self._run_state = errors.RunState.NOT_RUN
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
        failures = 0
        while True:
            grant = await self._acquire()
            try:
                await self._attempt(grant)
                break
            except errors.TargetError as error:
                failures += 1
                if error.run is errors.RunState.UNKNOWN:
                    self._run_state = errors.RunState.UNKNOWN
                await self._back_off(grant, error, failures)
        call = self._call
        self._context.budget.succeeded(call.service.name, call.organisation.name)

    async def _acquire(self) -> Grant:
        route = RouteRequest(
            request_id=self._answer.request_id,
            service=self._call.service,
            organisation=self._call.organisation,
            priority=self._call.service.priority,
            deadline_s=self._deadline_s,
            excluded=frozenset(self._excluded),
        )
        try:
            self._context.check_lease()
            return await self._context.router.acquire(route)
        except errors.RefusedError as error:
            # An earlier attempt may have run.
            if error.run is errors.RunState.NOT_RUN:
                error.run = self._run_state
            raise

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
        await answer.start(target_answer.status, _raw_headers(target_answer.headers))
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

    async def _back_off(
        self, grant: Grant, error: errors.TargetError, failures: int
    ) -> None:
        """Wait before another attempt.

        Raises:
          TargetError: there is none, and an attempt may have run.
          RefusedError: there is none, and no attempt has run.
        """
        final = final_error(error, self._run_state)
        if self._answer.status or not self._may_repeat(error):
            raise final from error
        wait_s = self._context.budget.retry_after_s(
            self._call.service.name, self._call.organisation.name, failures
        )
        if wait_s is None:
            raise final from error
        if self._context.timer.now_s() + wait_s >= self._deadline_s:
            raise final from error
        if not isinstance(error, errors.GrantExpiredError):
            self._excluded.add(grant.target.name)
        events.emit(
            REQUEST_RETRIED,
            request_id=self._answer.request_id,
            target=grant.target.name,
            error=str(error),
            wait_s=wait_s,
        )
        await self._context.timer.sleep(wait_s)

    def _may_repeat(self, error: errors.TargetError) -> bool:
        """Tell whether another attempt keeps the call's promise.

        A call that may not be repeated goes out again only if no byte of it
        has gone out.
        """
        if self._call.repeatable:
            return True
        return isinstance(error, errors.TargetUnreachableError)


def _raw_headers(headers: tuple[tuple[str, str], ...]) -> RawHeaders:
    """Return headers for the caller; a length is kept, so that cuts show."""
    return [(n.encode("latin-1"), v.encode("latin-1")) for n, v in headers]
