"""The membership service: this VM's view of the fleet."""

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
    HOME_TAKEN,
    PROCESS_PAUSED,
    VM_ALIVE,
    VM_GONE,
    VM_LEAVING,
    VM_SUSPECT,
)
from endivesill.membership.exchange import Exchange
from endivesill.membership.gossip import Gossip
from endivesill.membership.homes import HomeTable, LiveEntry
from endivesill.membership.identity import OwnState
from endivesill.membership.joining import Synchronizer
from endivesill.membership.knowledge import Knowledge
from endivesill.membership.leaving import LeavingTargets
from endivesill.membership.members import MemberTable
from endivesill.membership.messages import (
    Datagram,
    DatagramKind,
    Health,
    Phase,
    VmUpdate,
)
from endivesill.membership.probes import Prober
from endivesill.membership.settings import MembershipSettings
from endivesill.membership.suspicion import Suspicions
from endivesill.membership.view import MembershipView, VmRecord
from endivesill.peers import PeerTransport
from endivesill.settings import VmSettings

__all__ = ["SwimMembership"]

TICK_S = 0.5
PAUSE_LIMIT_S = 1.5
ALONE_RETRY_S = 1.0


class SwimMembership(MembershipView):
    """The view of the fleet that SWIM probes and gossip keep up to date.

    Args:
      kernel: the process's kernel.
      vm: the VM's own settings.
      settings: periods and bounds.
      peers: the transport of the peer port.
      datagrams: the datagram transport at the same address.
      configuration: the source of the configuration.
      seed: seed of all random choices; None takes one from the system.

    Attributes:
      table: all VMs with their incarnations.
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
        self._extra_addresses: list[str] = []
        self._last_tick_s = timer.now_s()
        self._confirmed = True
        self.table = MemberTable(timer, self._first_update())
        delegates = Delegates(self.table, settings, self._rng)
        self._gossip = Gossip(timer, self.table, self._rng, delegates)
        self.leaving_targets = LeavingTargets(
            timer, configuration.current, self._gossip.tell
        )
        self._own = OwnState(self.table, self._gossip.tell, self._doubted)
        self._knowledge = Knowledge(
            self.table, self._own, self.leaving_targets, self._gossip
        )
        self._suspicions = Suspicions(
            timer, self.table, settings, self._knowledge.take, self._ask_again
        )
        self._exchange = Exchange(datagrams, self.table, self._knowledge, self._gossip)
        self._exchange.handle(DatagramKind.PING, self._answer_ping)
        self._exchange.handle(DatagramKind.PING_REQUEST, self._relay)
        self._exchange.observe(self._compare)
        self._prober = Prober(
            timer,
            self.table,
            settings,
            self._rng,
            self._exchange,
            delegates,
            self._suspicions.suspect,
        )
        self._synchronizer = Synchronizer(
            timer, self.table, settings, self._rng, peers, self._knowledge, self._own
        )
        self._homes = HomeTable(timer, vm.name, self._region_of)
        self.table.subscribe(self._table_changed)

    def _first_update(self) -> VmUpdate:
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
        """Open the datagram port, join the fleet and probe."""
        await self._exchange.open()
        self._last_tick_s = self._timer.now_s()
        self._supervise("join", self._join)
        self._supervise("probe-peers", self._prober.probe_peers)
        self._supervise("probe-data-centres", self._prober.probe_data_centres)
        self._supervise("retry-gone", self._retry_gone)
        self._supervise("tick", self._tick)

    async def stop(self) -> None:
        """Stop; a VM that is leaving says that it has left."""
        if self._own.phase is Phase.LEAVING:
            await self.depart()
        self._gossip.close()
        self._suspicions.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._exchange.close()

    async def leave(self) -> None:
        """Tell the fleet that this VM leaves, so that its homes move at once."""
        self._own.announce(Phase.LEAVING)
        self._gossip.push_now()

    async def depart(self) -> None:
        """Tell the fleet that this VM has left, as the last act before the exit."""
        self._own.depart()
        self._gossip.push_now()

    def add_join_addresses(self, addresses: Iterable[str]) -> None:
        """Try further addresses, such as those of a VM list."""
        for address in addresses:
            if address not in self._extra_addresses:
                self._extra_addresses.append(address)

    def vms(self) -> tuple[VmRecord, ...]:
        """Return all VMs known, ordered by name."""
        return self.table.records()

    @property
    def own_record(self) -> VmRecord:
        """The record of this VM, as others get to know it."""
        return self.table.own.record()

    def home_of(self, target: Target) -> VmRecord | None:
        """Return the home of a target; see the base class."""
        name = self._homes.home_name(target)
        member = self.table.get(name) if name is not None else None
        return member.record() if member is not None else None

    def is_home(self, target: Target) -> bool:
        """Tell whether this VM is a target's home.

        It is not while another process has its name, nor after a pause of the
        process until another VM has answered.
        """
        return self._is_current() and self._homes.home_name(target) == self._vm.name

    def home_since_s(self, target: Target) -> float | None:
        """Return when this VM became a target's home; see the base class."""
        return self._homes.since_s(target) if self._is_current() else None

    def _is_current(self) -> bool:
        if self._own.superseded or self._is_paused():
            return False
        return self._confirmed or not self.table.others()

    def _is_paused(self) -> bool:
        return self._timer.now_s() - self._last_tick_s > PAUSE_LIMIT_S

    def _region_of(self, data_centre: str) -> str | None:
        item = self._configuration.current().data_centres.get(data_centre)
        return item.region if item is not None else None

    def _table_changed(self, known: VmUpdate | None, update: VmUpdate) -> None:
        if known is None or known.record() != update.record():
            _log_change(update)
        if (known is not None and known.is_live()) != update.is_live():
            self._update_homes()
        self._notify()

    def _doubted(self) -> None:
        """Count the own homes anew: another VM may have had them meanwhile."""
        self._homes.restart()

    def _update_homes(self) -> None:
        entries = [
            LiveEntry(member.name, member.data_centre, member.region)
            for member in self.table.all()
            if member.is_live() and "entry" in member.roles
        ]
        taken = self._homes.update(entries)
        if taken:
            events.emit(HOME_TAKEN, targets=taken)

    def _answer_ping(self, datagram: Datagram, source: str) -> None:
        """Answer a probe; a prober that is doubted here is told of the doubt."""
        if self._own.superseded:
            return
        sender = self.table.get(datagram.sender)
        if sender is not None and sender.health is not Health.OK:
            self._exchange.send_updates(source, (sender,))
        is_doubted = any(u.key() == self.table.own.key() for u in datagram.updates)
        refutation = (self.table.own,) if is_doubted else ()
        self._exchange.acknowledge(source, datagram.sequence, self._vm.name, refutation)

    def _ask_again(self, member: VmUpdate) -> None:
        self._exchange.ask(member.address, DatagramKind.PING, 0, member.name)

    def _relay(self, datagram: Datagram, source: str) -> None:
        self._run(self._prober.relay(datagram, source))

    def _compare(self, datagram: Datagram, source: str) -> None:
        """Bring both views together if they stay different."""
        if datagram.kind is DatagramKind.ACK:
            self._confirmed = True
        if self.table.get(datagram.sender) is None:
            self._run(self._synchronizer.sync_soon(source, unknown=True))
        elif datagram.digest != self._knowledge.digest():
            self._run(self._synchronizer.sync_soon(source))

    def _supervise(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        self._keep(self._kernel.supervise(f"membership-{name}", run))

    def _run(self, coroutine: Coroutine[Any, Any, None]) -> None:
        self._keep(asyncio.ensure_future(coroutine))

    def _keep(self, task: asyncio.Task[None]) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _join_addresses(self) -> list[str]:
        known = [*self._vm.join_addresses, *self._extra_addresses]
        return [address for address in known if address != self._vm.peer_address]

    async def _join(self) -> None:
        await self._synchronizer.join(self._join_addresses)

    async def _retry_gone(self) -> None:
        """Try VMs that are gone, and addresses without a VM, now and then."""
        while True:
            pause_s = self._settings.gone_retry_s
            if not self.table.others():
                pause_s = min(pause_s, ALONE_RETRY_S)
            pause_s *= self._rng.uniform(0.5, 1.5)
            await self._timer.sleep(pause_s)
            self.table.forget_gone(self._settings.gone_kept_s)
            gone = self.table.gone()
            if gone:
                member = self._rng.choice(gone)
                self._exchange.ask(member.address, DatagramKind.PING, 0, member.name)
            taken = {member.address for member in self.table.others()}
            free = [a for a in self._join_addresses() if a not in taken]
            if not taken:
                await self._synchronizer.sync_any(free)
            elif free:
                await self._synchronizer.sync(self._rng.choice(free))

    async def _tick(self) -> None:
        """Notice when the process stood still."""
        while True:
            await self._timer.sleep(TICK_S)
            if self._is_paused():
                paused_s = self._timer.now_s() - self._last_tick_s
                events.emit(PROCESS_PAUSED, paused_s=round(paused_s, 3))
                self._confirmed = False
                self._suspicions.restart()
                self._homes.restart()
            self._last_tick_s = self._timer.now_s()


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
