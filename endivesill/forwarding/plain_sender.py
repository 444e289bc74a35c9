"""Sends plain requests and reads their responses."""

from __future__ import annotations

from endivesill import errors
from endivesill.forwarding.attempt import Attempt, AttemptError, Failure, Sender
from endivesill.forwarding.call import Call
from endivesill.forwarding.proxy_messages import ProxyLostError
from endivesill.forwarding.targets import Target, TargetTable
from endivesill.http1 import UpstreamError
from endivesill.timer import TimerService

__all__ = ["PlainSender"]

# Fraction of the remaining time for one attempt of an idempotent request while it may
# be retried; limits the delay caused by a target that hangs.
ATTEMPT_TIME_FRACTION = 0.4
# Bytes of a response above which it waits until few others are read.
SHORT_RESPONSE_BYTES = 65_536


class PlainSender:
    """Sends plain requests.

    Args:
      timer: the timer service.
      sender: sends requests.
      table: the targets; records responses that are overdue.
    """

    def __init__(self, timer: TimerService, sender: Sender, table: TargetTable) -> None:
        self._timer = timer
        self._sender = sender
        self._table = table

    async def read_response(self, call: Call, target: Target) -> tuple[Attempt, bytes]:
        """Send a request and return its complete response.

        Raises:
          AttemptError: there is no complete response.
        """

        async def exchange() -> tuple[Attempt, bytes]:
            attempt = await self._sender.send(call, target)
            try:
                return attempt, await _read_all(call, attempt)
            except ProxyLostError as error:
                raise AttemptError(Failure.PROXY_LOST, str(error)) from None
            except UpstreamError as error:
                raise AttemptError(Failure.BROKEN, str(error)) from None
            finally:
                attempt.body.release()

        remaining_s = call.deadline_s - self._timer.now_s()
        if call.is_idempotent and call.runs + 1 < call.route.max_attempts:
            remaining_s *= ATTEMPT_TIME_FRACTION
        overdue = self._timer.call_after(
            call.route.target_latency_s, lambda: self._table.note_overdue(target)
        )
        try:
            return await self._timer.wait_for(exchange(), remaining_s)
        except errors.DeadlineExceededError:
            raise AttemptError(Failure.NO_ANSWER, "no answer in time") from None
        finally:
            overdue.cancel()


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
