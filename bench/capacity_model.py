"""The arithmetic of docs/CAPACITY.md: measured slopes at the target size."""

from __future__ import annotations

from collections.abc import Callable

from bench.capacity_runs import TARGET, Measured, Row

__all__ = ["ROLES"]

HTTP_HEADER_BYTES = 300.0
DATAGRAM_OVERHEAD_BYTES = 60.0
POLL_BYTES = 480.0
RENEW_S = 1.5
CALM_RENEW_S = 12.0
ENGINES_OF_A_GROUP = 5
CONTROL_CORE_SHARE = 0.027
CONTROL_MEMORY_MB = 256.0
CONTROL_BYTES_PER_S = 3_000.0

Maker = Callable[[Measured], list[Row]]

ROLES: dict[str, Maker] = {}


def _role(name: str) -> Callable[[Maker], Maker]:
    def register(maker: Maker) -> Maker:
        ROLES[name] = maker
        return maker

    return register


@_role("entry")
def _entry(measured: Measured) -> list[Row]:
    streams = TARGET.entry_streams
    processor = measured.fit("entry", "entry processor")
    decision_us = measured.fit("routing", "routing decision").at(TARGET.targets)
    memory = measured.fit("entry", "entry memory")
    organisations = measured.fit("routing", "length histograms")
    index_ms = measured.fit("entry_tables", "index of a revision")
    changes_per_s = TARGET.changes_per_day / 86_400
    return [
        Row("streams at once", streams, "streams", "arithmetic"),
        Row("tokens", TARGET.entry_tokens_per_s, "1/s", "arithmetic"),
        Row(
            "processor time of streaming",
            processor.at(streams),
            "cores",
            "entry: entry processor",
            1.0,
        ),
        Row(
            "processor time of routing decisions",
            decision_us * TARGET.entry_requests_per_s / 1e6,
            "cores",
            "routing: routing decision",
            CONTROL_CORE_SHARE,
        ),
        Row(
            "processor time of new revisions",
            index_ms.at(TARGET.organisations) / 1e3 * changes_per_s,
            "cores",
            "entry_tables: index of a revision",
            CONTROL_CORE_SHARE,
        ),
        Row("memory with its streams", memory.at(streams), "MB", "entry: entry memory"),
        Row(
            "memory of length histograms, all organisations",
            organisations.at(TARGET.organisations) * TARGET.organisations / 1e6,
            "MB",
            "routing: length histograms",
            CONTROL_MEMORY_MB,
        ),
    ]


@_role("configuration watcher")
def _watcher(measured: Measured) -> list[Row]:
    sent = "bytes of the lease and deltas at rest"
    processor = "processor time of the lease at rest"
    memory = "memory of a control VM that is an entry"
    return [
        Row(
            "bytes of lease and deltas at rest",
            measured.at("configuration", sent, TARGET.nodes),
            "B/s",
            f"configuration: {sent}",
            CONTROL_BYTES_PER_S,
        ),
        Row(
            "processor time of the lease",
            measured.at("configuration", processor, TARGET.nodes),
            "cores",
            f"configuration: {processor}",
            CONTROL_CORE_SHARE,
        ),
        Row(
            "memory with the whole configuration",
            measured.at("configuration", memory, TARGET.organisations),
            "MB",
            f"configuration: {memory}",
            CONTROL_MEMORY_MB,
        ),
    ]


@_role("membership member")
def _member(measured: Measured) -> list[Row]:
    def figure(name: str) -> float:
        return measured.at("membership", name, TARGET.nodes)

    return [
        Row("state", float(TARGET.nodes), "members", "arithmetic"),
        Row(
            "datagrams sent",
            figure("membership datagrams sent"),
            "1/s",
            "membership: membership datagrams sent",
        ),
        Row(
            "bytes sent",
            figure("membership bytes sent"),
            "B/s",
            "membership: membership bytes sent",
            CONTROL_BYTES_PER_S,
        ),
        Row(
            "processor time",
            figure("membership processor time") / 100,
            "cores",
            "membership: membership processor time",
            CONTROL_CORE_SHARE,
        ),
    ]


def _pair_bytes(measured: Measured, targets: float) -> float:
    """Return the bytes of an entry and a home, with HTTP headers."""
    pair = measured.fit("credits", "credit bytes of an entry and a home")
    return pair.at(targets) + HTTP_HEADER_BYTES / RENEW_S


def _group_bytes(measured: Measured) -> float:
    """Return the bytes of an entry and a group's home over datagrams."""
    pair = measured.fit("credits", "credit bytes of an entry and a home")
    an_exchange = pair.at(ENGINES_OF_A_GROUP) * RENEW_S + 2 * DATAGRAM_OVERHEAD_BYTES
    return an_exchange / CALM_RENEW_S


