"""Replicated state of the fleet: configuration, evacuations and reports of crashes.

The configuration document is stored as the operator sent it, so that it can be read
back unchanged. Only its version and digest are interpreted here.
"""

from __future__ import annotations

import enum
import hashlib
import json
from typing import Any

from endivesill.control import CommandContext, State, command, query
from endivesill.peers import Message

__all__ = [
    "CURRENT",
    "REPLACE",
    "SET_EVACUATION",
    "STORE_CRASHES",
    "ReplaceOutcome",
    "current_configuration",
    "document_digest",
    "evacuations",
    "stored_crashes",
]

REPLACE = "fleet.replace_configuration"
SET_EVACUATION = "evacuation.set"
STORE_CRASHES = "fleet.store_crashes"
CURRENT = "fleet.current_configuration"

CONFIGURATION_SECTION = "fleet_configuration"
EVACUATION_SECTION = "evacuations"
CRASHES_SECTION = "crashes"


class ReplaceOutcome(enum.Enum):
    """Outcome of an operator's request to replace the configuration."""

    IN_FORCE = "in-force"
    HELD_ALREADY = "held-already"
    SUPERSEDED = "superseded"
    CONFLICT = "conflict"


def document_digest(document: Any) -> str:
    """Return a SHA-256 digest that is equal for equal JSON values."""
    text = json.dumps(document, sort_keys=True, separators=(",", ":"))
    return hashlib.sha256(text.encode()).hexdigest()


@command(REPLACE)
def replace_configuration(
    state: State, message: Message, context: CommandContext
) -> Message:
    """Replace the configuration if the version is higher than the current one.

    Args:
      state: the replicated state.
      message: `{"version", "digest", "document"}`.
      context: the position of the command in the log.

    Returns:
      `{"outcome", "version"}`: a `ReplaceOutcome` and the version in force.
    """
    section = state.section(CONFIGURATION_SECTION)
    current_version = section.get("version")
    if current_version is None or message["version"] > current_version:
        section.update(message, index=context.index)
        outcome = ReplaceOutcome.IN_FORCE
    elif message["version"] < current_version:
        outcome = ReplaceOutcome.SUPERSEDED
    elif message["digest"] == section["digest"]:
        outcome = ReplaceOutcome.HELD_ALREADY
    else:
        outcome = ReplaceOutcome.CONFLICT
    return {"outcome": outcome.value, "version": section["version"]}


@command(SET_EVACUATION)
def set_evacuation(state: State, message: Message, context: CommandContext) -> Message:
    """Evacuate a data centre or end its evacuation.

    Args:
      state: the replicated state.
      message: `{"data_centre", "evacuated"}`.
      context: the position of the command in the log.
    """
    section = state.section(EVACUATION_SECTION)
    evacuated = section.setdefault("data_centres", {})
    if message["evacuated"]:
        evacuated[message["data_centre"]] = context.index
    else:
        evacuated.pop(message["data_centre"], None)
    section["index"] = context.index
    return {}


@command(STORE_CRASHES)
def store_crashes(state: State, message: Message, context: CommandContext) -> Message:
    """Replace the stored reports of crashes.

    Args:
      state: the replicated state.
      message: `{"rows"}`, rows of `CrashEvidence`.
      context: the position of the command in the log.
    """
    section = state.section(CRASHES_SECTION)
    section.update(rows=message["rows"], index=context.index)
    return {}


def stored_crashes(state: State) -> tuple[int, list[list[Any]]]:
    """Return the log index of the last change and the rows of the reports."""
    section = state.section(CRASHES_SECTION)
    return section.get("index", 0), section.get("rows", [])


def current_configuration(state: State) -> Message | None:
    """Return `{"version", "digest", "document", "index"}`, or None without one."""
    return state.section(CONFIGURATION_SECTION) or None


def evacuations(state: State) -> tuple[int, list[str]]:
    """Return the log index of the last change and the evacuated data centres."""
    section = state.section(EVACUATION_SECTION)
    return section.get("index", 0), sorted(section.get("data_centres", {}))


@query(CURRENT)
def query_current(state: State, message: Message) -> Message:
    """Return the configuration in force; an empty object without one."""
    return current_configuration(state) or {}
