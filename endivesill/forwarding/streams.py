"""Relays a generation's event stream to its caller and resumes it from copies.

The caller gets each event once and in order, also over several engines.
"""

from __future__ import annotations

import asyncio

from endivesill import errors, events
from endivesill.fleet.strain import PauseWatch
from endivesill.forwarding.attempt import (
    Attempt,
    AttemptError,
    Sender,
    is_proxy_lost,
)
from endivesill.forwarding.call import Call
from endivesill.forwarding.crash_guard import CrashGuard
from endivesill.forwarding.event_stream import EventSequence, EventSplitter
from endivesill.forwarding.events import ATTEMPT_FAILED, STREAM_RESUMED
from endivesill.forwarding.placer import Placement, Placer
from endivesill.forwarding.run_copy import RunCopier, RunCopy
from endivesill.forwarding.run_stop import RunStopper
from endivesill.forwarding.stream_run import StreamProgress, StreamRun
from endivesill.forwarding.targets import Target, TargetTable
from endivesill.forwarding.version_log import PACE_EVENTS, VersionLog
from endivesill.http1 import UpstreamError, strip_hop_by_hop
from endivesill.timer import TimerService

__all__ = ["StreamBrokenError", "StreamRelay"]

# How often a stream may be resumed.
MAX_RESUMES = 6
# How long after an engine has begun to drain its report shows whether it was given
# notice: reports are up to 0.7 s old and are read every 0.35 s.
NOTICE_LAG_S = 1.2
# Engines emit an event every few hundredths of a second. After this long without one,
# the stream is resumed elsewhere if there is a copy and the engine cannot be connected
# to; preempted generations resume sooner.
STALL_TIMEOUT_S = 1.5
# The same for an engine that accepts connections: it may go on after a second or two,
# and reads only then that the stream was closed.
MAX_SILENCE_S = 3.0
# Parts of a prompt in one log line.
MAX_LOGGED_PARTS = 16


class StreamBrokenError(errors.EndivesillError):
    """A stream that cannot be continued."""


