"""Sends plain requests and reads their responses."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import attrs

from endivesill import errors
from endivesill.forwarding.attempt import Attempt, AttemptError, Failure, Sender
from endivesill.forwarding.call import Call
from endivesill.forwarding.proxy_messages import ProxyLostError
from endivesill.forwarding.retry_policy import RetryPolicy
from endivesill.forwarding.run_stop import AbandonedRun, RunStopper
from endivesill.forwarding.target import Reservation
from endivesill.forwarding.targets import Target, TargetTable
from endivesill.http1 import UpstreamError
from endivesill.timer import TimerService

__all__ = ["PlainResponse", "PlainSender"]

# Fraction of the remaining time after which a second attempt of an idempotent request
# begins; limits the delay caused by a target that hangs.
ATTEMPT_TIME_FRACTION = 0.4
# Bytes of a response above which it waits until few others are read.
SHORT_RESPONSE_BYTES = 65_536


@attrs.frozen
class PlainResponse:
    """A complete response.

    Attributes:
      attempt: the attempt.
      body: the whole body.
      run_s: how long it took from the send.
      overtaken: a slower target that was sent the request before; None without one.
    """

    attempt: Attempt
    body: bytes
    run_s: float
    overtaken: Target | None = None

    @property
    def succeeded(self) -> bool:
        """Whether the target did not fail."""
        return self.attempt.response.status < 500


class PlainSender:
    """Sends plain requests, to a second target beside the first if that is slow.

    Args:
      timer: the timer service.
      sender: sends requests.
      table: the targets; records responses that are overdue.
      retries: decides about second attempts.
      stopper: stops the runs of model engines that were given up.
      place: places a request again, and logs it.
      on_failed: called with a request, a target and the error of a second attempt.
    """

    def __init__(
        self,
        timer: TimerService,
        sender: Sender,
        table: TargetTable,
        retries: RetryPolicy,
        stopper: RunStopper,
        place: Callable[[Call], Awaitable[Target]],
        on_failed: Callable[[Call, Target, AttemptError], None],
    ) -> None:
        self._timer = timer
        self._sender = sender
        self._table = table
        self._retries = retries
        self._stopper = stopper
        self._place = place
        self._on_failed = on_failed

    async def read_response(self, call: Call, target: Target) -> PlainResponse:
        """Send a request, whose demand is reserved at a target.

        Returns:
          The response of that target, or of another one that was faster.

        Raises:
          AttemptError: there is no complete response.
        """
        reservation = Reservation(target, call.demand)
        first = asyncio.ensure_future(self._exchange(call, reservation))
        # A task that is cancelled before its first step runs none of its code.
        first.add_done_callback(lambda task: reservation.release())
        second: asyncio.Task[PlainResponse] | None = None
        try:
            if not await self._is_slow(call, first) or not self._retries.may_hedge(
                call
            ):
                return await first
            call.runs += 1
            call.excluded.append(target)
            second = asyncio.ensure_future(self._read_elsewhere(call))
            response = await _first_success(first, second)
            if response.attempt.target is not target and not first.done():
                return attrs.evolve(response, overtaken=target)
            return response
        finally:
            first.cancel()
            if second is not None:
                second.cancel()
            # The traceback of a failed task refers to this frame. Without the cycle,
            # the body that the frames have read is free at once.
            del first, second

    async def _is_slow(self, call: Call, exchange: asyncio.Task[PlainResponse]) -> bool:
        """Return whether a request has no response while there is time for another."""
        if not call.is_idempotent or call.runs + 1 >= call.route.max_attempts:
            return False
        remaining_s = call.deadline_s - self._timer.now_s()
        try:
            await self._timer.wait_for(
                asyncio.wait({exchange}), ATTEMPT_TIME_FRACTION * remaining_s
            )
        except errors.DeadlineExceededError:
            return True
        return False

    async def _read_elsewhere(self, call: Call) -> PlainResponse:
        target = await self._place(call)
        call.excluded.append(target)
        try:
            return await self._exchange(call, Reservation(target, call.demand))
        except AttemptError as error:
            self._on_failed(call, target, error)
            raise

    async def _exchange(self, call: Call, reservation: Reservation) -> PlainResponse:
        """Send a request once; releases its demand at the target.

        A run at a model engine is stopped unless its response is complete.
        """
        target = reservation.target
        overdue = self._timer.call_after(
            call.route.target_latency_s, lambda: self._table.note_overdue(target)
        )
        sent_s = self._timer.now_s()
        has_ended = is_proxied = False
        try:
            attempt = await self._sender.send(call, target)
            is_proxied = attempt.body.is_proxied
            try:
                body = await _read_all(call, attempt)
                has_ended = True
            finally:
                attempt.body.release()
        except AttemptError as error:
            has_ended = error.failure.not_run
            raise
        except ProxyLostError as error:
            raise AttemptError(Failure.PROXY_LOST, str(error)) from None
        except UpstreamError as error:
            raise AttemptError(Failure.BROKEN, str(error)) from None
        finally:
            reservation.release()
            overdue.cancel()
            if not has_ended and call.service.model_engine is not None:
                run = AbandonedRun(call, target, is_proxied=is_proxied)
                self._stopper.begin(run).conclude()
        return PlainResponse(attempt, body, self._timer.now_s() - sent_s)


async def _first_success(
    first: asyncio.Task[PlainResponse], second: asyncio.Task[PlainResponse]
) -> PlainResponse:
    """Return the first success of two attempts, or else what became of the first one.

    Raises:
      AttemptError: both have failed.
    """
    await asyncio.wait({first, second}, return_when=asyncio.FIRST_COMPLETED)
    response = _success(first) or _success(second)
    if response is None:
        await asyncio.wait({first, second})
        response = _success(first) or _success(second)
    if response is not None:
        return response
    if first.exception() is not None and second.exception() is None:
        return second.result()
    try:
        return first.result()
    finally:
        # As in `read_response`.
        del first, second


def _success(task: asyncio.Task[PlainResponse]) -> PlainResponse | None:
    """Return the response of an attempt that has succeeded; else None."""
    if not task.done() or task.exception() is not None:
        return None
    return task.result() if task.result().succeeded else None


async def _read_all(call: Call, attempt: Attempt) -> bytes:
    """Return a body; long ones are read one after another, to bound their sum."""
    parts: list[bytes] = []
    size_bytes = 0
    while size_bytes <= SHORT_RESPONSE_BYTES:
        part = await attempt.body.read()
        if not part:
            return b"".join(parts)
        parts.append(part)
        size_bytes += len(part)
    async with call.exchange.budget.long_responses:
        parts.append(await attempt.body.read_all())
    return b"".join(parts)
