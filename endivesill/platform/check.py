"""Validates settings and deploy files without starting a process."""

from __future__ import annotations

import pathlib
import tomllib
from typing import Any

from endivesill.findings import Finding
from endivesill.platform.metrics_port import METRICS_PORT
from endivesill.platform.settings import check_settings

__all__ = ["check_deploy", "check_files"]

MODULE = "endivesill.platform"
# Process role by the kind of calls that the platform routes to it.
ROLE_BY_CALLS = {"front": "entry", "control": "control"}


def check_files(settings: str | None, deploy: str | None) -> list[Finding]:
    """Return the findings of a settings file and a deploy file.

    Args:
      settings: path of the settings file of a process; None to skip it.
      deploy: path of the deploy file; None to skip it.
    """
    findings = check_settings(settings) if settings is not None else []
    return findings + (check_deploy(deploy) if deploy is not None else [])


def check_deploy(path: str) -> list[Finding]:
    """Return the findings of a deploy file; empty if it is valid."""
    try:
        document = tomllib.loads(pathlib.Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        return [Finding(path, 0, str(error))]
    texts = [] if isinstance(document.get("build"), str) else ["build: missing"]
    roles = document.get("roles")
    if not isinstance(roles, dict) or not roles:
        return [Finding(path, 0, text) for text in [*texts, "roles: none"]]
    for name, role in roles.items():
        texts += [f"roles.{name}: {text}" for text in _check_role(role)]
    served = [s for role in roles.values() for s in _served_calls(role)]
    texts += [
        f"no role serves {calls!r}" for calls in ROLE_BY_CALLS if calls not in served
    ]
    return [Finding(path, 0, text) for text in texts]


def _served_calls(role: Any) -> list[str]:
    served = role.get("serves", []) if isinstance(role, dict) else []
    return [s for s in served if isinstance(s, str)] if isinstance(served, list) else []


def _check_role(role: Any) -> list[str]:
    if not isinstance(role, dict):
        return ["not a table"]
    texts = []
    arguments = str(role.get("run", "")).split()
    if MODULE not in arguments or arguments[-1] not in ROLE_BY_CALLS.values():
        texts.append(f"run: does not start {MODULE} with a role")
    elif [arguments[-1]] != [ROLE_BY_CALLS.get(calls) for calls in _served_calls(role)]:
        texts.append(f"serves: {arguments[-1]} serves other calls")
    if "share" not in role and "count" not in role:
        texts.append("neither share nor count")
    share = role.get("share", 1.0)
    if not isinstance(share, int | float) or not 0 < share <= 1:
        texts.append(f"share: {share!r} is not over 0 and at most 1")
    metrics = str(role.get("metrics", ""))
    if metrics and metrics.partition("/")[0] != str(METRICS_PORT):
        texts.append(f"metrics: the processes serve them on port {METRICS_PORT}")
    return texts
