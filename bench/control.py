"""Commit time, fail-over, restart and idle cost of the replicated state.

Three replicas are processes of their own on loopback, each with a data folder;
the round trip and the bare sync are measured in the same run.
"""

from __future__ import annotations

import asyncio
import os
import pathlib
import statistics
import tempfile
import time
import tracemalloc
from collections.abc import Awaitable, Callable

import cyclopts

from bench.control_processes import Processes
from bench.report import Report
from endivesill.control import ControlReplica, FileDisk
from endivesill.control.commands import CommandContext, State, run_command
from endivesill.control.entries import EntryKind, LogEntry, Proposal
from endivesill.control.log import Log
from endivesill.control.memory_disk import MemoryDisk
from endivesill.control.snapshots import Snapshot
from endivesill.control.voter_set import VoterSet
from endivesill.peers import MemoryNetwork
from endivesill.timer import SystemTimer

__all__ = ["main"]

RECORD_BYTES = 300
SAMPLES = 300
WARM_UP = 30
CLIENT_PROCESSES = 4
CLIENTS_PER_PROCESS = 8
LOAD_S = 3.0
KILLS = 10
FAIL_OVER_TARGET_S = 3.0
RESTART_CHANGES = 100_000
RESTART_CLIENTS = 512
IDLE_S = 5.0
IDLE_SIZES = (3, 5, 7)
IDLE_TARGET_BYTES = 3_000.0
IDLE_TARGET_SHARE = 0.027
LOG_SIZES = (1_000, 10_000, 50_000)
KEYS = 1_000


def main(*, kills: int = KILLS, changes: int = RESTART_CHANGES) -> None:
    """Run the bench.

    Parameters
    ----------
    kills
        How often the leader is killed.
    changes
        How many changes go before the restart.
    """
    report = Report("control")
    with tempfile.TemporaryDirectory(dir=os.environ.get("TMPDIR")) as folder:
        asyncio.run(run(report, pathlib.Path(folder), kills, changes))
    report.print()


async def run(report: Report, folder: pathlib.Path, kills: int, changes: int) -> None:
    """Run all parts."""
    await measure_commits(report, folder / "commits", kills)
    await measure_restart(report, folder / "restart", changes)
    await measure_idle(report, folder)
    measure_memory(report)


async def timed(call: Callable[[], Awaitable[object]]) -> float:
    """Return how long a call took, in seconds."""
    began = time.perf_counter()
    await call()
    return time.perf_counter() - began


class BareFile:
    """A file on the same disk that is appended to and synced by itself."""

    def __init__(self, folder: pathlib.Path) -> None:
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self._descriptor = os.open(folder / "bare", flags)

    async def sync(self) -> None:
        """Append a record and sync it."""
        os.write(self._descriptor, bytes(RECORD_BYTES))
        os.fdatasync(self._descriptor)


def put_message(number: int) -> dict:
    """Return the argument of one change."""
    return {"key": f"key-{number % KEYS}", "value": "v" * 100}


async def measure_commits(report: Report, folder: pathlib.Path, kills: int) -> None:
    """Measure commits of one client and of many, and fail-over."""
    cluster = Processes(3, folder)
    try:
        await cluster.start()
        one_client_rate = await measure_one_client(report, cluster, folder)
        await measure_many_clients(report, cluster, one_client_rate)
        await measure_reads(report, cluster)
        await measure_fail_over(report, cluster, kills)
    finally:
        await cluster.stop()


async def measure_one_client(
    report: Report, cluster: Processes, folder: pathlib.Path
) -> float:
    """Measure one client's commits; return its rate.

    Round trips, syncs and commits take turns, so that they meet the same
    machine.
    """
    client = cluster.client()
    leader = await cluster.leader()
    bare = BareFile(folder)

    async def ping() -> None:
        await cluster.transport.call(leader, "/bench/ping", {}, 1.0)

    async def commit() -> None:
        await client.propose("bench.put", put_message(0), 10.0)

    trips, syncs, commits = [], [], []
    for _ in range(WARM_UP):
        await commit()
    for _ in range(SAMPLES):
        trips.append(await timed(ping))
        commits.append(await timed(commit))
        syncs.append(await timed(bare.sync))
    trip_s, sync_s = statistics.median(trips), statistics.median(syncs)
    commit_s = statistics.median(commits)
    bound_s = 2 * trip_s + 2 * sync_s
    report.add("round trip, median", trip_s * 1e3, "ms")
    report.add("bare fdatasync, median", sync_s * 1e3, "ms")
    report.add(
        "commit of one client, median",
        commit_s * 1e3,
        "ms",
        f"<= 2 round trips and 2 syncs = {bound_s * 1e3:.3f} ms",
        commit_s <= bound_s,
    )
    report.add("commit of one client, 99 in 100", quantile(commits, 0.99) * 1e3, "ms")
    return await measure_rate(report, cluster, 1, 1)


