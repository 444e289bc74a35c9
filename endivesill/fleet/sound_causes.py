"""Causes of which runs have completed, remembered for a time and in bounded number."""

from __future__ import annotations

import collections
from collections.abc import Iterable

__all__ = ["SOUND_TTL_S", "SoundCauses"]

# How long a cause counts as sound after a run with it has completed.
SOUND_TTL_S = 60.0
# Causes of one kind that are remembered; the one without news for longest goes first.
MAX_CAUSES_OF_KIND = 4_096


class SoundCauses:
    """When runs with some causes last completed.

    The kind of a cause is its text up to a colon, and empty without one. The kinds have
    room of their own, as there are many more requests than parts of prompts.
    """

    def __init__(self) -> None:
        self._seen_s: dict[str, collections.OrderedDict[str, float]] = {}

    def note(self, causes: Iterable[str], now_s: float) -> None:
        """Record that a run with some causes has completed."""
        for cause in causes:
            seen_s = self._seen_s.setdefault(_kind(cause), collections.OrderedDict())
            seen_s[cause] = now_s
            seen_s.move_to_end(cause)
            if len(seen_s) > MAX_CAUSES_OF_KIND:
                seen_s.popitem(last=False)

    def since(self, causes: Iterable[str], start_s: float) -> set[str]:
        """Return those causes of which a run has completed after a time."""
        return {cause for cause in causes if self._last_s(cause) > start_s}

    def _last_s(self, cause: str) -> float:
        seen_s = self._seen_s.get(_kind(cause))
        return seen_s.get(cause, float("-inf")) if seen_s else float("-inf")


def _kind(cause: str) -> str:
    return cause.partition(":")[0] if ":" in cause else ""
