"""How long entries' polls wait at the leader for updates."""

from __future__ import annotations

import zlib
from collections.abc import Iterable

__all__ = ["MAX_LONG_POLL_S", "MIN_LONG_POLL_S", "addresses_digest", "long_poll_s"]

# Shortest and longest wait; also the age of the loads that are passed on. The longest
# is well below the age from which load reports and leases expire.
MIN_LONG_POLL_S = 0.2
MAX_LONG_POLL_S = 1.0
# Polls of all entries at rest that one leader answers.
POLLS_PER_S = 200.0


def long_poll_s(entry_count: int) -> float:
    """Return how long a poll waits, so that the rate of all polls stays bounded.

    Hundreds of entries at rest would otherwise take most of the leader's processor
    time, and none would be left for a burst or for the entries that reconnect after an
    election.
    """
    return min(MAX_LONG_POLL_S, max(MIN_LONG_POLL_S, entry_count / POLLS_PER_S))


def addresses_digest(addresses: Iterable[str]) -> int:
    """Return a checksum by which an entry and the leader compare address lists."""
    return zlib.crc32(",".join(addresses).encode())
