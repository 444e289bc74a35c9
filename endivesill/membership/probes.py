"""SWIM failure detection: direct probes, indirect probes, suspicion.

Each VM probes the VMs of its data centre one after the other, in a random order
that is reshuffled after each round. Delegates probe the delegates of other data
centres in the same way; these probes also exchange state digests between data
centres.
"""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Callable, Iterator

from endivesill import errors, events
from endivesill.membership.delegates import Delegates
from endivesill.membership.events import DATA_CENTRE_SILENT
from endivesill.membership.exchange import DatagramExchange
from endivesill.membership.members import MemberTable
from endivesill.membership.messages import Datagram, DatagramKind, Health, VmUpdate
from endivesill.membership.settings import MembershipSettings
from endivesill.timer import TimerService

__all__ = ["Prober"]

# Share of the helpers that are chosen from the data centre of a remote VM; the
# others probe it from other data centres.
NEAR_HELPER_SHARE = 0.5
MAX_PROBES_PER_DATA_CENTRE = 3
# A probe that overruns its timeouts by more than this was delayed by a pause of this
# process, so that it is no evidence against the probed VM.
OVERRUN_TOLERANCE_S = 0.2


class Prober:
    """Probes other VMs and suspects those that do not answer.

    Args:
      timer: the timer service.
      table: the member table.
      settings: the probe periods and timeouts.
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
        exchange: DatagramExchange,
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
        self._pending_acks: dict[int, asyncio.Future[str]] = {}
        self._peer_order: Iterator[str] = iter(())
        self._data_centre_order: Iterator[str] = iter(())
        exchange.handle(DatagramKind.ACK, self._on_ack)

    def _on_ack(self, datagram: Datagram, source: str) -> None:
        """Complete the probe that an acknowledgement answers."""
        future = self._pending_acks.get(datagram.sequence)
        if future is not None and not future.done():
            future.set_result(datagram.sender)

    async def probe_peers(self) -> None:
        """Probe the VMs of this data centre in turn, without end."""
        period_s = self._settings.probe_period_s
        timeout_s = self._settings.probe_timeout_s
        while True:
            started_s = self._timer.now_s()
            member = self._next_peer()
            if member is not None and not await self._probe(member, timeout_s):
                self._suspect_unless_paused(member, started_s)
            elapsed_s = self._timer.now_s() - started_s
            await self._timer.sleep(max(period_s / 10, period_s - elapsed_s))

    async def probe_data_centres(self) -> None:
        """Probe the other data centres in turn without end, while a delegate."""
        period_s = self._settings.digest_period_s
        while True:
            await self._timer.sleep(period_s * self._rng.uniform(0.9, 1.1))
            data_centre = self._next_data_centre()
            if data_centre is not None:
                await self._probe_data_centre(data_centre)

    def _next_peer(self) -> VmUpdate | None:
        peers = {member.name: member for member in self._table.local_peers()}
        for _ in range(2):
            for name in self._peer_order:
                if name in peers:
                    return peers[name]
            names = sorted(peers)
            self._rng.shuffle(names)
            self._peer_order = iter(names)
        return None

    def _next_data_centre(self) -> str | None:
        if not self._delegates.includes_own_vm():
            return None
        names = self._delegates.other_data_centres()
        for _ in range(2):
            for data_centre in self._data_centre_order:
                if data_centre in names:
                    return data_centre
            self._rng.shuffle(names)
            self._data_centre_order = iter(names)
        return None

    async def _probe_data_centre(self, data_centre: str) -> None:
        members = [m for m in self._table.others() if m.data_centre == data_centre]
        delegates = list(self._delegates.for_data_centre(data_centre))
        self._rng.shuffle(delegates)
        non_delegates = [member for member in members if member not in delegates]
        self._rng.shuffle(non_delegates)
        probed = (delegates[:2] + non_delegates + delegates[2:])[
            :MAX_PROBES_PER_DATA_CENTRE
        ]
        silent = []
        started_s = self._timer.now_s()
        for member in probed:
            if await self._probe(member, self._settings.digest_timeout_s):
                break
            silent.append(member)
        else:
            silent = members
            if members:
                events.emit(DATA_CENTRE_SILENT, data_centre=data_centre)
        for member in silent:
            self._suspect_unless_paused(member, started_s, len(probed))

    def _suspect_unless_paused(
        self, member: VmUpdate, started_s: float, probes: int = 1
    ) -> None:
        """Suspect a VM, unless this process was paused during the probes.

        Args:
          member: the VM that did not answer.
          started_s: start of the first probe, on the timer's clock.
          probes: the number of probes sent one after the other since then.
        """
        timeout_s = max(self._settings.probe_timeout_s, self._settings.digest_timeout_s)
        expected_s = probes * 3 * timeout_s + OVERRUN_TOLERANCE_S
        if self._timer.now_s() - started_s <= expected_s:
            self._suspect(member)
            self._exchange.send_probe(member.address, DatagramKind.PING, 0, member.name)

    async def _probe(self, member: VmUpdate, timeout_s: float) -> bool:
        """Probe a VM directly, then through helpers; return whether it answered."""
        sequence = next(self._sequences)
        future = asyncio.get_running_loop().create_future()
        self._pending_acks[sequence] = future
        try:
            self._exchange.send_probe(
                member.address, DatagramKind.PING, sequence, member.name
            )
            if await self._wait_for_ack(future, member, timeout_s):
                return True
            for helper in self._helpers(member):
                self._exchange.send_probe(
                    helper.address, DatagramKind.PING_REQUEST, sequence, member.name
                )
            return await self._wait_for_ack(future, member, 2 * timeout_s)
        finally:
            del self._pending_acks[sequence]

    async def _wait_for_ack(
        self, future: asyncio.Future[str], member: VmUpdate, timeout_s: float
    ) -> bool:
        """Wait for an acknowledgement; one from another VM does not count."""
        try:
            sender = await self._timer.wait_for(asyncio.shield(future), timeout_s)
        except errors.DeadlineExceededError:
            return False
        return sender == member.name

    def _helpers(self, member: VmUpdate) -> list[VmUpdate]:
        """Choose VMs for indirect probes, preferably near the probed VM."""
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
            near = near[: max(1, int(count * NEAR_HELPER_SHARE))]
        return (near + far)[:count]

    async def relay_probe(self, datagram: Datagram, requester: str) -> None:
        """Probe a VM on behalf of `requester` and pass the acknowledgement back."""
        member = self._table.get(datagram.subject)
        if member is None:
            return
        sequence = next(self._sequences)
        future = asyncio.get_running_loop().create_future()
        self._pending_acks[sequence] = future
        try:
            self._exchange.send_probe(
                member.address, DatagramKind.PING, sequence, member.name
            )
            timeout_s = self._settings.digest_timeout_s
            if await self._wait_for_ack(future, member, timeout_s):
                self._exchange.send_ack(requester, datagram.sequence, member.name)
        finally:
            del self._pending_acks[sequence]
