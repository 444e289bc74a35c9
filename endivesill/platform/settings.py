"""Reads the settings file that the platform writes for each process."""

from __future__ import annotations

import attrs

from endivesill import errors
from endivesill.findings import Finding
from endivesill.http1 import CallerBudget
from endivesill.rollouts.model import ExposureBounds
from endivesill.timer import TimerService
from endivesill.toml_file import TomlFile, TomlTable

__all__ = ["Bounds", "NodeSettings", "check_settings", "read_settings"]

# Offset of the peer port in the port range that the platform reserves for the
# system's internal use.
PEER_PORT_OFFSET = 0
BYTES_PER_MB = 1_048_576
# Without any read a leader would know no engines.
MIN_LIST_CALLS_PER_S = 0.1


@attrs.frozen
class Bounds:
    """Limits that the platform sets.

    Attributes:
      grace_s: time from SIGTERM to SIGKILL.
      retry_ratio: retries allowed per request to a service.
      retry_slack: additional retries allowed in each window.
      retry_window_s: length of the window in which retries are counted.
      cold_factor: factor on the request rate of a cold target.
      cold_slack: additional requests per second allowed to cold targets.
      exposure: bounds on the requests that a version gets before it is known to be
        good; None where the platform orders no roll-outs.
    """

    grace_s: float
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    cold_factor: float
    cold_slack: float
    exposure: ExposureBounds | None = None


@attrs.frozen
class NodeSettings:
    """Settings of one process.

    Attributes:
      vm: the VM's name.
      serves: what the process serves: `front`, `control` or both.
      ip: the VM's IP address.
      data_centre: the VM's data centre.
      region: region of the data centre; may be empty.
      peer_port: port of the peer protocol, the same on all VMs.
      seeds: hosts of some control VMs, without ports.
      is_first_start: whether the whole system starts with empty disks.
      tolerated_losses: how many control VMs may be lost at the same time.
      data_folder: folder for durable data; empty without a disk.
      front_address: HOST:PORT for callers; empty if the process serves none.
      readiness_address: HOST:PORT for readiness checks.
      control_address: HOST:PORT for operators.
      engine_list_address: HOST:PORT of the platform's engine list.
      engine_list_calls_per_s: call rate permitted to all VMs together.
      bounds: the limits that the platform sets.
      memory_bytes: memory that the process may use; 0 if unknown.
      file_descriptors: descriptors that it may use; 0 if unknown.
    """

    vm: str
    serves: tuple[str, ...]
    ip: str
    data_centre: str
    region: str
    peer_port: int
    seeds: tuple[str, ...]
    is_first_start: bool
    tolerated_losses: int
    data_folder: str
    front_address: str
    readiness_address: str
    control_address: str
    engine_list_address: str
    engine_list_calls_per_s: float
    bounds: Bounds
    memory_bytes: float = 0.0
    file_descriptors: int = 0

    def caller_budget(self, timer: TimerService) -> CallerBudget:
        """Return the bounds on what the process holds for callers."""
        return CallerBudget(timer, self.memory_bytes, self.file_descriptors)

    @property
    def peer_address(self) -> str:
        """HOST:PORT at which peers reach this process."""
        return f"{self.ip}:{self.peer_port}"

    @property
    def seed_peers(self) -> tuple[str, ...]:
        """HOST:PORT of the seeds' peer ports."""
        return tuple(f"{host}:{self.peer_port}" for host in self.seeds)


def read_settings(path: str) -> NodeSettings:
    """Read a settings file.

    Raises:
      FindingsError: the file is invalid; it holds all findings.
    """
    findings, settings = _parse(path)
    if settings is None:
        raise errors.FindingsError(findings)
    return settings


def check_settings(path: str) -> list[Finding]:
    """Return the findings of a settings file; empty if it is valid."""
    return _parse(path)[0]


def _parse(path: str) -> tuple[list[Finding], NodeSettings | None]:
    findings: list[Finding] = []
    try:
        file = TomlFile.read(path)
    except errors.FindingsError as error:
        return list(error.findings), None
    settings = _decode_settings(TomlTable(file, file.document, "", findings))
    return findings, None if findings else settings


def _decode_settings(fields: TomlTable) -> NodeSettings:
    listen = fields.table("listen_addresses")
    cloud = fields.table("cloud")
    limits = fields.table("limits", is_optional=True)
    seeds = fields.read("texts", "seeds", [])
    control_address = listen.read("text", "control", "", "")
    return NodeSettings(
        vm=fields.read("text", "node_name", ""),
        serves=tuple(fields.read("texts", "serves", [])),
        ip=fields.read("text", "ip", ""),
        data_centre=fields.read("text", "zone", ""),
        region=fields.read("text", "region", "", ""),
        peer_port=_peer_port(fields),
        seeds=tuple(seed.rpartition(":")[0] for seed in seeds),
        is_first_start=fields.read("flag", "bootstrap", False, False),
        tolerated_losses=fields.table("fault_tolerance").read(
            "integer", "machines", 0, 0
        ),
        data_folder=fields.read("text", "data_directory", "", ""),
        front_address=listen.read("text", "front", "", ""),
        readiness_address=listen.read("text", "ready", "", ""),
        control_address=control_address,
        engine_list_address=cloud.read("text", "address", ""),
        engine_list_calls_per_s=max(
            cloud.read("number", "rate_per_s", 1.0, 1.0), MIN_LIST_CALLS_PER_S
        ),
        bounds=_decode_bounds(fields.table("bounds")),
        memory_bytes=BYTES_PER_MB * limits.read("number", "memory_mb", 0.0, 0.0),
        file_descriptors=limits.read("integer", "file_descriptors", 0, 0),
    )


def _peer_port(fields: TomlTable) -> int:
    ports = fields.read("integers", "internal_port_range", [0])
    return ports[0] + PEER_PORT_OFFSET


def _decode_bounds(fields: TomlTable) -> Bounds:
    def number(name: str, default: float) -> float:
        return fields.read("number", name, default, default)

    return Bounds(
        grace_s=number("grace_s", 8.0),
        retry_ratio=number("retry_budget_ratio", 0.2),
        retry_slack=number("retry_budget_slack", 10.0),
        retry_window_s=number("budget_window_s", 10.0),
        cold_factor=number("cold_factor", 1.0),
        cold_slack=number("cold_slack", 0.0),
        exposure=_decode_exposure(fields),
    )


def _decode_exposure(fields: TomlTable) -> ExposureBounds | None:
    share = fields.read("number", "exposure_share", None, None)
    if share is None:
        return None
    return ExposureBounds(share, fields.read("number", "exposure_slack", 0.0, 0.0))
