"""Tests of engines that fall over when they reject too many requests."""

import collections

import attrs

from endivesill.fleet.model import EngineInfo
from endivesill.forwarding.targets import ResourceDemand
from endivesill.forwarding.waiting import NoRoomError, PlacementRequest
from tests.forwarding_fakes import PLAIN, engine
from tests.limited_fleet import (
    RUN_S,
    FleetTestCase,
    LimitedEntry,
    LimitedFleet,
)

SLOTS = 4
REJECTIONS_PER_S = 3.0
# Time from the first response that says so until the engine lets nothing wait.
TOLD_AFTER_S = 3.0


@attrs.define(eq=False)
class BrittleEngine:
    """A plain service that lets nothing wait some time after it has become brittle.

    Attributes:
      info: its entry in the list.
      brittle_per_s: what its responses say; None while it is sound.
      since_s: when it became brittle.
      running: requests that run.
      arrivals: number of requests that came.
      rejections_s: when it rejected a request once it let nothing wait.
    """

    info: EngineInfo
    brittle_per_s: float | None = None
    since_s: float = float("inf")
    running: int = 0
    arrivals: int = 0
    rejections_s: list[float] = attrs.Factory(list)

    def become_brittle(self, now_s: float, per_s: float = REJECTIONS_PER_S) -> None:
        self.brittle_per_s, self.since_s = per_s, now_s

    def admit(self, now_s: float) -> bool:
        self.arrivals += 1
        lets_wait = now_s < self.since_s + TOLD_AFTER_S
        if self.running < SLOTS or lets_wait:
            self.running += 1
            return True
        self.rejections_s.append(now_s)
        return False

    def most_rejections(self) -> int:
        """Return the most rejections in a second."""
        window: collections.deque[float] = collections.deque()
        most = 0
        for time_s in self.rejections_s:
            window.append(time_s)
            while window[0] < time_s - 1.0:
                window.popleft()
            most = max(most, len(window))
        return most


class BrittleEntry(LimitedEntry):
    def __init__(self, cluster, address) -> None:
        super().__init__(cluster, address)
        self.sync_client.own_loads = self.table.own_loads

    async def send(self, patience_s: float = 1.0) -> None:
        request = PlacementRequest(
            PLAIN, ResourceDemand(), 1, self.timer.now_s() + patience_s
        )
        try:
            target = await self.admission.place(request)
        except NoRoomError as error:
            self.refusals.append(error)
            return
        brittle = self._cluster.engines[target.info.incarnation]
        is_admitted = brittle.admit(self.timer.now_s())
        if is_admitted:
            await self.timer.sleep(RUN_S)
            brittle.running -= 1
            self.served += 1
        per_s = brittle.brittle_per_s
        self.table.note_limit(target, None, per_s, may_end=is_admitted)
        target.release(ResourceDemand())


class BrittleFleet(LimitedFleet):
    def __init__(self, *names: str) -> None:
        super().__init__(*names)
        self.engines = {
            f"{name}@1": BrittleEngine(engine(name, "app", slots=SLOTS))
            for name in names
        }
        self.list.engines = [e.info for e in self.engines.values()]

    def add_entry(self) -> BrittleEntry:
        number = len(self.entries) + 1
        entry = BrittleEntry(self, f"10.2.{number // 250}.{number % 250 + 1}:7000")
        self.entries.append(entry)
        return entry

    def become_brittle(self) -> None:
        for brittle in self.engines.values():
            brittle.become_brittle(self.timer.now_s())

    @property
    def served(self) -> int:
        return sum(entry.served for entry in self.entries)


class BrittleFleetTestCase(FleetTestCase):
    fleet_class = BrittleFleet

    def assert_stands(self, fleet):
        for brittle in fleet.engines.values():
            self.assertLessEqual(brittle.most_rejections(), REJECTIONS_PER_S)


class RoomTest(BrittleFleetTestCase):
    async def test_seven_entries_keep_to_the_room_together(self):
        fleet = await self.fleet(7, "s1", "s2")
        await fleet.drive(2.0, per_s=50.0)
        fleet.become_brittle()
        await fleet.drive(12.0, per_s=300.0, patience_s=0.3)
        self.assert_stands(fleet)

    async def test_room_is_used_under_overload(self):
        fleet = await self.fleet(7, "s1", "s2")
        fleet.become_brittle()
        await fleet.drive(4.0, per_s=300.0, patience_s=0.3)
        before = fleet.served
        await fleet.drive(8.0, per_s=300.0, patience_s=0.3)
        # Two engines of four slots run 160 requests a second.
        self.assertGreaterEqual(fleet.served - before, 0.5 * 8.0 * 160.0)

    async def test_usual_load_is_served(self):
        fleet = await self.fleet(7, "s1", "s2", "s3")
        fleet.become_brittle()
        await fleet.drive(10.0, per_s=20.0, patience_s=0.5)
        refused = sum(len(entry.refusals) for entry in fleet.entries)
        self.assertGreaterEqual(fleet.served, 49 * refused)
        self.assert_stands(fleet)

    async def test_one_request_at_each_of_a_thousand_entries(self):
        fleet = await self.fleet(1_000, "s1")
        fleet.become_brittle()
        await fleet.drive(4.0, per_s=20.0)
        for entry in fleet.entries:
            fleet.start_send(entry, 2.0)
        await fleet.drive(3.0, per_s=5.0)
        self.assert_stands(fleet)

    async def test_the_end_of_it(self):
        fleet = await self.fleet(7, "s1")
        (brittle,) = fleet.engines.values()
        fleet.become_brittle()
        await fleet.drive(5.0, per_s=100.0, patience_s=0.3)
        brittle.brittle_per_s, brittle.since_s = None, float("inf")
        await fleet.drive(3.0, per_s=20.0)
        self.assertTrue(all(not e.sync_client.limits.limited() for e in fleet.entries))


class WithoutLeaderTest(BrittleFleetTestCase):
    async def crash_all(self, fleet):
        for address in list(fleet.replicas):
            await fleet.crash(address)

    async def test_few_entries_without_a_leader(self):
        fleet = await self.fleet(3, "s1", "s2")
        fleet.become_brittle()
        await fleet.drive(4.0, per_s=100.0)
        await self.crash_all(fleet)
        before = fleet.served
        await fleet.drive(8.0, per_s=300.0, patience_s=0.5)
        self.assert_stands(fleet)
        self.assertGreater(fleet.served - before, 100)

    async def test_many_entries_without_a_leader(self):
        fleet = await self.fleet(60, "s1")
        fleet.become_brittle()
        await fleet.drive(4.0, per_s=100.0)
        await self.crash_all(fleet)
        before = fleet.served
        await fleet.drive(12.0, per_s=200.0, patience_s=2.0)
        self.assert_stands(fleet)
        self.assertGreater(fleet.served - before, 0)

    async def test_a_new_leader(self):
        fleet = await self.fleet(7, "s1", "s2")
        fleet.become_brittle()
        await fleet.drive(4.0, per_s=200.0, patience_s=0.3)
        await fleet.crash(fleet.address_of(await fleet.leader()))
        await fleet.drive(10.0, per_s=300.0, patience_s=0.3)
        self.assert_stands(fleet)
