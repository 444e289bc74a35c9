"""When to refuse a generation, when it may come back, and in which order."""

from __future__ import annotations

import collections

__all__ = [
    "PlacementRate",
    "RefusedSessions",
    "expected_wait_s",
    "retry_after_s",
    "jittered_s",
    "cap_retry_after_s",
]

# Span over which the rate of given places is taken.
RATE_WINDOW_S = 4.0
# Least rate that is assumed: an engine gives a place back as a generation ends,
# even while all are full.
MIN_RATE_PER_S = 0.5
# How long a refused caller is known as one who comes back.
REFUSED_SESSION_TTL_S = 20.0
# Bounds of Retry-After for a generation. By the shortest, about the length of a long
# generation on today's sheets, the places of all that run now are given anew; who
# comes back before meets the same full engines.
MIN_RETRY_AFTER_S = 8.0
MAX_RETRY_AFTER_S = 12.0
# Part of the time that a caller still has in which it should be back: it needs the
# rest for its answer.
MAX_RETRY_FRACTION = 1 / 3
# Spread of Retry-After, so that refused callers do not return together.
RETRY_JITTER = 0.5


class PlacementRate:
    """The rate at which places were given lately."""

    def __init__(self) -> None:
        self._times_s: collections.deque[float] = collections.deque()
        self._first_s: float | None = None

    def note(self, now_s: float) -> None:
        """Count a place that is given."""
        if self._first_s is None:
            self._first_s = now_s
        self._times_s.append(now_s)

    def per_s(self, now_s: float) -> float:
        """Return the places given in a second; infinite while too little was seen."""
        if self._first_s is None or now_s - self._first_s < RATE_WINDOW_S:
            return float("inf")
        while self._times_s and self._times_s[0] < now_s - RATE_WINDOW_S:
            self._times_s.popleft()
        return max(MIN_RATE_PER_S, len(self._times_s) / RATE_WINDOW_S)


class RefusedSessions:
    """The sessions of callers that were refused lately.

    Answers the pattern of callers who come back after a refusal while others
    keep coming for the first time: without precedence some are refused again
    and again.
    """

    def __init__(self) -> None:
        self._refused_s: collections.OrderedDict[str, float] = collections.OrderedDict()

    def add(self, session: str, now_s: float) -> None:
        """Note a refusal."""
        self._refused_s[session] = now_s
        self._refused_s.move_to_end(session)
        while self._refused_s:
            oldest_s = next(iter(self._refused_s.values()))
            if now_s - oldest_s < REFUSED_SESSION_TTL_S:
                break
            self._refused_s.popitem(last=False)

    def consume(self, session: str, now_s: float) -> bool:
        """Tell whether a session comes back; it counts as come back once."""
        refused_s = self._refused_s.pop(session, None)
        return refused_s is not None and now_s - refused_s < REFUSED_SESSION_TTL_S


def expected_wait_s(ahead: int, rate_per_s: float) -> float:
    """Return how long a request waits behind others.

    Answers the pattern of a standing overload: a request whose turn would come
    too late is refused at once instead of after a wait in vain.
    """
    return (ahead + 1) / rate_per_s


def retry_after_s(wait_s: float, jitter: float) -> float:
    """Return when the caller of a refused generation should come back.

    Answers the pattern of an overload that lasts for some generations: callers who
    come back at once are refused again, or take the places of those who would
    still be served on time.

    Args:
      wait_s: how long it would have had to wait.
      jitter: a number from 0 to 1, drawn anew for each caller.
    """
    return jittered_s(min(max(wait_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S), jitter)


def jittered_s(after_s: float, jitter: float) -> float:
    """Return a time to come back that differs from caller to caller."""
    return after_s * (1 + RETRY_JITTER * jitter)


def cap_retry_after_s(after_s: float, remaining_s: float) -> float:
    """Return a time to come back that leaves a caller time for its answer.

    Args:
      after_s: when there is likely to be room.
      remaining_s: how long the caller still waits.
    """
    return min(after_s, max(0.0, remaining_s) * MAX_RETRY_FRACTION)
