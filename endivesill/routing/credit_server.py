"""The owner's side of credits: allocators of the targets that this VM owns."""

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
from endivesill.routing.credits import Allocation, CreditAllocator, Usage
from endivesill.routing.events import CREDITS_REVOKED, OWNERSHIP_TAKEN
from endivesill.targets.messages import LoadReport
from endivesill.timer import TimerService

__all__ = ["REQUEST_PATH", "REVOKE_PATH", "CreditServer"]

REQUEST_PATH = "/credits/ask"
REVOKE_PATH = "/credits/revoke"
REVOKE_TIMEOUT_S = 1.0
# An entry without a request for this time is forgotten; its credits have expired
# and no request of it is in flight.
ENTRY_GONE_AFTER_S = 60.0
USAGE_FIELD_COUNT = len(attrs.fields(Usage))


class CreditServer(Service):
    """Allocates credits of the targets that this VM owns.

    Args:
      timer: the timer service.
      configuration: returns the configuration in force.
      instance_id: differs with each start of the process.
      membership: determines the owner of each target; without it, this VM owns
        all targets.
      peers: receives the credit requests of other entries; without it, only the
        entry of this VM gets credits.
      source: reports whether this VM holds the configuration lease. An owner
        without the lease allocates nothing, so that an owner cut off by a
        network partition yields to its successor.
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
        self._allocators: dict[str, CreditAllocator] = {}
        self._entry_addresses: dict[str, dict[str, str]] = {}
        self._request_numbers: dict[str, int] = {}
        # Time of the last request by entry, the longest ago first.
        self._requested_s: dict[str, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._revoke_listeners: list[Callable[[Target], None]] = []
        if peers is not None:
            peers.handle(REQUEST_PATH, self._handle_request)
        if membership is not None:
            membership.subscribe(self._drop_lost_targets)

    def is_owner(self, target: Target) -> bool:
        """Return whether this VM owns the target."""
        return self._membership is None or self._membership.is_owner(target)

    def allocator(self, target: Target) -> CreditAllocator:
        """Return a target's allocator, with the target as configured now.

        The first call after this VM became the owner creates it, in its takeover
        period.
        """
        allocator = self._allocators.get(target.name)
        if allocator is not None:
            if allocator.target is not target:
                allocator.configure(target)
            return allocator
        service = self._configuration().services[target.service]
        allocator = CreditAllocator(
            target,
            service.gap_target_ms,
            service.first_token_target_ms,
            self._timer.now_s(),
        )
        self._allocators[target.name] = allocator
        events.emit(OWNERSHIP_TAKEN, target=target.name)
        return allocator

    def on_revoke(self, listener: Callable[[Target], None]) -> None:
        """Call a listener with each target whose credits are revoked."""
        self._revoke_listeners.append(listener)

    def allocate(self, entry_id: str, target: Target, usage: Usage) -> Allocation:
        """Allocate credits; the allocation expires on this VM's clock.

        If the entry's suspicion that the target is cold is confirmed, all credits
        of the target are revoked.
        """
        now_s = self._timer.now_s()
        allocator = self.allocator(target)
        is_cold = usage.suspects_cold and allocator.confirms_slowdown(
            entry_id, usage, now_s
        )
        if is_cold:
            allocator.reset_slow_start()
        allocation = allocator.allocate(
            entry_id, usage, now_s, may_allocate=self._may_allocate()
        )
        if is_cold:
            self.revoke(target, "entry-saw-jump")
        return allocation

    def _may_allocate(self) -> bool:
        return self._source is None or self._source.holds_lease()

    async def _handle_request(self, message: Message) -> Message:
        entry_id = message["from"]
        if message["number"] <= self._request_numbers.get(entry_id, 0):
            return {"instance": self.instance_id, "loans": {}}
        self._request_numbers[entry_id] = message["number"]
        self._requested_s.pop(entry_id, None)
        self._requested_s[entry_id] = self._timer.now_s()
        self._forget_gone_entries()
        configuration = self._configuration()
        allocations: dict[str, list[int]] = {}
        for name, fields in message["use"].items():
            target = configuration.targets.get(name)
            if target is None or not self.is_owner(target):
                continue
            self._entry_addresses.setdefault(name, {})[entry_id] = message["address"]
            allocation = self.allocate(
                entry_id, target, Usage(*fields[:USAGE_FIELD_COUNT])
            )
            allocations[name] = [
                allocation.slots,
                allocation.tokens,
                allocation.prefill_tokens,
                allocation.serial,
            ]
        return {"instance": self.instance_id, "loans": allocations}

    def _forget_gone_entries(self) -> None:
        forget_before_s = self._timer.now_s() - ENTRY_GONE_AFTER_S
        while True:
            entry_id = next(iter(self._requested_s))
            if self._requested_s[entry_id] >= forget_before_s:
                return
            del self._requested_s[entry_id], self._request_numbers[entry_id]
            for addresses in self._entry_addresses.values():
                addresses.pop(entry_id, None)

    def observe_load(self, target: Target, report: LoadReport) -> None:
        """Apply a load report; a reboot of the target revokes its credits."""
        allocator = self.allocator(target)
        if not self._configuration().takes_new_work(target):
            # A target that returns to service starts cold.
            allocator.reset_slow_start()
        booted = allocator.observe_load(
            report.boot_id,
            report.running + report.waiting,
            report.memory_tokens,
            report.preemptions,
            self._timer.now_s(),
        )
        if booted:
            self.revoke(target, "new-boot")

    def observe_silence(self, target: Target) -> None:
        """Revoke the credits of a target that has stopped answering polls."""
        allocator = self.allocator(target)
        if allocator.is_answering:
            allocator.mark_silent()
            self.revoke(target, "no-answer")

    def observe_cache_cleared(self, target: Target) -> None:
        """Revoke the credits of a target that has lost its prefix cache."""
        self.allocator(target).reset_slow_start()
        self.revoke(target, "cache-cleared")

    def revoke(self, target: Target, reason: str) -> None:
        """Revoke a target's credits at all entries at once."""
        events.emit(CREDITS_REVOKED, target=target.name, reason=reason)
        for listener in self._revoke_listeners:
            listener(target)
        addresses = self._entry_addresses.pop(target.name, {})
        for address in addresses.values():
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
            # The entry's allocation ends when it expires.
            return

    def _drop_lost_targets(self) -> None:
        """Drop the allocators of targets that this VM no longer owns."""
        targets = self._configuration().targets
        for name in list(self._allocators):
            target = targets.get(name)
            if target is None or not self.is_owner(target):
                del self._allocators[name]
                self._entry_addresses.pop(name, None)

    async def stop(self) -> None:
        """Cancel revocations that are still being sent."""
        for task in list(self._tasks):
            task.cancel()


def usage_fields(usage: Usage) -> list[float]:
    """Return a usage report as the list that a credit request carries."""
    return [round(v, 1) if isinstance(v, float) else v for v in attrs.astuple(usage)]
