"""Benchmark of the replicated state: commits, fail-over, restart and idle cost.

Three replicas run in processes of their own on loopback, each with a data folder.
Round trips and single disk syncs are measured in the same run for comparison.
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

from bench.control_processes import ReplicaCluster
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
SAMPLE_COUNT = 300
WARM_UP_COMMITS = 30
CLIENT_PROCESSES = 4
CLIENTS_PER_PROCESS = 8
LOAD_S = 3.0
DEFAULT_KILLS = 10
MAX_FAIL_OVER_S = 3.0
DEFAULT_CHANGES = 100_000
RESTART_CLIENTS = 512
IDLE_S = 5.0
IDLE_VOTER_COUNTS = (3, 5, 7)
MAX_IDLE_BYTES_PER_S = 3_000.0
MAX_IDLE_CORES = 0.027
ENTRY_COUNTS = (1_000, 10_000, 50_000)
KEY_COUNT = 1_000


def main(*, kills: int = DEFAULT_KILLS, changes: int = DEFAULT_CHANGES) -> None:
    """Run the benchmark and print the report.

    Parameters
    ----------
    kills
        Number of times that the leader is killed.
    changes
        Number of changes committed before the restart.
    """
    report = Report("control")
    with tempfile.TemporaryDirectory(dir=os.environ.get("TMPDIR")) as folder:
        asyncio.run(run(report, pathlib.Path(folder), kills, changes))
    report.print()


async def run(report: Report, folder: pathlib.Path, kills: int, changes: int) -> None:
    """Run all measurements and add them to the report."""
    await measure_commits(report, folder / "commits", kills)
    await measure_restart(report, folder / "restart", changes)
    await measure_idle(report, folder)
    measure_memory(report)


async def time_call(call: Callable[[], Awaitable[object]]) -> float:
    """Return the duration of a call in seconds."""
    started_s = time.perf_counter()
    await call()
    return time.perf_counter() - started_s


class AppendFile:
    """A file on the replicas' disk, to measure a single append and sync."""

    def __init__(self, folder: pathlib.Path) -> None:
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self._descriptor = os.open(folder / "bare", flags)

    async def sync(self) -> None:
        """Append a record of `RECORD_BYTES` and sync it."""
        os.write(self._descriptor, bytes(RECORD_BYTES))
        os.fdatasync(self._descriptor)


def make_put_message(number: int) -> dict:
    """Return the message of one `bench.put` command."""
    return {"key": f"key-{number % KEY_COUNT}", "value": "v" * 100}


async def measure_commits(report: Report, folder: pathlib.Path, kills: int) -> None:
    """Measure commits of one and of many clients, reads and fail-over."""
    cluster = ReplicaCluster(3, folder)
    try:
        await cluster.start()
        one_client_commits_per_s = await measure_one_client(report, cluster, folder)
        await measure_many_clients(report, cluster, one_client_commits_per_s)
        await measure_reads(report, cluster)
        await measure_fail_over(report, cluster, kills)
    finally:
        await cluster.stop()


async def measure_one_client(
    report: Report, cluster: ReplicaCluster, folder: pathlib.Path
) -> float:
    """Measure the commits of one client; return its commits per second.

    Round trips, commits and syncs alternate, so that the load of the machine
    affects all of them alike.
    """
    client = cluster.client()
    leader = await cluster.wait_leader()
    append_file = AppendFile(folder)

    async def ping() -> None:
        await cluster.transport.call(leader, "/bench/ping", {}, 1.0)

    async def commit() -> None:
        await client.propose("bench.put", make_put_message(0), 10.0)

    round_trips_s, syncs_s, commits_s = [], [], []
    for _ in range(WARM_UP_COMMITS):
        await commit()
    for _ in range(SAMPLE_COUNT):
        round_trips_s.append(await time_call(ping))
        commits_s.append(await time_call(commit))
        syncs_s.append(await time_call(append_file.sync))
    round_trip_s, sync_s = statistics.median(round_trips_s), statistics.median(syncs_s)
    commit_s = statistics.median(commits_s)
    bound_s = 2 * round_trip_s + 2 * sync_s
    report.add("round trip, median", round_trip_s * 1e3, "ms")
    report.add("bare fdatasync, median", sync_s * 1e3, "ms")
    report.add(
        "commit of one client, median",
        commit_s * 1e3,
        "ms",
        f"<= 2 round trips and 2 syncs = {bound_s * 1e3:.3f} ms",
        commit_s <= bound_s,
    )
    report.add("commit of one client, 99 in 100", quantile(commits_s, 0.99) * 1e3, "ms")
    return await measure_rate(report, cluster, 1, 1)


