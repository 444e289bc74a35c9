"""Benchmark of configuration distribution: latency, traffic, processor and memory.

`python -m bench.configuration` prints a JSON report. All VMs run in one process, so
the processor time covers both ends of each exchange.
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
    make_apply_message,
    make_documents,
)
from bench.report import Report
from endivesill.configuration.copy import ConfigurationCopy
from endivesill.configuration.lease import LEASE_S
from endivesill.configuration.replica import MemoryReplica, VoterSet
from endivesill.configuration.state import APPLY, ConfigurationState
from endivesill.control.commands import CommandContext

__all__ = ["main"]

SEED = 4
SMALL_FLEET_VMS = 7
SMALL_CHANGES = 80
LARGE_FLEET_VMS = 100
LARGE_CHANGES = 15
IDLE_FLEET_VMS = (7, 28, 100)
IDLE_S = 5.0
SETTLE_S = 4.0
IDLE_SETTLE_S = 9.0
CHANGE_TIMEOUT_S = 10.0
POLL_S = 0.005
ORGANISATION_COUNTS = (1_000, 5_000, 19_000)
TARGET_COUNT = 2_400

IN_FORCE_P99_TARGET_S = 1.0
MAX_IN_FORCE_S = 4.0
MEAN_BYTES_PER_S_TARGET = 1_200.0
MAX_BYTES_PER_S = 3_000.0
MAX_CORES = 0.027
MAX_MEMORY_MB = 256.0


async def measure_in_force(size: int, data_centres: int, changes: int) -> list[float]:
    """Return the times in seconds from a change's acceptance until all VMs have it."""
    rng = random.Random(SEED)
    with tempfile.TemporaryDirectory() as folder:
        fleet = WatcherFleet(size, data_centres, pathlib.Path(folder))
        await fleet.start()
        await fleet.apply(1, make_documents(10, 12), 0)
        await asyncio.sleep(SETTLE_S)
        times = []
        for number in range(2, changes + 2):
            await asyncio.sleep(rng.uniform(0.0, 0.15))
            times.append(await _measure_change(fleet, number))
        await fleet.stop()
    return times


async def _measure_change(fleet: WatcherFleet, number: int) -> float:
    document = {**make_documents(0, 1)["target/engine-0000"], "maximum_slots": number}
    changed = {"target/engine-0000": document}
    response = await fleet.apply(number, changed, number - 1)
    accepted_s = fleet.timer.now_s()
    if response["outcome"] != "accepted":
        raise RuntimeError(f"change {number} was not accepted: {response}")
    while True:
        in_force_s = fleet.last_in_force_s(response["revision"])
        if in_force_s is not None:
            return max(0.0, in_force_s - accepted_s)
        if fleet.timer.now_s() - accepted_s > CHANGE_TIMEOUT_S:
            return CHANGE_TIMEOUT_S
        await asyncio.sleep(POLL_S)


async def measure_idle(size: int) -> tuple[float, float, float, float]:
    """Return the traffic and processor use of a fleet without changes.

    Returns:
      The mean and largest bytes per second of a VM, the bytes per second of a
      replica, and the cores used per VM. A byte counts at the sender and at the
      receiver; traffic between the replicas is subtracted.
    """
    with tempfile.TemporaryDirectory() as folder:
        fleet = WatcherFleet(size, 3 if size < 20 else 8, pathlib.Path(folder))
        await fleet.start()
        await fleet.apply(1, make_documents(10, 12), 0)
        await asyncio.sleep(IDLE_SETTLE_S if size > 50 else SETTLE_S)
        before = [counter.bytes for counter in fleet.watcher_counters]
        replicas_before = [counter.bytes for counter in fleet.replica_counters]
        processor_s = time.process_time()
        await asyncio.sleep(IDLE_S)
        processor_s = time.process_time() - processor_s
        watcher_bytes = [
            c.bytes - b for c, b in zip(fleet.watcher_counters, before, strict=True)
        ]
        replica_bytes = [
            counter.bytes - earlier
            for counter, earlier in zip(
                fleet.replica_counters, replicas_before, strict=True
            )
        ]
        replicas_processor_s, replica_bytes_alone = await _measure_replicas_alone(fleet)
        await fleet.stop()
    # Requests to a replica count at the VM that sends them, too.
    root_bytes = sum(replica_bytes) - sum(replica_bytes_alone)
    mean = (2 * sum(watcher_bytes) + root_bytes) / IDLE_S / size
    largest = max(watcher_bytes) + root_bytes / fleet.root_count
    largest = largest / IDLE_S
    cores = max(0.0, processor_s - replicas_processor_s) / IDLE_S / size
    return mean, largest, root_bytes / len(replica_bytes) / IDLE_S, cores


