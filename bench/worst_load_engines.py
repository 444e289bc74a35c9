"""Simulated model engines with limited KV memory, in virtual time."""

from __future__ import annotations

import collections
import itertools
from collections.abc import Callable

import attrs

from bench.worst_load_arrivals import Arrival
from endivesill.fleet.model import EngineInfo, ModelEngineSpec, Service

__all__ = ["SERVICE", "Copy", "SimEngine", "SimRun"]

# The engines of the users' deployment.
ENGINE_SPEC = ModelEngineSpec(24, 34_000, 4, has_backups=True, has_moves=True)
SERVICE = Service("llm", "/health", 200, 1.0, 40.0, ENGINE_SPEC)
STEP_BASE_S = 0.007
# Added to a step by each decoding run; about that of the users' engines.
STEP_S_PER_RUN = 0.0003
PREFILL_TOKENS_PER_S = 14_000.0
# Largest prefill chunk of a step.
MAX_CHUNK_TOKENS = 256
# Age of an engine's load report when the control process gets it.
REPORT_AGE_S = 0.6
# Transfer of a token's KV memory to another engine of the data centre.
COPY_S_PER_TOKEN = 35_136 * 8 / 5.1e9

_numbers = itertools.count()


@attrs.define(eq=False)
class SimRun:
    """A generation.

    Attributes:
      arrival: the request.
      reserved_tokens: memory reserved for it.
      prefill_tokens: tokens to prefill before the next output token.
      generated: output tokens so far.
      first_event_s: time of the first event; None before.
      last_event_s: time of the last event.
      longest_gap_s: the longest gap between two events.
      on_end: called at the end, with whether the generation is complete.
      engine: the engine that runs it.
      backup: the engine with an incremental backup copy.
      copy: a complete copy made before the departure of its engine.
      number: identifies the run.
    """

    arrival: Arrival
    reserved_tokens: int
    prefill_tokens: int
    on_end: Callable[[bool], None]
    generated: int = 0
    first_event_s: float | None = None
    last_event_s: float = 0.0
    longest_gap_s: float = 0.0
    engine: SimEngine | None = None
    backup: SimEngine | None = None
    copy: Copy | None = None
    number: int = attrs.Factory(lambda: next(_numbers))

    @property
    def tokens(self) -> int:
        """Tokens in the memory of its engine."""
        return self.arrival.prompt_tokens + self.generated - self.prefill_tokens

    def record_event(self, now_s: float) -> None:
        """Record the time of an event and its gap to the one before."""
        if self.first_event_s is None:
            self.first_event_s = now_s
        else:
            gap_s = now_s - self.last_event_s
            self.longest_gap_s = max(self.longest_gap_s, gap_s)
        self.last_event_s = now_s


@attrs.define(eq=False)
class Copy:
    """A copy of a run at another engine.

    Attributes:
      destination: the engine that holds it.
      done_s: when the transfer is complete.
      generated: output tokens that it holds.
    """

    destination: SimEngine
    done_s: float
    generated: int


class SimEngine:
    """One engine with continuous batching, chunked prefill and preemption.

    Args:
      name: its name.
      data_centre: name of its data centre.
      now_s: when it starts.

    Attributes:
      info: its entry in the engine list.
      runs: the running batch.
      queue: runs that wait to be admitted to the batch.
      copy_tokens: tokens of copies held for other engines, by number of the run.
      departs_s: when it departs; None before the notice.
      link_free_s: when its link to other engines is free.
    """

    def __init__(self, name: str, data_centre: str, now_s: float) -> None:
        self.info = EngineInfo(
            name, name, SERVICE.name, name, data_centre, ENGINE_SPEC.slots, False, 0.0
        )
        self.runs: list[SimRun] = []
        self.queue: list[SimRun] = []
        self.copy_tokens: dict[int, int] = {}
        self.departs_s: float | None = None
        self.link_free_s = 0.0
        self._next_step_s = now_s
        self._history: collections.deque[tuple[float, int, int]] = collections.deque()

    @property
    def used_tokens(self) -> int:
        """Tokens in memory, of runs and copies."""
        return sum(run.tokens for run in self.runs) + sum(self.copy_tokens.values())

    def report(self, now_s: float) -> tuple[int, int]:
        """Return used tokens and queue length as of `REPORT_AGE_S` ago."""
        while len(self._history) > 1 and self._history[1][0] <= now_s - REPORT_AGE_S:
            self._history.popleft()
        return self._history[0][1:] if self._history else (0, 0)

    def start(self, run: SimRun, *, admit_first: bool = False) -> None:
        """Queue a run, at the head if it resumes from a copy."""
        run.engine = self
        self.copy_tokens.pop(run.number, None)
        if admit_first:
            self.queue.insert(0, run)
        else:
            self.queue.append(run)

    def remove_run(self, run: SimRun) -> None:
        """Remove a run without ending it; it may resume at another engine."""
        if run in self.runs:
            self.runs.remove(run)
        if run in self.queue:
            self.queue.remove(run)

    def advance(self, now_s: float) -> None:
        """Execute all steps up to a time."""
        while self._next_step_s <= now_s:
            self._admit()
            self._next_step_s += self._step(self._next_step_s)
        self._history.append((now_s, self.used_tokens, len(self.queue)))

    def _admit(self) -> None:
        while self.queue and len(self.runs) < ENGINE_SPEC.slots:
            run = self.queue[0]
            tokens = run.arrival.prompt_tokens + run.generated
            if self.runs and self.used_tokens + tokens > ENGINE_SPEC.capacity_tokens:
                return
            self.runs.append(self.queue.pop(0))

    def _step(self, now_s: float) -> float:
        """Execute one step; return its duration."""
        prefilling = next((run for run in self.runs if run.prefill_tokens), None)
        chunk = min(MAX_CHUNK_TOKENS, prefilling.prefill_tokens) if prefilling else 0
        decoding = [run for run in self.runs if not run.prefill_tokens]
        duration_s = (
            STEP_BASE_S + STEP_S_PER_RUN * len(decoding) + chunk / PREFILL_TOKENS_PER_S
        )
        if prefilling is not None:
            prefilling.prefill_tokens -= chunk
        for run in decoding:
            self._generate_token(run, now_s + duration_s)
        self._preempt()
        return duration_s

    def _generate_token(self, run: SimRun, now_s: float) -> None:
        run.generated += 1
        is_last = run.generated >= run.arrival.output_tokens
        if is_last or run.generated % ENGINE_SPEC.event_tokens == 0:
            run.record_event(now_s)
        if is_last:
            self.remove_run(run)
            run.on_end(True)

    def _preempt(self) -> None:
        """Return the newest runs to the queue, to be recomputed, until memory fits."""
        while len(self.runs) > 1 and self.used_tokens > ENGINE_SPEC.capacity_tokens:
            run = self.runs.pop()
            run.prefill_tokens = run.arrival.prompt_tokens + run.generated
            self.queue.insert(0, run)
