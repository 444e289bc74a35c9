"""What a ledger keeps of its borrowers: their use, loans and lost work."""

from __future__ import annotations

import collections

import attrs

__all__ = ["PREDECESSOR", "Account", "Loan", "Residual", "Use"]

UNREPORTED_LIFE_S = 60.0
PREDECESSOR = ""


@attrs.frozen
class Use:
    """What a borrower says of its work at a target.

    Attributes:
      slots: requests that it runs there.
      tokens: memory tokens that it has reserved there.
      ahead_slots: how many it would like to start.
      ahead_tokens: memory tokens that those would need.
      serial: serial of the loan that it holds; 0 for none.
      median_gap_ms: median gap between tokens; 0 if unknown.
      tail_gap_ms: 99th percentile of the gap; 0 if unknown.
      answers: answers completed since the last ask.
      first_token_ms: their mean time to the first token.
      recooled: whether it has seen the target turn cold.
      least_slots: the fewest that it ran at any time since the last ask.
      queued: how many requests wait for the target's service there.
    """

    slots: int = 0
    tokens: int = 0
    ahead_slots: int = 0
    ahead_tokens: int = 0
    serial: int = 0
    median_gap_ms: float = 0.0
    tail_gap_ms: float = 0.0
    answers: int = 0
    first_token_ms: float = 0.0
    recooled: bool = False
    least_slots: int = 0
    queued: int = 0


@attrs.frozen
class Loan:
    """Credits of one borrower at one target.

    Attributes:
      slots: requests that it may run at once.
      tokens: memory tokens that it may reserve.
      prefill_tokens: prompt tokens that it may have in flight.
      serial: grows with each loan of a ledger.
      expires_s: when it ends, on the holder's own clock.
    """

    slots: int
    tokens: int
    prefill_tokens: int
    serial: int
    expires_s: float

    def is_larger_than(self, earlier: Loan | None) -> bool:
        """Tell whether more may be run on it than on an earlier one."""
        if earlier is None:
            return True
        return self.slots > earlier.slots or self.tokens > earlier.tokens


@attrs.define
class Account:
    """A borrower's loans that it may still hold, by serial, and its last use.

    Its base is what it ran when it first asked, on an earlier home's loans. Its
    asks are the times with the fewest slots that it had run since the one before.
    """

    base_slots: int = 0
    loans: dict[int, Loan] = attrs.Factory(dict)
    use: Use = attrs.Factory(Use)
    asks: collections.deque[tuple[float, int]] = attrs.Factory(collections.deque)

    def certain_slots(self, from_s: float, until_s: float) -> int:
        """Return how many it ran at least, at any time of a period."""
        if not self.asks or self.asks[-1][0] < until_s:
            return 0
        return min(least for asked_s, least in self.asks if asked_s >= from_s)

    def exposed_slots(self) -> int:
        """Return the most that it may run."""
        return max([self.use.slots, *(loan.slots for loan in self.loans.values())])

    def exposed_tokens(self) -> int:
        """Return the most memory that it may hold."""
        return max([self.use.tokens, *(loan.tokens for loan in self.loans.values())])

    def expires_s(self) -> float:
        """Return when its last loan ends."""
        return max((loan.expires_s for loan in self.loans.values()), default=0.0)


@attrs.define
class Residual:
    """Work of borrowers that are not heard of; since then they start no more.

    Attributes:
      borrower: whose work it is; `PREDECESSOR` for those of an earlier home.
      slots: the most that it can be.
      tokens: the most memory that it can hold.
      since_s: when the last loan ended.
      base_slots: the part that was begun on an earlier home's loans.
    """

    borrower: str
    slots: int
    tokens: int
    since_s: float
    base_slots: int = 0

    def is_over(self, now_s: float) -> bool:
        """Tell whether the work has ended, as far as time alone can tell."""
        life_s = 0.0 if self.borrower == PREDECESSOR else UNREPORTED_LIFE_S
        return now_s - self.since_s >= life_s
