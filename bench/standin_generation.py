"""Generations of the stand-in engine."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import attrs

__all__ = ["StandinGeneration"]


@attrs.define(eq=False)
class StandinGeneration:
    """A generation and its progress.

    Attributes:
      generation_id: its id, given by the entry.
      length: number of tokens when complete.
      chat: whether its events are chat chunks.
      prompt_tokens: length of its prompt.
      priority: 0 is the most urgent.
      tokens: number of tokens generated so far.
      cancelled: whether it was cancelled.
      is_moving: whether it is suspended while it moves to another engine.
      moved_to: URL of the engine to which it has moved; empty if it has not.
      attempt_id: the latest attempt that streams it.
      readers: number of connections that stream it.
      orphaned_s: when it was started or last lost a reader.
      changed: set at the next change, then replaced; see `notify`.
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
        """Whether this engine will generate no more tokens of it."""
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
        """Wake the connections that stream it, after a change."""
        self.changed.set()
        self.changed = asyncio.Event()

    def to_document(self) -> dict[str, Any]:
        """Return the body of the request with which another engine adopts it."""
        names = ("generation_id", "length", "chat", "prompt_tokens", "priority")
        document = {name: getattr(self, name) for name in names}
        return {**document, "tokens": self.tokens, "attempt_id": self.attempt_id}
