"""A fleet of entries before engines that limit the rate of requests."""

from __future__ import annotations

import asyncio
import random
import unittest

import attrs

from bench.platform_soak_limits import most_in_window
from endivesill.fleet.model import EngineInfo
from endivesill.fleet.permit_client import PermitClient
from endivesill.forwarding.targets import ResourceDemand, TargetTable
from endivesill.forwarding.waiting import AdmissionQueue, NoRoomError, PlacementRequest
from tests.fleet_cluster import Entry, FleetCluster
from tests.forwarding_fakes import PLAIN, engine

# An entry that has just learnt of a limit may have requests on their way.
TOLD_AFTER_S = 0.5
RUN_S = 0.05
STEP_S = 0.02


@attrs.define(eq=False)
class LimitedEngine:
    """A plain service that names its limit in each response.

    Attributes:
      info: its entry in the list.
      limit_per_s: what it names; None for nothing.
      arrivals: time and entry of each request.
      told_s: when it first named a limit to an entry, by address.
    """

    info: EngineInfo
    limit_per_s: float | None = None
    arrivals: list[tuple[float, str]] = attrs.Factory(list)
    told_s: dict[str, float] = attrs.Factory(dict)

    def receive(self, now_s: float, entry: str) -> float | None:
        """Return the limit that the response names."""
        self.arrivals.append((now_s, entry))
        if self.limit_per_s is not None:
            self.told_s.setdefault(entry, now_s)
        return self.limit_per_s

    def most_in_window(self, since_s: float) -> int:
        """Return the most requests in a window from entries that were told before."""
        times_s = [
            time_s
            for time_s, entry in self.arrivals
            if time_s >= since_s
            and time_s >= self.told_s.get(entry, float("inf")) + TOLD_AFTER_S
        ]
        return most_in_window(times_s)


class LimitedEntry(Entry):
    """An entry that places plain requests and sends them at once."""

    def __init__(self, cluster: LimitedFleet, address: str) -> None:
        super().__init__(cluster, address)
        self._cluster = cluster
        self.timer = cluster.timer
        self.refusals: list[NoRoomError] = []
        self.served = 0
        self.table = TargetTable(self.timer, self.view, "a")
        self.admission = AdmissionQueue(
            self.timer,
            self.table,
            lambda service: 100.0,
            lambda request, target: target.reserve(request.demand),
            random.Random(address),
        )
        self.sync_client._on_update = self._apply
        self.table.on_limit = lambda: asyncio.ensure_future(
            self.sync_client.report_engines()
        )
        permits = PermitClient(self.timer, self.transport, self.sync_client)
        permits.on_change = self.admission.admit_waiting
        self.table.use_limits(self.sync_client.limits, permits)

    def _apply(self, updates: set[str]) -> None:
        if "engines" in updates:
            self.table.update_engines()
        self.table.update_loads(self.view.remote_loads)
        self.admission.admit_waiting()

    async def send(self, patience_s: float = 1.0) -> None:
        """Place one request, send it, and learn from its response."""
        request = PlacementRequest(
            PLAIN, ResourceDemand(), 1, self.timer.now_s() + patience_s
        )
        try:
            target = await self.admission.place(request)
        except NoRoomError as error:
            self.refusals.append(error)
            return
        limited = self._cluster.engines[target.info.incarnation]
        limit_per_s = limited.receive(self.timer.now_s(), self.address)
        await self.timer.sleep(RUN_S)
        self.table.note_limit(target, limit_per_s, may_end=True)
        target.release(ResourceDemand())
        self.served += 1


class LimitedFleet(FleetCluster):
    """Control VMs, entries and plain services with limits."""

    def __init__(self, *names: str) -> None:
        super().__init__()
        self.engines = {
            f"{name}@1": LimitedEngine(engine(name, "app", slots=400)) for name in names
        }
        self.list.engines = [e.info for e in self.engines.values()]
        self._random = random.Random(5)
        self._sends: set[asyncio.Task] = set()

    def add_entry(self) -> LimitedEntry:
        number = len(self.entries) + 1
        entry = LimitedEntry(self, f"10.2.{number // 250}.{number % 250 + 1}:7000")
        self.entries.append(entry)
        return entry

    def start_send(self, entry: LimitedEntry, patience_s: float = 1.0) -> None:
        task = asyncio.ensure_future(entry.send(patience_s))
        self._sends.add(task)
        task.add_done_callback(self._sends.discard)

    async def drive(
        self, duration_s: float, per_s: float, entries=None, patience_s: float = 1.0
    ) -> None:
        """Let requests arrive at random entries for a time."""
        entries = entries or self.entries
        for _ in range(round(duration_s / STEP_S)):
            count = int(per_s * STEP_S + self._random.random())
            for entry in self._random.choices(entries, k=count):
                self.start_send(entry, patience_s)
            await self.timer.advance(STEP_S)
            for entry in entries:
                if entry.admission.queue_length():
                    entry.admission.admit_waiting()


class FleetTestCase(unittest.IsolatedAsyncioTestCase):
    """Starts fleets of `fleet_class`."""

    fleet_class = LimitedFleet

    async def fleet(self, entries, *names):
        # Debug mode slows a fleet down about ten times.
        asyncio.get_running_loop().set_debug(False)
        fleet = self.fleet_class(*names)
        self.addAsyncCleanup(fleet.close)
        await fleet.start()
        for _ in range(entries):
            fleet.add_entry()
        # The leases of an earlier leader may be in force for 4 s.
        await fleet.timer.advance(6.0)
        return fleet
