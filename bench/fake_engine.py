"""A fake of a model engine on the manual timer, behind the adapter's interface.

It batches continuously, prefills prompts in chunks, holds limited memory and
preempts by recomputation, keeps a limited prefix cache, honours priorities,
and reports load and cache events late, the latter with gaps.
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
      spec: what it is able to do.
      timer: the timer that its steps take their time on.
      seed: seed of the lost cache events.
    """

    def __init__(
        self, name: str, spec: EngineSpec, timer: TimerService, seed: int
    ) -> None:
        self.name = name
        self.spec = spec
        self._timer = timer
        self._random = random.Random(seed)
        self._boots = 0
        self._busy = False
        self._order = 0
        self.alive = True
        self.preemptions = 0
        self.generated = 0
        self.cold_peak = 0
        self.step_log: list[StepRecord] = []
        self._boot(cold=False)

    def _boot(self, *, cold: bool) -> None:
        self._boots += 1
        self.boot_id = f"{self.name}-{self._boots}"
        self.running: list[Sequence] = []
        self.waiting: list[Sequence] = []
        self.used_tokens = 0
        self.cold_left = self.spec.cold_answers if cold else 0
        self.cache: collections.OrderedDict[str, None] = collections.OrderedDict()
        self.events: list[tuple[float, CacheEvent]] = []
        self.sequence = 0
        self._reports: collections.deque[tuple[float, LoadReport]] = collections.deque()
        self._report()

    def turn_cold(self) -> None:
        """Lose the cache and the warmth, but not what runs."""
        self.cold_left = self.spec.cold_answers
        self.cache.clear()
        self._event("cleared", "")

    def die(self) -> None:
        """Break off all that runs and answer nothing."""
        self.alive = False
        lost = self.running + self.waiting
        self.running, self.waiting = [], []
        for sequence in lost:
            sequence.on_end(False)

    def revive(self) -> None:
        """Boot again, cold."""
        self.alive = True
        self._boot(cold=True)

    def submit(self, sequence: Sequence) -> bool:
        """Take a sequence; False if the engine does not answer."""
        if not self.alive:
            return False
        sequence.order = self._order
        self._order += 1
        sequence.to_prefill = sequence.prompt_tokens
        sequence.started_cold = self.cold_left > 0
        self.waiting.append(sequence)
        if self.cold_left:
            self.cold_peak = max(self.cold_peak, self.cold_running())
        if not self._busy:
            self._begin_step()
        return True

    def cold_running(self) -> int:
        """Return how many sequences were taken since it turned cold."""
        return sum(s.started_cold for s in self.running + self.waiting)

    def _admit(self) -> None:
        if not self.waiting:
            return
        self.waiting.sort(key=lambda s: (s.priority, s.produced == 0, s.order))
        while self.waiting and len(self.running) < self.spec.maximum_batch:
            sequence = self.waiting[0]
            need = sequence.held_tokens + 1
            if self.used_tokens + need > self.spec.memory_tokens and self.running:
                return
            self.waiting.pop(0)
            self.running.append(sequence)
            self.used_tokens += sequence.held_tokens
            cached = self._cached_tokens(sequence.prefix)
            sequence.to_prefill = max(1, sequence.held_tokens - cached)

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
            self._busy = False
            return
        self._busy = True
        self._make_room()
        decoding = [s for s in self.running if not s.to_prefill]
        budget = max(1, self.spec.chunk_tokens - len(decoding))
        done = list(decoding)
        prefilled = prompts = 0
        for sequence in self.running:
            if not sequence.to_prefill or prefilled >= budget:
                continue
            chunk = min(sequence.to_prefill, budget - prefilled)
            sequence.to_prefill -= chunk
            prefilled += chunk
            prompts += 1
            if not sequence.to_prefill:
                done.append(sequence)
                self._store(sequence.prefix)
        spec = self.spec
        step_s = spec.step_base_s + spec.step_sequence_s * len(decoding)
        step_s += spec.prefill_token_s * prefilled
        if self.cold_left:
            step_s *= 1 + max(0, len(self.running) - spec.cold_bears)
        self.step_log.append(StepRecord(step_s, len(decoding), prefilled, prompts))
        boot_id = self.boot_id
        self._timer.call_after(step_s, lambda: self._end_step(done, boot_id))

    def _make_room(self) -> None:
        """Preempt the latest sequences until each can have its next token."""
        while len(self.running) > 1:
            if self.used_tokens + len(self.running) <= self.spec.memory_tokens:
                return
            victim = max(self.running, key=lambda s: (s.priority, s.order))
            self.running.remove(victim)
            self.used_tokens -= victim.held_tokens
            self.waiting.append(victim)
            self.preemptions += 1

    def _end_step(self, done: list[Sequence], boot_id: str) -> None:
        self._busy = False
        if not self.alive or boot_id != self.boot_id:
            return
        now_s = self._timer.now_s()
        ended = []
        for sequence in done:
            sequence.produced += 1
            sequence.on_token(now_s)
            if sequence.produced >= sequence.output_tokens:
                ended.append(sequence)
        self.generated += len(done)
        for sequence in ended:
            if sequence in self.running:
                self.running.remove(sequence)
            self.cold_left = max(0, self.cold_left - 1)
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
            self._event("stored", block)
        while len(self.cache) * PREFIX_BLOCK_TOKENS > self.spec.cache_tokens:
            block, _ = self.cache.popitem(last=False)
            self._event("evicted", block)

    def _event(self, kind: str, block: str) -> None:
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
        """Return the newest report that is older than the lag."""
        limit_s = self._timer.now_s() - self.spec.report_lag_s
        while len(self._reports) > 1 and self._reports[1][0] <= limit_s:
            self._reports.popleft()
        return self._reports[0][1]

    def cache_events(self, after: int) -> CacheEvents:
        """Return the events after a number that are older than the lag."""
        limit_s = self._timer.now_s() - self.spec.report_lag_s
        found = [e for t, e in self.events if e.sequence > after and t <= limit_s]
        if after:
            loss = self.spec.cache_event_loss
            found = [e for e in found if self._random.random() >= loss]
        first = self.events[0][1].sequence if self.events else 1
        return CacheEvents(self.boot_id, first, tuple(found))


class FakeEngines:
    """The fake engines by target, with the control calls of the adapter."""

    def __init__(self, engines: dict[str, FakeEngine]) -> None:
        self.engines = engines

    async def load(self, target: Target) -> LoadReport:
        """Return an engine's late load report."""
        return self._find(target).load_report()

    async def cache_events(self, target: Target, after: int) -> CacheEvents:
        """Return an engine's late cache events."""
        return self._find(target).cache_events(after)

    def _find(self, target: Target) -> FakeEngine:
        engine = self.engines[target.name]
        if not engine.alive:
            raise errors.TargetError("no answer")
        return engine
