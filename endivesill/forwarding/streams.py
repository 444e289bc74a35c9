"""Passes a stream of events on to the caller, each event once and in order."""

from __future__ import annotations

import attrs

from endivesill import errors, events
from endivesill.forwarding.attempt import Attempt, AttemptError, Sender
from endivesill.forwarding.call import Call
from endivesill.forwarding.event_stream import EventSplitter, StreamEvent
from endivesill.forwarding.events import ATTEMPT_ENDED, STREAM_RESUMED
from endivesill.forwarding.placement import choose_backup
from endivesill.forwarding.targets import Target, TargetTable
from endivesill.forwarding.waiting import note_first_event, release, reserve
from endivesill.http1 import ConnectionPool, UpstreamError, strip_hop_by_hop
from endivesill.timer import TimerService

__all__ = ["StreamBrokenError", "StreamRelay"]

# Copies of a run that are tried one after the other.
RESUMES_LIMIT = 6


class StreamBrokenError(errors.EndivesillError):
    """A stream that cannot go on."""


@attrs.define(eq=False)
class _Run:
    """The run of a generation at one engine, with the copy of its memory."""

    target: Target
    backup: Target | None
    attempt: Attempt | None = None
    read: bool = False


class StreamRelay:
    """Runs one generation, at one engine after the other if they leave.

    Args:
      timer: the timer service.
      sender: sends requests.
      pool: connections to targets.
      table: the targets.
      call: the request.
      headers: returns the headers for the caller, of an engine's answer.
    """

    def __init__(
        self,
        timer: TimerService,
        sender: Sender,
        pool: ConnectionPool,
        table: TargetTable,
        call: Call,
    ) -> None:
        self._timer = timer
        self._sender = sender
        self._pool = pool
        self._table = table
        self._call = call
        self._last_number: int | None = None
        self.events = 0
        self.first_event_s = 0.0
        self.longest_gap_s = 0.0
        self.resumes = 0
        self._last_event_s = 0.0

    async def run(self, target: Target) -> Attempt | None:
        """Run the request at a target that has a place for it.

        Returns:
          An attempt whose answer is not a stream, for the caller of this method
          to pass on and release; None after a stream that was passed on whole.

        Raises:
          AttemptError: the first attempt gave no answer and no copy exists.
          StreamBrokenError: events were passed on and no more can be had.
        """
        run = self._begin(target)
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
        if self._call.exchange.answered:
            self._pool.release(attempt.connection)
            raise StreamBrokenError(f"status {attempt.answer.status} on a resume")
        return attempt

    def _begin(self, target: Target) -> _Run:
        targets = self._table.candidates(self._call.service.name, ())
        backup = choose_backup(targets, self._call.service, self._call.need, target)
        if backup is not None:
            backup.reserved_tokens += self._call.need.memory_tokens
        return _Run(target, backup)

    def _end(self, run: _Run) -> None:
        release(run.target, self._call, read=run.read)
        if run.backup is not None:
            run.backup.reserved_tokens -= self._call.need.memory_tokens
        if run.attempt is not None and run.attempt.answer.status == 200:
            self._pool.release(run.attempt.connection)

    def _next(
        self, run: _Run, error: errors.EndivesillError, *, resumed: bool
    ) -> tuple[_Run, str]:
        """Return the next run and the copy that it goes on from."""
        call = self._call
        events.emit(
            ATTEMPT_ENDED,
            request=call.info.attempt_id,
            target=run.target.info.identity,
            reason=str(error),
            events=self.events,
            backup=run.backup.info.identity if run.backup else None,
        )
        not_run = isinstance(error, AttemptError) and error.failure.not_run
        if not_run and not resumed:
            raise error
        backup = run.backup
        if backup is None or not_run or self.resumes >= RESUMES_LIMIT:
            raise StreamBrokenError(str(error)) from None
        self.resumes += 1
        events.emit(
            STREAM_RESUMED,
            request=call.info.attempt_id,
            target=backup.info.identity,
            after_event=self._last_number,
        )
        reserve(backup, call)
        copy = f"{backup.info.address}/{call.info.attempt_id}"
        return self._begin(backup), copy

    async def _relay(self, run: _Run, attempt: Attempt) -> None:
        exchange = self._call.exchange
        if not exchange.answered:
            exchange.start(200, strip_hop_by_hop(attempt.head.headers))
        splitter = EventSplitter()
        while data := await attempt.connection.read():
            fresh = self._fresh(splitter.feed(data))
            if not fresh:
                continue
            if not run.read:
                run.read = True
                note_first_event(run.target, self._call)
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