async def measure_many_clients(
    report: Report, cluster: Processes, one_client_rate: float
) -> None:
    """Measure the rate of many clients at once."""
    rate = await measure_rate(report, cluster, CLIENT_PROCESSES, CLIENTS_PER_PROCESS)
    ratio = rate / one_client_rate
    name = f"{CLIENT_PROCESSES * CLIENTS_PER_PROCESS} clients against one"
    report.add(name, ratio, "times", ">= 8 times", ratio >= 8)


async def measure_rate(
    report: Report, cluster: Processes, processes: int, clients: int
) -> float:
    """Return the commits a second of clients in processes of their own."""
    leader = await cluster.leader()
    before_s = cluster.processor_s(leader)
    counts = await asyncio.gather(
        *(cluster.run_clients(clients, LOAD_S) for _ in range(processes))
    )
    used_s = cluster.processor_s(leader) - before_s
    commits = sum(counts)
    name = f"{processes * clients} clients" if processes * clients > 1 else "one client"
    report.add(f"commits of {name}", commits / LOAD_S, "1/s")
    report.add(
        f"leader's processor time a commit, {name}", used_s / commits * 1e6, "us"
    )
    return commits / LOAD_S


async def measure_reads(report: Report, cluster: Processes) -> None:
    """Measure linearizable reads under the leader's lease."""
    client = cluster.client()

    async def read() -> None:
        await client.query("bench.get", {"key": "key-0"}, 10.0)

    await read()
    reads = [await timed(read) for _ in range(SAMPLES)]
    report.add("linearizable read, median", statistics.median(reads) * 1e3, "ms")


async def measure_fail_over(report: Report, cluster: Processes, kills: int) -> None:
    """Measure the time from the leader's death to the next commit."""
    durations = []
    for number in range(kills):
        leader = await cluster.leader()
        # The phase within a heartbeat differs from kill to kill.
        await cluster.timer.sleep(0.1 + 0.5 * (number * 7 % kills) / kills)
        client = cluster.client()
        cluster.kill(leader)
        began = time.perf_counter()
        answer = await client.propose("bench.put", put_message(number), 30.0)
        durations.append(time.perf_counter() - began)
        cluster.spawn(leader)
        await cluster.wait_applied(leader, answer["index"])
    report.add(f"fail-over, median of {kills}", statistics.median(durations), "s")
    worst_s = max(durations)
    report.add(
        f"fail-over, longest of {kills}",
        worst_s,
        "s",
        f"<= {FAIL_OVER_TARGET_S:.0f} s at 99 in 100",
        worst_s <= FAIL_OVER_TARGET_S,
    )


async def measure_restart(report: Report, folder: pathlib.Path, changes: int) -> None:
    """Measure how soon a replica holds its state again after many changes."""
    timer = SystemTimer()
    address = "127.0.0.1:1"

    def build() -> ControlReplica:
        transport = MemoryNetwork(timer).transport(address)
        return ControlReplica(timer, transport, FileDisk(folder), (address,))

    replica = build()
    await replica.start()
    await replica.propose("bench.put", put_message(0), 30.0)
    numbers = iter(range(changes))

    async def work() -> None:
        for number in numbers:
            await replica.propose("bench.put", put_message(number), 30.0)

    began = time.perf_counter()
    await asyncio.gather(*(work() for _ in range(RESTART_CLIENTS)))
    rate = changes / (time.perf_counter() - began)
    await replica.stop()
    report.add("commits of one replica alone, in process", rate, "1/s")
    replica = build()
    began = time.perf_counter()
    await replica.start()
    read_s = time.perf_counter() - began
    await replica.propose("bench.put", put_message(0), 30.0)
    ready_s = time.perf_counter() - began
    await replica.stop()
    report.add(f"reading the disk after {changes} changes", read_s, "s")
    report.add("restart to the next commit, with the election", ready_s, "s")


