"""Replicated state of roll-outs: the newest one of each service."""

from __future__ import annotations

import enum
from typing import Any

from endivesill.control import CommandContext, State, command, query
from endivesill.peers import Message
from endivesill.rollouts.model import Phase, Rollout, RolloutState

__all__ = [
    "CHANGE",
    "CURRENT",
    "REPEAT_S",
    "RESERVE",
    "START",
    "StartOutcome",
    "rollouts",
]

START = "rollout.start"
CHANGE = "rollout.change"
RESERVE = "rollout.reserve"
CURRENT = "rollout.current"

SECTION = "rollouts"
# An order that reaches a VM this long after its roll-out has ended may be a copy of the
# first one; callers send an order again for a few seconds.
REPEAT_S = 30.0
# Services come and go with configurations; the roll-outs that ended first are dropped.
MAX_ROWS = 1_024
# Engines of versions that were taken back before the last ones are long gone.
MAX_TAKEN_BACK = 8


class StartOutcome(enum.Enum):
    """Outcome of an order to start a roll-out."""

    STARTED = "started"
    HELD_ALREADY = "held-already"
    CONFLICT = "conflict"


@command(START)
def start_rollout(state: State, message: Message, context: CommandContext) -> Message:
    """Start a roll-out unless the service has one.

    Args:
      state: the replicated state.
      message: `{"service", "version", "duration_s"}`.
      context: the position of the command in the log.

    Returns:
      `{"outcome", "version"}`: a `StartOutcome` and the version of the service's
      roll-out.
    """
    rows = _rows(state)
    row = rows.get(message["service"])
    if row is not None and _is_repeat(row, message, context.time_s):
        outcome = StartOutcome.HELD_ALREADY
    elif row is not None and row["state"] == RolloutState.RUNNING.value:
        outcome = StartOutcome.CONFLICT
    else:
        outcome = StartOutcome.STARTED
        taken_back = _taken_back(row, message["version"])
        # The newest start comes last.
        rows.pop(message["service"], None)
        rows[message["service"]] = {
            "version": message["version"],
            "duration_s": message["duration_s"],
            "state": RolloutState.RUNNING.value,
            "phase": Phase.CANARY.value,
            "index": context.index,
            "started_s": context.time_s,
            "ended_s": 0.0,
            "reserved_requests": 0,
            "requests": 0,
            "digest": None,
            "reason": "started",
            "taken_back": taken_back,
        }
        _drop_oldest(rows)
    version = rows[message["service"]]["version"]
    return {"outcome": outcome.value, "version": version}


def _taken_back(row: Message | None, version: str) -> list[str]:
    """Return the versions that get no requests besides the one that is started."""
    if row is None:
        return []
    versions = list(row["taken_back"])
    if row["state"] == RolloutState.ROLLED_BACK.value:
        versions.append(row["version"])
    return [name for name in versions if name != version][-MAX_TAKEN_BACK:]


def _is_repeat(row: Message, message: Message, time_s: float) -> bool:
    """Return whether an order is the one that a row comes from, sent again."""
    if row["version"] != message["version"]:
        return False
    if row["state"] == RolloutState.RUNNING.value:
        return row["duration_s"] == message["duration_s"]
    if row["state"] == RolloutState.COMPLETED.value:
        return True
    return time_s - row["ended_s"] < REPEAT_S


def _drop_oldest(rows: dict[str, Message]) -> None:
    for service in list(rows):
        if len(rows) <= MAX_ROWS:
            return
        if rows[service]["state"] != RolloutState.RUNNING.value:
            del rows[service]


@command(CHANGE)
def change_rollout(state: State, message: Message, context: CommandContext) -> Message:
    """Go on to the shift, or end a roll-out.

    Args:
      state: the replicated state.
      message: `{"service", "index", "state", "phase", "reason"}`; the index is that of
        the start, so that a change of an earlier roll-out has no effect.
      context: the position of the command in the log.

    Returns:
      `{"changed"}`.
    """
    row = _running_row(state, message)
    if row is None:
        return {"changed": False}
    is_shifted = row["phase"] == Phase.SHIFT.value
    if message["state"] != RolloutState.RUNNING.value:
        row["ended_s"] = context.time_s
    elif is_shifted:
        return {"changed": False}
    if not is_shifted:
        row["phase"] = message["phase"]
    row.update(state=message["state"], reason=message["reason"])
    return {"changed": True}


@command(RESERVE)
def reserve_exposure(
    state: State, message: Message, context: CommandContext
) -> Message:
    """Record that canaries may get requests up to a number.

    Args:
      state: the replicated state.
      message: `{"service", "index", "reserved_requests", "requests", "digest"}`.
      context: the position of the command in the log.
    """
    row = _running_row(state, message)
    if row is not None:
        for name in ("reserved_requests", "requests"):
            row[name] = max(row[name], message[name])
        row["digest"] = message["digest"]
    return {}


@query(CURRENT)
def query_current(state: State, message: Message) -> Message:
    """Return the row of a service's newest roll-out; an empty object without one."""
    return _rows(state).get(message["service"], {})


def rollouts(state: State) -> dict[str, Rollout]:
    """Return the newest roll-out of each service."""
    rows = state.sections.get(SECTION, {}).get("services", {})
    return {service: Rollout.from_row(service, row) for service, row in rows.items()}


def _rows(state: State) -> dict[str, Any]:
    return state.section(SECTION).setdefault("services", {})


def _running_row(state: State, message: Message) -> Message | None:
    """Return the row that a change names, or None if that roll-out has ended."""
    row = _rows(state).get(message["service"])
    if row is None or row["index"] != message["index"]:
        return None
    return row if row["state"] == RolloutState.RUNNING.value else None
