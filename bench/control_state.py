"""The command and the query that the control benchmark runs."""

from __future__ import annotations

from endivesill.control import CommandContext, State, command, query
from endivesill.peers import Message

__all__ = ["BENCH_KEY"]

BENCH_KEY = "key-of-the-control-bench"


@command("bench.put")
def put(state: State, message: Message, context: CommandContext) -> Message:
    """Set one key; return the log index of the command."""
    state.section("bench")[message["key"]] = message["value"]
    return {"index": context.index}


@query("bench.get")
def get(state: State, message: Message) -> Message:
    """Return the value of one key, or None."""
    return {"value": state.section("bench").get(message["key"])}
