"""Model engines with little memory, in virtual time."""

from __future__ import annotations

import collections
import itertools
from collections.abc import Callable

import attrs

from bench.worst_load_arrivals import Arrival
from endivesill.fleet.model import EngineInfo, ModelEngineSpec, Service

__all__ = ["SERVICE", "Copy", "SimEngine", "SimRun"]

# The engines of the users' sheets.
MEMORY = ModelEngineSpec(24, 34_000, 4, has_backups=True, has_moves=True)
SERVICE = Service("llm", "/health", 200, 1.0, 40.0, MEMORY)
STEP_S = 0.007
# What one more run adds to a step: about what the users' engines show.
STEP_RUN_S = 0.0003
READ_TOKENS_PER_S = 14_000.0
# Prompt tokens that are read between two steps.
CHUNK_TOKENS = 256
# An engine's report is this old when it is read.
REPORT_AGE_S = 0.6
# Time for a token's memory to another engine of the data centre.
COPY_TOKEN_S = 35_136 * 8 / 5.1e9

_numbers = itertools.count()


@attrs.define(eq=False)
class SimRun:
    """A generation.

    Attributes:
      arrival: the request.
      reserved_tokens: what was reserved for it.
      unread_tokens: tokens to read before the next output.
      made: output tokens so far.
      first_event_s: when the first event came; None before.
      last_event_s: when the last did.
      longest_pause_s: between two events.
      ended: called at the end, with whether all of it was made.
      engine: where it runs.
      backup: who has a copy as it grows.
      copy: a copy that was ordered.
    """

    arrival: Arrival
    reserved_tokens: int
    unread_tokens: int
    ended: Callable[[bool], None]
    made: int = 0
    first_event_s: float | None = None
    last_event_s: float = 0.0
    longest_pause_s: float = 0.0
    engine: SimEngine | None = None
    backup: SimEngine | None = None
    copy: Copy | None = None
    number: int = attrs.Factory(lambda: next(_numbers))

    @property
    def tokens(self) -> int:
        """Memory that it takes at its engine."""
        return self.arrival.prompt_tokens + self.made - self.unread_tokens

    def note_event(self, now_s: float) -> None:
        """Note an event that its caller gets."""
        if self.first_event_s is None:
            self.first_event_s = now_s
        else:
            pause_s = now_s - self.last_event_s
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self.last_event_s = now_s


@attrs.define(eq=False)
class Copy:
    """A copy of a run at another engine.

    Attributes:
      destination: who has it.
      done_s: when it is complete.
      made: output tokens that it holds.
    """

    destination: SimEngine
    done_s: float
    made: int


class SimEngine:
    """One engine.

    Args:
      name: its name.
      data_centre: where it is.
      now_s: when it starts.

    Attributes:
      info: the engine as the list has it.
      runs: what runs.
      queue: what waits in the engine.
      held: memory of copies, by the number of their run.
      ends_s: when it is gone; None before it is told.
      link_free_s: when its link to other engines is free.
    """

    def __init__(self, name: str, data_centre: str, now_s: float) -> None:
        self.info = EngineInfo(
            name, name, SERVICE.name, name, data_centre, MEMORY.slots, False, 0.0
        )
        self.runs: list[SimRun] = []
        self.queue: list[SimRun] = []
        self.held: dict[int, int] = {}
        self.ends_s: float | None = None
        self.link_free_s = 0.0
        self._next_s = now_s
        self._history: collections.deque[tuple[float, int, int]] = collections.deque()

    @property
    def used_tokens(self) -> int:
        """Memory in use."""
        return sum(run.tokens for run in self.runs) + sum(self.held.values())

    def report(self, now_s: float) -> tuple[int, int]:
        """Return memory in use and waiting requests, as of some time ago."""
        while len(self._history) > 1 and self._history[1][0] <= now_s - REPORT_AGE_S:
            self._history.popleft()
        return self._history[0][1:] if self._history else (0, 0)

    def start(self, run: SimRun, *, first: bool = False) -> None:
        """Take a run; one that goes on from a copy is admitted first."""
        run.engine = self
        self.held.pop(run.number, None)
        if first:
            self.queue.insert(0, run)
        else:
            self.queue.append(run)

    def drop(self, run: SimRun) -> None:
        """End a run here; it may go on elsewhere."""
        if run in self.runs:
            self.runs.remove(run)
        if run in self.queue:
            self.queue.remove(run)

    def advance(self, now_s: float) -> None:
        """Do all steps up to a time."""
        while self._next_s <= now_s:
            self._admit()
            self._next_s += self._step(self._next_s)
        self._history.append((now_s, self.used_tokens, len(self.queue)))

    def _admit(self) -> None:
        while self.queue and len(self.runs) < MEMORY.slots:
            run = self.queue[0]
            tokens = run.arrival.prompt_tokens + run.made
            if self.runs and self.used_tokens + tokens > MEMORY.capacity_tokens:
                return
            self.runs.append(self.queue.pop(0))

    def _step(self, now_s: float) -> float:
        """Do one step; return how long it takes."""
        reading = next((run for run in self.runs if run.unread_tokens), None)
        chunk = min(CHUNK_TOKENS, reading.unread_tokens) if reading else 0
        active = [run for run in self.runs if not run.unread_tokens]
        duration_s = STEP_S + STEP_RUN_S * len(active) + chunk / READ_TOKENS_PER_S
        if reading is not None:
            reading.unread_tokens -= chunk
        for run in active:
            self._make_token(run, now_s + duration_s)
        self._preempt()
        return duration_s

    def _make_token(self, run: SimRun, now_s: float) -> None:
        run.made += 1
        is_last = run.made >= run.arrival.output_tokens
        if is_last or run.made % MEMORY.event_tokens == 0:
            run.note_event(now_s)
        if is_last:
            self.drop(run)
            run.ended(True)

    def _preempt(self) -> None:
        """Without memory the newest run is put back and read again."""
        while len(self.runs) > 1 and self.used_tokens > MEMORY.capacity_tokens:
            run = self.runs.pop()
            run.unread_tokens = run.arrival.prompt_tokens + run.made
            self.queue.insert(0, run)
