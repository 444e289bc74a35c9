"""How fast a configuration is in force, and what its distribution costs.

`python -m bench.configuration` prints JSON; all VMs share one process, so that
processor time is that of both ends of each exchange.
"""

from __future__ import annotations

import asyncio
import json
import pathlib
import random
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable

import uvloop

from bench.configuration_fleet import (
    WatcherFleet,
    apply_message,
    documents,
)
from bench.report import Report
from endivesill.configuration.copy import ConfigurationCopy
from endivesill.configuration.lease import LEASE_S
from endivesill.configuration.replica import MemoryReplica, VoterSet
from endivesill.configuration.state import APPLY, ConfigurationState
from endivesill.control.commands import CommandContext

__all__ = ["main"]

SEED = 4
SMALL_FLEET = 7
SMALL_CHANGES = 80
LARGE_FLEET = 100
LARGE_CHANGES = 15
IDLE_SIZES = (7, 28, 100)
IDLE_S = 5.0
SETTLE_S = 4.0
IDLE_SETTLE_S = 9.0
CHANGE_LIMIT_S = 10.0
POLL_S = 0.005
MEMORY_SIZES = (1_000, 5_000, 19_000)
TARGETS = 2_400

IN_FORCE_TARGET_S = 1.0
IN_FORCE_LIMIT_S = 4.0
BYTES_TARGET = 1_200.0
BYTES_LIMIT = 3_000.0
CORE_SHARE_LIMIT = 0.027
MEMORY_LIMIT_MB = 256.0


async def measure_in_force(size: int, data_centres: int, changes: int) -> list[float]:
    """Return the times from accept to in force on all VMs, in seconds."""
    source = random.Random(SEED)
    with tempfile.TemporaryDirectory() as folder:
        fleet = WatcherFleet(size, data_centres, pathlib.Path(folder))
        await fleet.start()
        await fleet.apply(1, documents(10, 12), 0)
        await asyncio.sleep(SETTLE_S)
        times = []
        for number in range(2, changes + 2):
            await asyncio.sleep(source.uniform(0.0, 0.15))
            times.append(await _one_change(fleet, number))
        await fleet.stop()
    return times


async def _one_change(fleet: WatcherFleet, number: int) -> float:
    document = {**documents(0, 1)["target/engine-0000"], "maximum_slots": number}
    changed = {"target/engine-0000": document}
    answer = await fleet.apply(number, changed, number - 1)
    accepted_s = fleet.timer.now_s()
    if answer["outcome"] != "accepted":
        raise RuntimeError(f"change {number}: {answer}")
    while True:
        done_s = fleet.time_in_force_s(answer["revision"])
        if done_s is not None:
            return max(0.0, done_s - accepted_s)
        if fleet.timer.now_s() - accepted_s > CHANGE_LIMIT_S:
            return CHANGE_LIMIT_S
        await asyncio.sleep(POLL_S)


async def measure_idle(size: int) -> tuple[float, float, float, float]:
    """Return bytes a second and core shares of a fleet at rest.

    Returns:
      Mean and largest bytes a VM a second, bytes a replica a second, and the
      share of a core a VM. A byte counts at both of its ends; the replicas'
      exchanges with each other are taken off.
    """
    with tempfile.TemporaryDirectory() as folder:
        fleet = WatcherFleet(size, 3 if size < 20 else 8, pathlib.Path(folder))
        await fleet.start()
        await fleet.apply(1, documents(10, 12), 0)
        await asyncio.sleep(IDLE_SETTLE_S if size > 50 else SETTLE_S)
        before = [count.bytes for count in fleet.counts]
        replicas_before = [count.bytes for count in fleet.replica_counts]
        processor_s = time.process_time()
        await asyncio.sleep(IDLE_S)
        processor_s = time.process_time() - processor_s
        served = [c.bytes - b for c, b in zip(fleet.counts, before, strict=True)]
        at_replicas = [
            count.bytes - earlier
            for count, earlier in zip(
                fleet.replica_counts, replicas_before, strict=True
            )
        ]
        without_watchers_s, replicas_alone = await _replicas_alone(fleet)
        await fleet.stop()
    # A question to a replica is counted at the VM that asks, too.
    at_roots = sum(at_replicas) - sum(replicas_alone)
    mean = (2 * sum(served) + at_roots) / IDLE_S / size
    largest = max(served) + at_roots / fleet.roots
    largest = largest / IDLE_S
    share = max(0.0, processor_s - without_watchers_s) / IDLE_S / size
    return mean, largest, at_roots / len(at_replicas) / IDLE_S, share


