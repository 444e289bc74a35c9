"""Benchmark of the leader's cost for the polls of hundreds of entries.

One control replica leads and answers the sync requests of many entries, without
sockets. The earlier way of answering (`leader_cost_baseline.py`) gets the same ones.
The cost of a poll times the rate of polls is the leader's load, at rest and while every
entry has generations at two engines. Beside it stands the cost of permits, while every
entry requests some as often as it may.
"""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Awaitable, Callable

from bench.leader_cost_baseline import POLL_PERIOD_S, BaselineLeader
from bench.report import Report
from endivesill.control import ControlReplica, ControlSettings, MemoryDisk
from endivesill.fleet.engine_list import EngineListSource
from endivesill.fleet.model import EngineInfo
from endivesill.fleet.permit_client import MIN_REQUEST_PERIOD_S, REQUESTS_PER_S
from endivesill.fleet.permit_service import PERMITS_PATH
from endivesill.fleet.polling import addresses_digest, long_poll_s
from endivesill.fleet.sync_service import FleetSyncService
from endivesill.peers import MemoryNetwork, Message, PeerTransport, encode_message
from endivesill.timer import SystemTimer

__all__ = ["main"]

ENTRY_COUNTS = (10, 50, 200, 1_000)
ENGINES = 30
LIMITED_ENGINES = 3
LIMIT_PER_S = 100.0
POLLS = 2_000
# HTTP heads of a request and its response between VMs.
HEAD_BYTES = 140
LEADER = "10.0.0.1:7000"
# Bounds at rest with 200 entries, and of the step from 200 to 1,000.
MAX_CORES = 0.1
MAX_BYTES_PER_S = 100_000.0
MAX_STEP = 6.0

Answer = Callable[[Message], Awaitable[str]]


class NoEngines(EngineListSource):
    """A list of engines that nobody reads in this benchmark."""

    async def read(self) -> list[EngineInfo]:
        """Return no engines."""
        return []


async def start_leader() -> tuple[FleetSyncService, PeerTransport]:
    """Return the sync service of a replica that leads a cluster, and its peer port."""
    timer = SystemTimer()
    transport = MemoryNetwork(timer).transport(LEADER)
    replica = ControlReplica(
        timer, transport, MemoryDisk(), (LEADER,), ControlSettings()
    )
    service = FleetSyncService(timer, replica, transport, NoEngines())
    await replica.start()
    while not replica.is_leader:
        await timer.sleep(0.05)
    return service, transport


def request(number: int, entries: int, *, is_busy: bool) -> Message:
    """Return the sync request of one entry; busy entries report changing loads."""
    loads = {}
    if is_busy:
        for offset in (0, 7):
            name = f"i-{(number + offset) % ENGINES:010x}@1781337530021"
            loads[name] = [1 + number // entries % 3, 3_500 + number, 0]
    return {
        "entry": f"{number % entries:012x}",
        "grants_seen": 0,
        "loads": loads,
        "version": None,
        "evacuations": 0,
        "list": [0, 0],
        "departures": [],
        "loads_stamp": [1, -1],
        "controls": addresses_digest([LEADER]),
        "wait_s": 0.0,
        "share": 1.0 / entries,
    }


async def measure(
    answer: Answer, entries: int, *, is_busy: bool
) -> tuple[float, float]:
    """Return the processor seconds and the bytes of one poll."""
    stamp: list[int] = [1, -1]
    size_bytes = 0
    for number in range(entries):
        await answer(request(number, entries, is_busy=is_busy))
    started_s = time.process_time()
    for number in range(POLLS):
        message = request(number, entries, is_busy=is_busy)
        message["loads_stamp"] = stamp
        text = json.dumps(message, separators=(",", ":"))
        reply = await answer(json.loads(text))
        stamp = json.loads(reply).get("loads_stamp", stamp)
        size_bytes += len(text) + len(reply) + HEAD_BYTES
    return (time.process_time() - started_s) / POLLS, size_bytes / POLLS


async def measure_both(
    entries: int, *, is_busy: bool
) -> dict[str, tuple[float, float]]:
    """Return cores and bytes per second of the baseline and of the current leader."""
    baseline = BaselineLeader([LEADER])
    service, _ = await start_leader()

    async def answer_baseline(message: Message) -> str:
        return baseline.handle(message, time.monotonic())

    async def answer_current(message: Message) -> str:
        return encode_message(await service.handle_sync(message))

    rates = {
        "baseline": entries / POLL_PERIOD_S,
        "current": entries / long_poll_s(entries),
    }
    loads = {}
    for name, answer in (("baseline", answer_baseline), ("current", answer_current)):
        poll_s, poll_bytes = await measure(answer, entries, is_busy=is_busy)
        loads[name] = (poll_s * rates[name], poll_bytes * rates[name])
    return loads


async def measure_permits(entries: int) -> tuple[float, float]:
    """Return the cores and the bytes per second of permits for limited engines."""
    service, transport = await start_leader()
    names = [f"i-{number:010x}@1781337530021" for number in range(LIMITED_ENGINES)]
    for name in names:
        service.limits.note_response(name, LIMIT_PER_S, may_end=True)
    answer = transport.handlers[PERMITS_PATH]
    size_bytes = 0
    started_s = time.process_time()
    for number in range(POLLS):
        message = {
            "entry": f"{number % entries:012x}",
            "wanted": {names[number % LIMITED_ENGINES]: 1 + number % 3},
            "limits": service.limits.rows(),
        }
        text = json.dumps(message, separators=(",", ":"))
        reply = json.dumps(await answer(json.loads(text)), separators=(",", ":"))
        size_bytes += len(text) + len(reply) + HEAD_BYTES
    request_s = (time.process_time() - started_s) / POLLS
    rate_per_s = min(REQUESTS_PER_S, entries / MIN_REQUEST_PERIOD_S)
    return request_s * rate_per_s, size_bytes / POLLS * rate_per_s


async def run() -> Report:
    """Measure all numbers of entries and return the report."""
    report = Report("leader_cost")
    for entries in ENTRY_COUNTS:
        cores, bytes_per_s = await measure_permits(entries)
        report.add(f"permits, {entries} entries", cores, "cores")
        report.add(f"permits, {entries} entries", bytes_per_s, "B/s")
    for state in ("at rest", "busy"):
        points: dict[str, list[tuple[float, float]]] = {"cores": [], "B/s": []}
        for entries in ENTRY_COUNTS:
            loads = await measure_both(entries, is_busy=state == "busy")
            for name, (cores, bytes_per_s) in loads.items():
                label = f"{name}, {entries} entries {state}"
                is_bounded = (name, entries, state) == ("current", 200, "at rest")
                for value, unit, bound in (
                    (cores, "cores", MAX_CORES),
                    (bytes_per_s, "B/s", MAX_BYTES_PER_S),
                ):
                    if is_bounded:
                        report.add(label, value, unit, f"<{bound:g}", value < bound)
                    else:
                        report.add(label, value, unit)
                    if name == "current":
                        points[unit].append((float(entries), value))
        for unit, values in points.items():
            report.slope(f"leader {state}", "entries", unit, values)
            step = values[-1][1] / values[-2][1]
            report.add(
                f"{unit} from 200 to 1,000 entries {state}",
                step,
                "times",
                f"<={MAX_STEP:g}",
                step <= MAX_STEP,
            )
    return report


def main() -> None:
    """Run the benchmark and print the report."""
    asyncio.run(run()).print()


if __name__ == "__main__":
    main()
