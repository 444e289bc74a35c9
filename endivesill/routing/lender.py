"""The home's side of credits: ledgers of the targets this VM is home of."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import attrs

from endivesill import errors, events
from endivesill.configuration.model import Configuration, Target
from endivesill.configuration.source import ConfigurationSource
from endivesill.kernel import Service
from endivesill.membership import MembershipView
from endivesill.peers import Message, PeerTransport
from endivesill.routing.credits import Ledger, Loan, Use
from endivesill.routing.events import CREDITS_REVOKED, HOME_TAKEN
from endivesill.targets.messages import LoadReport
from endivesill.timer import TimerService

__all__ = ["ASK_PATH", "REVOKE_PATH", "Lender"]

ASK_PATH = "/credits/ask"
REVOKE_PATH = "/credits/revoke"
REVOKE_TIMEOUT_S = 1.0
USE_FIELDS = len(attrs.fields(Use))


class Lender(Service):
    """Lends credits of the targets that this VM is home of.

    Args:
      timer: the timer service.
      configuration: returns the configuration in force.
      instance_id: differs with each start of the process.
      membership: who is whose home; without one, this VM is home of all.
      peers: where other entries ask; without one, only this VM borrows.
      source: where the lease is asked for; a home without it lends nothing, so
        that one behind a partition gives way to its successor.
    """

    def __init__(
        self,
        timer: TimerService,
        configuration: Callable[[], Configuration],
        instance_id: str,
        membership: MembershipView | None = None,
        peers: PeerTransport | None = None,
        source: ConfigurationSource | None = None,
    ) -> None:
        self._timer = timer
        self._source = source
        self._configuration = configuration
        self.instance_id = instance_id
        self._membership = membership
        self._peers = peers
        self._ledgers: dict[str, Ledger] = {}
        self._borrowers: dict[str, dict[str, str]] = {}
        self._asks: dict[str, int] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._revoke_local: list[Callable[[Target], None]] = []
        if peers is not None:
            peers.handle(ASK_PATH, self._answer)
        if membership is not None:
            membership.subscribe(self._drop_lost_homes)

    def is_home(self, target: Target) -> bool:
        """Tell whether this VM is the target's home."""
        return self._membership is None or self._membership.is_home(target)

    def ledger(self, target: Target) -> Ledger:
        """Return a target's ledger, begun cold when this VM becomes its home."""
        ledger = self._ledgers.get(target.name)
        if ledger is not None:
            if ledger.target is not target:
                ledger.configure(target)
            return ledger
        service = self._configuration().services[target.service]
        ledger = Ledger(
            target,
            service.gap_target_ms,
            service.first_token_target_ms,
            self._timer.now_s(),
        )
        self._ledgers[target.name] = ledger
        events.emit(HOME_TAKEN, target=target.name)
        return ledger

    def on_revoke(self, listener: Callable[[Target], None]) -> None:
        """Call a listener with each target whose loans are revoked."""
        self._revoke_local.append(listener)

    def ask(self, borrower: str, target: Target, use: Use) -> Loan:
        """Lend to a borrower; its clock is this VM's."""
        now_s = self._timer.now_s()
        ledger = self.ledger(target)
        cooled = use.recooled and ledger.confirms_jump(borrower, use, now_s)
        if cooled:
            ledger.recool()
        loan = ledger.ask(borrower, use, now_s, lends=self._may_lend())
        if cooled:
            self.revoke(target, "entry-saw-jump")
        return loan

    def _may_lend(self) -> bool:
        return self._source is None or self._source.holds_lease()

    async def _answer(self, message: Message) -> Message:
        borrower = message["from"]
        if message["number"] <= self._asks.get(borrower, 0):
            return {"instance": self.instance_id, "loans": {}}
        self._asks[borrower] = message["number"]
        configuration = self._configuration()
        loans: dict[str, list[int]] = {}
        for name, fields in message["use"].items():
            target = configuration.targets.get(name)
            if target is None or not self.is_home(target):
                continue
            self._borrowers.setdefault(name, {})[borrower] = message["address"]
            loan = self.ask(borrower, target, Use(*fields[:USE_FIELDS]))
            loans[name] = [loan.slots, loan.tokens, loan.prefill_tokens, loan.serial]
        return {"instance": self.instance_id, "loans": loans}

    def observe_load(self, target: Target, report: LoadReport) -> None:
        """Take a target's load report."""
        ledger = self.ledger(target)
        if not self._configuration().takes_new_work(target):
            # What returns after having been out of service starts cold.
            ledger.recool()
        booted = ledger.observe_load(
            report.boot_id,
            report.running + report.waiting,
            report.memory_tokens,
            report.preemptions,
            self._timer.now_s(),
        )
        if booted:
            self.revoke(target, "new-boot")

    def observe_silence(self, target: Target) -> None:
        """Note that a target does not answer polls."""
        ledger = self.ledger(target)
        if ledger.answering:
            ledger.silent()
            self.revoke(target, "no-answer")

    def observe_cleared(self, target: Target) -> None:
        """Note that a target has lost its prefix cache."""
        self.ledger(target).recool()
        self.revoke(target, "cache-cleared")

    def revoke(self, target: Target, reason: str) -> None:
        """Take a target's loans back at all borrowers at once."""
        events.emit(CREDITS_REVOKED, target=target.name, reason=reason)
        for listener in self._revoke_local:
            listener(target)
        borrowers = self._borrowers.pop(target.name, {})
        for address in borrowers.values():
            self._spawn_revoke(address, target.name)

    def _spawn_revoke(self, address: str, target_name: str) -> None:
        task = asyncio.ensure_future(self._send_revoke(address, target_name))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_revoke(self, address: str, target_name: str) -> None:
        assert self._peers is not None
        message = {"instance": self.instance_id, "target": target_name}
        try:
            await self._peers.call(address, REVOKE_PATH, message, REVOKE_TIMEOUT_S)
        except errors.PeerUnreachableError:
            # The loan ends by itself when it expires.
            return

    def _drop_lost_homes(self) -> None:
        targets = self._configuration().targets
        for name in list(self._ledgers):
            target = targets.get(name)
            if target is None or not self.is_home(target):
                del self._ledgers[name]
                self._borrowers.pop(name, None)

    async def stop(self) -> None:
        """Give up what is still being sent."""
        for task in list(self._tasks):
            task.cancel()


def use_fields(use: Use) -> list[float]:
    """Return a use as the list that an ask carries."""
    return [round(v, 1) if isinstance(v, float) else v for v in attrs.astuple(use)]
