"""Replicated state of the fleet: configuration, evacuations and reports of crashes.

The configuration document is stored as the operator sent it, so that it can be read
back unchanged. Only its version and digest are interpreted here.
"""

from __future__ import annotations

import enum
import hashlib
import json
from typing import Any

from endivesill.control import (
    CommandContext,
    CommandHistory,
    State,
    admission,
    command,
    query,
)
from endivesill.peers import Message

__all__ = [
    "CURRENT",
    "OVERTAKEN",
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

# Outcome of an order to which an opposite one may be newer.
OVERTAKEN = "overtaken"

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
      message: `{"data_centre", "evacuated"}`; see also `check_evacuation`.
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


@admission(SET_EVACUATION)
def check_evacuation(
    state: State, message: Message, history: CommandHistory
) -> Message | None:
    """Stop an order that may be older than an opposite one in the log.

    An order has no number of its own. It may reach a VM long after its operator has
    given it up and sent the next one. The VM that receives it adds an index of the log
    that it knew before the order can have been sent: an order in the log up to there is
    older. An order that repeats the last one is appended like any other.

    Args:
      state: the replicated state.
      message: `{"data_centre", "evacuated", "known_index"}`; without an index, from a
        VM of an earlier build, the order is not checked.
      history: the orders in the log.

    Returns:
      None, or `{"outcome", "index"}`: OVERTAKEN and a committed index. An operator that
      still wants the order confirms it by sending it again with this index.
    """
    known_index = message.get("known_index")
    if known_index is None:
        return None
    last = _last_order(state, message["data_centre"], known_index, history)
    if last is None or last == message["evacuated"]:
        return None
    return {"outcome": OVERTAKEN, "index": history.commit_index}


def _last_order(
    state: State, data_centre: str, known_index: int, history: CommandHistory
) -> bool | None:
    """Return whether the last order after an index evacuated; None without one."""
    for message in history.messages_after(known_index):
        if message["data_centre"] == data_centre:
            return message["evacuated"]
    if known_index >= history.base_index:
        return None
    # The log no longer holds all orders after the index. The state has the last order
    # of evacuated data centres, and the last one of all others together.
    section = state.sections.get(EVACUATION_SECTION, {})
    index = section.get("data_centres", {}).get(data_centre)
    is_evacuated = index is not None
    if not is_evacuated:
        index = section.get("index", 0)
    return is_evacuated if index > known_index else None


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
