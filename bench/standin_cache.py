"""The prompt cache of the stand-in engine and its events."""

from __future__ import annotations

import collections
from typing import Any

from endivesill.routing.prefixes import PREFIX_BLOCK_TOKENS, prefix_hashes

__all__ = ["PrefixCache"]

KEPT_EVENTS = 1000
CACHED_PREFIXES = 256


class PrefixCache:
    """Prefixes in a limited memory, oldest evicted first."""

    def __init__(self) -> None:
        self._prefixes: dict[str, int] = {}
        self._events: collections.deque[dict[str, Any]] = collections.deque(
            maxlen=KEPT_EVENTS
        )
        self._sequence = 0

    def store(self, prompt: str) -> None:
        """Cache a prompt's prefixes."""
        for number, prefix in enumerate(prefix_hashes(prompt), start=1):
            tokens = number * PREFIX_BLOCK_TOKENS
            if prefix not in self._prefixes:
                self._note("stored", prefix, tokens)
            self._prefixes[prefix] = tokens
        while len(self._prefixes) > CACHED_PREFIXES:
            prefix = next(iter(self._prefixes))
            self._note("evicted", prefix, self._prefixes.pop(prefix))

    def clear(self) -> None:
        """Lose everything."""
        self._prefixes.clear()
        self._note("cleared", "", 0)

    def after(self, sequence: int) -> dict[str, Any]:
        """Return the events after a sequence number, and the oldest kept."""
        oldest = self._events[0]["sequence"] if self._events else 1
        newer = [event for event in self._events if event["sequence"] > sequence]
        return {"first_sequence": oldest, "events": newer}

    def _note(self, kind: str, prefix: str, tokens: int) -> None:
        self._sequence += 1
        event = {"sequence": self._sequence, "kind": kind}
        self._events.append({**event, "prefix": prefix, "tokens": tokens})