async def _replicas_alone(fleet: WatcherFleet) -> tuple[float, list[float]]:
    """Return processor time and bytes of the replicas alone over IDLE_S."""
    for watcher in fleet.watchers:
        await watcher.stop()
    await asyncio.sleep(1.0)
    before = [count.bytes for count in fleet.replica_counts]
    begin_s = time.process_time()
    await asyncio.sleep(IDLE_S / 2)
    spent_s = time.process_time() - begin_s
    counts = zip(fleet.replica_counts, before, strict=True)
    return 2 * spent_s, [2.0 * (count.bytes - earlier) for count, earlier in counts]


async def measure_lost_quorum() -> tuple[float, float]:
    """Return how long leases last after a lost quorum and take to come back."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = WatcherFleet(SMALL_FLEET, 3, pathlib.Path(folder))
        await fleet.start()
        await fleet.apply(1, documents(10, 12), 0)
        await asyncio.sleep(SETTLE_S)
        fleet.block_replicas(2)
        lost_s = await _time_until(fleet, lambda: not any(fleet.leases()))
        await asyncio.sleep(1.0)
        fleet.unblock_replicas()
        back_s = await _time_until(fleet, lambda: all(fleet.leases()))
        await fleet.stop()
    return lost_s, back_s


async def _time_until(fleet: WatcherFleet, reached: Callable[[], bool]) -> float:
    begin_s = fleet.timer.now_s()
    while True:
        waited_s = fleet.timer.now_s() - begin_s
        if reached() or waited_s > CHANGE_LIMIT_S:
            return waited_s
        await asyncio.sleep(POLL_S)


def measure_sizes(report: Report) -> None:
    """Measure deltas, full copies and the time of one change at full size."""
    items = documents(MEMORY_SIZES[-1], TARGETS)
    replica = MemoryReplica("r", VoterSet())
    replica.append(APPLY, apply_message(1, items, 0), CommandContext(1, 0.0))
    replica.apply_all()
    copy = ConfigurationCopy()
    store = ConfigurationState.readable(replica.state())
    copy.replace(1, 1, dict(store.effective_documents(items)), store.digest)
    pages, after = 0, None
    while after != "":
        page = copy.page(after or "")
        pages += len(json.dumps(page))
        after = page["last"]
    report.add("full copy, 19,000 organisations", pages / 1e6, "MB")
    document = {**items["target/engine-0000"], "maximum_slots": 9}
    message = apply_message(2, {"target/engine-0000": document}, 1)
    replica.append(APPLY, message, CommandContext(2, 0.0))
    begin_s = time.process_time()
    replica.apply_all()
    applied_ms = (time.process_time() - begin_s) * 1e3
    changed = dict(store.effective_documents(["target/engine-0000"]))
    delta = {
        "revision": 2,
        "as_of": 2,
        "digest": store.digest,
        "changed": changed,
        "removed": [],
    }
    report.add("delta of one target", len(json.dumps(delta)), "bytes")
    report.add("one change at a replica, 19,000 organisations", applied_ms, "ms")
    begin_s = time.process_time()
    if not copy.apply(delta):
        raise RuntimeError("the delta does not match its digest")
    spent_ms = (time.process_time() - begin_s) * 1e3
    report.add("one delta at a VM, 19,000 organisations", spent_ms, "ms")


def memory_mb(organisations: int) -> float:
    """Return the memory of a process with all modules, a state and a copy."""
    code = f"import bench.configuration as b; b.print_memory({organisations})"
    finished = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    return float(finished.stdout)


def print_memory(organisations: int) -> None:
    """Build what an entry with a control replica holds; print its memory."""
    import endivesill.assembly  # noqa: F401

    text = json.dumps(apply_message(1, documents(organisations, TARGETS), 0))
    replica = MemoryReplica("r", VoterSet())
    replica.append(APPLY, json.loads(text), CommandContext(1, 0.0))
    del text
    replica.apply_all()
    replica._log.clear()
    store = ConfigurationState.readable(replica.state())
    effective = dict(store.effective_documents(store.documents))
    # A copy that came over the network shares no object with the state.
    received = json.loads(json.dumps(effective))
    del effective
    copy = ConfigurationCopy()
    copy.replace(1, 1, received, store.digest)
    lines = pathlib.Path("/proc/self/status").read_text().splitlines()
    resident = next(line for line in lines if line.startswith("VmRSS"))
    print(int(resident.split()[1]) / 1024)


def _add_in_force(report: Report, name: str, times: list[float]) -> None:
    ordered = sorted(times)
    at_99_s = ordered[min(len(ordered) - 1, int(0.99 * len(ordered)))]
    report.add(f"{name}: median", statistics.median(times), "s")
    report.add(
        f"{name}: 99 in 100",
        at_99_s,
        "s",
        f"<= {IN_FORCE_TARGET_S}",
        at_99_s <= IN_FORCE_TARGET_S,
    )
    report.add(
        f"{name}: longest",
        ordered[-1],
        "s",
        f"<= {IN_FORCE_LIMIT_S}",
        ordered[-1] <= IN_FORCE_LIMIT_S,
    )


def _add_idle(report: Report) -> None:
    rows = [(size, asyncio.run(measure_idle(size))) for size in IDLE_SIZES]
    for size, (mean, largest, at_replica, share) in rows:
        name = f"at rest, {size} VMs"
        limit = f"< {BYTES_TARGET:g}"
        report.add(f"{name}: mean", mean, "bytes/s a VM", limit, mean < BYTES_TARGET)
        limit = f"<= {BYTES_LIMIT:g}"
        report.add(
            f"{name}: largest",
            largest,
            "bytes/s a VM",
            limit,
            largest <= BYTES_LIMIT,
        )
        report.add(f"{name}: replica", at_replica, "bytes/s")
        limit = f"<= {CORE_SHARE_LIMIT:.3f}"
        held = share <= CORE_SHARE_LIMIT
        report.add(f"{name}: processor", share, "cores a VM", limit, held)
    for index, name, unit in (
        (0, "bytes of the lease and deltas at rest", "bytes/s a VM"),
        (2, "bytes at a replica", "bytes/s"),
        (3, "processor time of the lease at rest", "cores a VM"),
    ):
        points = [(float(size), row[index]) for size, row in rows]
        report.slope(name, "VMs", unit, points)


def main() -> None:
    """Run everything and print the report."""
    uvloop.install()
    report = Report("configuration", SEED)
    times = asyncio.run(measure_in_force(SMALL_FLEET, 3, SMALL_CHANGES))
    _add_in_force(report, "in force on 7 VMs", times)
    times = asyncio.run(measure_in_force(LARGE_FLEET, 8, LARGE_CHANGES))
    _add_in_force(report, "in force on 100 VMs", times)
    lost_s, back_s = asyncio.run(measure_lost_quorum())
    held = lost_s <= LEASE_S + POLL_S
    report.add("lost quorum: no VM takes work", lost_s, "s", f"<= {LEASE_S}", held)
    report.add("quorum back: all VMs take work", back_s, "s")
    _add_idle(report)
    measure_sizes(report)
    memory = [(float(size), memory_mb(size)) for size in MEMORY_SIZES]
    report.add(
        "memory with 19,000 organisations",
        memory[-1][1],
        "MB",
        f"<= {MEMORY_LIMIT_MB:g}",
        memory[-1][1] <= MEMORY_LIMIT_MB,
    )
    report.slope(
        "memory of a control VM that is an entry", "organisations", "MB", memory
    )
    report.print()


if __name__ == "__main__":
    main()
