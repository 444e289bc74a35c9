"""Permits to send requests to engines that limit the rate from all entries together.

The leader keeps a token bucket for each limited engine and grants permits for requests
that are about to be sent. A brittle engine gets no more requests than it has slots: the
leader knows those that are under way from the entries' reports, and counts permits as
requests from when it grants them. Nothing is divided among the entries beforehand: with
hundreds of them, one request saved up by each would exceed a limit of a few per second.
"""

from __future__ import annotations

import collections
from collections.abc import Callable

import attrs

from endivesill.fleet.engine_limits import EngineLimits
from endivesill.fleet.load import EngineLoad, FleetLoads
from endivesill.timer import TimerService

__all__ = ["LeaderPermits", "SendPermits", "burst_requests"]

# Unused permits that are kept for a burst, as a time at the limit's rate.
BURST_S = 0.5
# Fraction of a limit that the leader's own polls may take.
POLL_FRACTION = 0.25
# How long an entry counts as waiting for permits after its last request for some; well
# above the time between two.
WAITING_TTL_S = 1.5
# Interval between two checks of a request that waits for a permit.
ACQUIRE_CHECK_S = 0.02
# When a brittle engine without a free slot may have one; plain requests take tens of
# milliseconds.
SLOT_WAIT_S = 0.05
# Time from a leader's election until entries that are there have reported their loads;
# their polls wait for up to a second.
LOADS_KNOWN_AFTER_S = 1.5
# Rounding errors of a sum of tokens.
EPSILON = 1e-9


def burst_requests(limit_per_s: float) -> float:
    """Return how many requests may be sent at once under a limit."""
    return max(1.0, BURST_S * limit_per_s)


class SendPermits:
    """Says which engines may be sent a request now; this base allows all."""

    @property
    def rate_share(self) -> float:
        """Fraction of a limit that this process can expect."""
        return 1.0

    def may_send(self, incarnation: str) -> bool:
        """Return whether an engine may be sent one more request now."""
        return True

    def take(self, incarnation: str) -> bool:
        """Use one permit for a request that is sent now; False without one."""
        return True

    def may_request(self, group: str, incarnation: str) -> bool:
        """Return whether `request` may bring a permit."""
        return False

    def request(self, group: str, incarnation: str, count: int) -> None:
        """Request permits, for requests that wait.

        Args:
          group: requests of one group are for the same work, so that there is one at
            a time.
          incarnation: the engine.
          count: the requests that wait.
        """

    def free_at_s(self, incarnation: str) -> float | None:
        """Return when a permit is expected to be free; None if unknown."""
        return None

    def limit_per_s(self, incarnation: str) -> float | None:
        """Return the limit of an engine in requests per second; None without one."""
        return None

    def unused(self) -> dict[str, int]:
        """Return the permits that hold a slot of a brittle engine, by engine."""
        return {}

    async def acquire(
        self, timer: TimerService, incarnation: str, timeout_s: float
    ) -> bool:
        """Wait for a permit and use it; return False if there is none in time."""
        deadline_s = timer.now_s() + timeout_s
        while not self.take(incarnation):
            if timer.now_s() >= deadline_s:
                return False
            if self.may_request(incarnation, incarnation):
                self.request(incarnation, incarnation, 1)
            await timer.sleep(ACQUIRE_CHECK_S)
        return True


@attrs.define(eq=False)
class _Bucket:
    """Permits of one engine.

    Attributes:
      tokens: requests that may be sent now.
      filled_s: up to when tokens were added.
      waiting: by entry, the permits that it did not get and when; oldest first.
      next_poll_s: before this time the leader does not poll the engine.
    """

    tokens: float
    filled_s: float
    waiting: collections.OrderedDict[str, tuple[int, float]] = attrs.Factory(
        collections.OrderedDict
    )
    next_poll_s: float = float("-inf")


