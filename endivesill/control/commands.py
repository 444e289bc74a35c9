"""Commands and queries of the replicated state, by name.

A command changes the state and must be deterministic: the same state, message
and context give the same result on each replica. A query only reads. Packages
register theirs with decorators; the control replicas run them.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import attrs

from endivesill import errors
from endivesill.peers import Message

__all__ = [
    "COMMANDS",
    "QUERIES",
    "CommandContext",
    "State",
    "command",
    "query",
    "run_command",
    "run_query",
]


@attrs.frozen
class CommandContext:
    """Where a command stands in the log.

    Attributes:
      index: the log index of its entry; usable as a fencing token.
      time_s: the leader's time when it was proposed; never goes back.
    """

    index: int
    time_s: float


@attrs.define
class State:
    """The replicated state: JSON objects by section name."""

    sections: dict[str, dict[str, Any]] = attrs.Factory(dict)

    def section(self, name: str) -> dict[str, Any]:
        """Return a section, made empty when first asked for."""
        return self.sections.setdefault(name, {})


CommandFunction = Callable[[State, Message, CommandContext], Message]
QueryFunction = Callable[[State, Message], Message]

COMMANDS: dict[str, CommandFunction] = {}
QUERIES: dict[str, QueryFunction] = {}


def command(name: str) -> Callable[[CommandFunction], CommandFunction]:
    """Register a command, such as `configuration.apply`."""

    def register(function: CommandFunction) -> CommandFunction:
        COMMANDS[name] = function
        return function

    return register


def query(name: str) -> Callable[[QueryFunction], QueryFunction]:
    """Register a query, such as `configuration.current`."""

    def register(function: QueryFunction) -> QueryFunction:
        QUERIES[name] = function
        return function

    return register


def run_command(
    state: State, name: str, message: Message, context: CommandContext
) -> Message:
    """Run a command against the state.

    Raises:
      EndivesillError: no such command.
    """
    function = COMMANDS.get(name)
    if function is None:
        raise errors.EndivesillError(f"no command {name!r}")
    return function(state, message, context)


def run_query(state: State, name: str, message: Message) -> Message:
    """Run a query against the state.

    Raises:
      EndivesillError: no such query.
    """
    function = QUERIES.get(name)
    if function is None:
        raise errors.EndivesillError(f"no query {name!r}")
    return function(state, message)
