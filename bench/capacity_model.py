"""Estimates for docs/CAPACITY.md: measured slopes extrapolated to the design size."""

from __future__ import annotations

from collections.abc import Callable

from bench.capacity_runs import DESIGN_SIZE, BenchmarkRuns, Row

__all__ = ["ROLES"]

HTTP_HEADER_BYTES = 300.0
DATAGRAM_OVERHEAD_BYTES = 60.0
LOAD_POLL_BYTES = 480.0
CREDIT_RENEWAL_S = 1.5
GROUP_RENEWAL_S = 12.0
ENGINES_PER_GROUP = 5
MAX_CONTROL_CORES = 0.027
MAX_CONTROL_MEMORY_MB = 256.0
MAX_CONTROL_BYTES_PER_S = 3_000.0

RowBuilder = Callable[[BenchmarkRuns], list[Row]]

ROLES: dict[str, RowBuilder] = {}


def _role_table(name: str) -> Callable[[RowBuilder], RowBuilder]:
    def register(builder: RowBuilder) -> RowBuilder:
        ROLES[name] = builder
        return builder

    return register


@_role_table("entry")
def _entry_rows(runs: BenchmarkRuns) -> list[Row]:
    streams = DESIGN_SIZE.entry_streams
    processor = runs.fit("entry", "entry processor")
    decision_us = runs.fit("routing", "routing decision").at(DESIGN_SIZE.targets)
    memory = runs.fit("entry", "entry memory")
    organisations = runs.fit("routing", "length histograms")
    index_ms = runs.fit("entry_tables", "index of a revision")
    changes_per_s = DESIGN_SIZE.changes_per_day / 86_400
    return [
        Row("streams at once", streams, "streams", "arithmetic"),
        Row("tokens", DESIGN_SIZE.entry_tokens_per_s, "1/s", "arithmetic"),
        Row(
            "processor time of streaming",
            processor.at(streams),
            "cores",
            "entry: entry processor",
            1.0,
        ),
        Row(
            "processor time of routing decisions",
            decision_us * DESIGN_SIZE.entry_requests_per_s / 1e6,
            "cores",
            "routing: routing decision",
            MAX_CONTROL_CORES,
        ),
        Row(
            "processor time of new revisions",
            index_ms.at(DESIGN_SIZE.organisations) / 1e3 * changes_per_s,
            "cores",
            "entry_tables: index of a revision",
            MAX_CONTROL_CORES,
        ),
        Row("memory with its streams", memory.at(streams), "MB", "entry: entry memory"),
        Row(
            "memory of length histograms, all organisations",
            organisations.at(DESIGN_SIZE.organisations)
            * DESIGN_SIZE.organisations
            / 1e6,
            "MB",
            "routing: length histograms",
            MAX_CONTROL_MEMORY_MB,
        ),
    ]


@_role_table("configuration watcher")
def _watcher_rows(runs: BenchmarkRuns) -> list[Row]:
    sent = "bytes of the lease and deltas at rest"
    processor = "processor time of the lease at rest"
    memory = "memory of a control VM that is an entry"
    return [
        Row(
            "bytes of lease and deltas at rest",
            runs.extrapolate("configuration", sent, DESIGN_SIZE.nodes),
            "B/s",
            f"configuration: {sent}",
            MAX_CONTROL_BYTES_PER_S,
        ),
        Row(
            "processor time of the lease",
            runs.extrapolate("configuration", processor, DESIGN_SIZE.nodes),
            "cores",
            f"configuration: {processor}",
            MAX_CONTROL_CORES,
        ),
        Row(
            "memory with the whole configuration",
            runs.extrapolate("configuration", memory, DESIGN_SIZE.organisations),
            "MB",
            f"configuration: {memory}",
            MAX_CONTROL_MEMORY_MB,
        ),
    ]


