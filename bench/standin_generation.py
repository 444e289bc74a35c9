"""The generations of the stand-in engine."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import attrs

__all__ = ["StandinGeneration"]


@attrs.define(eq=False)
class StandinGeneration:
    """A generation with the tokens that it has so far.

    Attributes:
      generation_id: given by the entry.
      length: how many tokens it will have.
      chat: whether its events are chat chunks.
      prompt_tokens: the length of its prompt.
      priority: 0 is first.
      tokens: how many tokens there are.
      cancelled: whether it was cancelled.
      is_moving: whether it stands still to be handed over.
      moved_to: the address of the engine that has it now.
      attempt_id: the last attempt that streams it.
      readers: how many connections stream it.
      orphaned_s: when the last of them went away.
      changed: set after each change.
    """

    generation_id: str
    length: int
    chat: bool
    prompt_tokens: int = 0
    priority: int = 1
    tokens: int = 0
    cancelled: bool = False
    is_moving: bool = False
    moved_to: str = ""
    attempt_id: str = ""
    readers: int = 0
    orphaned_s: float = 0.0
    changed: asyncio.Event = attrs.Factory(asyncio.Event)

    @property
    def is_over(self) -> bool:
        """Whether no more tokens will come here."""
        return self.cancelled or bool(self.moved_to) or self.tokens >= self.length

    def event(self, index: int) -> bytes:
        """Return the server-sent event of a token."""
        reason = "length" if index + 1 == self.length else None
        choice: dict[str, Any] = {"index": 0, "finish_reason": reason}
        text = f"w{index} "
        if self.chat:
            choice["delta"] = {"content": text}
        else:
            choice["text"] = text
        data = json.dumps({"choices": [choice]}, separators=(",", ":"))
        return f"id: {self.generation_id}:{index}\ndata: {data}\n\n".encode()

    def notify(self) -> None:
        """Wake the connections that stream it."""
        self.changed.set()
        self.changed = asyncio.Event()

    def to_document(self) -> dict[str, Any]:
        """Return what another engine needs to go on with it."""
        names = ("generation_id", "length", "chat", "prompt_tokens", "priority")
        document = {name: getattr(self, name) for name in names}
        return {**document, "tokens": self.tokens, "attempt_id": self.attempt_id}
