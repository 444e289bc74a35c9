"""Batching of concurrent proposals into calls to the leader."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import attrs

from endivesill import errors
from endivesill.peers import Message
from endivesill.timer import TimerService

__all__ = ["ProposalBatcher"]

MAX_CONCURRENT_CALLS = 2
MAX_BATCH_PROPOSALS = 64
CALL_TIMEOUT_RATIO = 0.95

SendBatch = Callable[[list[Message], float], Awaitable[list[Message]]]


@attrs.define(eq=False)
class _PendingProposal:
    """A proposal without an outcome yet.

    Attributes:
      proposal: the proposal as a JSON object.
      deadline_s: time at which its caller stops waiting.
      future: receives the outcome.
      sent: whether it is part of a call that was started.
    """

    proposal: Message
    deadline_s: float
    future: asyncio.Future[Message]
    sent: bool = False


class ProposalBatcher:
    """Batches proposals, with at most MAX_CONCURRENT_CALLS calls in flight.

    A proposal is sent at once if fewer calls are in flight. Otherwise it is queued
    and sent with the next batch when a call ends.

    Args:
      timer: the timer service.
      send: commits a list of proposals within a timeout and returns their outcomes
        in the same order.
    """

    def __init__(self, timer: TimerService, send: SendBatch) -> None:
        self._timer = timer
        self._send = send
        self._queue: list[_PendingProposal] = []
        self._tasks: set[asyncio.Task[Any]] = set()

    async def propose(self, proposal: Message, timeout_s: float) -> Message:
        """Commit a proposal and return its outcome.

        Raises:
          UnavailableError: the proposal was not committed.
          OutcomeUnknownError: the proposal may have been committed.
        """
        future: asyncio.Future[Message] = asyncio.get_running_loop().create_future()
        pending = _PendingProposal(proposal, self._timer.now_s() + timeout_s, future)
        self._queue.append(pending)
        if len(self._tasks) < MAX_CONCURRENT_CALLS:
            task = asyncio.ensure_future(self._run())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        try:
            return await self._timer.wait_for(future, timeout_s)
        except errors.DeadlineExceededError:
            text = f"no answer within {timeout_s} s"
            if pending.sent:
                raise errors.OutcomeUnknownError(text) from None
            raise errors.UnavailableError(text) from None
        finally:
            if not pending.sent:
                self._queue.remove(pending)

    async def _run(self) -> None:
        """Send batches until the queue is empty."""
        while self._queue:
            batch = self._queue[:MAX_BATCH_PROPOSALS]
            del self._queue[:MAX_BATCH_PROPOSALS]
            for pending in batch:
                pending.sent = True
            await self._send_batch(batch)

    async def _send_batch(self, batch: list[_PendingProposal]) -> None:
        # The call times out before its callers do, as its error is more specific.
        remaining_s = max(pending.deadline_s for pending in batch) - self._timer.now_s()
        timeout_s = CALL_TIMEOUT_RATIO * remaining_s
        proposals = [pending.proposal for pending in batch]
        try:
            outcomes = await self._send(proposals, timeout_s)
        except Exception as error:
            for pending in batch:
                if not pending.future.done():
                    # A new error for each caller, with its own traceback.
                    pending.future.set_exception(type(error)(*error.args))
            return
        for pending, outcome in zip(batch, outcomes, strict=True):
            if not pending.future.done():
                pending.future.set_result(outcome)

    def close(self) -> None:
        """Cancel the calls in flight."""
        for task in self._tasks:
            task.cancel()