async def measure_idle(report: Report, folder: pathlib.Path) -> None:
    """Measure what replicas cost that have nothing to do."""
    leader_bytes: list[tuple[float, float]] = []
    leader_shares: list[tuple[float, float]] = []
    for size in IDLE_SIZES:
        cluster = Processes(size, folder / f"idle-{size}", relayed=True)
        try:
            await cluster.start()
            await measure_idle_cluster(
                report, cluster, size, leader_bytes, leader_shares
            )
        finally:
            await cluster.stop()
    report.slope("idle bytes of a leader", "voters", "bytes/s", leader_bytes)
    report.slope("idle processor of a leader", "voters", "share", leader_shares)


async def measure_idle_cluster(
    report: Report,
    cluster: Processes,
    size: int,
    leader_bytes: list[tuple[float, float]],
    leader_shares: list[tuple[float, float]],
) -> None:
    """Measure one size; all idle calls go from the leader to the others."""
    leader = await cluster.leader()
    followers = [address for address in cluster.addresses if address != leader]
    await cluster.timer.sleep(1.0)
    bytes_before = {a: relay.bytes for a, relay in cluster.relays.items()}
    used_before = {a: cluster.processor_s(a) for a in cluster.addresses}
    await cluster.timer.sleep(IDLE_S)
    rates = {a: (r.bytes - bytes_before[a]) / IDLE_S for a, r in cluster.relays.items()}
    shares = {
        a: (cluster.processor_s(a) - used_before[a]) / IDLE_S for a in cluster.addresses
    }
    total = sum(rates[address] for address in followers)
    leader_bytes.append((float(size), total))
    leader_shares.append((float(size), shares[leader]))
    report.add(
        f"idle bytes of the leader of {size}",
        total,
        "bytes/s",
        f"<= {IDLE_TARGET_BYTES:.0f}",
        total <= IDLE_TARGET_BYTES,
    )
    follower_rate = max(rates[address] for address in followers)
    report.add(f"idle bytes of a follower of {size}", follower_rate, "bytes/s")
    report.add(
        f"idle processor of the leader of {size}",
        shares[leader],
        "share",
        f"<= {IDLE_TARGET_SHARE}",
        shares[leader] <= IDLE_TARGET_SHARE,
    )
    memory = cluster.resident_bytes(leader) / 1e6
    report.add(f"memory of the leader of {size}", memory, "MB")


def log_entry(index: int) -> LogEntry:
    """Return an entry with one change."""
    proposal = Proposal("bench.put", put_message(index), "c" * 32, index)
    return LogEntry(index, 1, 1.0, EntryKind.COMMAND, proposal.to_text())


def measure_memory(report: Report) -> None:
    """Measure memory of log entries and of the state, and snapshot times."""
    log_points, state_points, snapshot_points = [], [], []
    for size in LOG_SIZES:
        tracemalloc.start()
        log = Log(MemoryDisk(), 1_000_000)
        log.append([log_entry(index) for index in range(1, size + 1)])
        log_points.append((float(size), float(tracemalloc.get_traced_memory()[0])))
        tracemalloc.stop()
        tracemalloc.start()
        state = State()
        for index in range(1, size + 1):
            message = {"key": f"key-{index}", "value": "v" * 99 + str(index)}
            run_command(state, "bench.put", message, CommandContext(index, 1.0))
        state_points.append((float(size), float(tracemalloc.get_traced_memory()[0])))
        tracemalloc.stop()
        began = time.perf_counter()
        Snapshot(size, 1, 1.0, "c", VoterSet(), state.sections).to_text()
        snapshot_points.append((float(size), (time.perf_counter() - began) * 1e3))
    per_entry = log_points[-1][1] / log_points[-1][0]
    report.add("memory of 1,000 log entries", per_entry * 1e3 / 1e6, "MB")
    report.slope("memory of the log", "entries", "bytes", log_points)
    report.slope("memory of the state", "keys of 100 bytes", "bytes", state_points)
    report.slope("time to write a snapshot's text", "keys", "ms", snapshot_points)


def quantile(values: list[float], share: float) -> float:
    """Return the value that a share of all values stays under."""
    ordered = sorted(values)
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)]


if __name__ == "__main__":
    cyclopts.run(main)
