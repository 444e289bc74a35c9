"""Allocation of one target's capacity to entries, as credits.

A target's owner is the VM that polls the target and allocates its credits. The
allocator bounds what all entries may have in flight. An entry's committed load is
the larger of its allocations and of what it runs. It shrinks only once a smaller
allocation is confirmed or, after expiry, a load report shows that the work is over.
"""

from __future__ import annotations

import collections
import math

from endivesill.configuration.model import Target
from endivesill.routing.accounts import (
    PREDECESSOR,
    Account,
    Allocation,
    Residual,
    Usage,
)
from endivesill.routing.limits import DecodeLimit, MemoryLimit, PrefillLimit
from endivesill.routing.shares import fair_share
from endivesill.routing.slow_start import SlowStart

__all__ = [
    "ALLOCATION_LIFETIME_S",
    "RENEW_PERIOD_S",
    "TAKEOVER_S",
    "Allocation",
    "CreditAllocator",
    "Usage",
]

ALLOCATION_LIFETIME_S = 4.0
RENEW_PERIOD_S = 1.5
TAKEOVER_S = ALLOCATION_LIFETIME_S + RENEW_PERIOD_S + 0.5
MAXIMUM_REPORT_LAG_S = 3.0
USAGE_HISTORY_S = 15.0
UNATTRIBUTED_WINDOW_S = 6.0
TOKENS_PER_UNATTRIBUTED_SLOT = 512
LIMIT_UPDATE_PERIOD_S = 1.0
SLOWDOWN_WINDOW_S = 10.0


