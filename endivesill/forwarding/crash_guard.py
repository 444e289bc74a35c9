"""Keeps requests that crash engines from being sent to more of them."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Coroutine
from typing import Any

from endivesill import events
from endivesill.fleet.crash_exchange import CrashExchange
from endivesill.fleet.crash_verdict import (
    Block,
)
from endivesill.fleet.events import (
    CRASH_CAUSE_BLOCKED,
    CRASH_CAUSE_RELEASED,
    END_NOT_COUNTED,
    ENGINE_CRASHED,
)
from endivesill.forwarding.attempt import Attempt
from endivesill.forwarding.call import Call
from endivesill.forwarding.cut_runs import (
    CompletedRun,
    CutRuns,
    HeldRequest,
    end_reason,
    request_ids,
)
from endivesill.forwarding.events import REQUEST_BLOCKED
from endivesill.forwarding.proxy_search import UNREACHED_S
from endivesill.forwarding.running_calls import RunningCalls
from endivesill.forwarding.target_client import TargetClient
from endivesill.forwarding.targets import Target
from endivesill.timer import TimerService

__all__ = ["BLOCKED", "CrashGuard"]

# Reason of a refusal because of a block.
BLOCKED = "crashes engines"
# Reason of a report of a crash.
REFUSED = "connections are refused"
# Time from the first event of a run after which a block no longer ends it.
UNDER_WAY_S = 1.0
# Time that an engine has to live on after a complete response, before that shows that
# the request is harmless.
LIVED_ON_S = 0.5
# How long cut runs are kept until the list, or another VM, shows that their engine has
# ended; longer than the list's lag.
CUT_RUNS_TTL_S = 5.0
# Engines, and causes, in one log line.
MAX_LOGGED_ENGINES = 8
MAX_LOGGED_CAUSES = 64
# When several engines of a service end at once, an entry cannot tell a crash from a
# loss of its network until it hears of another one. Checks without a result are
# repeated after this pause, in which what a search has found expires.
CHECK_PAUSE_S = UNREACHED_S + 0.1
MAX_CHECKS = 4
# Time between two requests for a trial; the leader grants one to the whole fleet.
TRIAL_REQUEST_PAUSE_S = 1.0


class CrashGuard:
    """Reports what engines crash under, and refuses requests that are blocked.

    Args:
      timer: the timer service.
      exchange: exchanges reports of crashes with the control VMs.
      client: connects to targets.
      running: the requests of this process.
    """

    def __init__(
        self,
        timer: TimerService,
        exchange: CrashExchange,
        client: TargetClient,
        running: RunningCalls,
    ) -> None:
        self._timer = timer
        self._exchange = exchange
        self._evidence = exchange.evidence
        self._evidence.on_blocks = self._apply_blocks
        self._client = client
        self._running = running
        # No trial is requested until then, as the last one was not granted.
        self._next_trial_s = float("-inf")
        self._tasks: set[asyncio.Task[Any]] = set()
        # Checks and repeated checks by incarnation; the runs cut there share one.
        self._checks: dict[str, asyncio.Task[bool | None]] = {}
        self._rechecks: dict[str, asyncio.Task[bool]] = {}
        # Runs that lost their connections, by incarnation.
        self._cut: dict[str, CutRuns] = {}
        self._completed: collections.deque[CompletedRun] = collections.deque()

    # Admission.

    async def check(self, call: Call) -> float | None:
        """Return when a request that meets a block may be retried, in seconds.

        Returns:
          None if the request may be sent.
        """
        block = self._find_block(call)
        if block is None:
            return None
        if await self._may_try(block):
            call.is_trial = True
            return None
        self._log_blocked(call, block)
        return self._trial_wait_s(block)

    def _trial_wait_s(self, block: Block) -> float:
        return max(0.0, block.trial_at_s - self._timer.now_s())

    async def _may_try(self, block: Block) -> bool:
        """Return whether the leader lets one request through a block."""
        now_s = self._timer.now_s()
        if self._trial_wait_s(block) > 0 or now_s < self._next_trial_s:
            return False
        self._next_trial_s = now_s + TRIAL_REQUEST_PAUSE_S
        return await self._exchange.request_trial(block)

    def _find_block(self, call: Call) -> Block | None:
        return self._evidence.find_block(call.causes)

    def _log_blocked(self, call: Call, block: Block) -> None:
        events.emit(
            REQUEST_BLOCKED,
            request_id=call.info.attempt_id,
            causes=sorted(block.causes),
            crashes=block.crashes,
            engines=sorted(block.engines)[:MAX_LOGGED_ENGINES],
            trials=block.trials,
        )

    def _apply_blocks(self, new: list[Block], gone: list[Block]) -> None:
        for block in new:
            events.emit(
                CRASH_CAUSE_BLOCKED,
                causes=sorted(block.causes),
                crashes=block.crashes,
                engines=sorted(block.engines)[:MAX_LOGGED_ENGINES],
            )
        for block in gone:
            events.emit(
                CRASH_CAUSE_RELEASED, causes=sorted(block.causes), trials=block.trials
            )
        if new:
            wait_s = min(map(self._trial_wait_s, new))
            self._running.end(self._must_end, BLOCKED, wait_s)

    def _must_end(self, call: Call) -> bool:
        """Return whether a request that waits, or has just been sent, is blocked."""
        if call.is_under_way or call.is_trial:
            return False
        block = self._find_block(call)
        if block is None:
            return False
        self._log_blocked(call, block)
        return True

    # Observation of runs.

    def note_progress(self, call: Call, first_event_s: float) -> None:
        """Record events of a run whose first one came at `first_event_s`."""
        if self._timer.now_s() - first_event_s >= UNDER_WAY_S:
            call.is_under_way = True

    def note_complete(self, call: Call, attempt: Attempt) -> None:
        """Record a complete response.

        The crash of an engine looks like the end of a response without framing, so the
        engine is checked after one.

        Args:
          call: the request.
          attempt: the response.
        """
        if not call.causes:
            return
        request = HeldRequest.of(call, self._timer.now_s(), is_complete=True)
        run = CompletedRun(request, attempt.target, attempt.body)
        if attempt.head.framed:
            self._add_completed(run)
        else:
            self._start(self._check_end(run))

    def note_broken(self, call: Call, target: Target) -> None:
        """Record that a run has lost its connection.

        Whether it waited at the engine, was read or had run for long: it counts if the
        engine has ended.
        """
        causes = call.causes
        if not causes:
            return
        is_blocked = self._find_block(call) is not None
        call.is_suspect = is_blocked or self._evidence.is_suspect(causes)
        self._add_cut(HeldRequest.of(call, self._timer.now_s()), target)
        self._start(self._check_crash(target))

    def _add_cut(self, request: HeldRequest, target: Target) -> None:
        now_s = self._timer.now_s()
        incarnation = target.info.incarnation
        runs = self._cut.get(incarnation)
        if runs is None:
            runs = self._cut[incarnation] = CutRuns(target, now_s)
        runs.last_s = now_s
        runs.requests.append(request)

    def _add_completed(self, run: CompletedRun) -> None:
        """Look again after a time whether the engine of a complete run has lived on."""
        self._completed.append(run)
        if len(self._completed) == 1:
            self._timer.call_after(LIVED_ON_S, self._settle_completed)

    def _settle_completed(self) -> None:
        """Clear the causes of complete runs whose engines have lived on."""
        now_s = self._timer.now_s()
        completed = self._completed
        while completed and completed[0].request.ended_s <= now_s - LIVED_ON_S:
            self._settle(completed.popleft())
        if completed:
            due_s = completed[0].request.ended_s + LIVED_ON_S
            self._timer.call_after(due_s - now_s, self._settle_completed)

    def _settle(self, run: CompletedRun) -> None:
        incarnation = run.target.info.incarnation
        has_ended = run.body.has_lost_target()
        if has_ended is None:
            has_ended = self._client.has_lost_idle(run.target.info)
        cut = self._cut.get(incarnation)
        if cut is not None and run.request.ended_s <= cut.last_s:
            cut.requests.append(run.request)
        elif incarnation in self._evidence.crashed:
            self._evidence.note_crash(incarnation, run.request.causes)
            self._start(self._exchange.report())
        elif has_ended:
            # A new connection may already reach the next engine at the address.
            self._add_cut(run.request, run.target)
            self._start(self._check_crash(run.target))
        else:
            self._evidence.note_sound(run.request.causes, run.request.ended_s)

    def _start(self, check: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.ensure_future(check)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _check_end(self, run: CompletedRun) -> None:
        """Count a run as complete if its engine accepts connections."""
        accepts = await self._accepts(run.target)
        if accepts:
            self._add_completed(run)
            return
        self._add_cut(run.request, run.target)
        if accepts is False:
            await self._report_end(run.target, REFUSED)

    async def _check_crash(self, target: Target) -> None:
        """Report the cut runs of an engine if it refuses connections."""
        if await self._accepts(target) is False:
            await self._report_end(target, REFUSED)

    async def _accepts(self, target: Target) -> bool | None:
        """Return whether an engine accepts connections; None if it is not known.

        One that accepts them has broken off runs alone, or another engine has its
        address already, which the list or a response shows later.
        """
        accepts = await self._connect(target)
        if accepts is None and await self._recheck(target):
            return False
        return accepts

    async def _connect(self, target: Target) -> bool | None:
        """Check an engine; runs that are cut at the same time share a check."""
        incarnation = target.info.incarnation
        task = self._checks.get(incarnation)
        if task is None:
            task = asyncio.ensure_future(self._client.check(target.info))
            self._checks[incarnation] = task
            task.add_done_callback(lambda task: self._checks.pop(incarnation))
        return await asyncio.shield(task)

    def review(self) -> None:
        """Report the cut runs of engines that are known to have ended by now.

        Called whenever the targets have changed, and periodically.
        """
        now_s = self._timer.now_s()
        for incarnation, runs in list(self._cut.items()):
            reason = end_reason(runs.target)
            if incarnation in self._evidence.crashed:
                reason = "another VM has reported it"
            if reason and runs.requests:
                self._start(self._report_end(runs.target, reason))
            elif expired := runs.take_ended_before(now_s - CUT_RUNS_TTL_S):
                self._drop(runs.target, expired)
            if not runs.requests:
                self._cut.pop(incarnation, None)

    def _drop(self, target: Target, requests: list[HeldRequest]) -> None:
        """Count requests for nothing; by now the list would show their engine's end."""
        self._log_not_counted(target, requests, "no proof that the engine has ended")
        for request in requests:
            if request.is_complete:
                self._evidence.note_sound(request.causes, request.ended_s)

    def _log_not_counted(
        self, target: Target, requests: list[HeldRequest], reason: str
    ) -> None:
        events.emit(
            END_NOT_COUNTED,
            target=target.info.identity,
            requests=request_ids(requests),
            reason=reason,
        )

    async def _report_end(self, target: Target, reason: str) -> None:
        """Report that an engine has ended under its cut runs."""
        incarnation = target.info.incarnation
        runs = self._cut.pop(incarnation, None)
        if runs is None or not runs.requests:
            return
        if target.draining_since_s is not None:
            self._log_not_counted(target, runs.requests, "the engine was leaving")
            return
        causes = sorted(
            {cause for request in runs.requests for cause in request.causes}
        )
        self._evidence.note_crash(incarnation, causes)
        events.emit(
            ENGINE_CRASHED,
            target=target.info.identity,
            causes=causes[:MAX_LOGGED_CAUSES],
            held=len(runs.requests),
            requests=request_ids(runs.requests),
            reason=reason,
        )
        await self._exchange.report()

    async def _recheck(self, target: Target) -> bool:
        """Return whether later checks show that an engine refuses connections."""
        incarnation = target.info.incarnation
        task = self._rechecks.get(incarnation)
        if task is None:
            task = asyncio.ensure_future(self._is_refused_later(target))
            self._rechecks[incarnation] = task
            task.add_done_callback(lambda task: self._rechecks.pop(incarnation))
        return await asyncio.shield(task)

    async def _is_refused_later(self, target: Target) -> bool:
        """Check an engine again; return whether it refuses connections.

        Another VM may have found out meanwhile. An engine that accepts connections by
        now may be a new one at the same address.
        """
        for _ in range(MAX_CHECKS - 1):
            await self._timer.sleep(CHECK_PAUSE_S)
            if target.info.incarnation in self._evidence.crashed:
                return True
            accepts = await self._client.check(target.info)
            if accepts is not None:
                return not accepts
        return False