async def measure_many_clients(
    report: Report, cluster: ReplicaCluster, one_client_commits_per_s: float
) -> None:
    """Measure the commit rate of many concurrent clients, relative to one client."""
    rate = await measure_rate(report, cluster, CLIENT_PROCESSES, CLIENTS_PER_PROCESS)
    ratio = rate / one_client_commits_per_s
    name = f"{CLIENT_PROCESSES * CLIENTS_PER_PROCESS} clients against one"
    report.add(name, ratio, "times", ">= 8 times", ratio >= 8)


async def measure_rate(
    report: Report, cluster: ReplicaCluster, processes: int, clients: int
) -> float:
    """Return the commits per second of clients in separate processes."""
    leader = await cluster.wait_leader()
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


async def measure_reads(report: Report, cluster: ReplicaCluster) -> None:
    """Measure linearizable reads under the leader's lease."""
    client = cluster.client()

    async def read() -> None:
        await client.query("bench.get", {"key": "key-0"}, 10.0)

    await read()
    reads_s = [await time_call(read) for _ in range(SAMPLE_COUNT)]
    report.add("linearizable read, median", statistics.median(reads_s) * 1e3, "ms")


async def measure_fail_over(
    report: Report, cluster: ReplicaCluster, kills: int
) -> None:
    """Measure the time from the leader's death to the next commit."""
    durations_s = []
    for number in range(kills):
        leader = await cluster.wait_leader()
        # Vary the time of the kill within the heartbeat interval.
        await cluster.timer.sleep(0.1 + 0.5 * (number * 7 % kills) / kills)
        client = cluster.client()
        cluster.kill(leader)
        started_s = time.perf_counter()
        response = await client.propose("bench.put", make_put_message(number), 30.0)
        durations_s.append(time.perf_counter() - started_s)
        cluster.spawn(leader)
        await cluster.wait_applied(leader, response["index"])
    report.add(f"fail-over, median of {kills}", statistics.median(durations_s), "s")
    longest_s = max(durations_s)
    report.add(
        f"fail-over, longest of {kills}",
        longest_s,
        "s",
        f"<= {MAX_FAIL_OVER_S:.0f} s at 99 in 100",
        longest_s <= MAX_FAIL_OVER_S,
    )


async def measure_restart(report: Report, folder: pathlib.Path, changes: int) -> None:
    """Measure the time to restart a single replica after many changes."""
    timer = SystemTimer()
    address = "127.0.0.1:1"

    def make_replica() -> ControlReplica:
        transport = MemoryNetwork(timer).transport(address)
        return ControlReplica(timer, transport, FileDisk(folder), (address,))

    replica = make_replica()
    await replica.start()
    await replica.propose("bench.put", make_put_message(0), 30.0)
    numbers = iter(range(changes))

    async def commit_numbers() -> None:
        for number in numbers:
            await replica.propose("bench.put", make_put_message(number), 30.0)

    started_s = time.perf_counter()
    await asyncio.gather(*(commit_numbers() for _ in range(RESTART_CLIENTS)))
    rate = changes / (time.perf_counter() - started_s)
    await replica.stop()
    report.add("commits of one replica alone, in process", rate, "1/s")
    replica = make_replica()
    started_s = time.perf_counter()
    await replica.start()
    read_s = time.perf_counter() - started_s
    await replica.propose("bench.put", make_put_message(0), 30.0)
    ready_s = time.perf_counter() - started_s
    await replica.stop()
    report.add(f"reading the disk after {changes} changes", read_s, "s")
    report.add("restart to the next commit, with the election", ready_s, "s")


async def measure_idle(report: Report, folder: pathlib.Path) -> None:
    """Measure traffic, processor time and memory of idle clusters."""
    leader_bytes: list[tuple[float, float]] = []
    leader_cores: list[tuple[float, float]] = []
    for size in IDLE_VOTER_COUNTS:
        cluster = ReplicaCluster(size, folder / f"idle-{size}", proxied=True)
        try:
            await cluster.start()
            await measure_idle_cluster(
                report, cluster, size, leader_bytes, leader_cores
            )
        finally:
            await cluster.stop()
    report.slope("idle bytes of a leader", "voters", "bytes/s", leader_bytes)
    report.slope("idle processor of a leader", "voters", "share", leader_cores)


