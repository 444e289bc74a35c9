"""The loads of all entries in the leader's replies."""

from __future__ import annotations

import json

from endivesill.fleet.load import FleetLoads, loads_to_rows
from endivesill.peers import EncodedValue, Message

__all__ = ["LoadReplies"]


class LoadReplies:
    """Encodes the totals once for the replies to all entries.

    Args:
      loads: the loads.
    """

    def __init__(self, loads: FleetLoads) -> None:
        self._loads = loads
        self._version = -1
        self._encoded = EncodedValue("{}")

    def fields(self, message: Message, term: int, now_s: float) -> Message:
        """Return the loads for a reply, if they have changed since the entry's last."""
        entry_id = message["entry"]
        if "loads_stamp" not in message:
            # Entries of earlier versions expect the load of the other entries.
            totals = self._loads.totals(now_s, excluding=entry_id)
            return {"loads": loads_to_rows(totals)}
        encoded = self._encode(now_s)
        stamp = [term, self._version]
        if stamp == message["loads_stamp"]:
            return {}
        return {
            "loads": encoded,
            "loads_stamp": stamp,
            "own_loads": self._loads.own_rows(entry_id),
        }

    def _encode(self, now_s: float) -> EncodedValue:
        """Return the totals, encoded once a change."""
        rows = self._loads.rows(now_s)
        if self._version != self._loads.version:
            self._version = self._loads.version
            self._encoded = EncodedValue(json.dumps(rows, separators=(",", ":")))
        return self._encoded