class StreamRelay:
    """Relays one generation, resuming it at another engine where necessary.

    Args:
      timer: the timer service.
      sender: sends requests.
      table: the targets.
      placer: places copies.
      copier: orders copies of runs.
      stopper: stops runs that were given up.
      guard: is told how runs go on.
      versions: counts outcomes by version.
      call: the request.

    Attributes:
      progress: the events sent to the caller.
      resumes: how often the stream was resumed.
      target: the engine of the newest run.
    """

    def __init__(
        self,
        timer: TimerService,
        sender: Sender,
        table: TargetTable,
        placer: Placer,
        copier: RunCopier,
        stopper: RunStopper,
        guard: CrashGuard,
        versions: VersionLog,
        call: Call,
    ) -> None:
        self._timer = timer
        self._sender = sender
        self._table = table
        self._placer = placer
        self._copier = copier
        self._stopper = stopper
        self._guard = guard
        self._versions = versions
        self._copy_task: asyncio.Task[None] | None = None
        self._call = call
        self._run: StreamRun | None = None
        self._sequence = EventSequence(call.info.last_event_id)
        self.progress = StreamProgress()
        self.resumes = 0
        self.target: Target | None = None

    async def run(self, placement: Placement) -> Attempt | None:
        """Run the request at its placement until the stream has ended.

        Returns:
          An attempt whose response is not a stream, which the caller of this method
          forwards and releases; None after a complete stream.

        Raises:
          AttemptError: the first attempt has no response and there is no copy.
          StreamBrokenError: the stream has begun and cannot be continued.
        """
        run = self._run = StreamRun(placement.target, placement.backup)
        self._table.watchers.add(self._check_run)
        try:
            return await self._relay_runs(run)
        finally:
            self._run = None
            self._table.watchers.discard(self._check_run)

    async def _relay_runs(self, run: StreamRun) -> Attempt | None:
        """Relay one run after another."""
        resume_from = ""
        while True:
            was_resumed = bool(resume_from)
            try:
                attempt = await self._send(run, resume_from)
                if attempt.response.status != 200:
                    run.has_ended = True
                    return self._non_stream_response(attempt)
                await self._relay(run, attempt)
                run.has_ended = True
                return None
            except (AttemptError, UpstreamError) as error:
                if isinstance(error, AttemptError):
                    run.has_ended = error.failure.not_run
                resume_from = ""
                next_run, resume_from = await self._next_run(run, error, was_resumed)
            finally:
                self._release_run(run, resume_from)
            run = self._run = next_run
            self._sequence.begin_run()

    async def _send(self, run: StreamRun, resume_from: str) -> Attempt:
        self.target = run.target
        if resume_from:
            await self._wait_for_permit(run.target)
        last_event_id = str(self._sequence.last_id or 0) if resume_from else ""
        run.sent_s = self._timer.now_s()
        run.attempt = await self._sender.send(
            self._call,
            run.target,
            backup=run.backup,
            resume_from=resume_from,
            last_event_id=last_event_id,
        )
        run.head_s = self._timer.now_s()
        return run.attempt

    async def _wait_for_permit(self, target: Target) -> None:
        """Wait until a target may be sent a resume; a placement has its permit.

        Raises:
          StreamBrokenError: its limit leaves no room in time.
        """
        permits = self._table.permits
        incarnation = target.info.incarnation
        if not await permits.acquire(self._timer, incarnation, STALL_TIMEOUT_S):
            raise StreamBrokenError("the engine's limit leaves no room for a resume")

    def _non_stream_response(self, attempt: Attempt) -> Attempt:
        """Return an attempt whose response is to be forwarded as a whole.

        Raises:
          StreamBrokenError: the caller has received part of a stream already.
        """
        if self._call.exchange.head_sent:
            attempt.body.release()
            raise StreamBrokenError(f"status {attempt.response.status} on a resume")
        return attempt

    def _release_run(self, run: StreamRun, copy_in_use: str) -> None:
        demand = self._call.demand
        run.target.release(demand, prefill_done=run.prefill_done)
        if run.copy is not None:
            run.copy.close(copy_in_use)
        if run.backup is not None:
            run.backup.release_copy(demand)
        if run.attempt is not None and run.attempt.response.status == 200:
            run.attempt.body.release()
        if run.ending is None and run.sent_s and not run.has_ended:
            run.ending = self._stopper.begin(run.abandon(self._call, resumes=False))
        if run.ending is not None:
            run.ending.conclude(copy_in_use)

    async def _next_run(
        self, run: StreamRun, error: errors.EndivesillError, was_resumed: bool
    ) -> tuple[StreamRun, str]:
        """Return the run that continues the stream and the copy it resumes from.

        Raises:
          AttemptError: the request was not run.
          StreamBrokenError: there is no usable copy, or the engine works on the run.
        """
        call = self._call
        events.emit(
            ATTEMPT_FAILED,
            request_id=call.info.attempt_id,
            target=run.target.info.identity,
            reason="moved" if run.is_moving else str(error),
            events=self.progress.events,
            run_events=run.events,
            head_age_s=run.head_age_s(self._timer.now_s()),
            prompt_parts=call.info.shared_parts[:MAX_LOGGED_PARTS],
            request_digest=call.causes[-1] if call.causes else None,
            backup=run.backup.info.identity if run.backup else None,
            copy=run.copy.name if run.copy else None,
        )
        not_run = isinstance(error, AttemptError) and error.failure.not_run
        if not_run and not was_resumed:
            raise error
        is_own_end = run.is_moving or is_proxy_lost(error)
        if not is_own_end and not not_run:
            self._guard.note_broken(call, run.target)
        run.successor = run.find_successor(self._table)
        if run.successor is None or not_run or not self._may_resume():
            raise StreamBrokenError(str(error)) from None
        if run.copy is not None:
            run.copy.halt()
        run.ending = self._stopper.begin(run.abandon(call, resumes=True))
        if not await run.ending.allows_resume():
            raise StreamBrokenError("the engine works on the run") from None
        target, copy = run.find_copy(self._table, call)
        if target is None or not self._may_resume():
            raise StreamBrokenError(str(error)) from None
        self.resumes += 1
        if not is_own_end and self._table.accepts_requests(run.target):
            # An engine that leaves ends its runs; one that stays has failed.
            self._table.note_outcome(run.target, succeeded=False)
            self._versions.note_failed(call, run.target)
        events.emit(
            STREAM_RESUMED,
            request_id=call.info.attempt_id,
            target=target.info.identity,
            after_event=self._sequence.last_id,
        )
        self._stopper.supersede(call, target)
        target.reserve(call.demand)
        return StreamRun(target, self._placer.reserve_backup(call, target)), copy

    def _may_resume(self) -> bool:
        return not self._call.is_suspect and self.resumes < MAX_RESUMES

    def _check_run(self) -> None:
        """Resume a stalled run elsewhere, or start, drop or use a copy of the run.

        Called whenever the targets have changed, and periodically.
        """
        run = self._run
        if run is None or run.attempt is None or not self.progress.events:
            return
        if run.is_silent:
            return
        has_backup = run.backup is not None and self._table.accepts_requests(run.backup)
        has_copy = run.copy is not None and self._table.accepts_requests(
            run.copy.destination
        )
        idle_s = self._timer.now_s() - self.progress.last_event_s
        if (has_backup or has_copy) and self._is_stalled(run.attempt, idle_s):
            run.is_silent = True
            run.is_unreached = self._sender.is_unreachable(run.attempt)
            run.attempt.body.abort()
        elif run.copy is not None and (
            run.copy.has_failed or not has_copy or not self._may_end_soon(run.target)
        ):
            run.copy.close()
            run.copy = None
        if has_backup:
            return
        if run.copy is None:
            self._start_copy(run)
        elif run.copy.name and self._must_move(run.target):
            self._move(run)

    def _is_stalled(self, attempt: Attempt, idle_s: float) -> bool:
        """Return whether a run is to be resumed, as its engine sends nothing."""
        if idle_s > STALL_TIMEOUT_S / 2:
            self._sender.check_silent(attempt, self.progress.last_event_s)
        if idle_s > STALL_TIMEOUT_S and self._sender.is_unreachable(attempt):
            return True
        return idle_s > MAX_SILENCE_S

    def _move(self, run: StreamRun) -> None:
        """Stop a run so that it resumes from its copy before its engine shuts down.

        If all runs of an engine resumed only when it shuts down, they would delay each
        other beyond the gap target of their routes.
        """
        assert run.attempt is not None
        run.is_moving = True
        run.attempt.body.abort()

    def _start_copy(self, run: StreamRun) -> None:
        """Copy a run whose engine may shut down before it ends.

        Other runs get no copy, since copies take KV cache that queued requests need.
        """
        if not self._may_end_soon(run.target):
            return
        if self._copy_task is None or self._copy_task.done():
            self._copy_task = asyncio.ensure_future(self._place_and_copy(run))

    def _must_move(self, target: Target) -> bool:
        """Return whether a target will shut down without waiting for its runs."""
        info, versions = target.info, self._table.versions
        return info.has_notice or versions.is_retiring(info.service, info.incarnation)

    def _may_end_soon(self, target: Target) -> bool:
        """Return whether a target may shut down before its runs have ended.

        A target that drains without notice waits for its runs, but the notice is
        visible only some time after the drain has begun.
        """
        if not target.listed or self._must_move(target):
            return True
        since_s = target.draining_since_s
        if since_s is None:
            return False
        return self._timer.now_s() - since_s < NOTICE_LAG_S

    async def _place_and_copy(self, run: StreamRun) -> None:
        call = self._call
        destination = await self._placer.place_copy(call, run.target)
        if destination is None:
            return
        if self._run is not run or run.copy is not None:
            destination.release_copy(call.demand)
            return
        run.copy = RunCopy(self._copier, call, run.target, destination, self._check_run)
        run.copy.start()

    async def _relay(self, run: StreamRun, attempt: Attempt) -> None:
        exchange = self._call.exchange
        if not exchange.head_sent:
            exchange.start(200, strip_hop_by_hop(attempt.head.headers))
        splitter = EventSplitter()
        while data := await attempt.body.read():
            new_events = self._sequence.take_new(splitter.feed(data))
            if not new_events:
                continue
            if not run.prefill_done:
                run.prefill_done = True
                run.target.note_prefill_done(self._call.demand)
            self._note_progress(run, len(new_events))
            pause_s = self.progress.note(len(new_events), self._timer.now_s())
            if pause_s is not None:
                self._note_pause(run, pause_s)
            exchange.send(b"".join(event.data for event in new_events))
            await exchange.drain()
        if splitter.remainder:
            raise UpstreamError("the stream ended inside an event", sent=True)
        if not attempt.head.framed and not run.events:
            raise UpstreamError("the stream ended before its first event", sent=True)
        exchange.finish()
        self._guard.note_complete(self._call, attempt)

    def _note_progress(self, run: StreamRun, count: int) -> None:
        """Record the events of a run, and how fast they came."""
        call, now_s = self._call, self._timer.now_s()
        run.events += count
        if run.first_event_s is None:
            run.first_event_s = now_s
            self._versions.note_start(call, run.target, now_s - run.sent_s)
        elif not run.has_pace and run.events > PACE_EVENTS:
            run.has_pace = True
            elapsed_s = now_s - run.first_event_s
            self._versions.note_pace(call, run.target, run.events - 1, elapsed_s)
        self._guard.note_progress(call, run.first_event_s)

    def _note_pause(self, run: StreamRun, pause_s: float) -> None:
        incarnation = run.target.info.incarnation
        self._table.pauses.note(incarnation, pause_s)
        if run.watch is None:
            run.watch = PauseWatch(self._call.demand.pause_limit_s)
        if run.watch.note(pause_s):
            self._table.on_strain(incarnation)