async def measure_idle_cluster(
    report: Report,
    cluster: ReplicaCluster,
    size: int,
    leader_bytes: list[tuple[float, float]],
    leader_cores: list[tuple[float, float]],
) -> None:
    """Measure one cluster size; when idle, only the leader sends requests."""
    leader = await cluster.wait_leader()
    followers = [address for address in cluster.addresses if address != leader]
    await cluster.timer.sleep(1.0)
    bytes_before = {a: proxy.bytes for a, proxy in cluster.proxies.items()}
    processor_before_s = {a: cluster.processor_s(a) for a in cluster.addresses}
    await cluster.timer.sleep(IDLE_S)
    bytes_per_s = {
        a: (proxy.bytes - bytes_before[a]) / IDLE_S
        for a, proxy in cluster.proxies.items()
    }
    cores = {
        a: (cluster.processor_s(a) - processor_before_s[a]) / IDLE_S
        for a in cluster.addresses
    }
    leader_bytes_per_s = sum(bytes_per_s[address] for address in followers)
    leader_bytes.append((float(size), leader_bytes_per_s))
    leader_cores.append((float(size), cores[leader]))
    report.add(
        f"idle bytes of the leader of {size}",
        leader_bytes_per_s,
        "bytes/s",
        f"<= {MAX_IDLE_BYTES_PER_S:.0f}",
        leader_bytes_per_s <= MAX_IDLE_BYTES_PER_S,
    )
    follower_bytes_per_s = max(bytes_per_s[address] for address in followers)
    report.add(f"idle bytes of a follower of {size}", follower_bytes_per_s, "bytes/s")
    report.add(
        f"idle processor of the leader of {size}",
        cores[leader],
        "share",
        f"<= {MAX_IDLE_CORES}",
        cores[leader] <= MAX_IDLE_CORES,
    )
    memory = cluster.resident_bytes(leader) / 1e6
    report.add(f"memory of the leader of {size}", memory, "MB")


def make_log_entry(index: int) -> LogEntry:
    """Return a log entry with one `bench.put` command."""
    proposal = Proposal("bench.put", make_put_message(index), "c" * 32, index)
    return LogEntry(index, 1, 1.0, EntryKind.COMMAND, proposal.to_text())


def measure_memory(report: Report) -> None:
    """Measure the memory of log entries and of the state, and the snapshot time."""
    log_points, state_points, snapshot_points = [], [], []
    for size in ENTRY_COUNTS:
        tracemalloc.start()
        log = Log(MemoryDisk(), 1_000_000)
        log.append([make_log_entry(index) for index in range(1, size + 1)])
        log_points.append((float(size), float(tracemalloc.get_traced_memory()[0])))
        tracemalloc.stop()
        tracemalloc.start()
        state = State()
        for index in range(1, size + 1):
            message = {"key": f"key-{index}", "value": "v" * 99 + str(index)}
            run_command(state, "bench.put", message, CommandContext(index, 1.0))
        state_points.append((float(size), float(tracemalloc.get_traced_memory()[0])))
        tracemalloc.stop()
        started_s = time.perf_counter()
        Snapshot(size, 1, 1.0, "c", VoterSet(), state.sections).to_text()
        snapshot_points.append((float(size), (time.perf_counter() - started_s) * 1e3))
    bytes_per_entry = log_points[-1][1] / log_points[-1][0]
    report.add("memory of 1,000 log entries", bytes_per_entry * 1e3 / 1e6, "MB")
    report.slope("memory of the log", "entries", "bytes", log_points)
    report.slope("memory of the state", "keys of 100 bytes", "bytes", state_points)
    report.slope("time to write a snapshot's text", "keys", "ms", snapshot_points)


def quantile(values: list[float], fraction: float) -> float:
    """Return a quantile of the values by nearest rank."""
    ordered = sorted(values)
    return ordered[min(int(fraction * len(ordered)), len(ordered) - 1)]


if __name__ == "__main__":
    cyclopts.run(main)
