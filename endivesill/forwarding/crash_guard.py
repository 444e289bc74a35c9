"""Keeps prompts that crash engines from being sent to more of them."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from endivesill import events
from endivesill.fleet.crash_evidence import Block
from endivesill.fleet.crash_exchange import CrashExchange
from endivesill.fleet.events import (
    ENGINE_CRASHED,
    PROMPT_PARTS_BLOCKED,
    PROMPT_PARTS_RELEASED,
)
from endivesill.forwarding.call import Call
from endivesill.forwarding.events import PROMPT_BLOCKED
from endivesill.forwarding.running_calls import RunningCalls
from endivesill.forwarding.targets import Target
from endivesill.http1 import ConnectionPool, UpstreamError
from endivesill.timer import TimerService

__all__ = ["BLOCKED", "CrashGuard"]

# Reason of a refusal because of a blocked prompt.
BLOCKED = "prompt part blocked"
# Time from the first event of a run during which the end of the connection may come
# from the prompt; a prompt is read between the head and that event.
START_WINDOW_S = 0.2
# Time from the first event after which a run has survived its start.
SURVIVAL_S = 1.0


class CrashGuard:
    """Reports which prompts engines crash under, and refuses those that are blocked.

    Args:
      timer: the timer service.
      exchange: exchanges reports of crashes with the control VMs.
      pool: connections to targets.
      running: the requests of this process.
      request_trial: asks whether one request that meets a block may be sent.
    """

    def __init__(
        self,
        timer: TimerService,
        exchange: CrashExchange,
        pool: ConnectionPool,
        running: RunningCalls,
        request_trial: Callable[[Block], Awaitable[bool]],
    ) -> None:
        self._timer = timer
        self._exchange = exchange
        self._evidence = exchange.evidence
        self._evidence.on_blocks = self._apply_blocks
        self._pool = pool
        self._running = running
        self._request_trial = request_trial
        # Parts of prompts to report if an engine has crashed, by incarnation.
        self._unconfirmed: dict[str, set[str]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    # Admission.

    async def check(self, call: Call) -> float | None:
        """Return when a request that meets a block may be retried, in seconds.

        Returns:
          None if the request may be sent.
        """
        block = self._find_block(call)
        if block is None:
            return None
        wait_s = block.trial_at_s - self._timer.now_s()
        if wait_s <= 0 and await self._request_trial(block):
            call.is_trial = True
            return None
        self._log_blocked(call, block)
        return max(0.0, wait_s)

    def _find_block(self, call: Call) -> Block | None:
        return self._evidence.find_block(call.info.shared_parts)

    def _log_blocked(self, call: Call, block: Block) -> None:
        events.emit(
            PROMPT_BLOCKED,
            request_id=call.info.attempt_id,
            parts=sorted(block.parts),
            crashes=block.crashes,
            trials=block.trials,
        )

    def _apply_blocks(self, new: list[Block], gone: list[Block]) -> None:
        for block in new:
            events.emit(
                PROMPT_PARTS_BLOCKED, parts=sorted(block.parts), crashes=block.crashes
            )
        for block in gone:
            events.emit(
                PROMPT_PARTS_RELEASED, parts=sorted(block.parts), trials=block.trials
            )
        if new:
            self._running.end(self._must_end, BLOCKED)

    def _must_end(self, call: Call) -> bool:
        """Return whether a request that waits, or has just been sent, is blocked."""
        if call.has_survived or call.is_trial:
            return False
        block = self._find_block(call)
        if block is None:
            return False
        self._log_blocked(call, block)
        return True

    # Observation of runs.

    def note_progress(
        self, call: Call, first_event_s: float, *, is_complete: bool
    ) -> None:
        """Record events of a run, or its complete response."""
        if call.has_survived or not call.info.shared_parts:
            return
        if is_complete or self._timer.now_s() - first_event_s >= SURVIVAL_S:
            call.has_survived = True
            self._evidence.note_sound(call.info.shared_parts)

    def note_broken(
        self,
        call: Call,
        target: Target,
        head_s: float | None,
        first_event_s: float | None,
    ) -> bool:
        """Record the end of a run's connection.

        Args:
          call: the request.
          target: the engine.
          head_s: when the head of the run's response came; None if it did not.
          first_event_s: when its first event came; None if none did.

        Returns:
          Whether the request may be resumed elsewhere.
        """
        parts = call.info.shared_parts
        if head_s is None or call.has_survived or not parts:
            return True
        now_s = self._timer.now_s()
        if first_event_s is not None and now_s - first_event_s > START_WINDOW_S:
            return True
        self._confirm(target, parts)
        is_blocked = self._find_block(call) is not None
        return not (is_blocked or self._evidence.is_suspect(parts))

    def _confirm(self, target: Target, parts: tuple[str, ...]) -> None:
        """Report the parts if the engine refuses connections."""
        incarnation = target.info.incarnation
        unconfirmed = self._unconfirmed.get(incarnation)
        if unconfirmed is not None:
            unconfirmed.update(parts)
            return
        self._unconfirmed[incarnation] = set(parts)
        task = asyncio.ensure_future(self._confirm_crash(target))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _confirm_crash(self, target: Target) -> None:
        incarnation = target.info.incarnation
        try:
            connection = await self._pool.acquire(target.info.address, 0)
        except UpstreamError as error:
            parts = self._unconfirmed.pop(incarnation)
            if not error.is_refused:
                # A partition or a machine without power: no prompt causes that.
                return
            events.emit(
                ENGINE_CRASHED,
                target=target.info.identity,
                parts=sorted(parts),
                reason=str(error),
            )
            self._evidence.note_crash(incarnation, parts)
            await self._exchange.report()
        else:
            # The engine is there: it has broken off this run alone.
            del self._unconfirmed[incarnation]
            self._pool.release(connection)
