"""Errors of the replicated state as JSON objects between processes."""

from __future__ import annotations

from endivesill import errors
from endivesill.peers import Message

__all__ = ["error_to_message", "raise_command_failure", "raise_error"]

_KINDS: dict[str, type[errors.EndivesillError]] = {
    kind.__name__: kind
    for kind in (
        errors.ConflictError,
        errors.EndivesillError,
        errors.OutcomeUnknownError,
        errors.StorageError,
        errors.UnavailableError,
        errors.UnsafeChangeError,
    )
}


def error_to_message(error: errors.EndivesillError) -> Message:
    """Return the JSON object of an error."""
    if isinstance(error, errors.NotLeaderError):
        return {"error": "NotLeaderError", "leader": error.leader_address}
    return {"error": type(error).__name__, "text": str(error)}


def raise_error(message: Message) -> None:
    """Raise the error that a JSON object holds, if it holds one."""
    name = message.get("error")
    if name is None:
        return
    if name == "NotLeaderError":
        raise errors.NotLeaderError(message.get("leader"))
    raise _KINDS.get(name, errors.EndivesillError)(message.get("text", name))


def raise_command_failure(outcome: Message) -> None:
    """Raise the error that a command has raised, if it has raised one."""
    name = outcome.get("failure")
    if name is not None:
        raise _KINDS.get(name, errors.EndivesillError)(outcome.get("text", name))
