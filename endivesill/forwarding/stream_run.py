"""One run of a generation at one engine, and the stream that its caller gets."""

from __future__ import annotations

import attrs

from endivesill.fleet.strain import PauseWatch
from endivesill.forwarding.attempt import Attempt
from endivesill.forwarding.call import Call
from endivesill.forwarding.run_copy import RunCopy
from endivesill.forwarding.run_stop import AbandonedRun, RunEnding
from endivesill.forwarding.targets import Target, TargetTable

__all__ = ["StreamProgress", "StreamRun"]


@attrs.define(eq=False)
class StreamRun:
    """One run of a generation at one engine.

    Attributes:
      target: the engine.
      backup: receives a live copy of the run's KV cache.
      attempt: the response, once it has begun.
      sent_s: when it was sent.
      head_s: when its head came; None before.
      events: events that came from this run.
      first_event_s: when the first of them came; None before.
      prefill_done: whether the prompt was counted as prefilled.
      copy: a copy on demand, made because the backup cannot be used.
      has_pace: whether the time per event was recorded.
      is_moving: whether it was stopped in order to resume from its copy.
      is_silent: whether it was given up because its engine sent nothing.
      is_unreached: whether the engine could not be connected to then.
      has_ended: whether its engine has said that it does not work on it any more.
      ending: what becomes of it after it was given up; None before.
      successor: where it resumes; None unless it does.
      watch: tells its long pauses from the usual ones; None where any is allowed.
    """

    target: Target
    backup: Target | None
    attempt: Attempt | None = None
    sent_s: float = 0.0
    head_s: float | None = None
    events: int = 0
    first_event_s: float | None = None
    prefill_done: bool = False
    copy: RunCopy | None = None
    has_pace: bool = False
    is_moving: bool = False
    is_silent: bool = False
    is_unreached: bool = False
    has_ended: bool = False
    ending: RunEnding | None = None
    successor: Target | None = None

    def head_age_s(self, now_s: float) -> float | None:
        """Return the time since the head of the response; None without one."""
        return None if self.head_s is None else round(now_s - self.head_s, 4)

    def find_successor(self, table: TargetTable) -> Target | None:
        """Return an engine with a copy of the run that accepts it; None without one."""
        if self.backup is not None and table.accepts_requests(self.backup):
            return self.backup
        copy = self.copy
        if copy is not None and copy.name and table.accepts_requests(copy.destination):
            return copy.destination
        return None

    def find_copy(self, table: TargetTable, call: Call) -> tuple[Target | None, str]:
        """Return the engine with the newest copy of the run, and the copy's name.

        Args:
          table: says which engines accept it.
          call: the request.
        """
        backup = None
        if self.backup is not None and table.accepts_requests(self.backup):
            backup = self.backup, f"{self.backup.info.address}/{call.info.attempt_id}"
        # A backup has all but the last moments of a run whose connection worked.
        if backup is not None and not self.is_silent:
            return backup
        stopped = self.ending.stopped if self.ending is not None else None
        destination = stopped.destination if stopped is not None else None
        if destination is not None and table.accepts_requests(destination):
            assert stopped is not None
            return destination, stopped.copy_name
        if backup is not None:
            return backup
        copy = self.copy
        if copy is not None and copy.name and table.accepts_requests(copy.destination):
            return copy.destination, copy.name
        return None, ""

    def abandon(self, call: Call, *, resumes: bool) -> AbandonedRun:
        """Return what is needed to stop the run, which is given up.

        Args:
          call: the request.
          resumes: whether another engine is to go on with it.
        """
        return AbandonedRun(
            call,
            self.target,
            self.successor or self.backup,
            is_silent=self.is_silent,
            is_unreached=self.is_unreached,
            was_closed=self.is_moving,
            is_proxied=self.attempt is not None and self.attempt.body.is_proxied,
            resumes=resumes,
        )

    watch: PauseWatch | None = None


@attrs.define
class StreamProgress:
    """What a caller has received of a stream.

    Attributes:
      events: events sent to the caller.
      first_event_s: when the first one was sent.
      last_event_s: when the last one was sent.
      longest_gap_s: longest time between two.
    """

    events: int = 0
    first_event_s: float = 0.0
    last_event_s: float = 0.0
    longest_gap_s: float = 0.0

    def note(self, count: int, now_s: float) -> float | None:
        """Count events; return the pause before them, None before the first ones."""
        gap_s = None
        if self.events:
            gap_s = now_s - self.last_event_s
            self.longest_gap_s = max(self.longest_gap_s, gap_s)
        else:
            self.first_event_s = now_s
        self.last_event_s = now_s
        self.events += count
        return gap_s
