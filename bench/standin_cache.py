"""The prefix cache of the stand-in engine, with its event log."""

from __future__ import annotations

import collections
from typing import Any

from endivesill.routing.prefixes import PREFIX_BLOCK_TOKENS, prefix_hashes

__all__ = ["PrefixCache"]

# Older events are dropped, so that a slow reader sees a gap.
MAX_EVENTS = 1000
MAX_PREFIXES = 256


class PrefixCache:
    """A bounded set of prefixes; the first stored is the first evicted."""

    def __init__(self) -> None:
        self._prefixes: dict[str, int] = {}
        self._events: collections.deque[dict[str, Any]] = collections.deque(
            maxlen=MAX_EVENTS
        )
        self._sequence = 0

    def store(self, prompt: str) -> None:
        """Cache all prefixes of a prompt, and evict the oldest beyond the limit."""
        for number, prefix in enumerate(prefix_hashes(prompt), start=1):
            tokens = number * PREFIX_BLOCK_TOKENS
            if prefix not in self._prefixes:
                self._append_event("stored", prefix, tokens)
            self._prefixes[prefix] = tokens
        while len(self._prefixes) > MAX_PREFIXES:
            prefix = next(iter(self._prefixes))
            self._append_event("evicted", prefix, self._prefixes.pop(prefix))

    def clear(self) -> None:
        """Drop all prefixes, with one `cleared` event."""
        self._prefixes.clear()
        self._append_event("cleared", "", 0)

    def since(self, sequence: int) -> dict[str, Any]:
        """Return the events after a sequence number, and the oldest number retained."""
        oldest_sequence = self._events[0]["sequence"] if self._events else 1
        newer = [event for event in self._events if event["sequence"] > sequence]
        return {"first_sequence": oldest_sequence, "events": newer}

    def _append_event(self, kind: str, prefix: str, tokens: int) -> None:
        self._sequence += 1
        event = {"sequence": self._sequence, "kind": kind}
        self._events.append({**event, "prefix": prefix, "tokens": tokens})
