"""Settings of the daemon: one INI file, whose sections the packages declare."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

import attrs

from endivesill import errors, schema
from endivesill.findings import Finding
from endivesill.ini import parse_ini, read_text

__all__ = ["SECTIONS", "Settings", "VmSettings", "read_settings", "settings_section"]

T = TypeVar("T")

SECTIONS: dict[str, type] = {}

ROLES = ("entry", "control")


def settings_section(name: str) -> Callable[[type[T]], type[T]]:
    """Return a decorator that registers an attrs class as the section `[name]`."""

    def register(kind: type[T]) -> type[T]:
        SECTIONS[name] = kind
        return kind

    return register


def _check_roles(roles: tuple[str, ...]) -> str | None:
    unknown = [role for role in roles if role not in ROLES]
    return f"unknown role {', '.join(unknown)}" if unknown else None


def _check_address(address: str) -> str | None:
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        return f"{address!r} is not HOST:PORT"
    return None


def _check_addresses(addresses: tuple[str, ...]) -> str | None:
    problems = [problem for a in addresses if (problem := _check_address(a))]
    return "; ".join(problems) or None


@settings_section("vm")
@attrs.frozen
class VmSettings:
    """Identity, roles and addresses of this VM."""

    name: str = schema.field("name of the VM, unique in the fleet")
    data_centre: str = schema.field("data centre that the VM is in")
    region: str = schema.field("region that the data centre is in")
    roles: tuple[str, ...] = schema.field(
        "entry, control or both", default=("entry",), check=_check_roles
    )
    caller_address: str = schema.field("HOST:PORT for callers", check=_check_address)
    operator_address: str = schema.field(
        "HOST:PORT for operators", check=_check_address
    )
    peer_address: str = schema.field(
        "HOST:PORT for the other processes of the system", check=_check_address
    )
    join_addresses: tuple[str, ...] = schema.field(
        "peer addresses of VMs through which this VM joins the fleet",
        default=(),
        check=_check_addresses,
    )
    control_addresses: tuple[str, ...] = schema.field(
        "peer addresses of the control VMs", default=(), check=_check_addresses
    )
    data_folder: str = schema.field(
        "folder of the durable state; required on control VMs", default=""
    )
    key_file: str = schema.field(
        "file with the keys of the peer and operator ports, one per line; "
        "the first is sent, all are accepted"
    )
    log_file: str = schema.field("file of the structured log", default="")
    balancer_lag_s: float = schema.field(
        "how long the load balancer may still route requests to an unready VM",
        default=3.0,
        minimum=0,
        maximum=600,
    )


@attrs.frozen
class Settings:
    """All sections of one settings file.

    Attributes:
      file: the file's name.
      sections: the section instances by name.
    """

    file: str
    sections: dict[str, object]

    def section(self, kind: type[T]) -> T:
        """Return the section of a class; all defaults if the file lacks it."""
        for value in self.sections.values():
            if isinstance(value, kind):
                return value
        return kind()

    @property
    def vm(self) -> VmSettings:
        """The `[vm]` section."""
        return self.section(VmSettings)


def read_settings(path: str) -> Settings:
    """Read and check a settings file.

    Raises:
      FindingsError: with every finding, each with file and line.
    """
    return parse_settings(read_text(path), path)


def parse_settings(text: str, file: str) -> Settings:
    """Parse and check the text of a settings file.

    Raises:
      FindingsError: with every finding, each with file and line.
    """
    ini_sections, findings = parse_ini(text, file)
    values: dict[str, object] = {}
    for section in ini_sections:
        kind = SECTIONS.get(section.name)
        if kind is None:
            text = f"unknown section [{section.name}]"
            findings.append(Finding(file, section.line, text))
            continue
        value, section_findings = schema.read_section(section, kind)
        findings.extend(section_findings)
        if value is not None:
            values[section.name] = value
    if not findings and "vm" not in values:
        findings.append(Finding(file, 0, "the section [vm] is missing"))
    vm = values.get("vm")
    if isinstance(vm, VmSettings) and "control" in vm.roles and not vm.data_folder:
        findings.append(
            Finding(
                file,
                0,
                "the role control requires the key data_folder",
            )
        )
    if findings:
        raise errors.FindingsError(sorted(findings))
    return Settings(file, values)