async def _measure_replicas_alone(fleet: WatcherFleet) -> tuple[float, list[float]]:
    """Stop the watchers; return processor time and bytes of the replicas in IDLE_S."""
    for watcher in fleet.watchers:
        await watcher.stop()
    await asyncio.sleep(1.0)
    before = [counter.bytes for counter in fleet.replica_counters]
    started_s = time.process_time()
    await asyncio.sleep(IDLE_S / 2)
    spent_s = time.process_time() - started_s
    pairs = zip(fleet.replica_counters, before, strict=True)
    return 2 * spent_s, [2.0 * (counter.bytes - earlier) for counter, earlier in pairs]


async def measure_lost_quorum() -> tuple[float, float]:
    """Measure how the leases follow a lost and a regained quorum.

    Returns:
      The seconds from the loss of the quorum until no VM holds a lease, and from its
      return until all VMs hold one.
    """
    with tempfile.TemporaryDirectory() as folder:
        fleet = WatcherFleet(SMALL_FLEET_VMS, 3, pathlib.Path(folder))
        await fleet.start()
        await fleet.apply(1, make_documents(10, 12), 0)
        await asyncio.sleep(SETTLE_S)
        fleet.block_probes(2)
        lost_s = await _wait_until(fleet, lambda: not any(fleet.leases()))
        await asyncio.sleep(1.0)
        fleet.unblock_probes()
        regained_s = await _wait_until(fleet, lambda: all(fleet.leases()))
        await fleet.stop()
    return lost_s, regained_s


async def _wait_until(fleet: WatcherFleet, condition: Callable[[], bool]) -> float:
    started_s = fleet.timer.now_s()
    while True:
        waited_s = fleet.timer.now_s() - started_s
        if condition() or waited_s > CHANGE_TIMEOUT_S:
            return waited_s
        await asyncio.sleep(POLL_S)


def measure_copy_and_delta(report: Report) -> None:
    """Add the sizes of a full copy and a delta, and the times to apply one change."""
    items = make_documents(ORGANISATION_COUNTS[-1], TARGET_COUNT)
    replica = MemoryReplica("r", VoterSet())
    replica.append(APPLY, make_apply_message(1, items, 0), CommandContext(1, 0.0))
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
    message = make_apply_message(2, {"target/engine-0000": document}, 1)
    replica.append(APPLY, message, CommandContext(2, 0.0))
    started_s = time.process_time()
    replica.apply_all()
    applied_ms = (time.process_time() - started_s) * 1e3
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
    started_s = time.process_time()
    if not copy.apply(delta):
        raise RuntimeError("the copy does not match the digest of the delta")
    copy_ms = (time.process_time() - started_s) * 1e3
    report.add("one delta at a VM, 19,000 organisations", copy_ms, "ms")


def measure_memory_mb(organisations: int) -> float:
    """Return the resident memory of a process that runs `print_memory`, in MB."""
    code = f"import bench.configuration as b; b.print_memory({organisations})"
    completed = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    return float(completed.stdout)


