"""Encoding of errors of the replicated state as messages."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from endivesill import errors
from endivesill.peers import Message

__all__ = [
    "error_to_message",
    "raise_command_failure",
    "raise_error",
    "with_error_responses",
]

Handler = Callable[[Message], Awaitable[Message]]

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
    """Return an error as `{"error": CLASS, "text": ...}`.

    A NotLeaderError holds the leader's address under "leader" instead of a text.
    """
    if isinstance(error, errors.NotLeaderError):
        return {"error": "NotLeaderError", "leader": error.leader_address}
    return {"error": type(error).__name__, "text": str(error)}


def raise_error(message: Message) -> None:
    """Raise the error that a message holds, if any.

    An unknown error class is raised as an EndivesillError.
    """
    name = message.get("error")
    if name is None:
        return
    if name == "NotLeaderError":
        raise errors.NotLeaderError(message.get("leader"))
    raise _KINDS.get(name, errors.EndivesillError)(message.get("text", name))


def raise_command_failure(outcome: Message) -> None:
    """Raise the error of the command that an outcome holds, if any."""
    name = outcome.get("failure")
    if name is not None:
        raise _KINDS.get(name, errors.EndivesillError)(outcome.get("text", name))


def with_error_responses(respond: Handler) -> Handler:
    """Wrap a handler so that its errors are returned as messages."""

    async def handle(message: Message) -> Message:
        try:
            return await respond(message)
        except errors.EndivesillError as error:
            return error_to_message(error)

    return handle