class LeaderPermits(SendPermits):
    """Permits of all entries, kept by the leader.

    A bucket starts empty: before the leader learnt of the limit, or of its leadership,
    the engine was sent requests without permits of this leader.

    Args:
      timer: the timer service.
      limits: the limits of the engines.
      loads: the loads of all entries.
      slots_of: returns the slots of an engine; 0 if it is not listed.
    """

    def __init__(
        self,
        timer: TimerService,
        limits: EngineLimits,
        loads: FleetLoads,
        slots_of: Callable[[str], int],
    ) -> None:
        self._timer = timer
        self._limits = limits
        self._loads = loads
        self._slots_of = slots_of
        # By entry, the number in `FleetLoads` of slots that were granted just now.
        self._numbers: dict[str, int] = {}
        # Before this time, entries may not have reported their loads to this leader.
        self._loads_known_s = 0.0
        self._buckets: dict[str, _Bucket] = {}

    def reset(self) -> None:
        """Start anew with a new term."""
        self._buckets.clear()
        self._loads_known_s = self._timer.now_s() + LOADS_KNOWN_AFTER_S

    def prune(self) -> None:
        """Drop what is kept of engines without a limit; to be called periodically."""
        for incarnation in self._buckets.keys() - set(self._limits.limited()):
            del self._buckets[incarnation]

    def limit_per_s(self, incarnation: str) -> float | None:
        """Return the limit of an engine; see the base class."""
        return self._limits.limit_per_s(incarnation)

    def may_send(self, incarnation: str) -> bool:
        """Return whether the leader may place a request at an engine now."""
        bucket = self._filled(incarnation)
        has_token = bucket is None or bucket.tokens >= 1.0 - EPSILON
        return has_token and self._free_slots(incarnation) > 0

    def take(self, incarnation: str) -> bool:
        """Use one permit; see the base class."""
        if not self.may_send(incarnation):
            return False
        bucket = self._filled(incarnation)
        if bucket is not None:
            bucket.tokens -= 1.0
        return True

    def _free_slots(self, incarnation: str) -> float:
        """Return the free slots of a brittle engine; infinite for any other."""
        if not self._limits.is_brittle(incarnation):
            return float("inf")
        now_s = self._timer.now_s()
        if now_s < self._loads_known_s:
            return 0
        requests = self._loads.rows(now_s).get(incarnation, [0])[0]
        return max(0, self._slots_of(incarnation) - requests)

    def free_at_s(self, incarnation: str) -> float | None:
        """Return when a permit is expected to be free; see the base class."""
        return self._timer.now_s() + self._wait_s(incarnation)

    def grant(self, entry_id: str, incarnation: str, count: int) -> tuple[int, float]:
        """Grant an entry up to `count` permits.

        Returns:
          The permits granted, and in how many seconds the next one is expected, after
          those for which other entries wait.
        """
        granted = int(min(count, self._free_slots(incarnation)))
        bucket = self._filled(incarnation)
        if bucket is None:
            self._count_slots(entry_id, incarnation, granted)
            return granted, self._wait_s(incarnation)
        granted = min(granted, int(bucket.tokens + EPSILON))
        bucket.tokens -= granted
        self._count_slots(entry_id, incarnation, granted)
        bucket.waiting.pop(entry_id, None)
        wait_s = self._wait_s(incarnation)
        if granted < count:
            bucket.waiting[entry_id] = (count - granted, self._timer.now_s())
        return granted, wait_s

    def _count_slots(self, entry_id: str, incarnation: str, count: int) -> None:
        """Count permits for a brittle engine as requests of their entry."""
        if count and self._limits.is_brittle(incarnation):
            load = {incarnation: EngineLoad(count, 0, 0)}
            now_s = self._timer.now_s()
            self._numbers[entry_id] = self._loads.grant(entry_id, load, now_s)

    def take_number(self, entry_id: str) -> int:
        """Return the number of the newest grant of slots to an entry, once; else 0."""
        return self._numbers.pop(entry_id, 0)

    def waiting_entries(self, incarnation: str) -> int:
        """Return how many entries wait for permits of an engine."""
        bucket = self._filled(incarnation)
        return len(bucket.waiting) if bucket is not None else 0

    def may_poll(self, incarnation: str) -> bool:
        """Return whether the leader may poll an engine now; takes a permit if so."""
        bucket = self._filled(incarnation)
        if bucket is None:
            return True
        now_s = self._timer.now_s()
        if now_s < bucket.next_poll_s or bucket.tokens < 1.0 - EPSILON:
            return False
        bucket.tokens -= 1.0
        limit_per_s = self._limits.limit_per_s(incarnation) or 1.0
        bucket.next_poll_s = now_s + 1 / (POLL_FRACTION * limit_per_s)
        return True

    def _wait_s(self, incarnation: str) -> float:
        bucket = self._filled(incarnation)
        limit_per_s = self._limits.limit_per_s(incarnation)
        slot_wait_s = 0.0 if self._free_slots(incarnation) > 0 else SLOT_WAIT_S
        if bucket is None or limit_per_s is None:
            return slot_wait_s
        ahead = sum(count for count, _ in bucket.waiting.values())
        return max(slot_wait_s, (ahead + 1 - bucket.tokens) / limit_per_s)

    def _filled(self, incarnation: str) -> _Bucket | None:
        """Return the bucket of an engine as of now; None if it has no limit."""
        limit_per_s = self._limits.limit_per_s(incarnation)
        if limit_per_s is None:
            return None
        now_s = self._timer.now_s()
        bucket = self._buckets.get(incarnation)
        if bucket is None:
            bucket = self._buckets[incarnation] = _Bucket(0.0, now_s)
        tokens = bucket.tokens + (now_s - bucket.filled_s) * limit_per_s
        bucket.tokens = min(tokens, burst_requests(limit_per_s))
        bucket.filled_s = now_s
        while bucket.waiting:
            entry_id, (_, since_s) = next(iter(bucket.waiting.items()))
            if now_s - since_s < WAITING_TTL_S:
                break
            del bucket.waiting[entry_id]
        return bucket
