"""Failure detection: direct probes, indirect probes, suspicion.

Each VM probes the VMs of its data centre one after the other in a random order
that is drawn anew after each round (SWIM). Delegates probe the delegates of other
data centres in the same way, which is also how digests cross.
"""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Callable, Iterator

from endivesill import errors, events
from endivesill.membership.delegates import Delegates
from endivesill.membership.events import DATA_CENTRE_SILENT
from endivesill.membership.exchange import Exchange
from endivesill.membership.members import MemberTable
from endivesill.membership.messages import Datagram, DatagramKind, Health, VmUpdate
from endivesill.membership.settings import MembershipSettings
from endivesill.timer import TimerService

__all__ = ["Prober"]

RELAY_SHARE = 0.5
TRIES_PER_DATA_CENTRE = 3
OVERRUN_S = 0.2


class Prober:
    """Probes other VMs and suspects those that do not answer.

    Args:
      timer: the timer service.
      table: the VMs.
      settings: periods and bounds.
      rng: the source of random choices.
      exchange: sends and receives the datagrams.
      delegates: the delegates of the data centres.
      suspect: marks a VM as suspect.
    """

    def __init__(
        self,
        timer: TimerService,
        table: MemberTable,
        settings: MembershipSettings,
        rng: random.Random,
        exchange: Exchange,
        delegates: Delegates,
        suspect: Callable[[VmUpdate], None],
    ) -> None:
        self._timer = timer
        self._table = table
        self._settings = settings
        self._rng = rng
        self._exchange = exchange
        self._delegates = delegates
        self._suspect = suspect
        self._sequences = itertools.count(1)
        self._waiting: dict[int, asyncio.Future[str]] = {}
        self._round: Iterator[str] = iter(())
        self._data_centres: Iterator[str] = iter(())
        exchange.handle(DatagramKind.ACK, self._acknowledged)

    def _acknowledged(self, datagram: Datagram, source: str) -> None:
        """Take an acknowledgement."""
        future = self._waiting.get(datagram.sequence)
        if future is not None and not future.done():
            future.set_result(datagram.sender)

    async def probe_peers(self) -> None:
        """Probe the VMs of the own data centre for ever."""
        period_s = self._settings.probe_period_s
        timeout_s = self._settings.probe_timeout_s
        while True:
            started_s = self._timer.now_s()
            member = self._next_peer()
            if member is not None and not await self._probe(member, timeout_s):
                self._suspect_unless_slow(member, started_s)
            spent_s = self._timer.now_s() - started_s
            await self._timer.sleep(max(period_s / 10, period_s - spent_s))

    async def probe_data_centres(self) -> None:
        """Exchange digests with other data centres for ever, as a delegate."""
        period_s = self._settings.digest_period_s
        while True:
            await self._timer.sleep(period_s * self._rng.uniform(0.9, 1.1))
            data_centre = self._next_data_centre()
            if data_centre is not None:
                await self._probe_data_centre(data_centre)

    def _next_peer(self) -> VmUpdate | None:
        peers = {member.name: member for member in self._table.peers()}
        for _ in range(2):
            for name in self._round:
                if name in peers:
                    return peers[name]
            names = sorted(peers)
            self._rng.shuffle(names)
            self._round = iter(names)
        return None

    def _next_data_centre(self) -> str | None:
        if not self._delegates.includes_own():
            return None
        names = self._delegates.other_data_centres()
        for _ in range(2):
            for data_centre in self._data_centres:
                if data_centre in names:
                    return data_centre
            self._rng.shuffle(names)
            self._data_centres = iter(names)
        return None

    async def _probe_data_centre(self, data_centre: str) -> None:
        members = [m for m in self._table.others() if m.data_centre == data_centre]
        delegates = list(self._delegates.of(data_centre))
        self._rng.shuffle(delegates)
        rest = [member for member in members if member not in delegates]
        self._rng.shuffle(rest)
        tries = (delegates[:2] + rest + delegates[2:])[:TRIES_PER_DATA_CENTRE]
        silent = []
        started_s = self._timer.now_s()
        for member in tries:
            if await self._probe(member, self._settings.digest_timeout_s):
                break
            silent.append(member)
        else:
            silent = members
            if members:
                events.emit(DATA_CENTRE_SILENT, data_centre=data_centre)
        for member in silent:
            self._suspect_unless_slow(member, started_s, len(tries))

    def _suspect_unless_slow(
        self, member: VmUpdate, started_s: float, probes: int = 1
    ) -> None:
        """Suspect a VM, unless it was this process that stood still."""
        timeout_s = max(self._settings.probe_timeout_s, self._settings.digest_timeout_s)
        expected_s = probes * 3 * timeout_s + OVERRUN_S
        if self._timer.now_s() - started_s <= expected_s:
            self._suspect(member)
            self._exchange.ask(member.address, DatagramKind.PING, 0, member.name)

    async def _probe(self, member: VmUpdate, timeout_s: float) -> bool:
        """Probe one VM directly, then through helpers; tell whether it answered."""
        sequence = next(self._sequences)
        future = asyncio.get_running_loop().create_future()
        self._waiting[sequence] = future
        try:
            self._exchange.ask(member.address, DatagramKind.PING, sequence, member.name)
            if await self._answered(future, member, timeout_s):
                return True
            for helper in self._helpers(member):
                self._exchange.ask(
                    helper.address, DatagramKind.PING_REQUEST, sequence, member.name
                )
            return await self._answered(future, member, 2 * timeout_s)
        finally:
            del self._waiting[sequence]

    async def _answered(
        self, future: asyncio.Future[str], member: VmUpdate, timeout_s: float
    ) -> bool:
        """Wait for an answer; another VM that answers at the address is none."""
        try:
            sender = await self._timer.wait_for(asyncio.shield(future), timeout_s)
        except errors.DeadlineExceededError:
            return False
        return sender == member.name

    def _helpers(self, member: VmUpdate) -> list[VmUpdate]:
        """Choose helpers near the silent VM, some of them elsewhere."""
        count = self._settings.helpers
        candidates = [
            other
            for other in self._table.others()
            if other.name != member.name and other.health is Health.OK
        ]
        near = [m for m in candidates if m.data_centre == member.data_centre]
        far = [m for m in candidates if m.data_centre != member.data_centre]
        own = self._table.own.data_centre
        self._rng.shuffle(near)
        self._rng.shuffle(far)
        if member.data_centre != own:
            near = near[: max(1, int(count * RELAY_SHARE))]
        return (near + far)[:count]

    async def relay(self, datagram: Datagram, requester: str) -> None:
        """Probe a VM for another one and pass the acknowledgement back."""
        member = self._table.get(datagram.subject)
        if member is None:
            return
        sequence = next(self._sequences)
        future = asyncio.get_running_loop().create_future()
        self._waiting[sequence] = future
        try:
            self._exchange.ask(member.address, DatagramKind.PING, sequence, member.name)
            timeout_s = self._settings.digest_timeout_s
            if await self._answered(future, member, timeout_s):
                self._exchange.acknowledge(requester, datagram.sequence, member.name)
        finally:
            del self._waiting[sequence]
