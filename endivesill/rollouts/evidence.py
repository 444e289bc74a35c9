"""Evidence on whether a new version is worse than the old one.

Page's test with cumulative sums of log-likelihood ratios: for each route and measure,
the hypothesis that the new version gives as many bad answers as the old one does in the
same seconds stands against a given number more. The sums of all routes are kept as
well, for versions that are a little worse everywhere. See docs/design/rollouts.md.
"""

from __future__ import annotations

import collections
import math
from typing import Any

import attrs

from endivesill.duration_buckets import BUCKET_RATIO
from endivesill.rollouts.outcomes import OutcomeRows
from endivesill.rollouts.reference import Reference

__all__ = ["Evidence"]

# Additional fractions of bad answers that are told from none: on one route, and over
# all routes, where there are more answers.
ROUTE_EFFECT = 0.3
FLEET_EFFECT = 0.15
# Sum at which the new version counts as worse. A good one reaches it in fewer than one
# roll-out in a hundred, with four routes and three measures.
ALARM_SUM = 9.0
# Sum from which a version is not trusted further, but may yet turn out to be good.
DOUBT_SUM = ALARM_SUM / 3
# Sum at which a route counts as sound; ln(100), for one error in a hundred.
SOUND_SUM = 4.6
# Where a route or a service has few requests, the fraction of them that is evidence
# enough if the answers are good.
ROUTE_FRACTION = 0.2
FLEET_FRACTION = 0.15
# A time counts as slow from this multiple of the old version's median.
SLOW_RATIO = 2.5
SLOW_BUCKETS = round(math.log(SLOW_RATIO) / math.log(BUCKET_RATIO))
# Outcomes are judged this long after they came, when entries have reported those of the
# old version from the same seconds.
JUDGE_DELAY_S = 1.0
# Bad answers that the old version is expected to give, and the weight of that prior.
PRIOR_FRACTION = 0.01
PRIOR_ANSWERS = 20.0
MAX_FRACTION = 0.9
# Name of the sums over all routes.
ALL_ROUTES = "*"

Key = tuple[str, str]


@attrs.define
class _Sums:
    """Sums of one route and measure.

    Attributes:
      harm: evidence that the new version is worse.
      trust: evidence that it is not.
      answers: judged answers of the new version.
    """

    harm: float = 0.0
    trust: float = 0.0
    answers: int = 0

    def add(self, step: float, answers: int) -> None:
        """Add a step, positive for bad answers."""
        self.harm = max(0.0, self.harm + step)
        self.trust = max(0.0, self.trust - step)
        self.answers += answers


def log_likelihood_ratio(bad: int, good: int, fraction: float, effect: float) -> float:
    """Return the evidence of some answers for a given number of additional bad ones.

    Args:
      bad: bad answers of the new version.
      good: its other answers.
      fraction: the old version's fraction of bad answers.
      effect: fraction of the good answers that are bad in addition.
    """
    worse = fraction + effect * (1.0 - fraction)
    return bad * math.log(worse / fraction) + good * math.log1p(-effect)


