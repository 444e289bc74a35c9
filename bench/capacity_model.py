"""The arithmetic of docs/CAPACITY.md: measured slopes at the target size."""

from __future__ import annotations

import json
import pathlib
from collections.abc import Callable
from typing import Any

import attrs

from bench.fit import Fit, fit_line

__all__ = ["ROLES", "TARGET", "Measured", "Row", "TargetSize"]

HTTP_HEADER_BYTES = 300.0
CONTROL_CORE_SHARE = 0.027
CONTROL_MEMORY_MB = 256.0
CONTROL_BYTES_PER_S = 3_000.0

Maker = Callable[["Measured"], list["Row"]]

ROLES: dict[str, Maker] = {}


@attrs.frozen
class TargetSize:
    """The size that the users expect within two years."""

    nodes: int = 560
    control_vms: int = 12
    targets: int = 2400
    requests_per_s: float = 13_000.0
    tokens_per_s: float = 5_400_000.0
    organisations: int = 19_000
    models: int = 16
    regions: int = 4
    data_centres: int = 8
    changes_per_day: int = 1800
    failures_per_day: int = 18
    restarts_per_day: int = 170
    tokens_per_stream_s: float = 20.0

    @property
    def entries(self) -> int:
        """Nodes that are not set aside for control."""
        return self.nodes - self.control_vms

    @property
    def entry_tokens_per_s(self) -> float:
        """Tokens a second through one entry."""
        return self.tokens_per_s / self.entries

    @property
    def entry_requests_per_s(self) -> float:
        """Requests a second at one entry."""
        return self.requests_per_s / self.entries

    @property
    def entry_streams(self) -> float:
        """Streams at once at one entry."""
        return self.entry_tokens_per_s / self.tokens_per_stream_s

    @property
    def targets_per_home(self) -> float:
        """Targets that one entry is home of."""
        return self.targets / self.entries

    @property
    def entries_per_data_centre(self) -> float:
        """Entries in one data centre."""
        return self.entries / self.data_centres


TARGET = TargetSize()


@attrs.frozen
class Row:
    """One line of a role's table.

    Attributes:
      quantity: what is worked out.
      value: the figure at the target size.
      unit: its unit.
      source: the bench and slope it rests on.
      bound: the users' bound; None where there is none.
    """

    quantity: str
    value: float
    unit: str
    source: str
    bound: float | None = None

    @property
    def carried(self) -> str:
        """Whether today's mechanism stays within the bound."""
        if self.bound is None:
            return ""
        return "yes" if self.value <= self.bound else "**no**"


class Measured:
    """The benches' runs.

    Args:
      folder: the JSON files, one a bench.

    Raises:
      OSError: a file cannot be read.
      ValueError: a file is not the JSON of a run.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._runs: dict[str, dict[str, Any]] = {}
        for path in sorted(folder.glob("*.json")):
            document = json.loads(path.read_text(encoding="utf-8"))
            self._runs[document["bench"]] = document

    def runs(self) -> dict[str, dict[str, Any]]:
        """Return the runs by bench."""
        return self._runs

    def fit(self, bench: str, name: str) -> Fit:
        """Return the line through a slope's points.

        Raises:
          KeyError: there is no such slope.
        """
        for slope in self._runs[bench]["slopes"]:
            if slope["name"] == name:
                return fit_line(slope["points"])
        raise KeyError(f"bench {bench} has no slope {name!r}")

    def result(self, bench: str, name: str) -> float:
        """Return a figure by the beginning of its name.

        Raises:
          KeyError: there is no such figure.
        """
        for result in self._runs[bench]["results"]:
            if result["name"].startswith(name):
                return result["value"]
        raise KeyError(f"bench {bench} has no figure {name!r}")


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
    sent = measured.fit("configuration", "bytes of the lease and deltas at rest")
    processor = measured.fit("configuration", "processor time of the lease at rest")
    memory = measured.fit("configuration", "memory of a control VM that is an entry")
    return [
        Row(
            "bytes of lease and deltas at rest",
            sent.at(TARGET.nodes),
            "B/s",
            "configuration: bytes of the lease and deltas at rest",
            CONTROL_BYTES_PER_S,
        ),
        Row(
            "processor time of the lease",
            processor.at(TARGET.nodes),
            "cores",
            "configuration: processor time of the lease at rest",
            CONTROL_CORE_SHARE,
        ),
        Row(
            "memory with the whole configuration",
            memory.at(TARGET.organisations),
            "MB",
            "configuration: memory of a control VM that is an entry",
            CONTROL_MEMORY_MB,
        ),
    ]


@_role("membership member")
def _member(measured: Measured) -> list[Row]:
    sent = measured.fit("membership", "membership bytes sent")
    datagrams = measured.fit("membership", "membership datagrams sent")
    processor = measured.fit("membership", "membership processor time")
    return [
        Row("state", float(TARGET.nodes), "members", "arithmetic"),
        Row(
            "datagrams sent",
            datagrams.at(TARGET.nodes),
            "1/s",
            "membership: membership datagrams sent",
        ),
        Row(
            "bytes sent",
            sent.at(TARGET.nodes),
            "B/s",
            "membership: membership bytes sent",
            CONTROL_BYTES_PER_S,
        ),
        Row(
            "processor time",
            processor.at(TARGET.nodes) / 100,
            "cores",
            "membership: membership processor time",
            CONTROL_CORE_SHARE,
        ),
    ]


@_role("target home")
def _home(measured: Measured) -> list[Row]:
    pair = measured.fit("credits", "credit bytes of an entry and a home")
    messages = measured.fit("credits", "credit messages of an entry and a home")
    shared = TARGET.targets_per_home
    exchanges_per_s = messages.at(shared) / 2
    with_headers = pair.at(shared) + exchanges_per_s * HTTP_HEADER_BYTES
    homes = TARGET.entries_per_data_centre - 1
    grouped = pair.at(TARGET.targets / TARGET.data_centres / TARGET.models)
    grouped += exchanges_per_s * HTTP_HEADER_BYTES
    source = "credits: credit bytes of an entry and a home"
    return [
        Row("state", shared, "targets", "arithmetic"),
        Row("bytes of one entry and one home", with_headers, "B/s", source),
        Row(
            "bytes of an entry with every home of its data centre, all models busy",
            with_headers * homes,
            "B/s",
            source,
            CONTROL_BYTES_PER_S,
        ),
        Row(
            "the same with one home for a model and data centre",
            grouped * TARGET.models,
            "B/s",
            source,
            CONTROL_BYTES_PER_S,
        ),
        Row(
            "the same over datagrams, asked for every 8 s of a 24 s loan",
            (pair.at(18.75) * TARGET.models) * 3 / 8 + TARGET.models / 8 * 2 * 60,
            "B/s",
            source,
            CONTROL_BYTES_PER_S,
        ),
        Row(
            "polls of load reports and cache events",
            shared * (1 / 2 + 1 / 4),
            "1/s",
            "arithmetic on the monitor's periods",
        ),
    ]


@_role("control replica")
def _replica(measured: Measured) -> list[Row]:
    idle = measured.fit("control", "idle bytes of a leader")
    processor = measured.fit("control", "idle processor of a leader")
    log = measured.fit("control", "memory of the log")
    state = measured.fit("control", "memory of the state")
    probes = measured.fit("configuration", "bytes at a replica")
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
            "bytes of configuration leases at a replica",
            probes.at(TARGET.nodes),
            "B/s",
            "configuration: bytes at a replica",
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
