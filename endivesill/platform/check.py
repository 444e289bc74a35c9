"""Validates settings and deploy files without starting a process."""

from __future__ import annotations

from typing import Any

from endivesill import errors
from endivesill.findings import Finding
from endivesill.metrics_port import METRICS_PORT
from endivesill.platform.settings import check_settings
from endivesill.process_roles import parse_role
from endivesill.toml_file import TomlFile
from endivesill.value_checks import (
    address_problem,
    ip_problem,
    limit_problem,
    port_problem,
)

__all__ = ["check_deploy", "check_files"]

MODULE = "endivesill.platform"
# Process role by the kind of calls that the platform routes to it.
ROLE_BY_CALLS = {"front": "entry", "control": "control"}
LISTENERS = ("front", "ready", "control")


def check_files(settings: str | None, deploy: str | None) -> list[Finding]:
    """Return the findings of a settings file and a deploy file.

    Args:
      settings: path of the settings file of a process; None to skip it.
      deploy: path of the deploy file; None to skip it.
    """
    findings = check_settings(settings) if settings is not None else []
    if settings is not None and not findings:
        findings = _check_values(TomlFile.read(settings))
    return findings + (check_deploy(deploy) if deploy is not None else [])


def _check_values(file: TomlFile) -> list[Finding]:
    """Return the findings about values of settings whose types are right."""
    document = file.document
    listen, cloud = document["listen_addresses"], document["cloud"]
    addresses = [(f"listen_addresses.{n}", listen.get(n)) for n in LISTENERS]
    addresses += [("cloud.address", cloud["address"])]
    addresses += [("seeds", seed) for seed in document["seeds"]]
    limits = [("cloud.rate_per_s", cloud.get("rate_per_s"))]
    for table in ("bounds", "fault_tolerance"):
        limits += [(f"{table}.{name}", v) for name, v in document[table].items()]
    ports = document["internal_port_range"]
    problems = [("ip", ip_problem(document["ip"]))]
    problems += [("internal_port_range", port_problem(port)) for port in ports]
    problems += [(key, address_problem(text)) for key, text in addresses if text]
    problems += [(k, limit_problem(v)) for k, v in limits if type(v) in (int, float)]
    return [file.finding(key, text) for key, text in problems if text]


def check_deploy(path: str) -> list[Finding]:
    """Return the findings of a deploy file; empty if it is valid."""
    try:
        file = TomlFile.read(path)
    except errors.FindingsError as error:
        return list(error.findings)
    is_built = isinstance(file.document.get("build"), str)
    findings = [] if is_built else [file.finding("build", "missing or no string")]
    roles = file.document.get("roles")
    if not isinstance(roles, dict) or not roles:
        return [*findings, file.finding("roles", "none")]
    for name, role in roles.items():
        findings += [file.finding(*f) for f in _check_role(f"roles.{name}", role)]
    served = [s for role in roles.values() for s in _served_calls(role)]
    lacking = [calls for calls in ROLE_BY_CALLS if calls not in served]
    return findings + [file.finding("roles", f"no role serves {c!r}") for c in lacking]


def _served_calls(role: Any) -> list[str]:
    served = role.get("serves", []) if isinstance(role, dict) else []
    return [s for s in served if isinstance(s, str)] if isinstance(served, list) else []


def _check_role(key: str, role: Any) -> list[tuple[str, str]]:
    """Return the key and text of each finding of a role."""
    if not isinstance(role, dict):
        return [(key, "not a table")]
    found = []
    _, _, arguments = str(role.get("run", "")).partition(f" {MODULE} ")
    process = parse_role(arguments.split())
    if process is None:
        found.append((f"{key}.run", f"does not start {MODULE} with a role"))
    elif [process.name] != [ROLE_BY_CALLS.get(calls) for calls in _served_calls(role)]:
        found.append((f"{key}.serves", f"{process.name} serves other calls"))
    if "share" not in role and "count" not in role:
        found.append((key, "neither share nor count"))
    share = role.get("share", 1.0)
    if not isinstance(share, int | float) or not 0 < share <= 1:
        found.append((f"{key}.share", f"{share!r} is not over 0 and at most 1"))
    metrics = str(role.get("metrics", ""))
    if metrics and metrics.partition("/")[0] != str(METRICS_PORT):
        text = f"the processes serve them on port {METRICS_PORT}"
        found.append((f"{key}.metrics", text))
    return found
