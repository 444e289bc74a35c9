"""Passes a stream of events on to the caller, each event once and in order."""

from __future__ import annotations

import asyncio

import attrs

from endivesill import errors, events
from endivesill.forwarding.attempt import Attempt, AttemptError, Sender
from endivesill.forwarding.call import Call
from endivesill.forwarding.event_stream import EventSplitter, StreamEvent
from endivesill.forwarding.events import ATTEMPT_ENDED, STREAM_RESUMED
from endivesill.forwarding.placer import Place, Placer
from endivesill.forwarding.run_copy import RunCopier, RunCopy
from endivesill.forwarding.targets import Target, TargetTable
from endivesill.http1 import ConnectionPool, UpstreamError, strip_hop_by_hop
from endivesill.timer import TimerService

__all__ = ["StreamBrokenError", "StreamRelay"]

# Copies of a run that are tried one after the other.
RESUMES_LIMIT = 6
# How long after an engine has begun to drain its report tells whether it has been
# given notice: reports are up to 0.7 s old when they are read every 0.35 s.
NOTICE_LAG_S = 1.2
# A generation makes an event every few hundredths of a second. One that has
# been silent for this long stands at an engine that is dark, and goes on
# elsewhere if there is a copy; a preempted one is back before.
SILENCE_S = 1.5


class StreamBrokenError(errors.EndivesillError):
    """A stream that cannot go on."""


@attrs.define(eq=False)
class _Run:
    """The run of a generation at one engine.

    Attributes:
      target: the engine.
      backup: who gets a copy of its memory as it grows.
      attempt: the answer, once it has begun.
      read: whether the prompt was counted as read.
      copy: a copy that was ordered because the backup cannot be used.
      is_moving: whether it was ended to go on from its copy.
    """

    target: Target
    backup: Target | None
    attempt: Attempt | None = None
    read: bool = False
    copy: RunCopy | None = None
    is_moving: bool = False


