"""Shares of the fleet-wide allowances, lent to the entries by one lender.

Channels to a target, requests to a cold target and repeats are bounded for all
entries together. The leader of the control VMs lends each entry a share of all
of them; a share ends by itself, so that the sum stays under 1 whoever dies.
"""

from __future__ import annotations

import attrs

__all__ = ["LOAN_LIFE_S", "Loan", "ShareLedger"]

# Over two elections of the control VMs, so that a change of the leader does not
# stop work that needs a share.
LOAN_LIFE_S = 4.0


@attrs.frozen
class Loan:
    """A share that an entry holds.

    Attributes:
      share: the part of each allowance, from 0 to 1.
      end_s: when it ends, on the clock of whoever holds this object.
    """

    share: float
    end_s: float

    def share_at(self, now_s: float) -> float:
        """Return the share that may be used at a time."""
        return self.share if now_s < self.end_s else 0.0


class ShareLedger:
    """What a lender has lent.

    Args:
      now_s: when the lender took over. Loans of the lender before are unknown
        to it until they have ended, but for what their holders report.
    """

    def __init__(self, now_s: float) -> None:
        self._alone_from_s = now_s + LOAN_LIFE_S
        self._loans: dict[str, Loan] = {}

    def lend(self, entry: str, held: float, now_s: float) -> float:
        """Lend an entry its share and return it.

        Args:
          entry: names one start of an entry.
          held: the share that it holds by an earlier loan.
          now_s: the lender's time.
        """
        self._loans = {e: loan for e, loan in self._loans.items() if loan.end_s > now_s}
        others = sum(
            loan.share for holder, loan in self._loans.items() if holder != entry
        )
        if now_s < self._alone_from_s:
            share = held
        else:
            count = len(self._loans.keys() | {entry})
            share = max(0.0, min(1.0 / count, 1.0 - others))
        self._loans[entry] = Loan(share, now_s + LOAN_LIFE_S)
        return share

    def give_back(self, entry: str) -> None:
        """End the loan of an entry that stops."""
        self._loans.pop(entry, None)

    def entries(self, now_s: float) -> list[str]:
        """Return the entries that hold a loan."""
        return [entry for entry, loan in self._loans.items() if loan.end_s > now_s]
