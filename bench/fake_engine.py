"""Simulated model engine on the manual timer, behind the interface of an adapter.

It has continuous batching, chunked prefill, limited memory with preemption by
recomputation, a limited prefix cache and priorities. Its load reports and cache
events are delayed; some cache events are lost.
"""

from __future__ import annotations

import collections
import random

from bench.fake_sequence import EngineSpec, Sequence, StepRecord
from endivesill import errors
from endivesill.configuration.model import Target
from endivesill.routing.prefixes import PREFIX_BLOCK_TOKENS
from endivesill.targets.messages import CacheEvent, CacheEvents, LoadReport
from endivesill.timer import TimerService

__all__ = ["FakeEngine", "FakeEngines"]


class FakeEngine:
    """One engine.

    Args:
      name: the target's name.
      spec: its performance and limits.
      timer: the timer that schedules its steps.
      seed: seed of the lost cache events.

    Attributes:
      alive: whether it responds.
      preemptions: number of preempted sequences.
      generated: number of generated tokens.
      cold_peak: most sequences present at a time that were submitted while cold.
      step_log: all steps, in order.
      warm_up_remaining: completed sequences until it is warm; 0 when warm.
    """

    def __init__(
        self, name: str, spec: EngineSpec, timer: TimerService, seed: int
    ) -> None:
        self.name = name
        self.spec = spec
        self._timer = timer
        self._random = random.Random(seed)
        self._boot_count = 0
        self._is_stepping = False
        self._next_order = 0
        self.alive = True
        self.preemptions = 0
        self.generated = 0
        self.cold_peak = 0
        self.step_log: list[StepRecord] = []
        self._boot(cold=False)

    def _boot(self, *, cold: bool) -> None:
        self._boot_count += 1
        self.boot_id = f"{self.name}-{self._boot_count}"
        self.running: list[Sequence] = []
        self.waiting: list[Sequence] = []
        self.used_tokens = 0
        self.warm_up_remaining = self.spec.warm_after if cold else 0
        self.cache: collections.OrderedDict[str, None] = collections.OrderedDict()
        self.events: list[tuple[float, CacheEvent]] = []
        self.sequence = 0
        self._reports: collections.deque[tuple[float, LoadReport]] = collections.deque()
        self._report()

    def reset_to_cold(self) -> None:
        """Become cold and drop the cache; running sequences continue."""
        self.warm_up_remaining = self.spec.warm_after
        self.cache.clear()
        self._append_event("cleared", "")

    def crash(self) -> None:
        """Fail all sequences and stop responding."""
        self.alive = False
        failed = self.running + self.waiting
        self.running, self.waiting = [], []
        for sequence in failed:
            sequence.on_end(False)

    def restart(self) -> None:
        """Start again with a new boot id, cold and empty."""
        self.alive = True
        self._boot(cold=True)

    def submit(self, sequence: Sequence) -> bool:
        """Queue a sequence; return False if the engine does not respond."""
        if not self.alive:
            return False
        sequence.order = self._next_order
        self._next_order += 1
        sequence.prefill_tokens = sequence.prompt_tokens
        sequence.started_cold = self.warm_up_remaining > 0
        self.waiting.append(sequence)
        if self.warm_up_remaining:
            self.cold_peak = max(self.cold_peak, self.count_cold_started())
        if not self._is_stepping:
            self._begin_step()
        return True

    def count_cold_started(self) -> int:
        """Return the number of present sequences that were submitted while cold."""
        return sum(s.started_cold for s in self.running + self.waiting)

    def _admit(self) -> None:
        if not self.waiting:
            return
        self.waiting.sort(key=lambda s: (s.priority, s.generated_tokens == 0, s.order))
        while self.waiting and len(self.running) < self.spec.max_batch:
            sequence = self.waiting[0]
            needed_tokens = sequence.held_tokens + 1
            if (
                self.used_tokens + needed_tokens > self.spec.memory_tokens
                and self.running
            ):
                return
            self.waiting.pop(0)
            self.running.append(sequence)
            self.used_tokens += sequence.held_tokens
            cached = self._cached_tokens(sequence.prefix)
            sequence.prefill_tokens = max(1, sequence.held_tokens - cached)

    def _cached_tokens(self, prefix: tuple[str, ...]) -> int:
        blocks = 0
        for block in prefix:
            if block not in self.cache:
                break
            self.cache.move_to_end(block)
            blocks += 1
        return blocks * PREFIX_BLOCK_TOKENS

    def _begin_step(self) -> None:
        self._admit()
        if not self.running:
            self._is_stepping = False
            return
        self._is_stepping = True
        self._preempt()
        decoding = [s for s in self.running if not s.prefill_tokens]
        budget = max(1, self.spec.chunk_tokens - len(decoding))
        done = list(decoding)
        prefilled = prompts = 0
        for sequence in self.running:
            if not sequence.prefill_tokens or prefilled >= budget:
                continue
            chunk = min(sequence.prefill_tokens, budget - prefilled)
            sequence.prefill_tokens -= chunk
            prefilled += chunk
            prompts += 1
            if not sequence.prefill_tokens:
                done.append(sequence)
                self._store(sequence.prefix)
        spec = self.spec
        step_s = spec.step_base_s + spec.step_s_per_sequence * len(decoding)
        step_s += spec.prefill_s_per_token * prefilled
        if self.warm_up_remaining:
            step_s *= 1 + max(0, len(self.running) - spec.cold_slots)
        self.step_log.append(StepRecord(step_s, len(decoding), prefilled, prompts))
        boot_id = self.boot_id
        self._timer.call_after(step_s, lambda: self._end_step(done, boot_id))

    def _preempt(self) -> None:
        """Preempt the least urgent, newest sequences until one token each fits."""
        while len(self.running) > 1:
            if self.used_tokens + len(self.running) <= self.spec.memory_tokens:
                return
            preempted = max(self.running, key=lambda s: (s.priority, s.order))
            self.running.remove(preempted)
            self.used_tokens -= preempted.held_tokens
            self.waiting.append(preempted)
            self.preemptions += 1

    def _end_step(self, done: list[Sequence], boot_id: str) -> None:
        self._is_stepping = False
        if not self.alive or boot_id != self.boot_id:
            return
        now_s = self._timer.now_s()
        ended = []
        for sequence in done:
            sequence.generated_tokens += 1
            sequence.on_token(now_s)
            if sequence.generated_tokens >= sequence.output_tokens:
                ended.append(sequence)
        self.generated += len(done)
        for sequence in ended:
            if sequence in self.running:
                self.running.remove(sequence)
            self.warm_up_remaining = max(0, self.warm_up_remaining - 1)
        self.used_tokens = sum(s.held_tokens for s in self.running)
        self._report()
        self._begin_step()
        for sequence in ended:
            sequence.on_end(True)

    def _store(self, prefix: tuple[str, ...]) -> None:
        for block in prefix:
            if block in self.cache:
                self.cache.move_to_end(block)
                continue
            self.cache[block] = None
            self._append_event("stored", block)
        while len(self.cache) * PREFIX_BLOCK_TOKENS > self.spec.cache_tokens:
            block, _ = self.cache.popitem(last=False)
            self._append_event("evicted", block)

    def _append_event(self, kind: str, block: str) -> None:
        self.sequence += 1
        event = CacheEvent(self.sequence, kind, block, PREFIX_BLOCK_TOKENS)
        self.events.append((self._timer.now_s(), event))
        del self.events[:-5000]

    def _report(self) -> None:
        now_s = self._timer.now_s()
        if self._reports and now_s - self._reports[-1][0] < 0.1:
            return
        report = LoadReport(
            self.boot_id,
            len(self.running),
            len(self.waiting),
            self.spec.memory_tokens,
            self.used_tokens,
            self.preemptions,
            self.generated,
        )
        self._reports.append((now_s, report))

    def load_report(self) -> LoadReport:
        """Return the newest report that is at least the report lag old."""
        visible_until_s = self._timer.now_s() - self.spec.report_lag_s
        while len(self._reports) > 1 and self._reports[1][0] <= visible_until_s:
            self._reports.popleft()
        return self._reports[0][1]

    def cache_events(self, after: int) -> CacheEvents:
        """Return the events after a sequence number, delayed and with losses."""
        visible_until_s = self._timer.now_s() - self.spec.report_lag_s
        found = [
            e for t, e in self.events if e.sequence > after and t <= visible_until_s
        ]
        if after:
            loss = self.spec.cache_event_loss
            found = [e for e in found if self._random.random() >= loss]
        first = self.events[0][1].sequence if self.events else 1
        return CacheEvents(self.boot_id, first, tuple(found))


class FakeEngines:
    """The simulated engines by target, with the control calls of an adapter."""

    def __init__(self, engines: dict[str, FakeEngine]) -> None:
        self.engines = engines

    async def load(self, target: Target) -> LoadReport:
        """Return an engine's delayed load report.

        Raises:
          TargetError: the engine does not respond.
        """
        return self._find(target).load_report()

    async def cache_events(self, target: Target, after: int) -> CacheEvents:
        """Return an engine's delayed cache events.

        Raises:
          TargetError: the engine does not respond.
        """
        return self._find(target).cache_events(after)

    def _find(self, target: Target) -> FakeEngine:
        engine = self.engines[target.name]
        if not engine.alive:
            raise errors.TargetError("no answer")
        return engine