@_role_table("membership member")
def _member_rows(runs: BenchmarkRuns) -> list[Row]:
    def at_design_size(name: str) -> float:
        return runs.extrapolate("membership", name, DESIGN_SIZE.nodes)

    return [
        Row("state", float(DESIGN_SIZE.nodes), "members", "arithmetic"),
        Row(
            "datagrams sent",
            at_design_size("membership datagrams sent"),
            "1/s",
            "membership: membership datagrams sent",
        ),
        Row(
            "bytes sent",
            at_design_size("membership bytes sent"),
            "B/s",
            "membership: membership bytes sent",
            MAX_CONTROL_BYTES_PER_S,
        ),
        Row(
            "processor time",
            at_design_size("membership processor time") / 100,
            "cores",
            "membership: membership processor time",
            MAX_CONTROL_CORES,
        ),
    ]


def _pair_bytes_per_s(runs: BenchmarkRuns, targets: float) -> float:
    """Return the credit traffic of an entry with one owner, with HTTP headers."""
    bytes_per_s = runs.fit("credits", "credit bytes of an entry and a home")
    return bytes_per_s.at(targets) + HTTP_HEADER_BYTES / CREDIT_RENEWAL_S


def _group_bytes_per_s(runs: BenchmarkRuns) -> float:
    """Return the credit traffic of an entry with the owner of a group, by datagram."""
    bytes_per_s = runs.fit("credits", "credit bytes of an entry and a home")
    exchange_bytes = (
        bytes_per_s.at(ENGINES_PER_GROUP) * CREDIT_RENEWAL_S
        + 2 * DATAGRAM_OVERHEAD_BYTES
    )
    return exchange_bytes / GROUP_RENEWAL_S


def _node_group_bytes_per_s(runs: BenchmarkRuns) -> float:
    """Return what a node sends as credit client and as owner of a group."""
    groups = DESIGN_SIZE.targets / ENGINES_PER_GROUP
    client_entries = DESIGN_SIZE.models * DESIGN_SIZE.entries / groups
    return _group_bytes_per_s(runs) * (DESIGN_SIZE.models + client_entries) / 2


@_role_table("target home")
def _owner_rows(runs: BenchmarkRuns) -> list[Row]:
    owned_targets = DESIGN_SIZE.targets_per_entry
    peer_owners = DESIGN_SIZE.entries_per_data_centre - 1
    source = "credits: credit bytes of an entry and a home"
    pair_bytes_per_s = _pair_bytes_per_s(runs, owned_targets)
    return [
        Row("state", owned_targets, "targets", "arithmetic"),
        Row("bytes of one entry and one home", pair_bytes_per_s, "B/s", source),
        Row(
            "today: an entry with every home of its data centre, all models busy",
            pair_bytes_per_s * peer_owners,
            "B/s",
            source,
            MAX_CONTROL_BYTES_PER_S,
        ),
        Row(
            "groups of 5 engines, datagrams, asked every 12 s: one entry and one home",
            _group_bytes_per_s(runs),
            "B/s",
            source,
        ),
        Row(
            "the same: sent by a node as borrower of 16 models and as home",
            _node_group_bytes_per_s(runs),
            "B/s",
            source,
            MAX_CONTROL_BYTES_PER_S,
        ),
        Row("load reports polled", owned_targets, "1/s", "arithmetic"),
    ]