def _grouped_node_bytes(measured: Measured) -> float:
    """Return what a node sends as borrower and as home of a group."""
    groups = TARGET.targets / ENGINES_OF_A_GROUP
    borrowers = TARGET.models * TARGET.entries / groups
    return _group_bytes(measured) * (TARGET.models + borrowers) / 2


@_role("target home")
def _home(measured: Measured) -> list[Row]:
    shared = TARGET.targets_per_home
    homes = TARGET.entries_per_data_centre - 1
    source = "credits: credit bytes of an entry and a home"
    pair = _pair_bytes(measured, shared)
    return [
        Row("state", shared, "targets", "arithmetic"),
        Row("bytes of one entry and one home", pair, "B/s", source),
        Row(
            "today: an entry with every home of its data centre, all models busy",
            pair * homes,
            "B/s",
            source,
            CONTROL_BYTES_PER_S,
        ),
        Row(
            "groups of 5 engines, datagrams, asked every 12 s: one entry and one home",
            _group_bytes(measured),
            "B/s",
            source,
        ),
        Row(
            "the same: sent by a node as borrower of 16 models and as home",
            _grouped_node_bytes(measured),
            "B/s",
            source,
            CONTROL_BYTES_PER_S,
        ),
        Row("load reports polled", shared, "1/s", "arithmetic"),
    ]


@_role("sum of an entry node")
def _sum(measured: Measured) -> list[Row]:
    lease = measured.at(
        "configuration", "bytes of the lease and deltas at rest", TARGET.nodes
    )
    members = measured.at("membership", "membership bytes sent", TARGET.nodes)
    polls = TARGET.targets_per_home * POLL_BYTES
    homes = TARGET.entries_per_data_centre - 1
    today = (
        lease + members + polls + homes * _pair_bytes(measured, TARGET.targets_per_home)
    )
    built = lease + members + _grouped_node_bytes(measured)
    processor = measured.at(
        "configuration", "processor time of the lease at rest", TARGET.nodes
    )
    processor += (
        measured.at("membership", "membership processor time", TARGET.nodes) / 100
    )
    pair = measured.fit("credits", "credit processor of an entry and a home")
    group = pair.at(ENGINES_OF_A_GROUP) * RENEW_S / CALM_RENEW_S
    processor += group * TARGET.models * 2
    return [
        Row(
            "bytes, today's mechanisms",
            today,
            "B/s",
            "the rows above",
            CONTROL_BYTES_PER_S,
        ),
        Row(
            "bytes, groups over datagrams and reports along with the streams",
            built,
            "B/s",
            "the rows above",
            CONTROL_BYTES_PER_S,
        ),
        Row(
            "processor time of the same",
            processor,
            "cores",
            "configuration, membership, credits",
            CONTROL_CORE_SHARE,
        ),
    ]


@_role("control replica")
def _replica(measured: Measured) -> list[Row]:
    idle = measured.fit("control", "idle bytes of a leader")
    processor = measured.fit("control", "idle processor of a leader")
    log = measured.fit("control", "memory of the log")
    state = measured.fit("control", "memory of the state")
    probes = measured.first("configuration", "bytes at a replica")
    changes_per_s = TARGET.changes_per_day / 86_400
    return [
        Row(
            "idle bytes of the leader of 5",
            idle.at(5),
            "B/s",
            "control: idle bytes of a leader",
            CONTROL_BYTES_PER_S,
        ),
        Row(
            "idle processor time of the leader of 5",
            processor.at(5),
            "cores",
            "control: idle processor of a leader",
            CONTROL_CORE_SHARE,
        ),
        Row(
            "bytes of configuration leases, one root for each data centre",
            probes * TARGET.data_centres,
            "B/s",
            "configuration: bytes at a replica, smallest size (one root)",
            CONTROL_BYTES_PER_S,
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
            CONTROL_MEMORY_MB,
        ),
    ]


@_role("claims of idempotency keys")
def _claims(measured: Measured) -> list[Row]:
    rate = measured.result("control", "commits of 32 clients")
    wanted = TARGET.requests_per_s * 0.1 * 2
    groups = -(-wanted // rate)
    return [
        Row(
            "commits, if one request in ten carries a key", wanted, "1/s", "arithmetic"
        ),
        Row(
            "commits a second of one group, 32 clients",
            rate,
            "1/s",
            "control: commits of 32 clients",
        ),
        Row("groups needed on such disks and cores", groups, "groups", "arithmetic"),
    ]


@_role("orderer")
def _orderer(measured: Measured) -> list[Row]:
    per_data_centre = TARGET.targets / TARGET.data_centres
    ran = measured.result("membership", "orders run (of")
    return [
        Row("state", per_data_centre, "engines", "arithmetic"),
        Row("orders run in the trials", ran, "orders", "membership: orders run"),
        Row(
            "orders run twice in the trials",
            measured.result("membership", "orders run twice"),
            "orders",
            "membership: orders run twice",
            0.0,
        ),
        Row("lease renewals, all orderers", 8 / 3, "commits/s", "arithmetic"),
    ]
