"""The entry's side of credits: its allocations and its requests to target owners.

One request to an owner covers all targets that the entry uses there. Allocations
are renewed periodically while the entry has work for those targets, sooner when
credits run short, and not at all while it is idle.
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
from endivesill.routing.credit_server import (
    REQUEST_PATH,
    REVOKE_PATH,
    CreditServer,
    usage_fields,
)
from endivesill.routing.credits import (
    ALLOCATION_LIFETIME_S,
    RENEW_PERIOD_S,
    Allocation,
    Usage,
)
from endivesill.timer import TimerHandle, TimerService

__all__ = ["CreditClient"]

TICK_S = 0.25
URGENT_PERIOD_S = 0.25
REQUEST_TIMEOUT_S = 1.0
MAXIMUM_BACKOFF_EXPONENT = 3
IDLE_TIMEOUT_S = 10.0
LOCAL_RENEW_PERIOD_S = 1.0
LOCAL_URGENT_PERIOD_S = 0.02


@attrs.define
class _OwnerState:
    """State of the credit requests to one owner.

    Urgent requests back off exponentially while they yield no more credits.
    """

    address: str
    requested_s: float = -math.inf
    urgent: bool = False
    backoff_exponent: int = 0
    task: asyncio.Task[None] | None = None

    def period_s(self) -> float:
        """Return the shortest time between two requests now."""
        if not self.urgent:
            return RENEW_PERIOD_S
        return min(RENEW_PERIOD_S, URGENT_PERIOD_S * 2**self.backoff_exponent)


class CreditClient(Service):
    """Obtains and holds the credits of this entry.

    Args:
      timer: the timer service.
      configuration: returns the configuration in force.
      entry_id: the instance id of this process.
      credit_server: allocates the credits of the targets that this VM owns.
      membership: determines the owner of each target; without it, this VM owns
        all targets.
      peers: carries credit requests to other owners.
    """

    def __init__(
        self,
        timer: TimerService,
        configuration: Callable[[], Configuration],
        entry_id: str,
        credit_server: CreditServer,
        membership: MembershipView | None = None,
        peers: PeerTransport | None = None,
    ) -> None:
        self._timer = timer
        self._configuration = configuration
        self._entry_id = entry_id
        self._credit_server = credit_server
        self._membership = membership
        self._peers = peers
        self._allocations: dict[str, tuple[str, Allocation]] = {}
        self._owners: dict[str, _OwnerState] = {}
        self._demand_s: dict[str, float] = {}
        self._local_requested_s: dict[str, float] = {}
        self._deferred: set[str] = set()
        # Targets whose owner was not told that they are suspected to be cold.
        self._unreported: set[str] = set()
        self._request_number = 0
        self._checked_configuration: Configuration | None = None
        self._ticker: TimerHandle | None = None
        self.usage_of: Callable[[Target], Usage] = lambda target: Usage()
        self.running_at: Callable[[Target], int] = lambda target: 0
        self.on_allocation: Callable[[Target], None] = lambda target: None
        self.on_credits: Callable[[Target], None] = lambda target: None
        credit_server.on_revoke(self.drop)
        if peers is not None:
            peers.handle(REVOKE_PATH, self._handle_revoke)
        if membership is not None:
            membership.subscribe(self._drop_stale_allocations)

    async def start(self) -> None:
        """Begin to renew allocations."""
        self._ticker = self._timer.call_every(TICK_S, self._tick)

    async def stop(self) -> None:
        """Stop renewing; the allocations held expire by themselves."""
        if self._ticker is not None:
            self._ticker.cancel()
        tasks = [owner.task for owner in self._owners.values() if owner.task]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def allocation(self, target_name: str) -> Allocation | None:
        """Return the allocation held, which may have expired."""
        held = self._allocations.get(target_name)
        return held[1] if held else None

    def _store(self, target: Target, instance_id: str, allocation: Allocation) -> None:
        self._allocations[target.name] = (instance_id, allocation)
        self.on_allocation(target)

    def note_demand(self, target: Target) -> None:
        """Record that there is work for a target, so that its credits are renewed."""
        self._demand_s[target.name] = self._timer.now_s()

    def request_more(self, target: Target) -> bool:
        """Request more credits soon; return whether some were allocated at once."""
        self.note_demand(target)
        if self._credit_server.is_owner(target):
            return self._allocate_local(
                target, LOCAL_URGENT_PERIOD_S
            ) or self._allocate_local_later(target)
        owner = self._owner(target)
        if owner is not None and not owner.urgent:
            owner.urgent = True
            self._request_if_due(owner)
        return False

    def drop(self, target: Target) -> None:
        """Drop an allocation at once."""
        if self._allocations.pop(target.name, None) is not None:
            self.on_allocation(target)

    def report_slowdown(self, target: Target) -> None:
        """Drop the allocation of a target suspected to be cold and notify its owner."""
        self.drop(target)
        if self._credit_server.is_owner(target):
            self._allocate_local(target, 0.0)
        else:
            self.request_more(target)

    def _allocate_local(self, target: Target, period_s: float) -> bool:
        """Renew the allocation of a target that this VM owns.

        Returns:
          Whether the allocation grew; False within a period of the last renewal.
        """
        now_s = self._timer.now_s()
        if now_s - self._local_requested_s.get(target.name, -math.inf) < period_s:
            return False
        self._local_requested_s[target.name] = now_s
        before = self.allocation(target.name)
        allocation = self._credit_server.allocate(
            self._entry_id, target, self._usage(target)
        )
        self._store(target, self._credit_server.instance_id, allocation)
        return allocation.is_larger_than(before)

    def _allocate_local_later(self, target: Target) -> bool:
        """Schedule a renewal after the shortest period; return False."""
        if target.name not in self._deferred:
            self._deferred.add(target.name)
            self._timer.call_after(
                LOCAL_URGENT_PERIOD_S, lambda: self._allocate_deferred(target)
            )
        return False

    def _allocate_deferred(self, target: Target) -> None:
        self._deferred.discard(target.name)
        if self._credit_server.is_owner(target) and self._allocate_local(target, 0.0):
            self.on_credits(target)

    def _tick(self) -> None:
        now_s = self._timer.now_s()
        configuration = self._configuration()
        if (
            configuration is not self._checked_configuration
            and self._membership is not None
        ):
            self._drop_stale_allocations()
        self._checked_configuration = configuration
        targets = configuration.targets
        for name, demand_s in list(self._demand_s.items()):
            target = targets.get(name)
            if target is None or not self._has_work(target, now_s - demand_s):
                del self._demand_s[name]
                self._local_requested_s.pop(name, None)
                self._unreported.discard(name)
                continue
            if self._credit_server.is_owner(target):
                if self._allocate_local(target, LOCAL_RENEW_PERIOD_S):
                    self.on_credits(target)
            else:
                self._owner(target)
        for owner in list(self._owners.values()):
            self._request_if_due(owner)

    def _has_work(self, target: Target, idle_s: float) -> bool:
        return idle_s < IDLE_TIMEOUT_S or self.running_at(target) > 0

    def _owner(self, target: Target) -> _OwnerState | None:
        record = self._membership.owner_of(target) if self._membership else None
        if record is None or self._peers is None:
            return None
        return self._owners.setdefault(record.address, _OwnerState(record.address))

    def _request_if_due(self, owner: _OwnerState) -> None:
        if owner.task is not None and not owner.task.done():
            return
        if self._timer.now_s() - owner.requested_s < owner.period_s():
            return
        targets = self._targets_of(owner)
        if not targets:
            del self._owners[owner.address]
            return
        owner.requested_s = self._timer.now_s()
        owner.urgent = False
        owner.task = asyncio.ensure_future(self._request(owner, targets))

    def _targets_of(self, owner: _OwnerState) -> list[Target]:
        assert self._membership is not None
        configured = self._configuration().targets
        found = []
        for name in self._demand_s:
            target = configured.get(name)
            record = self._membership.owner_of(target) if target else None
            if target and record and record.address == owner.address:
                found.append(target)
        return found

    async def _request(self, owner: _OwnerState, targets: list[Target]) -> None:
        assert self._peers is not None
        self._request_number += 1
        usages = {target.name: self._usage(target) for target in targets}
        suspected = {name for name, usage in usages.items() if usage.suspects_cold}
        message = {
            "from": self._entry_id,
            "address": self._peers.address,
            "number": self._request_number,
            "use": {name: usage_fields(usage) for name, usage in usages.items()},
        }
        # Counting from before the request makes the allocation expire here first.
        expires_s = self._timer.now_s() + ALLOCATION_LIFETIME_S
        try:
            answer = await self._peers.call(
                owner.address, REQUEST_PATH, message, REQUEST_TIMEOUT_S
            )
        except errors.PeerUnreachableError:
            self._unreported |= suspected
            return
        self._unreported |= suspected - answer["loans"].keys()
        self._apply(owner, targets, answer, expires_s)

    def _usage(self, target: Target) -> Usage:
        """Return the usage to report, with a suspicion that was not reported yet.

        Completed responses are not reported again: the owner may have counted them.
        """
        usage = self.usage_of(target)
        if target.name not in self._unreported:
            return usage
        self._unreported.discard(target.name)
        return attrs.evolve(usage, suspects_cold=True)

    def _apply(
        self,
        owner: _OwnerState,
        targets: list[Target],
        answer: Message,
        expires_s: float,
    ) -> None:
        assert self._membership is not None
        gained = False
        for target in targets:
            fields = answer["loans"].get(target.name)
            record = self._membership.owner_of(target)
            if fields is None or record is None or record.address != owner.address:
                continue
            slots, tokens, prefill_tokens, serial = fields
            allocation = Allocation(slots, tokens, prefill_tokens, serial, expires_s)
            gained = gained or allocation.is_larger_than(self.allocation(target.name))
            self._store(target, answer["instance"], allocation)
            self.on_credits(target)
        step = -1 if gained else 1
        owner.backoff_exponent = min(
            max(0, owner.backoff_exponent + step), MAXIMUM_BACKOFF_EXPONENT
        )

    async def _handle_revoke(self, message: Message) -> Message:
        target = self._configuration().targets.get(message["target"])
        held = self._allocations.get(message["target"])
        if target and held and held[0] == message["instance"]:
            self.drop(target)
        return {}

    def _drop_stale_allocations(self) -> None:
        """Drop the allocations of VMs that no longer own the target."""
        assert self._membership is not None
        instances = {vm.name: vm.instance_id for vm in self._membership.vms()}
        targets = self._configuration().targets
        for name, (instance, _) in list(self._allocations.items()):
            target = targets.get(name)
            record = self._membership.owner_of(target) if target else None
            if target is None:
                del self._allocations[name]
            elif record is None or instances.get(record.name) != instance:
                self.drop(target)
