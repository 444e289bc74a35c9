"""The SWIM membership service: this VM's view of the fleet."""

from __future__ import annotations

import asyncio
import random
import uuid
from collections.abc import Awaitable, Callable, Coroutine, Iterable
from typing import Any

from endivesill import events
from endivesill.configuration.model import Target
from endivesill.configuration.source import ConfigurationSource
from endivesill.kernel import Kernel
from endivesill.membership.datagrams import DatagramTransport
from endivesill.membership.delegates import Delegates
from endivesill.membership.events import (
    OWNERSHIP_TAKEN,
    PROCESS_PAUSED,
    VM_ALIVE,
    VM_GONE,
    VM_LEAVING,
    VM_SUSPECT,
)
from endivesill.membership.exchange import DatagramExchange
from endivesill.membership.gossip import Gossip
from endivesill.membership.gossip_state import GossipState
from endivesill.membership.identity import OwnState
from endivesill.membership.joining import Synchronizer
from endivesill.membership.leaving import LeavingTargets
from endivesill.membership.members import MemberTable
from endivesill.membership.messages import (
    Datagram,
    DatagramKind,
    Health,
    Phase,
    VmUpdate,
)
from endivesill.membership.owners import LiveEntry, OwnerTable
from endivesill.membership.probes import Prober
from endivesill.membership.settings import MembershipSettings
from endivesill.membership.suspicion import SuspicionTimers
from endivesill.membership.view import MembershipView, VmRecord
from endivesill.peers import PeerTransport
from endivesill.settings import VmSettings

__all__ = ["SwimMembership"]

PAUSE_CHECK_PERIOD_S = 0.5
PAUSE_THRESHOLD_S = 1.5
ISOLATED_RETRY_S = 1.0


