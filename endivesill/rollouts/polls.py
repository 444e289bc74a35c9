"""What roll-outs add to the polls of entries at the leader."""

from __future__ import annotations

from endivesill.peers import Message

__all__ = ["RolloutPolls"]


class RolloutPolls:
    """The leader's part of polls; this base adds nothing."""

    def record(self, message: Message) -> None:
        """Record the part about roll-outs of a poll."""

    def forget(self, entry_id: str) -> None:
        """Drop what is kept of an entry that stops."""

    def has_updates(self, message: Message) -> bool:
        """Return whether the poll is to be answered at once."""
        return False

    def reply_fields(self, message: Message) -> Message:
        """Return the part about roll-outs of the reply."""
        return {}