class StreamRelay:
    """Runs one generation, at one engine after the other if they leave.

    Args:
      timer: the timer service.
      sender: sends requests.
      pool: connections to targets.
      table: the targets.
      placer: finds places for copies.
      copier: orders copies of runs.
      call: the request.

    Attributes:
      events: how many events were passed on.
      first_event_s: when the first was.
      longest_gap_s: the longest pause between two.
      resumes: how often the stream went on at another engine.
    """

    def __init__(
        self,
        timer: TimerService,
        sender: Sender,
        pool: ConnectionPool,
        table: TargetTable,
        placer: Placer,
        copier: RunCopier,
        call: Call,
    ) -> None:
        self._timer = timer
        self._sender = sender
        self._pool = pool
        self._table = table
        self._placer = placer
        self._copier = copier
        self._ordering: asyncio.Task[None] | None = None
        self._call = call
        self._run: _Run | None = None
        self._last_number: int | None = None
        self.events = 0
        self.first_event_s = 0.0
        self.longest_gap_s = 0.0
        self.resumes = 0
        self._last_event_s = 0.0

    async def run(self, place: Place) -> Attempt | None:
        """Run the request at a place that is taken for it.

        Returns:
          An attempt whose answer is not a stream, for the caller of this method
          to pass on and release; None after a stream that was passed on whole.

        Raises:
          AttemptError: the first attempt gave no answer and no copy exists.
          StreamBrokenError: events were passed on and no more can be had.
        """
        run = self._run = _Run(place.target, place.backup)
        self._table.watchers.add(self._review)
        try:
            return await self._run_on(run)
        finally:
            self._run = None
            self._table.watchers.discard(self._review)

    async def _run_on(self, run: _Run) -> Attempt | None:
        """Run at one engine after the other."""
        resume_from = ""
        while True:
            try:
                attempt = await self._send(run, resume_from)
                if attempt.answer.status != 200:
                    return self._not_a_stream(attempt)
                await self._relay(run, attempt)
                return None
            except (AttemptError, UpstreamError) as error:
                following = self._next(run, error, resumed=bool(resume_from))
            finally:
                self._end(run)
            run, resume_from = following
            self._run = run

    async def _send(self, run: _Run, resume_from: str) -> Attempt:
        last_event_id = str(self._last_number or 0) if resume_from else ""
        run.attempt = await self._sender.send(
            self._call,
            run.target,
            backup=run.backup,
            resume_from=resume_from,
            last_event_id=last_event_id,
        )
        return run.attempt

    def _not_a_stream(self, attempt: Attempt) -> Attempt:
        """Return an attempt whose answer is to be passed on as a whole."""
        if self._call.exchange.head_sent:
            self._pool.release(attempt.connection)
            raise StreamBrokenError(f"status {attempt.answer.status} on a resume")
        return attempt

    def _end(self, run: _Run) -> None:
        need = self._call.need
        run.target.give_back(need, read=run.read)
        if run.copy is not None:
            run.copy.close()
        if run.backup is not None:
            run.backup.give_back_copy(need)
        if run.attempt is not None and run.attempt.answer.status == 200:
            self._pool.release(run.attempt.connection)

    def _next(
        self, run: _Run, error: errors.EndivesillError, *, resumed: bool
    ) -> tuple[_Run, str]:
        """Return the next run and the copy that it goes on from."""
        call = self._call
        events.emit(
            ATTEMPT_ENDED,
            request_id=call.info.attempt_id,
            target=run.target.info.identity,
            reason="moved" if run.is_moving else str(error),
            events=self.events,
            backup=run.backup.info.identity if run.backup else None,
            copy=run.copy.name if run.copy else None,
        )
        not_run = isinstance(error, AttemptError) and error.failure.not_run
        if not_run and not resumed:
            raise error
        target, copy = self._copy_of(run)
        if target is None or not_run or self.resumes >= RESUMES_LIMIT:
            raise StreamBrokenError(str(error)) from None
        self.resumes += 1
        events.emit(
            STREAM_RESUMED,
            request_id=call.info.attempt_id,
            target=target.info.identity,
            after_event=self._last_number,
        )
        target.take(call.need)
        return _Run(target, self._placer.backup_for(call, target)), copy

    def _copy_of(self, run: _Run) -> tuple[Target | None, str]:
        """Return who has a copy of a run that has ended, and its name."""
        if run.backup is not None and self._table.may_have_work(run.backup):
            address = run.backup.info.address
            return run.backup, f"{address}/{self._call.info.attempt_id}"
        copy = run.copy
        if copy is None or not copy.name:
            return None, ""
        if not self._table.may_have_work(copy.destination):
            return None, ""
        return copy.destination, copy.use()

    def _review(self) -> None:
        """Look after the run when targets have changed, and from time to time."""
        run = self._run
        if run is None or run.attempt is None or not self.events:
            return
        backed_up = run.backup is not None and self._table.may_have_work(run.backup)
        copied = run.copy is not None and self._table.may_have_work(
            run.copy.destination
        )
        silent_s = self._timer.now_s() - self._last_event_s
        if silent_s > SILENCE_S and (backed_up or copied):
            run.attempt.connection.abort()
        elif run.copy is not None and (
            run.copy.has_failed or not copied or not self._may_end_soon(run.target)
        ):
            run.copy.close()
            run.copy = None
        if backed_up:
            return
        if run.copy is None:
            self._order_copy(run)
        elif run.copy.name and run.target.info.has_notice:
            self._move(run)

    def _move(self, run: _Run) -> None:
        """Let a run go on from its copy before its engine ends.

        Answers the pattern of an engine that is taken away with all its runs: if
        they all go on elsewhere in the moment of its end, they delay each other
        beyond the longest pause that is on time.
        """
        assert run.attempt is not None
        run.is_moving = True
        run.attempt.connection.abort()

    def _order_copy(self, run: _Run) -> None:
        """Order a copy of a run that would be lost with its engine.

        Copies take memory that requests wait for, so that a run whose engine is
        not about to end gets none.
        """
        if not self._may_end_soon(run.target):
            return
        if self._ordering is None or self._ordering.done():
            self._ordering = asyncio.ensure_future(self._place_and_copy(run))

    def _may_end_soon(self, target: Target) -> bool:
        """Tell whether a target may end before its runs do.

        A target that drains without notice goes on until they have ended; but
        the notice shows some time after the drain.
        """
        if not target.listed or target.info.has_notice:
            return True
        since_s = target.draining_since_s
        if since_s is None:
            return False
        return self._timer.now_s() - since_s < NOTICE_LAG_S

    async def _place_and_copy(self, run: _Run) -> None:
        call = self._call
        destination = await self._placer.place_copy(call, run.target)
        if destination is None:
            return
        if self._run is not run or run.copy is not None:
            destination.give_back_copy(call.need)
            return
        run.copy = RunCopy(self._copier, call, run.target, destination, self._review)
        run.copy.start()

    async def _relay(self, run: _Run, attempt: Attempt) -> None:
        exchange = self._call.exchange
        if not exchange.head_sent:
            exchange.start(200, strip_hop_by_hop(attempt.head.headers))
        splitter = EventSplitter()
        while data := await attempt.connection.read():
            fresh = self._fresh(splitter.feed(data))
            if not fresh:
                continue
            if not run.read:
                run.read = True
                run.target.note_read(self._call.need)
            self._note_events(len(fresh))
            exchange.send(b"".join(event.data for event in fresh))
            await exchange.drain()
        if splitter.rest:
            raise UpstreamError("the stream ended inside an event", sent=True)
        exchange.finish()

    def _fresh(self, found: list[StreamEvent]) -> list[StreamEvent]:
        """Return the events that the caller does not have yet."""
        fresh = []
        for event in found:
            last = self._last_number
            if event.number is not None:
                if last is not None and event.number <= last:
                    continue
                if last is not None and event.number != last + 1:
                    raise UpstreamError(
                        f"event {event.number} follows {last}", sent=True
                    )
                self._last_number = event.number
            fresh.append(event)
        return fresh

    def _note_events(self, count: int) -> None:
        now_s = self._timer.now_s()
        if self.events:
            gap_s = now_s - self._last_event_s
            self.longest_gap_s = max(self.longest_gap_s, gap_s)
        else:
            self.first_event_s = now_s
        self._last_event_s = now_s
        self.events += count