class CreditAllocator:
    """Allocates the credits of one target.

    A new owner does not know its predecessor's allocations. Until they have
    expired, it allocates what each entry has in flight and, beyond that, the cold
    allowance. The allocator of a warm target keeps the cold allowance in reserve,
    so that two owners at once stay within the target's capacity.

    Args:
      target: the target.
      gap_target_ms: the service's limit on the gap between output tokens.
      first_token_target_ms: the service's limit on the time to first token.
      now_s: when this VM became the owner.
    """

    def __init__(
        self,
        target: Target,
        gap_target_ms: float,
        first_token_target_ms: float,
        now_s: float,
    ) -> None:
        self.target = target
        self._gap_target_ms = gap_target_ms
        self._first_token_target_ms = first_token_target_ms
        self._taken_over_s = now_s
        # Whether slow start has begun from the load found at the takeover.
        self._is_seeded = False
        self.slow_start = SlowStart(target.cold_slots, _warm_slots(target))
        self.decode_limit = DecodeLimit(_warm_slots(target))
        self.memory_limit = MemoryLimit()
        self.prefill_limit = PrefillLimit()
        self.is_answering = True
        self._accounts: dict[str, Account] = {}
        # Upper bound of the previous owner's entries, until load reports lower it.
        self._residuals = [
            Residual(
                PREDECESSOR,
                target.maximum_slots,
                target.memory_tokens,
                now_s + ALLOCATION_LIFETIME_S,
            )
        ]
        self._serial = 0
        self._updated_s = now_s
        self._memory_tokens = target.memory_tokens
        self._memory_limiting = False
        self._suspicions: dict[str, float] = {}
        self._unattributed_slots = 0
        self._reported_loads: collections.deque[tuple[float, int]] = collections.deque()
        self._known_loads: collections.deque[tuple[float, int]] = collections.deque()

    def allowance_slots(self) -> int:
        """Return how many requests the target may run at once now."""
        if not self.is_answering:
            return 0
        return min(self.slow_start.slots, self.decode_limit.slots)

    def allowance_tokens(self) -> int:
        """Return how many memory tokens may be reserved; 0 for a plain service."""
        return int(self.memory_limit.tokens(self._memory_tokens))

    def configure(self, target: Target) -> None:
        """Apply a changed target; existing allocations continue to count."""
        if target == self.target:
            self.target = target
            return
        self.target = target
        self.slow_start.configure(target.cold_slots, _warm_slots(target))
        self.decode_limit.configure(_warm_slots(target))
        self._memory_tokens = target.memory_tokens

    def assume_warm(self) -> None:
        """Skip the takeover period and slow start, as a long-standing owner."""
        self.slow_start.raise_to(self.target.maximum_slots)
        self._residuals.clear()
        self._is_seeded = True
        self._taken_over_s = -math.inf

    def total_committed_slots(self, now_s: float) -> int:
        """Return the committed slots of all entries, including residual load."""
        self._expire(now_s)
        active = sum(a.committed_slots() for a in self._accounts.values())
        return active + sum(residual.slots for residual in self._residuals)

    def allocate(
        self, entry_id: str, usage: Usage, now_s: float, *, may_allocate: bool = True
    ) -> Allocation:
        """Allocate credits to an entry.

        Args:
          entry_id: the instance id of the entry's process.
          usage: the entry's load and the credits that it requests.
          now_s: the owner's clock, on which the allocation expires.
          may_allocate: whether slots may be allocated now.
        """
        self._expire(now_s)
        account = self._account(entry_id, usage)
        account.usage = usage
        account.usage_history.append((now_s, usage.minimum_slots))
        while now_s - account.usage_history[0][0] > USAGE_HISTORY_S:
            account.usage_history.popleft()
        held = account.allocations.get(usage.serial)
        account.allocations = {usage.serial: held} if held else {}
        self._update_limits(usage, now_s)
        slots = self._allocate_slots(entry_id, usage, now_s) if may_allocate else 0
        tokens = self._allocate_tokens(entry_id, usage, now_s)
        if not tokens and self._needs_memory(usage):
            # To the entry, 0 tokens mean that memory is not limited.
            slots = 0
        self._serial += 1
        allocation = Allocation(
            slots,
            tokens,
            self._prefill_share(),
            self._serial,
            now_s + ALLOCATION_LIFETIME_S,
        )
        account.allocations[allocation.serial] = allocation
        self._record_known_load(now_s)
        return allocation

    def _account(self, entry_id: str, usage: Usage) -> Account:
        """Return an entry's account; a returning entry keeps its base."""
        account = self._accounts.get(entry_id)
        if account is None:
            expired = [r.base_slots for r in self._residuals if r.entry_id == entry_id]
            account = Account(min([usage.slots, *expired]))
            self._accounts[entry_id] = account
        # The usage report replaces the estimate of the entry's residual load.
        self._residuals = [r for r in self._residuals if r.entry_id != entry_id]
        return account

    def confirms_slowdown(self, entry_id: str, usage: Usage, now_s: float) -> bool:
        """Record that an entry suspects a cold target; return whether confirmed.

        A single entry cannot distinguish a cold target from a stalled network link,
        so it takes two entries, or one that runs at least half of the load.
        """
        running = sum(account.usage.slots for account in self._accounts.values())
        self._suspicions[entry_id] = now_s
        self._suspicions = {
            name: at_s
            for name, at_s in self._suspicions.items()
            if now_s - at_s < SLOWDOWN_WINDOW_S
        }
        return len(self._suspicions) > 1 or 2 * usage.slots >= running

    def _update_limits(self, usage: Usage, now_s: float) -> None:
        if usage.completed:
            slo_ms = self._first_token_target_ms
            self.slow_start.add_completed(usage.completed, usage.first_token_ms, slo_ms)
        if not usage.median_gap_ms or now_s - self._updated_s < LIMIT_UPDATE_PERIOD_S:
            return
        self._updated_s = now_s
        running = sum(account.usage.slots for account in self._accounts.values())
        self.decode_limit.observe(usage.median_gap_ms, self._gap_target_ms, running)
        self.prefill_limit.observe(usage.tail_gap_ms, self._gap_target_ms)

    def _allocate_slots(self, entry_id: str, usage: Usage, now_s: float) -> int:
        if usage.suspects_cold or not self.is_answering:
            return 0
        allowance = self.allowance_slots()
        others = sum(
            a.committed_slots() for n, a in self._accounts.items() if n != entry_id
        )
        residual = sum(residual.slots for residual in self._residuals)
        if now_s - self._taken_over_s < TAKEOVER_S:
            return self._takeover_slots(entry_id, usage)
        if not self._is_seeded:
            self._is_seeded = True
            self.slow_start.raise_to(others + usage.slots)
            allowance = self.allowance_slots()
        free = allowance - others - max(residual, self._unattributed_slots)
        demands = [
            a.usage.slots + self._headroom_slots(a.usage, allowance)
            for a in self._accounts.values()
        ]
        share = fair_share(demands, allowance - residual)
        if usage.queued or not self._any_entry_queues():
            # Shares of less than one slot go to the first entry that requests.
            share = max(1, share)
        demand = usage.slots + self._headroom_slots(usage, allowance)
        return max(0, min(demand, max(share, usage.slots), free))

    def _headroom_slots(self, usage: Usage, allowance: int) -> int:
        """Return the headroom to allocate; limited for an entry without a queue.

        While no entry has a queue, each may hold one slot, so that a cold target
        receives work even if other targets have capacity.
        """
        if usage.queued:
            return usage.headroom_slots
        share = allowance // (2 * len(self._accounts))
        if not self._any_entry_queues():
            share = max(1, share)
        return min(usage.headroom_slots, share)

    def _any_entry_queues(self) -> bool:
        return any(account.usage.queued for account in self._accounts.values())

    def _takeover_slots(self, entry_id: str, usage: Usage) -> int:
        """Return the entry's base plus what is free of the cold allowance."""
        others = [
            (a.base_slots, a.committed_slots())
            for n, a in self._accounts.items()
            if n != entry_id
        ]
        others += [
            (residual.base_slots, residual.slots)
            for residual in self._residuals
            if residual.entry_id != PREDECESSOR
        ]
        base = self._accounts[entry_id].base_slots
        bases = base + sum(other_base for other_base, _ in others)
        extra = sum(max(0, committed - other_base) for other_base, committed in others)
        room = max(0, self.target.maximum_slots - bases)
        cold = max(0, min(self.slow_start.cold_slots, room) - extra)
        headroom = self._headroom_slots(usage, self.slow_start.cold_slots)
        return min(usage.slots + headroom, base + cold)

    def _needs_memory(self, usage: Usage) -> bool:
        return bool(self._memory_tokens and usage.tokens + usage.headroom_tokens)

    def _allocate_tokens(self, entry_id: str, usage: Usage, now_s: float) -> int:
        if not self._memory_tokens:
            return 0
        allowance = self.allowance_tokens()
        demand = usage.tokens + self._headroom_tokens(usage, allowance)
        if now_s - self._taken_over_s < TAKEOVER_S:
            # The slots bound the new work until the predecessor's load is known.
            return min(demand, max(usage.tokens, allowance))
        others = sum(
            a.committed_tokens() for n, a in self._accounts.items() if n != entry_id
        )
        residual = sum(residual.tokens for residual in self._residuals)
        unattributed = self._unattributed_slots * TOKENS_PER_UNATTRIBUTED_SLOT
        free = allowance - others - max(residual, unattributed)
        demands = [
            a.usage.tokens + self._headroom_tokens(a.usage, allowance)
            for a in self._accounts.values()
        ]
        share = fair_share(demands, allowance - residual)
        allocated = max(0, min(demand, max(share, usage.tokens), free))
        self._memory_limiting = self._memory_limiting or (
            allocated < demand and usage.queued > 0
        )
        return allocated

    def _headroom_tokens(self, usage: Usage, allowance: int) -> int:
        """Return the memory headroom; limited for an entry without a queue."""
        if usage.queued:
            return usage.headroom_tokens
        return min(usage.headroom_tokens, allowance // (4 * len(self._accounts)))

    def _prefill_share(self) -> int:
        busy = sum(
            1
            for a in self._accounts.values()
            if a.usage.slots or a.usage.headroom_slots
        )
        return int(self.prefill_limit.tokens / max(1, busy))

    def _expire(self, now_s: float) -> None:
        for name, account in list(self._accounts.items()):
            if account.allocations and account.expires_s() > now_s:
                continue
            residual = Residual(
                name,
                account.committed_slots(),
                account.committed_tokens(),
                now_s,
                account.base_slots,
            )
            del self._accounts[name]
            if residual.slots:
                self._residuals.append(residual)
        if not self._reported_loads:
            # Without load reports, elapsed time is the only evidence.
            self._residuals = [r for r in self._residuals if not r.is_over(now_s)]

    def observe_load(
        self,
        boot_id: str,
        running: int,
        memory_tokens: int,
        preemptions: int,
        now_s: float,
    ) -> bool:
        """Apply a load report, which may lag; return whether the target rebooted."""
        self.is_answering = True
        if memory_tokens:
            self._memory_tokens = memory_tokens
        booted = self.slow_start.observe_boot(boot_id)
        if booted:
            self._residuals.clear()
        self.memory_limit.observe(preemptions, is_limiting=self._memory_limiting)
        self._memory_limiting = False
        self._expire(now_s)
        self._record_known_load(now_s)
        self._reported_loads.append((now_s, running))
        self._trim_windows(now_s)
        minimum = min(count for _, count in self._reported_loads)
        maximum_known = max(count for _, count in self._known_loads)
        self._unattributed_slots = max(0, minimum - maximum_known)
        self._release_residuals()
        return booted

    def _release_residuals(self) -> None:
        """Lower residual loads to what the load reports leave room for.

        That is the reported load less what active entries certainly had running.
        """
        for reported_s, running in self._reported_loads:
            from_s = reported_s - MAXIMUM_REPORT_LAG_S
            certain = sum(
                a.minimum_running(from_s, reported_s) for a in self._accounts.values()
            )
            left = max(0, running - certain)
            for residual in self._residuals:
                if residual.since_s <= from_s:
                    self._shrink(residual, left)
        self._residuals = [r for r in self._residuals if r.slots]

    def _shrink(self, residual: Residual, slots: int) -> None:
        if slots < residual.slots:
            residual.tokens = residual.tokens * slots // residual.slots
            residual.slots = slots

    def _record_known_load(self, now_s: float) -> None:
        known = sum(account.usage.slots for account in self._accounts.values())
        known += sum(residual.slots for residual in self._residuals)
        self._known_loads.append((now_s, known))
        self._trim_windows(now_s)

    def _trim_windows(self, now_s: float) -> None:
        for window in (self._reported_loads, self._known_loads):
            while len(window) > 1 and now_s - window[0][0] > UNATTRIBUTED_WINDOW_S:
                window.popleft()

    def mark_silent(self) -> None:
        """Allocate no slots until the target answers polls again, then slow start."""
        self.is_answering = False
        self.slow_start.reset()

    def reset_slow_start(self) -> None:
        """Return to the cold allowance."""
        self.slow_start.reset()


def _warm_slots(target: Target) -> int:
    """Return the most to allocate; the rest is the reserve for a new owner."""
    return max(target.cold_slots, target.maximum_slots - target.cold_slots)
