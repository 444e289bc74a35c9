"""The earlier way in which a leader answered entries' polls, as a baseline.

Each poll sums the loads of all entries twice, once for the placement of generations and
once for the reply, renews the share by a sum over all leases, and encodes a reply with
all parts. Entries poll every 0.2 s whatever their number.
"""

from __future__ import annotations

import collections
import json
from collections.abc import Iterable

import attrs

from endivesill.fleet.load import EngineLoad
from endivesill.fleet.shares import LEASE_DURATION_S, ShareLease
from endivesill.peers import Message

__all__ = ["POLL_PERIOD_S", "BaselineLeader"]

POLL_PERIOD_S = 0.2
REPORT_TTL_S = 2.0


def add_loads(loads: Iterable[EngineLoad]) -> EngineLoad:
    """Return the sum of loads."""
    requests = reserved = prefill = 0
    for load in loads:
        requests += load.requests
        reserved += load.reserved_tokens
        prefill += load.prefill_tokens
    return EngineLoad(requests, reserved, prefill)


@attrs.define
class _EntryLoads:
    updated_s: float
    loads: dict[str, EngineLoad]


class BaselineLeader:
    """Answers polls at a cost that grows with the number of entries.

    Args:
      controls: addresses of the control VMs.
    """

    def __init__(self, controls: list[str]) -> None:
        self._controls = controls
        self._entries: dict[str, _EntryLoads] = {}
        self._leases: dict[str, ShareLease] = {}
        self._placement_loads: dict[str, EngineLoad] = {}

    def handle(self, message: Message, now_s: float) -> str:
        """Return the encoded reply to a poll."""
        entry_id = message["entry"]
        loads = {key: EngineLoad(*row) for key, row in message["loads"].items()}
        self._entries[entry_id] = _EntryLoads(now_s, loads)
        self._placement_loads = self._totals(now_s, "")
        totals = self._totals(now_s, entry_id)
        reply = {
            "share": self._renew(entry_id, now_s),
            "entries": len([k for k, v in self._leases.items() if v.expires_s > now_s]),
            "loads": {key: list(attrs.astuple(load)) for key, load in totals.items()},
            "controls": sorted(self._controls),
            "term": 1,
        }
        return json.dumps(reply, separators=(",", ":"))

    def _totals(self, now_s: float, excluding: str) -> dict[str, EngineLoad]:
        by_incarnation: dict[str, list[EngineLoad]] = collections.defaultdict(list)
        for entry_id, entry in list(self._entries.items()):
            if now_s - entry.updated_s > REPORT_TTL_S:
                del self._entries[entry_id]
            elif entry_id != excluding:
                for incarnation, load in entry.loads.items():
                    by_incarnation[incarnation].append(load)
        return {key: add_loads(loads) for key, loads in by_incarnation.items()}

    def _renew(self, entry_id: str, now_s: float) -> float:
        self._leases = {k: v for k, v in self._leases.items() if v.expires_s > now_s}
        others = sum(v.share for k, v in self._leases.items() if k != entry_id)
        count = len(self._leases.keys() | {entry_id})
        share = max(0.0, min(1.0 / count, 1.0 - others))
        self._leases[entry_id] = ShareLease(share, now_s + LEASE_DURATION_S)
        return share