class Evidence:
    """Evidence of one roll-out.

    Args:
      digest: evidence of an earlier leader; None without any.
    """

    def __init__(self, digest: Any = None) -> None:
        self._sums: dict[Key, _Sums] = {}
        self._reference = Reference()
        self._pending: collections.deque[tuple[float, OutcomeRows]] = (
            collections.deque()
        )
        # Requests by route, of both versions.
        self._requests: dict[str, int] = {}
        for route, measure, harm, trust, answers, requests in digest or ():
            self._sums[route, measure] = _Sums(harm, trust, answers)
            if requests:
                self._requests[route] = requests

    def digest(self) -> list[list[Any]]:
        """Return the sums for the evidence of a later leader."""
        return [
            [
                route,
                measure,
                round(sums.harm, 3),
                round(sums.trust, 3),
                sums.answers,
                self._requests.get(route, 0) if measure == "failed" else 0,
            ]
            for (route, measure), sums in self._sums.items()
        ]

    def add(self, rows: OutcomeRows, now_s: float) -> None:
        """Add an entry's report."""
        for route, row in rows.items():
            self._requests[route] = self._requests.get(route, 0) + row["requests"]
        self._reference.add(rows, now_s)
        self._pending.append((now_s, rows))

    def judge(self, now_s: float) -> None:
        """Judge the reports that are old enough."""
        while self._pending and self._pending[0][0] <= now_s - JUDGE_DELAY_S:
            reported_s, rows = self._pending.popleft()
            self._reference.advance(reported_s, now_s)
            for route, row in rows.items():
                self._judge_failures(route, row["new"])
                for measure in ("start", "pace"):
                    self._judge_times(route, measure, row["new"][measure])

    def _judge_failures(self, route: str, new: dict[str, Any]) -> None:
        good = sum(new["start"].values())
        failures, answers = self._reference.failures(route)
        self._add_step(route, "failed", new["failed"], good, failures, answers)

    def _judge_times(self, route: str, measure: str, counts: dict[str, int]) -> None:
        median = self._reference.median_bucket(route, measure)
        if not counts or median is None:
            return
        slow_bucket = median + SLOW_BUCKETS
        slow = sum(n for bucket, n in counts.items() if int(bucket) > slow_bucket)
        good = sum(counts.values()) - slow
        reference = self._reference.above(route, measure, slow_bucket)
        self._add_step(route, measure, slow, good, *reference)

    def _add_step(
        self,
        route: str,
        measure: str,
        bad: int,
        good: int,
        old_bad: float,
        old_answers: float,
    ) -> None:
        if not bad and not good:
            return
        fraction = _raised_fraction(old_bad, old_answers)
        for name, effect in ((route, ROUTE_EFFECT), (ALL_ROUTES, FLEET_EFFECT)):
            step = log_likelihood_ratio(bad, good, fraction, effect)
            sums = self._sums.setdefault((name, measure), _Sums())
            sums.add(step, bad + good)

    def alarm(self) -> str:
        """Return where the new version is worse; empty if it is not known to be."""
        worst = max(self._sums.items(), key=lambda item: item[1].harm, default=None)
        if worst is None or worst[1].harm < ALARM_SUM:
            return ""
        (route, measure), sums = worst
        return f"{measure} on {route}: {sums.harm:.1f} after {sums.answers} answers"

    def missing(self, growth: float = 1.0, part: float = 1.0) -> str:
        """Return which evidence a sound version still needs; empty if none.

        Args:
          growth: by what factor requests will have grown at the latest decision.
          part: part of the usual evidence that is asked for.
        """
        if self._reference.is_troubled():
            return "the old version fails as well"
        for (route, measure), sums in self._sums.items():
            if sums.harm >= DOUBT_SUM:
                return f"doubtful: {measure} on {route}"
        needed = _needed_trust(FLEET_FRACTION * self.total_requests(), FLEET_EFFECT)
        if self._trust(ALL_ROUTES) < part * needed:
            return "too few good answers"
        for route, requests in self._requests.items():
            needed = _needed_trust(ROUTE_FRACTION * growth * requests, ROUTE_EFFECT)
            if self._trust(route) < part * needed:
                return f"too few good answers on {route}"
        return ""

    def _trust(self, route: str) -> float:
        """Return the evidence that failures and first bytes are as before."""
        return min(
            self._sums.get((route, measure), _Sums()).trust
            for measure in ("failed", "start")
        )

    def wants_answers(self, route: str) -> bool:
        """Return whether a route has too few answers of the new version."""
        return self._trust(route) < SOUND_SUM

    def routes_wanting(self) -> list[str]:
        """Return the routes with too few answers of the new version."""
        return [route for route in self._requests if self.wants_answers(route)]

    def requests(self, route: str) -> int:
        """Return the requests to a route."""
        return self._requests.get(route, 0)

    def total_requests(self) -> int:
        """Return the requests to all routes."""
        return sum(self._requests.values())

    def answers(self) -> int:
        """Return the judged answers of the new version."""
        return self._sums.get((ALL_ROUTES, "failed"), _Sums()).answers


def _raised_fraction(bad: float, answers: float) -> float:
    """Return a fraction of bad answers, raised by one standard error."""
    total = answers + PRIOR_ANSWERS
    fraction = (bad + PRIOR_FRACTION * PRIOR_ANSWERS) / total
    error = math.sqrt(fraction * (1.0 - fraction) / total)
    return min(MAX_FRACTION, fraction + error)


def _needed_trust(answers: float, effect: float) -> float:
    """Return the evidence that is asked for, at most that of some good answers."""
    return min(SOUND_SUM, max(1.0, math.floor(answers)) * -math.log1p(-effect))
