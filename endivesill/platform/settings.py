"""Reads the settings file that the platform writes for a process."""

from __future__ import annotations

import pathlib
import tomllib
from typing import Any

import attrs

from endivesill import errors
from endivesill.findings import Finding
from endivesill.platform.decode import Reader

__all__ = ["Bounds", "NodeSettings", "check_settings", "read_settings"]

# Offset of the peer port in the range that the platform leaves free.
PEER_PORT_OFFSET = 0


@attrs.frozen
class Bounds:
    """Times and shares that the platform's rules set.

    Attributes:
      grace_s: time from SIGTERM to SIGKILL.
      retry_ratio: repeats allowed for each request to a service.
      retry_slack: repeats allowed besides, in a window.
      retry_window_s: the window in which repeats are counted.
      cold_factor: factor on the rate that a cold target bears.
      cold_slack: requests a second allowed besides.
    """

    grace_s: float
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    cold_factor: float
    cold_slack: float


@attrs.frozen
class NodeSettings:
    """What one process is told at its start.

    Attributes:
      vm: the VM's name.
      serves: what the process serves: `front`, `control` or both.
      ip: the VM's address.
      data_centre: where it is.
      peer_port: port of the system's own protocol, the same on all VMs.
      seeds: HOST of some control VMs.
      is_first_start: whether the whole system starts with empty disks.
      tolerated_losses: how many control VMs may be lost at once.
      data_folder: folder of the disk; empty without one.
      front_address: where callers connect; empty if it serves none.
      ready_address: where readiness is asked.
      control_address: where operators connect.
      list_address: HOST:PORT of the platform's list.
      list_calls_per_s: calls to the list allowed to all VMs together.
      bounds: the bounds of the rules.
    """

    vm: str
    serves: tuple[str, ...]
    ip: str
    data_centre: str
    peer_port: int
    seeds: tuple[str, ...]
    is_first_start: bool
    tolerated_losses: int
    data_folder: str
    front_address: str
    ready_address: str
    control_address: str
    list_address: str
    list_calls_per_s: float
    bounds: Bounds

    @property
    def peer_address(self) -> str:
        """HOST:PORT of this process for its peers."""
        return f"{self.ip}:{self.peer_port}"

    @property
    def seed_peers(self) -> tuple[str, ...]:
        """Peer addresses of the seeds."""
        return tuple(f"{host}:{self.peer_port}" for host in self.seeds)


def read_settings(path: str) -> NodeSettings:
    """Read a settings file.

    Raises:
      FindingsError: it cannot be used; all faults are told together.
    """
    findings, settings = _parse(path)
    if settings is None:
        raise errors.FindingsError(findings)
    return settings


def check_settings(path: str) -> list[Finding]:
    """Return what is wrong with a settings file."""
    return _parse(path)[0]


def _parse(path: str) -> tuple[list[Finding], NodeSettings | None]:
    findings: list[Finding] = []
    try:
        document = tomllib.loads(pathlib.Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        return [Finding(path, 0, str(error))], None
    fields = _Fields(path, Reader(document, ""), findings)
    settings = _settings(fields)
    return findings, None if findings else settings


class _Fields:
    """Reads fields and collects what is wrong with them."""

    def __init__(self, path: str, reader: Reader, findings: list[Finding]) -> None:
        self._path = path
        self._reader = reader
        self._findings = findings

    def take(self, method: str, name: str, otherwise: Any, *default: Any) -> Any:
        """Return a field, or what stands in for one that is at fault."""
        try:
            return getattr(self._reader, method)(name, *default)
        except errors.DocumentError as error:
            self._findings.append(Finding(self._path, 0, str(error).lstrip(".")))
            return otherwise

    def table(self, name: str) -> _Fields:
        """Return the fields of a table."""
        try:
            reader = self._reader.object(name)
        except errors.DocumentError as error:
            self._findings.append(Finding(self._path, 0, str(error).lstrip(".")))
            reader = Reader({}, name)
        return _Fields(self._path, reader, self._findings)


def _settings(fields: _Fields) -> NodeSettings:
    listen = fields.table("listen_addresses")
    cloud = fields.table("cloud")
    seeds = fields.take("texts", "seeds", [])
    control_address = listen.take("text", "control", "", "")
    return NodeSettings(
        vm=fields.take("text", "node_name", ""),
        serves=tuple(fields.take("texts", "serves", [])),
        ip=fields.take("text", "ip", ""),
        data_centre=fields.take("text", "zone", ""),
        peer_port=_first_port(fields),
        seeds=tuple(seed.rpartition(":")[0] for seed in seeds),
        is_first_start=fields.take("flag", "bootstrap", False, False),
        tolerated_losses=fields.table("fault_tolerance").take(
            "integer", "machines", 0, 0
        ),
        data_folder=fields.take("text", "data_directory", "", ""),
        front_address=listen.take("text", "front", "", ""),
        ready_address=listen.take("text", "ready", "", ""),
        control_address=control_address,
        list_address=cloud.take("text", "address", ""),
        list_calls_per_s=cloud.take("number", "rate_per_s", 1.0, 1.0),
        bounds=_bounds(fields.table("bounds")),
    )


def _first_port(fields: _Fields) -> int:
    ports = fields.take("integers", "internal_port_range", [0])
    return ports[0] + PEER_PORT_OFFSET


def _bounds(fields: _Fields) -> Bounds:
    def number(name: str, default: float) -> float:
        return fields.take("number", name, default, default)

    return Bounds(
        grace_s=number("grace_s", 8.0),
        retry_ratio=number("retry_budget_ratio", 0.2),
        retry_slack=number("retry_budget_slack", 10.0),
        retry_window_s=number("budget_window_s", 10.0),
        cold_factor=number("cold_factor", 1.0),
        cold_slack=number("cold_slack", 0.0),
    )
