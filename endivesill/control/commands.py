"""Commands and queries of the replicated state, by name.

A command changes the state and must be deterministic: the same state, message
and context give the same result on each replica. A query only reads the state.
Packages register their functions with the decorators `command` and `query`.
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
    """Log position and time of a command.

    Attributes:
      index: the log index of the command's entry; usable as a fencing token.
      time_s: the cluster time at which the leader appended it; never goes back.
    """

    index: int
    time_s: float


@attrs.define
class State:
    """The replicated state: JSON objects by section name."""

    sections: dict[str, dict[str, Any]] = attrs.Factory(dict)

    def section(self, name: str) -> dict[str, Any]:
        """Return a section, creating it empty if it does not exist."""
        return self.sections.setdefault(name, {})


CommandFunction = Callable[[State, Message, CommandContext], Message]
QueryFunction = Callable[[State, Message], Message]

COMMANDS: dict[str, CommandFunction] = {}
QUERIES: dict[str, QueryFunction] = {}


def command(name: str) -> Callable[[CommandFunction], CommandFunction]:
    """Register a command under a name such as `configuration.apply`."""

    def register(function: CommandFunction) -> CommandFunction:
        COMMANDS[name] = function
        return function

    return register


def query(name: str) -> Callable[[QueryFunction], QueryFunction]:
    """Register a query under a name such as `configuration.current`."""

    def register(function: QueryFunction) -> QueryFunction:
        QUERIES[name] = function
        return function

    return register


def run_command(
    state: State, name: str, message: Message, context: CommandContext
) -> Message:
    """Run a command on the state and return its result.

    Raises:
      EndivesillError: the command is not registered; its own errors pass through.
    """
    function = COMMANDS.get(name)
    if function is None:
        raise errors.EndivesillError(f"no command {name!r}")
    return function(state, message, context)


def run_query(state: State, name: str, message: Message) -> Message:
    """Run a query on the state and return its result.

    Raises:
      EndivesillError: the query is not registered; its own errors pass through.
    """
    function = QUERIES.get(name)
    if function is None:
        raise errors.EndivesillError(f"no query {name!r}")
    return function(state, message)