def print_memory(organisations: int) -> None:
    """Load what an entry with a control replica holds; print the resident memory."""
    import endivesill.assembly  # noqa: F401

    message_text = json.dumps(
        make_apply_message(1, make_documents(organisations, TARGET_COUNT), 0)
    )
    replica = MemoryReplica("r", VoterSet())
    replica.append(APPLY, json.loads(message_text), CommandContext(1, 0.0))
    del message_text
    replica.apply_all()
    replica._log.clear()
    store = ConfigurationState.readable(replica.state())
    effective = dict(store.effective_documents(store.documents))
    # A copy received over the network shares no objects with the state.
    received = json.loads(json.dumps(effective))
    del effective
    copy = ConfigurationCopy()
    copy.replace(1, 1, received, store.digest)
    status_lines = pathlib.Path("/proc/self/status").read_text().splitlines()
    resident_line = next(line for line in status_lines if line.startswith("VmRSS"))
    print(int(resident_line.split()[1]) / 1024)


def _add_in_force_results(report: Report, name: str, times: list[float]) -> None:
    ordered_s = sorted(times)
    p99_s = ordered_s[min(len(ordered_s) - 1, int(0.99 * len(ordered_s)))]
    report.add(f"{name}: median", statistics.median(times), "s")
    report.add(
        f"{name}: 99 in 100",
        p99_s,
        "s",
        f"<= {IN_FORCE_P99_TARGET_S}",
        p99_s <= IN_FORCE_P99_TARGET_S,
    )
    report.add(
        f"{name}: longest",
        ordered_s[-1],
        "s",
        f"<= {MAX_IN_FORCE_S}",
        ordered_s[-1] <= MAX_IN_FORCE_S,
    )


def _add_idle_results(report: Report) -> None:
    rows = [(size, asyncio.run(measure_idle(size))) for size in IDLE_FLEET_VMS]
    for size, (mean, largest, replica_bytes_per_s, cores) in rows:
        name = f"at rest, {size} VMs"
        limit = f"< {MEAN_BYTES_PER_S_TARGET:g}"
        report.add(
            f"{name}: mean", mean, "bytes/s a VM", limit, mean < MEAN_BYTES_PER_S_TARGET
        )
        limit = f"<= {MAX_BYTES_PER_S:g}"
        report.add(
            f"{name}: largest",
            largest,
            "bytes/s a VM",
            limit,
            largest <= MAX_BYTES_PER_S,
        )
        report.add(f"{name}: replica", replica_bytes_per_s, "bytes/s")
        limit = f"<= {MAX_CORES:.3f}"
        holds = cores <= MAX_CORES
        report.add(f"{name}: processor", cores, "cores a VM", limit, holds)
    for index, name, unit in (
        (0, "bytes of the lease and deltas at rest", "bytes/s a VM"),
        (2, "bytes at a replica", "bytes/s"),
        (3, "processor time of the lease at rest", "cores a VM"),
    ):
        points = [(float(size), row[index]) for size, row in rows]
        report.slope(name, "VMs", unit, points)


def main() -> None:
    """Run all measurements and print the report."""
    uvloop.install()
    report = Report("configuration", SEED)
    times = asyncio.run(measure_in_force(SMALL_FLEET_VMS, 3, SMALL_CHANGES))
    _add_in_force_results(report, "in force on 7 VMs", times)
    times = asyncio.run(measure_in_force(LARGE_FLEET_VMS, 8, LARGE_CHANGES))
    _add_in_force_results(report, "in force on 100 VMs", times)
    lost_s, regained_s = asyncio.run(measure_lost_quorum())
    holds = lost_s <= LEASE_S + POLL_S
    report.add("lost quorum: no VM takes work", lost_s, "s", f"<= {LEASE_S}", holds)
    report.add("quorum back: all VMs take work", regained_s, "s")
    _add_idle_results(report)
    measure_copy_and_delta(report)
    memory_points = [
        (float(size), measure_memory_mb(size)) for size in ORGANISATION_COUNTS
    ]
    report.add(
        "memory with 19,000 organisations",
        memory_points[-1][1],
        "MB",
        f"<= {MAX_MEMORY_MB:g}",
        memory_points[-1][1] <= MAX_MEMORY_MB,
    )
    report.slope(
        "memory of a control VM that is an entry", "organisations", "MB", memory_points
    )
    report.print()


if __name__ == "__main__":
    main()