class SwimMembership(MembershipView):
    """A view of the fleet maintained by SWIM probes and gossip.

    Args:
      kernel: the process's kernel.
      vm: the settings of this VM.
      settings: the membership settings.
      peers: the transport of the peer port.
      datagrams: the datagram transport at the same address.
      configuration: the source of the configuration.
      seed: seed of all random choices; None uses the system's randomness.

    Attributes:
      table: the member table.
      leaving_targets: the targets that are leaving.
    """

    def __init__(
        self,
        kernel: Kernel,
        vm: VmSettings,
        settings: MembershipSettings,
        peers: PeerTransport,
        datagrams: DatagramTransport,
        configuration: ConfigurationSource,
        seed: int | None = None,
    ) -> None:
        super().__init__()
        self._kernel = kernel
        self._timer = timer = kernel.timer
        self._vm = vm
        self._settings = settings
        self._configuration = configuration
        self._rng = random.Random(seed)
        self._tasks: set[asyncio.Task[None]] = set()
        self._listed_addresses: list[str] = []
        self._last_pause_check_s = timer.now_s()
        self._acked_since_pause = True
        self.table = MemberTable(timer, self._initial_update())
        delegates = Delegates(self.table, settings, self._rng)
        self._gossip = Gossip(timer, self.table, self._rng, delegates)
        self.leaving_targets = LeavingTargets(
            timer, configuration.current, self._gossip.broadcast
        )
        self._own = OwnState(self.table, self._gossip.broadcast, self._on_suspected)
        self._gossip_state = GossipState(
            self.table, self._own, self.leaving_targets, self._gossip
        )
        self._suspicion_timers = SuspicionTimers(
            timer, self.table, settings, self._gossip_state.apply, self._probe_again
        )
        self._exchange = DatagramExchange(
            datagrams, self.table, self._gossip_state, self._gossip
        )
        self._exchange.handle(DatagramKind.PING, self._answer_ping)
        self._exchange.handle(DatagramKind.PING_REQUEST, self._relay)
        self._exchange.observe(self._sync_on_mismatch)
        self._prober = Prober(
            timer,
            self.table,
            settings,
            self._rng,
            self._exchange,
            delegates,
            self._suspicion_timers.suspect,
        )
        self._synchronizer = Synchronizer(
            timer, self.table, settings, self._rng, peers, self._gossip_state, self._own
        )
        self._owners = OwnerTable(timer, vm.name, self._region_of)
        self.table.subscribe(self._on_table_change)

    def _initial_update(self) -> VmUpdate:
        vm = self._vm
        return VmUpdate(
            vm.name,
            uuid.UUID(int=self._rng.getrandbits(128)).hex[:12],
            int(self._timer.wall_time_s()),
            Phase.JOINING,
            Health.OK,
            vm.peer_address,
            vm.data_centre,
            vm.region,
            vm.roles,
        )

    async def start(self) -> None:
        """Open the datagram port; start to join the fleet and to probe."""
        await self._exchange.open()
        self._last_pause_check_s = self._timer.now_s()
        self._supervise("join", self._join)
        self._supervise("probe-peers", self._prober.probe_peers)
        self._supervise("probe-data-centres", self._prober.probe_data_centres)
        self._supervise("retry-gone", self._retry_gone)
        self._supervise("tick", self._watch_for_pauses)

    async def stop(self) -> None:
        """Stop all tasks; a leaving VM first broadcasts that it has left."""
        if self._own.phase is Phase.LEAVING:
            await self.depart()
        self._gossip.close()
        self._suspicion_timers.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._exchange.close()

    async def leave(self) -> None:
        """Announce that this VM is leaving, so that its targets move at once."""
        self._own.announce(Phase.LEAVING)
        self._gossip.push_now()

    async def depart(self) -> None:
        """Announce that this VM has left, as the last step before it exits."""
        self._own.depart()
        self._gossip.push_now()

    def add_join_addresses(self, addresses: Iterable[str]) -> None:
        """Add addresses to try to join, such as those of a VM list."""
        for address in addresses:
            if address not in self._listed_addresses:
                self._listed_addresses.append(address)

    def vms(self) -> tuple[VmRecord, ...]:
        """Return all known VMs, ordered by name."""
        return self.table.records()

    @property
    def own_record(self) -> VmRecord:
        """The record of this VM, as other VMs see it."""
        return self.table.own.record()

    def owner_of(self, target: Target) -> VmRecord | None:
        """Return the owner of a target; see the base class."""
        name = self._owners.owner_name(target)
        member = self.table.get(name) if name is not None else None
        return member.record() if member is not None else None

    def is_owner(self, target: Target) -> bool:
        """Return whether this VM is a target's owner.

        It is not while another process uses its name, nor after a pause of this
        process until another VM has acknowledged a probe.
        """
        return (
            self._can_own_targets() and self._owners.owner_name(target) == self._vm.name
        )

    def owner_since_s(self, target: Target) -> float | None:
        """Return when this VM became a target's owner; see the base class."""
        return self._owners.since_s(target) if self._can_own_targets() else None

    def _can_own_targets(self) -> bool:
        if self._own.superseded or self._is_paused():
            return False
        return self._acked_since_pause or not self.table.others()

    def _is_paused(self) -> bool:
        return self._timer.now_s() - self._last_pause_check_s > PAUSE_THRESHOLD_S

    def _region_of(self, data_centre: str) -> str | None:
        item = self._configuration.current().data_centres.get(data_centre)
        return item.region if item is not None else None

    def _on_table_change(self, known: VmUpdate | None, update: VmUpdate) -> None:
        if known is None or known.record() != update.record():
            _log_change(update)
        if (known is not None and known.is_live()) != update.is_live():
            self._update_owners()
        self._notify()

    def _on_suspected(self) -> None:
        """Reset the start times: another VM may have owned the targets meanwhile."""
        self._owners.reset_since()

    def _update_owners(self) -> None:
        live_entries = [
            LiveEntry(member.name, member.data_centre, member.region)
            for member in self.table.all()
            if member.is_live() and "entry" in member.roles
        ]
        taken = self._owners.update(live_entries)
        if taken:
            events.emit(OWNERSHIP_TAKEN, targets=taken)

    def _answer_ping(self, datagram: Datagram, source: str) -> None:
        """Acknowledge a probe; a suspected prober is notified of the suspicion."""
        if self._own.superseded:
            return
        sender = self.table.get(datagram.sender)
        if sender is not None and sender.health is not Health.OK:
            self._exchange.send_updates(source, (sender,))
        is_suspected = any(u.key() == self.table.own.key() for u in datagram.updates)
        refutation = (self.table.own,) if is_suspected else ()
        self._exchange.send_ack(source, datagram.sequence, self._vm.name, refutation)

    def _probe_again(self, member: VmUpdate) -> None:
        self._exchange.send_probe(member.address, DatagramKind.PING, 0, member.name)

    def _relay(self, datagram: Datagram, source: str) -> None:
        self._spawn(self._prober.relay_probe(datagram, source))

    def _sync_on_mismatch(self, datagram: Datagram, source: str) -> None:
        """Start a sync with an unknown sender or one whose digest differs."""
        if datagram.kind is DatagramKind.ACK:
            self._acked_since_pause = True
        if self.table.get(datagram.sender) is None:
            self._spawn(self._synchronizer.sync_if_due(source, is_unknown=True))
        elif datagram.digest != self._gossip_state.digest():
            self._spawn(self._synchronizer.sync_if_due(source))

    def _supervise(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        self._track(self._kernel.supervise(f"membership-{name}", run))

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        self._track(asyncio.ensure_future(coroutine))

    def _track(self, task: asyncio.Task[None]) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _join_addresses(self) -> list[str]:
        known = [*self._vm.join_addresses, *self._listed_addresses]
        return [address for address in known if address != self._vm.peer_address]

    async def _join(self) -> None:
        await self._synchronizer.join(self._join_addresses)

    async def _retry_gone(self) -> None:
        """Retry gone VMs and join addresses without a known VM periodically."""
        while True:
            pause_s = self._settings.gone_retry_s
            if not self.table.others():
                pause_s = min(pause_s, ISOLATED_RETRY_S)
            pause_s *= self._rng.uniform(0.5, 1.5)
            await self._timer.sleep(pause_s)
            self.table.prune_gone(self._settings.gone_kept_s)
            failed = self.table.failed()
            if failed:
                member = self._rng.choice(failed)
                self._exchange.send_probe(
                    member.address, DatagramKind.PING, 0, member.name
                )
            reached = {member.address for member in self.table.others()}
            unmatched = [a for a in self._join_addresses() if a not in reached]
            if not reached:
                await self._synchronizer.sync_any(unmatched)
            elif unmatched:
                await self._synchronizer.sync(self._rng.choice(unmatched))

    async def _watch_for_pauses(self) -> None:
        """Detect pauses of this process.

        After one, no timeout that ran meanwhile counts, and another VM may own the
        targets of this one.
        """
        while True:
            await self._timer.sleep(PAUSE_CHECK_PERIOD_S)
            if self._is_paused():
                paused_s = self._timer.now_s() - self._last_pause_check_s
                events.emit(PROCESS_PAUSED, paused_s=round(paused_s, 3))
                self._acked_since_pause = False
                self._suspicion_timers.restart()
                self._owners.reset_since()
            self._last_pause_check_s = self._timer.now_s()


def _log_change(update: VmUpdate) -> None:
    kind = VM_ALIVE
    if update.health is Health.GONE:
        kind = VM_GONE
    elif update.health is Health.SUSPECT:
        kind = VM_SUSPECT
    elif update.phase is Phase.LEAVING:
        kind = VM_LEAVING
    elif update.phase is Phase.JOINING:
        return
    events.emit(
        kind,
        vm=update.name,
        instance_id=update.instance_id,
        incarnation=update.incarnation,
        data_centre=update.data_centre,
    )
