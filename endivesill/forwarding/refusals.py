"""Refusal of generations under overload and the Retry-After sent to their callers."""

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

# Window over which the placement rate is measured.
RATE_WINDOW_S = 4.0
# Lower bound of the assumed rate: engines release capacity as generations end, even
# while all of them are full.
MIN_RATE_PER_S = 0.5
# How long a refused session is remembered.
REFUSED_SESSION_TTL_S = 20.0
# Bounds of Retry-After for a generation. The lower bound is about the duration of a
# long generation: a caller that retries sooner finds the same full engines.
MIN_RETRY_AFTER_S = 8.0
MAX_RETRY_AFTER_S = 12.0
# Largest Retry-After as a fraction of the caller's remaining time; the rest is needed
# to serve the retry.
MAX_RETRY_FRACTION = 1 / 3
# Jitter of Retry-After as a fraction, so that refused callers do not return together.
RETRY_JITTER = 0.5


class PlacementRate:
    """Placements per second over a sliding window."""

    def __init__(self) -> None:
        self._times_s: collections.deque[float] = collections.deque()
        self._first_s: float | None = None

    def note(self, now_s: float) -> None:
        """Count one placement."""
        if self._first_s is None:
            self._first_s = now_s
        self._times_s.append(now_s)

    def per_s(self, now_s: float) -> float:
        """Return the placements per second; infinite until one window has passed."""
        if self._first_s is None or now_s - self._first_s < RATE_WINDOW_S:
            return float("inf")
        while self._times_s and self._times_s[0] < now_s - RATE_WINDOW_S:
            self._times_s.popleft()
        return max(MIN_RATE_PER_S, len(self._times_s) / RATE_WINDOW_S)


class RefusedSessions:
    """Sessions that were refused recently.

    Their retries get priority. Otherwise, some callers would be refused again and again
    while new requests keep arriving.
    """

    def __init__(self) -> None:
        self._refused_s: collections.OrderedDict[str, float] = collections.OrderedDict()

    def add(self, session: str, now_s: float) -> None:
        """Record a refusal and drop the expired ones."""
        self._refused_s[session] = now_s
        self._refused_s.move_to_end(session)
        while self._refused_s:
            oldest_s = next(iter(self._refused_s.values()))
            if now_s - oldest_s < REFUSED_SESSION_TTL_S:
                break
            self._refused_s.popitem(last=False)

    def consume(self, session: str, now_s: float) -> bool:
        """Remove a session; return whether its refusal was still remembered."""
        refused_s = self._refused_s.pop(session, None)
        return refused_s is not None and now_s - refused_s < REFUSED_SESSION_TTL_S


def expected_wait_s(ahead: int, rate_per_s: float) -> float:
    """Return the expected time in the queue.

    Lets a request be refused at once under sustained overload, instead of after its
    whole wait.

    Args:
      ahead: queued requests that are served first.
      rate_per_s: placements per second.
    """
    return (ahead + 1) / rate_per_s


def retry_after_s(wait_s: float, jitter: float) -> float:
    """Return the Retry-After of a refused generation, with jitter.

    Callers that retry immediately during a long overload are refused again, or displace
    requests that could still be served on time.

    Args:
      wait_s: expected time in the queue.
      jitter: random number from 0 to 1, drawn for each caller.
    """
    return jittered_s(min(max(wait_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S), jitter)


def jittered_s(after_s: float, jitter: float) -> float:
    """Return a delay lengthened by up to `RETRY_JITTER`; `jitter` is from 0 to 1."""
    return after_s * (1 + RETRY_JITTER * jitter)


def cap_retry_after_s(after_s: float, remaining_s: float) -> float:
    """Return a Retry-After that leaves the caller time for the retry itself.

    Args:
      after_s: when capacity is expected.
      remaining_s: time until the caller's deadline.
    """
    return min(after_s, max(0.0, remaining_s) * MAX_RETRY_FRACTION)
