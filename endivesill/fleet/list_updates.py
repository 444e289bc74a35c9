"""Encodes the engine list for entries: whole, or as the changes since a snapshot.

Hundreds of entries ask the leader for the same changes at the same time, so each
encoding is made once.
"""

from __future__ import annotations

import collections
import json
from typing import Any

import attrs

from endivesill.fleet.engine_list import EngineListSnapshot, list_to_message
from endivesill.fleet.model import EngineInfo
from endivesill.peers import EncodedValue, Message

__all__ = ["ListUpdates", "apply_list_update"]

# Snapshots that changes can start from; an entry that is further behind gets the whole
# list.
MAX_SNAPSHOTS = 8


class ListUpdates:
    """Encoded updates to the newest snapshot, by the stamp that an entry has."""

    def __init__(self) -> None:
        self._snapshots: collections.deque[EngineListSnapshot] = collections.deque(
            maxlen=MAX_SNAPSHOTS
        )
        self._encoded: dict[tuple[int, ...], EncodedValue] = {}

    def update_for(
        self, snapshot: EngineListSnapshot, known_stamp: list[int], now_s: float
    ) -> EncodedValue:
        """Return the update of an entry that has the list of a stamp.

        Args:
          snapshot: the newest snapshot.
          known_stamp: stamp of the entry's list.
          now_s: the time.
        """
        newest = self._snapshots[-1] if self._snapshots else None
        if newest is None or newest.stamp != snapshot.stamp:
            self._snapshots.append(snapshot)
            self._encoded.clear()
        base = next((s for s in self._snapshots if s.stamp == known_stamp), None)
        key = tuple(base.stamp) if base is not None else ()
        if key not in self._encoded:
            message = list_to_message(snapshot, now_s)
            if base is not None:
                message = _difference(base, snapshot, message)
            text = json.dumps(message, separators=(",", ":"))
            self._encoded[key] = EncodedValue(text)
        return self._encoded[key]


def _difference(
    base: EngineListSnapshot, snapshot: EngineListSnapshot, whole: Message
) -> Message:
    """Return the engines of a whole list that differ from a base snapshot."""
    changed = [
        row
        for row, engine in zip(whole["engines"], snapshot.engines.values(), strict=True)
        if not _is_same(base.engines.get(engine.incarnation), engine)
    ]
    return {
        "stamp": whole["stamp"],
        "base": base.stamp,
        "engines": changed,
        "removed": [key for key in base.engines if key not in snapshot.engines],
    }


def _is_same(one: EngineInfo | None, other: EngineInfo) -> bool:
    """Return whether two states of an engine differ in their cold time at most."""
    return one is not None and attrs.evolve(one, cold_s=other.cold_s) == other


def apply_list_update(
    engines: dict[str, EngineInfo], stamp: list[int], update: dict[str, Any]
) -> dict[str, EngineInfo] | None:
    """Return the engines after an update.

    Args:
      engines: the engines before it, by incarnation.
      stamp: the stamp of these engines.
      update: an update by `ListUpdates`.

    Returns:
      None if the update is based on another list than this one.
    """
    changed = {row["incarnation"]: EngineInfo(**row) for row in update["engines"]}
    if "base" not in update:
        return changed
    if update["base"] != stamp:
        return None
    removed = set(update["removed"])
    kept = {key: info for key, info in engines.items() if key not in removed}
    return kept | changed
