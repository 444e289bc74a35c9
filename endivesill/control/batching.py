"""Proposals of one process that arrive together share a call to the leader."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import attrs

from endivesill import errors
from endivesill.peers import Message
from endivesill.timer import TimerService

__all__ = ["ProposalBatcher"]

CALLS = 2
BATCH_PROPOSALS = 64
CALL_SHARE = 0.95

SendBatch = Callable[[list[Message], float], Awaitable[list[Message]]]


@attrs.define(eq=False)
class _Item:
    """A proposal on its way.

    Attributes:
      proposal: the proposal as a JSON object.
      end_s: when its caller gives up.
      future: its outcome.
      sent: whether a call has taken it along.
    """

    proposal: Message
    end_s: float
    future: asyncio.Future[Message]
    sent: bool = False


class ProposalBatcher:
    """Sends proposals, in at most two calls at a time.

    A proposal goes out at once if fewer calls are under way; else it waits for
    the next one to end and shares the call after it.

    Args:
      timer: the timer service.
      send: commits a list of proposals within a time and returns the outcomes.
    """

    def __init__(self, timer: TimerService, send: SendBatch) -> None:
        self._timer = timer
        self._send = send
        self._queue: list[_Item] = []
        self._tasks: set[asyncio.Task[Any]] = set()

    async def propose(self, proposal: Message, timeout_s: float) -> Message:
        """Commit a proposal and return its outcome.

        Raises:
          UnavailableError: nothing was changed.
          OutcomeUnknownError: it may or may not have been committed.
        """
        future: asyncio.Future[Message] = asyncio.get_running_loop().create_future()
        item = _Item(proposal, self._timer.now_s() + timeout_s, future)
        self._queue.append(item)
        if len(self._tasks) < CALLS:
            task = asyncio.ensure_future(self._run())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        try:
            return await self._timer.wait_for(future, timeout_s)
        except errors.DeadlineExceededError:
            text = f"no answer within {timeout_s} s"
            if item.sent:
                raise errors.OutcomeUnknownError(text) from None
            raise errors.UnavailableError(text) from None
        finally:
            if not item.sent:
                self._queue.remove(item)

    async def _run(self) -> None:
        """Send until nothing waits."""
        while self._queue:
            batch = self._queue[:BATCH_PROPOSALS]
            del self._queue[:BATCH_PROPOSALS]
            for item in batch:
                item.sent = True
            await self._send_batch(batch)

    async def _send_batch(self, batch: list[_Item]) -> None:
        # The callers' own waits end after the call, which knows more.
        left_s = max(item.end_s for item in batch) - self._timer.now_s()
        timeout_s = CALL_SHARE * left_s
        proposals = [item.proposal for item in batch]
        try:
            outcomes = await self._send(proposals, timeout_s)
        except Exception as error:
            for item in batch:
                if not item.future.done():
                    # Each caller gets an error with a traceback of its own.
                    item.future.set_exception(type(error)(*error.args))
            return
        for item, outcome in zip(batch, outcomes, strict=True):
            if not item.future.done():
                item.future.set_result(outcome)

    def close(self) -> None:
        """Stop sending."""
        for task in self._tasks:
            task.cancel()
