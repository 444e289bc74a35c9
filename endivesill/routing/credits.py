"""Credits of one target, as its home lends them.

A ledger bounds the sum of what all borrowers may run. A borrower's exposure is
the larger of the loans that it may still hold and of what it runs. It shrinks
only when the borrower has confirmed a smaller loan, or when the loan has
expired and the target's load report shows that the work has ended.
"""

from __future__ import annotations

import collections
import math

from endivesill.configuration.model import Target
from endivesill.routing.accounts import PREDECESSOR, Account, Loan, Residual, Use
from endivesill.routing.limits import DecodeLimit, MemoryLimit, PrefillLimit
from endivesill.routing.warmth import ColdStart

__all__ = ["LOAN_LIFE_S", "RENEW_S", "TAKEOVER_S", "Ledger", "Loan", "Use"]

LOAN_LIFE_S = 4.0
RENEW_S = 1.5
TAKEOVER_S = LOAN_LIFE_S + RENEW_S + 0.5
REPORT_LAG_LIMIT_S = 3.0
EVIDENCE_S = 15.0
FOREIGN_WINDOW_S = 6.0
TOKENS_PER_SLOT = 512
ADAPT_PERIOD_S = 1.0
JUMP_S = 10.0


class Ledger:
    """What a home lends of one target.

    A new ledger cannot know what an earlier home has lent, so it lends from the
    cold allowance until those loans have expired; beyond it, only as much as a
    borrower already runs. A warm ledger keeps the cold allowance back, so that
    two homes at once stay within what the target bears.

    Args:
      target: the target.
      gap_target_ms: the service's bound on the gap between tokens.
      first_token_target_ms: the service's bound on the first token.
      now_s: when this home took over.
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
        self._assumed = False
        self.warmth = ColdStart(target.cold_slots, _warm_slots(target))
        self.decode = DecodeLimit(_warm_slots(target))
        self.memory = MemoryLimit()
        self.prefill = PrefillLimit()
        self.answering = True
        self._accounts: dict[str, Account] = {}
        # What an earlier home's borrowers may run, until reports show otherwise.
        self._residuals = [
            Residual(
                PREDECESSOR,
                target.maximum_slots,
                target.memory_tokens,
                now_s + LOAN_LIFE_S,
            )
        ]
        self._serial = 0
        self._adapted_s = now_s
        self._memory_tokens = target.memory_tokens
        self._pressed = False
        self._jumps: dict[str, float] = {}
        self._foreign_slots = 0
        self._reported: collections.deque[tuple[float, int]] = collections.deque()
        self._known: collections.deque[tuple[float, int]] = collections.deque()

    def allowance_slots(self) -> int:
        """Return how many requests the target bears at once now."""
        if not self.answering:
            return 0
        return min(self.warmth.slots, self.decode.slots)

    def allowance_tokens(self) -> int:
        """Return how many memory tokens may be reserved; 0 for a plain service."""
        return int(self.memory.tokens(self._memory_tokens))

    def configure(self, target: Target) -> None:
        """Take a changed target; loans that are out go on counting."""
        if target == self.target:
            self.target = target
            return
        self.target = target
        self.warmth.configure(target.cold_slots, _warm_slots(target))
        self.decode.configure(_warm_slots(target))
        self._memory_tokens = target.memory_tokens

    def assume_warm(self) -> None:
        """Begin as a home that has long known a warm target."""
        self.warmth.assume(self.target.maximum_slots)
        self._residuals.clear()
        self._assumed = True
        self._taken_over_s = -math.inf

    def lent_slots(self, now_s: float) -> int:
        """Return the exposure over all borrowers, the lost ones included."""
        self._expire(now_s)
        lent = sum(account.exposed_slots() for account in self._accounts.values())
        return lent + sum(residual.slots for residual in self._residuals)

    def ask(self, borrower: str, use: Use, now_s: float, *, lends: bool = True) -> Loan:
        """Lend to a borrower.

        Args:
          borrower: the entry's name and instance.
          use: what it runs and wants.
          now_s: the home's clock, which the loan's expiry is on.
          lends: whether anything may be lent now.
        """
        self._expire(now_s)
        account = self._account(borrower, use)
        account.use = use
        account.asks.append((now_s, use.least_slots))
        while now_s - account.asks[0][0] > EVIDENCE_S:
            account.asks.popleft()
        held = account.loans.get(use.serial)
        account.loans = {use.serial: held} if held else {}
        self._adapt(use, now_s)
        slots = self._grant_slots(borrower, use, now_s) if lends else 0
        self._serial += 1
        loan = Loan(
            slots,
            self._grant_tokens(borrower, use),
            self._prefill_share(),
            self._serial,
            now_s + LOAN_LIFE_S,
        )
        account.loans[loan.serial] = loan
        self._note_known(now_s)
        return loan

    def _account(self, borrower: str, use: Use) -> Account:
        """Return a borrower's account; one heard of again keeps its base."""
        account = self._accounts.get(borrower)
        if account is None:
            lost = [r.base_slots for r in self._residuals if r.borrower == borrower]
            account = Account(min([use.slots, *lost]))
            self._accounts[borrower] = account
        # It says itself what it runs.
        self._residuals = [r for r in self._residuals if r.borrower != borrower]
        return account

    def confirms_jump(self, borrower: str, use: Use, now_s: float) -> bool:
        """Tell whether a borrower's word is enough that the target turned cold.

        A stalled link looks the same to one borrower. So it takes two, or one that
        runs at least half of the work.
        """
        running = sum(account.use.slots for account in self._accounts.values())
        self._jumps[borrower] = now_s
        self._jumps = {
            name: at_s for name, at_s in self._jumps.items() if now_s - at_s < JUMP_S
        }
        return len(self._jumps) > 1 or 2 * use.slots >= running

    def _adapt(self, use: Use, now_s: float) -> None:
        if use.answers:
            target_ms = self._first_token_target_ms
            self.warmth.answered(use.answers, use.first_token_ms, target_ms)
        if not use.median_gap_ms or now_s - self._adapted_s < ADAPT_PERIOD_S:
            return
        self._adapted_s = now_s
        running = sum(account.use.slots for account in self._accounts.values())
        self.decode.observe(use.median_gap_ms, self._gap_target_ms, running)
        self.prefill.observe(use.tail_gap_ms, self._gap_target_ms)

    def _grant_slots(self, borrower: str, use: Use, now_s: float) -> int:
        if use.recooled or not self.answering:
            return 0
        allowance = self.allowance_slots()
        others = sum(
            account.exposed_slots()
            for name, account in self._accounts.items()
            if name != borrower
        )
        residual = sum(residual.slots for residual in self._residuals)
        if now_s - self._taken_over_s < TAKEOVER_S:
            return self._takeover_slots(borrower, use)
        if not self._assumed:
            self._assumed = True
            self.warmth.assume(others + use.slots)
            allowance = self.allowance_slots()
        free = allowance - others - max(residual, self._foreign_slots)
        wants = [
            a.use.slots + self._ahead_slots(a.use, allowance)
            for a in self._accounts.values()
        ]
        share = _fair_share(wants, allowance - residual)
        if use.queued or not self._anybody_queues():
            # Shares under one slot go to who asks first.
            share = max(1, share)
        wanted = use.slots + self._ahead_slots(use, allowance)
        return max(0, min(wanted, max(share, use.slots), free))

    def _ahead_slots(self, use: Use, allowance: int) -> int:
        """Return the slots to lend in advance; few where nothing waits.

        While no borrower has a queue each may hold one, so that a target that is
        cold gets work although others have room.
        """
        if use.queued:
            return use.ahead_slots
        share = allowance // (2 * len(self._accounts))
        if not self._anybody_queues():
            share = max(1, share)
        return min(use.ahead_slots, share)

    def _anybody_queues(self) -> bool:
        return any(account.use.queued for account in self._accounts.values())

    def _takeover_slots(self, borrower: str, use: Use) -> int:
        """Lend what borrowers ran before, and the cold allowance among all."""
        others = [
            (account.base_slots, account.exposed_slots())
            for name, account in self._accounts.items()
            if name != borrower
        ]
        others += [
            (residual.base_slots, residual.slots)
            for residual in self._residuals
            if residual.borrower != PREDECESSOR
        ]
        base = self._accounts[borrower].base_slots
        bases = base + sum(other_base for other_base, _ in others)
        extra = sum(max(0, exposed - other_base) for other_base, exposed in others)
        room = max(0, self.target.maximum_slots - bases)
        cold = max(0, min(self.warmth.cold_slots, room) - extra)
        ahead = self._ahead_slots(use, self.warmth.cold_slots)
        return min(use.slots + ahead, base + cold)

    def _grant_tokens(self, borrower: str, use: Use) -> int:
        if not self._memory_tokens:
            return 0
        others = sum(
            account.exposed_tokens()
            for name, account in self._accounts.items()
            if name != borrower
        )
        residual = sum(residual.tokens for residual in self._residuals)
        foreign = self._foreign_slots * TOKENS_PER_SLOT
        allowance = self.allowance_tokens()
        free = allowance - others - max(residual, foreign)
        wants = [
            a.use.tokens + self._ahead_tokens(a.use, allowance)
            for a in self._accounts.values()
        ]
        share = _fair_share(wants, allowance - residual)
        wanted = use.tokens + self._ahead_tokens(use, allowance)
        granted = max(0, min(wanted, max(share, use.tokens), free))
        self._pressed = self._pressed or (granted < wanted and use.queued > 0)
        return granted

    def _ahead_tokens(self, use: Use, allowance: int) -> int:
        """Return the memory to lend in advance; little where nothing waits."""
        if use.queued:
            return use.ahead_tokens
        return min(use.ahead_tokens, allowance // (4 * len(self._accounts)))

    def _prefill_share(self) -> int:
        busy = sum(
            1 for a in self._accounts.values() if a.use.slots or a.use.ahead_slots
        )
        return int(self.prefill.tokens / max(1, busy))

    def _expire(self, now_s: float) -> None:
        for name, account in list(self._accounts.items()):
            if account.loans and account.expires_s() > now_s:
                continue
            residual = Residual(
                name,
                account.exposed_slots(),
                account.exposed_tokens(),
                now_s,
                account.base_slots,
            )
            del self._accounts[name]
            if residual.slots:
                self._residuals.append(residual)
        if not self._reported:
            # A target without load reports gives no better evidence.
            self._residuals = [r for r in self._residuals if not r.is_over(now_s)]

    def observe_load(
        self,
        boot_id: str,
        running: int,
        memory_tokens: int,
        preemptions: int,
        now_s: float,
    ) -> bool:
        """Take a late load report; return whether it shows a new boot."""
        self.answering = True
        if memory_tokens:
            self._memory_tokens = memory_tokens
        booted = self.warmth.observe_boot(boot_id)
        if booted:
            self._residuals.clear()
        self.memory.observe(preemptions, pressed=self._pressed)
        self._pressed = False
        self._expire(now_s)
        self._note_known(now_s)
        self._reported.append((now_s, running))
        self._forget_old(now_s)
        least = min(count for _, count in self._reported)
        most_known = max(count for _, count in self._known)
        self._foreign_slots = max(0, least - most_known)
        self._settle_residuals()
        return booted

    def _settle_residuals(self) -> None:
        """Release lost borrowers' work that the target no longer runs.

        What a report shows beyond what the others were certainly running then is
        the most that lost work can be.
        """
        for reported_s, running in self._reported:
            from_s = reported_s - REPORT_LAG_LIMIT_S
            certain = sum(
                account.certain_slots(from_s, reported_s)
                for account in self._accounts.values()
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

    def _note_known(self, now_s: float) -> None:
        known = sum(account.use.slots for account in self._accounts.values())
        known += sum(residual.slots for residual in self._residuals)
        self._known.append((now_s, known))
        self._forget_old(now_s)

    def _forget_old(self, now_s: float) -> None:
        for window in (self._reported, self._known):
            while len(window) > 1 and now_s - window[0][0] > FOREIGN_WINDOW_S:
                window.popleft()

    def silent(self) -> None:
        """Note that the target does not answer: nothing is lent."""
        self.answering = False
        self.warmth.recool()

    def recool(self) -> None:
        """Fall back to the cold allowance."""
        self.warmth.recool()


def _warm_slots(target: Target) -> int:
    """Return what a home lends at most; the rest is for a successor to begin on."""
    return max(target.cold_slots, target.maximum_slots - target.cold_slots)


def _fair_share(wants: list[int], total: int) -> int:
    """Return the largest share that, given to each at most, fits the total."""
    left = max(0, total)
    ordered = sorted(wants)
    for index, want in enumerate(ordered):
        share = left // (len(ordered) - index)
        if want > share:
            return share
        left -= want
    return max([left, *wants])