@_role_table("sum of an entry node")
def _entry_node_rows(runs: BenchmarkRuns) -> list[Row]:
    lease_bytes_per_s = runs.extrapolate(
        "configuration", "bytes of the lease and deltas at rest", DESIGN_SIZE.nodes
    )
    membership_bytes_per_s = runs.extrapolate(
        "membership", "membership bytes sent", DESIGN_SIZE.nodes
    )
    poll_bytes_per_s = DESIGN_SIZE.targets_per_entry * LOAD_POLL_BYTES
    peer_owners = DESIGN_SIZE.entries_per_data_centre - 1
    current_bytes_per_s = (
        lease_bytes_per_s
        + membership_bytes_per_s
        + poll_bytes_per_s
        + peer_owners * _pair_bytes_per_s(runs, DESIGN_SIZE.targets_per_entry)
    )
    grouped_bytes_per_s = (
        lease_bytes_per_s + membership_bytes_per_s + _node_group_bytes_per_s(runs)
    )
    processor = runs.extrapolate(
        "configuration", "processor time of the lease at rest", DESIGN_SIZE.nodes
    )
    processor += (
        runs.extrapolate("membership", "membership processor time", DESIGN_SIZE.nodes)
        / 100
    )
    credit_cores = runs.fit("credits", "credit processor of an entry and a home")
    group_cores = (
        credit_cores.at(ENGINES_PER_GROUP) * CREDIT_RENEWAL_S / GROUP_RENEWAL_S
    )
    processor += group_cores * DESIGN_SIZE.models * 2
    return [
        Row(
            "bytes, today's mechanisms",
            current_bytes_per_s,
            "B/s",
            "the rows above",
            MAX_CONTROL_BYTES_PER_S,
        ),
        Row(
            "bytes, groups over datagrams and reports along with the streams",
            grouped_bytes_per_s,
            "B/s",
            "the rows above",
            MAX_CONTROL_BYTES_PER_S,
        ),
        Row(
            "processor time of the same",
            processor,
            "cores",
            "configuration, membership, credits",
            MAX_CONTROL_CORES,
        ),
    ]


@_role_table("control replica")
def _control_replica_rows(runs: BenchmarkRuns) -> list[Row]:
    idle = runs.fit("control", "idle bytes of a leader")
    processor = runs.fit("control", "idle processor of a leader")
    log = runs.fit("control", "memory of the log")
    state = runs.fit("control", "memory of the state")
    probe_bytes_per_s = runs.at_smallest_size("configuration", "bytes at a replica")
    changes_per_s = DESIGN_SIZE.changes_per_day / 86_400
    return [
        Row(
            "idle bytes of the leader of 5",
            idle.at(5),
            "B/s",
            "control: idle bytes of a leader",
            MAX_CONTROL_BYTES_PER_S,
        ),
        Row(
            "idle processor time of the leader of 5",
            processor.at(5),
            "cores",
            "control: idle processor of a leader",
            MAX_CONTROL_CORES,
        ),
        Row(
            "bytes of configuration leases, one root for each data centre",
            probe_bytes_per_s * DESIGN_SIZE.data_centres,
            "B/s",
            "configuration: bytes at a replica, smallest size (one root)",
            MAX_CONTROL_BYTES_PER_S,
        ),
        Row("changes of configuration", changes_per_s, "1/s", "arithmetic"),
        Row(
            "memory of 10,000 log entries",
            log.at(10_000) / 1e6,
            "MB",
            "control: memory of the log",
        ),
        Row(
            "memory of 100,000 kept keys",
            state.at(100_000) / 1e6,
            "MB",
            "control: memory of the state",
            MAX_CONTROL_MEMORY_MB,
        ),
    ]


@_role_table("claims of idempotency keys")
def _claim_rows(runs: BenchmarkRuns) -> list[Row]:
    commits_per_s = runs.result("control", "commits of 32 clients")
    needed_commits_per_s = DESIGN_SIZE.requests_per_s * 0.1 * 2
    groups = -(-needed_commits_per_s // commits_per_s)
    return [
        Row(
            "commits, if one request in ten carries a key",
            needed_commits_per_s,
            "1/s",
            "arithmetic",
        ),
        Row(
            "commits a second of one group, 32 clients",
            commits_per_s,
            "1/s",
            "control: commits of 32 clients",
        ),
        Row("groups needed on such disks and cores", groups, "groups", "arithmetic"),
    ]


@_role_table("orderer")
def _orderer_rows(runs: BenchmarkRuns) -> list[Row]:
    per_data_centre = DESIGN_SIZE.targets / DESIGN_SIZE.data_centres
    executed = runs.result("membership", "orders run (of")
    return [
        Row("state", per_data_centre, "engines", "arithmetic"),
        Row("orders run in the trials", executed, "orders", "membership: orders run"),
        Row(
            "orders run twice in the trials",
            runs.result("membership", "orders run twice"),
            "orders",
            "membership: orders run twice",
            0.0,
        ),
        Row("lease renewals, all orderers", 8 / 3, "commits/s", "arithmetic"),
    ]
