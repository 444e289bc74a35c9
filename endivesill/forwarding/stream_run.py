"""One run of a generation at one engine, and the stream that its caller gets."""

from __future__ import annotations

import attrs

from endivesill.fleet.strain import PauseWatch
from endivesill.forwarding.attempt import Attempt
from endivesill.forwarding.call import Call
from endivesill.forwarding.run_copy import RunCopy, StoppedRun
from endivesill.forwarding.run_stop import AbandonedRun
from endivesill.forwarding.targets import Target

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
      has_ended: whether its engine does not work on it any more, or is ordered not to.
      stopped: what its engine has left of it when it was ordered to stop.
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
    has_ended: bool = False
    stopped: StoppedRun | None = None
    successor: Target | None = None

    def head_age_s(self, now_s: float) -> float | None:
        """Return the time since the head of the response; None without one."""
        return None if self.head_s is None else round(now_s - self.head_s, 4)

    def abandon(self, call: Call, copy_in_use: str) -> AbandonedRun:
        """Return what is needed to stop the run, which is given up.

        Args:
          call: the request.
          copy_in_use: name of the copy from which it resumes; may be empty.
        """
        return AbandonedRun(
            call,
            self.target,
            self.successor or self.backup,
            is_silent=self.is_silent,
            is_proxied=self.attempt is not None and self.attempt.body.is_proxied,
            copy_in_use=copy_in_use,
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
