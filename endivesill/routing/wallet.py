"""The entry's side of credits: loans at hand and asks to the homes.

All targets of one home share an exchange. A home is asked again at a calm
period while there is work, sooner when credits run short, and not at all while
this entry has no work for its targets.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

import attrs

from endivesill import errors
from endivesill.configuration.model import Configuration, Target
from endivesill.kernel import Service
from endivesill.membership import MembershipView
from endivesill.peers import Message, PeerTransport
from endivesill.routing.credits import LOAN_LIFE_S, RENEW_S, Loan, Use
from endivesill.routing.lender import ASK_PATH, REVOKE_PATH, Lender, use_fields
from endivesill.timer import TimerHandle, TimerService

__all__ = ["Wallet"]

TICK_S = 0.25
URGENT_S = 0.25
ASK_TIMEOUT_S = 1.0
MAXIMUM_FRUITLESS = 3
IDLE_S = 10.0
OWN_RENEW_S = 1.0
OWN_URGENT_S = 0.02


@attrs.define
class _Home:
    """What is known of the exchange with one home.

    Asks that bring nothing make the next urgent one wait longer.
    """

    address: str
    asked_s: float = -math.inf
    urgent: bool = False
    fruitless: int = 0
    task: asyncio.Task[None] | None = None

    def period_s(self) -> float:
        """Return the shortest time between two asks now."""
        if not self.urgent:
            return RENEW_S
        return min(RENEW_S, URGENT_S * 2**self.fruitless)


class Wallet(Service):
    """Holds the loans of this entry.

    Args:
      timer: the timer service.
      configuration: returns the configuration in force.
      borrower: the entry's name and instance.
      lender: the lender of this VM, for targets that it is home of.
      membership: who is whose home; without one, this VM is home of all.
      peers: the way to other homes.
    """

    def __init__(
        self,
        timer: TimerService,
        configuration: Callable[[], Configuration],
        borrower: str,
        lender: Lender,
        membership: MembershipView | None = None,
        peers: PeerTransport | None = None,
    ) -> None:
        self._timer = timer
        self._configuration = configuration
        self._borrower = borrower
        self._lender = lender
        self._membership = membership
        self._peers = peers
        self._loans: dict[str, tuple[str, Loan]] = {}
        self._homes: dict[str, _Home] = {}
        self._demand_s: dict[str, float] = {}
        self._own_asked_s: dict[str, float] = {}
        self._deferred: set[str] = set()
        self._number = 0
        self._checked: Configuration | None = None
        self._ticker: TimerHandle | None = None
        self.use_of: Callable[[Target], Use] = lambda target: Use()
        self.running_at: Callable[[Target], int] = lambda target: 0
        self.on_loan: Callable[[Target], None] = lambda target: None
        self.on_credits: Callable[[Target], None] = lambda target: None
        lender.on_revoke(self.revoke)
        if peers is not None:
            peers.handle(REVOKE_PATH, self._revoke)
        if membership is not None:
            membership.subscribe(self._drop_foreign_loans)

    async def start(self) -> None:
        """Begin to renew loans."""
        self._ticker = self._timer.call_every(TICK_S, self._tick)

    async def stop(self) -> None:
        """Let the loans expire."""
        if self._ticker is not None:
            self._ticker.cancel()
        tasks = [home.task for home in self._homes.values() if home.task]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def loan(self, target_name: str) -> Loan | None:
        """Return the loan at hand from the home that this VM believes in."""
        held = self._loans.get(target_name)
        return held[1] if held else None

    def _hold(self, target: Target, instance_id: str, loan: Loan) -> None:
        self._loans[target.name] = (instance_id, loan)
        self.on_loan(target)

    def demand(self, target: Target) -> None:
        """Note that there is work for a target."""
        self._demand_s[target.name] = self._timer.now_s()

    def need(self, target: Target) -> bool:
        """Ask for more credits soon; return whether some came at once."""
        self.demand(target)
        if self._lender.is_home(target):
            return self._ask_own(target, OWN_URGENT_S) or self._ask_own_later(target)
        home = self._home(target)
        if home is not None and not home.urgent:
            home.urgent = True
            self._ask_if_due(home)
        return False

    def revoke(self, target: Target) -> None:
        """Drop a loan at once."""
        if self._loans.pop(target.name, None) is not None:
            self.on_loan(target)

    def report_jump(self, target: Target) -> None:
        """Drop the loan of a target that turned cold, and tell its home."""
        self.revoke(target)
        if self._lender.is_home(target):
            self._ask_own(target, 0.0)
        else:
            self.need(target)

    def _ask_own(self, target: Target, period_s: float) -> bool:
        now_s = self._timer.now_s()
        if now_s - self._own_asked_s.get(target.name, -math.inf) < period_s:
            return False
        self._own_asked_s[target.name] = now_s
        before = self.loan(target.name)
        loan = self._lender.ask(self._borrower, target, self.use_of(target))
        self._hold(target, self._lender.instance_id, loan)
        return loan.is_larger_than(before)

    def _ask_own_later(self, target: Target) -> bool:
        """Ask again once the shortest period is over."""
        if target.name not in self._deferred:
            self._deferred.add(target.name)
            self._timer.call_after(OWN_URGENT_S, lambda: self._ask_deferred(target))
        return False

    def _ask_deferred(self, target: Target) -> None:
        self._deferred.discard(target.name)
        if self._lender.is_home(target) and self._ask_own(target, 0.0):
            self.on_credits(target)

    def _tick(self) -> None:
        now_s = self._timer.now_s()
        configuration = self._configuration()
        if configuration is not self._checked and self._membership is not None:
            self._drop_foreign_loans()
        self._checked = configuration
        targets = configuration.targets
        for name, demand_s in list(self._demand_s.items()):
            target = targets.get(name)
            if target is None or not self._has_work(target, now_s - demand_s):
                del self._demand_s[name]
                self._own_asked_s.pop(name, None)
                continue
            if self._lender.is_home(target):
                if self._ask_own(target, OWN_RENEW_S):
                    self.on_credits(target)
            else:
                self._home(target)
        for home in list(self._homes.values()):
            self._ask_if_due(home)

    def _has_work(self, target: Target, idle_s: float) -> bool:
        return idle_s < IDLE_S or self.running_at(target) > 0

    def _home(self, target: Target) -> _Home | None:
        record = self._membership.home_of(target) if self._membership else None
        if record is None or self._peers is None:
            return None
        return self._homes.setdefault(record.address, _Home(record.address))

    def _ask_if_due(self, home: _Home) -> None:
        if home.task is not None and not home.task.done():
            return
        if self._timer.now_s() - home.asked_s < home.period_s():
            return
        targets = self._targets_of(home)
        if not targets:
            del self._homes[home.address]
            return
        home.asked_s = self._timer.now_s()
        home.urgent = False
        home.task = asyncio.ensure_future(self._ask(home, targets))

    def _targets_of(self, home: _Home) -> list[Target]:
        assert self._membership is not None
        configured = self._configuration().targets
        found = []
        for name in self._demand_s:
            target = configured.get(name)
            record = self._membership.home_of(target) if target else None
            if target and record and record.address == home.address:
                found.append(target)
        return found

    async def _ask(self, home: _Home, targets: list[Target]) -> None:
        assert self._peers is not None
        self._number += 1
        uses = {target.name: self.use_of(target) for target in targets}
        message = {
            "from": self._borrower,
            "address": self._peers.address,
            "number": self._number,
            "use": {name: use_fields(use) for name, use in uses.items()},
        }
        # The life is counted from before the ask, so it ends here first.
        expires_s = self._timer.now_s() + LOAN_LIFE_S
        try:
            answer = await self._peers.call(
                home.address, ASK_PATH, message, ASK_TIMEOUT_S
            )
        except errors.PeerUnreachableError:
            return
        self._take(home, targets, answer, expires_s)

    def _take(
        self, home: _Home, targets: list[Target], answer: Message, expires_s: float
    ) -> None:
        assert self._membership is not None
        gained = False
        for target in targets:
            fields = answer["loans"].get(target.name)
            record = self._membership.home_of(target)
            if fields is None or record is None or record.address != home.address:
                continue
            slots, tokens, prefill_tokens, serial = fields
            loan = Loan(slots, tokens, prefill_tokens, serial, expires_s)
            gained = gained or loan.is_larger_than(self.loan(target.name))
            self._hold(target, answer["instance"], loan)
            self.on_credits(target)
        step = -1 if gained else 1
        home.fruitless = min(max(0, home.fruitless + step), MAXIMUM_FRUITLESS)

    async def _revoke(self, message: Message) -> Message:
        target = self._configuration().targets.get(message["target"])
        held = self._loans.get(message["target"])
        if target and held and held[0] == message["instance"]:
            self.revoke(target)
        return {}

    def _drop_foreign_loans(self) -> None:
        """Drop the loans of homes that this VM no longer believes in."""
        assert self._membership is not None
        instances = {vm.name: vm.instance_id for vm in self._membership.vms()}
        targets = self._configuration().targets
        for name, (instance, _) in list(self._loans.items()):
            target = targets.get(name)
            record = self._membership.home_of(target) if target else None
            if target is None:
                del self._loans[name]
            elif record is None or instances.get(record.name) != instance:
                self.revoke(target)
