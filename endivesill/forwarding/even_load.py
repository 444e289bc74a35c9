"""Choice among plain targets from loads that are a little old.

Answers the load of many entries that choose at the same moment by the same report: if
all of them take the target that was reported idle, they overrun it.
"""

from __future__ import annotations

import bisect
import math
import random
from collections.abc import Iterable, Sequence

from endivesill.fleet.model import Service
from endivesill.forwarding.placement import (
    PLAIN_FULL_COST_S,
    choose_target,
    max_requests,
    plain_cost_s,
)
from endivesill.forwarding.targets import ResourceDemand, Target
from endivesill.timer import TimerService

__all__ = ["EvenLoad", "pick_evenly"]

# Time constant of a target's mean load in the reports; long against single requests,
# short against changes of its speed.
MEAN_MEMORY_S = 2.0
# Usual run time before the first response, and the weight of the newest one after it.
FIRST_RUN_S = 0.1
RUN_WEIGHT = 0.05
# Least temperature, as a cost in seconds; equal costs differ by less.
MIN_TEMPERATURE_S = 1e-4
# Bounds of the histogram of ages, in seconds.
AGE_BOUNDS_S = (0.05, 0.1, 0.25, 0.5, 1.0, 2.0)


def pick_evenly(
    costs_s: Sequence[float], temperature_s: float, random_source: random.Random
) -> int:
    """Return the index of a choice; its probability falls with its cost.

    Args:
      costs_s: the costs, at least one.
      temperature_s: difference of costs at which a choice is 2.7 times less likely.
      random_source: draws the choice.
    """
    least_s = min(costs_s)
    scale = -1.0 / max(MIN_TEMPERATURE_S, temperature_s)
    weights = [math.exp(scale * (cost_s - least_s)) for cost_s in costs_s]
    return random_source.choices(range(len(weights)), weights)[0]


class EvenLoad:
    """What one entry expects of the load on plain targets.

    Args:
      timer: the timer service.
    """

    def __init__(self, timer: TimerService) -> None:
        self._timer = timer
        self._updated_s: float | None = None
        self._period_s = 0.0
        # By incarnation: mean requests of the other entries.
        self._means: dict[str, float] = {}
        # By service: usual run time of its requests.
        self._run_s: dict[str, float] = {}
        self._ages = [0] * (len(AGE_BOUNDS_S) + 1)

    # Knowledge.

    def note_loads(self, targets: Iterable[Target]) -> None:
        """Take in a report of the other entries' load on the targets."""
        now_s = self._timer.now_s()
        elapsed_s = now_s - (self._updated_s if self._updated_s is not None else now_s)
        weight = 1.0 - math.exp(-elapsed_s / MEAN_MEMORY_S)
        self._updated_s = now_s
        self._period_s += weight * (elapsed_s - self._period_s)
        old, self._means = self._means, {}
        for target in targets:
            key, requests = target.info.incarnation, target.remote_load.requests
            mean = old.get(key, 0.0)
            if requests or mean:
                self._means[key] = mean + weight * (requests - mean)

    def note_run(self, service: str, duration_s: float) -> None:
        """Take in how long a request to a service has run."""
        usual_s = self._run_s.get(service, duration_s)
        self._run_s[service] = usual_s + RUN_WEIGHT * (duration_s - usual_s)

    def age_s(self) -> float:
        """Return the mean age of what is known of the other entries.

        Their own reports were half a period old when the leader passed them on.
        """
        if self._updated_s is None:
            return math.inf
        return self._timer.now_s() - self._updated_s + self._period_s / 2

    def certainty(self, service: str) -> float:
        """Return the weight of the last report, from 0 to 1."""
        return math.exp(-self.age_s() / self._run_s.get(service, FIRST_RUN_S))

    def expected_requests(self, target: Target, certainty: float) -> float:
        """Return the requests that are expected at a target now, of all entries."""
        mean = self._means.get(target.info.incarnation, 0.0)
        reported = target.remote_load.requests
        return target.requests + mean + certainty * (reported - mean)

    # Decision.

    def choose(
        self,
        targets: Sequence[Target],
        service: Service,
        demand: ResourceDemand,
        data_centre: str,
        random_source: random.Random,
    ) -> Target | None:
        """Return a target that has capacity, or None; see `choose_target`."""
        if service.model_engine is not None:
            return choose_target(targets, service, demand, data_centre, random_source)
        certainty = self.certainty(service.name)
        eligible: list[Target] = []
        costs_s: list[float] = []
        for target in targets:
            requests = self.expected_requests(target, certainty)
            if requests < max_requests(target):
                eligible.append(target)
                costs_s.append(plain_cost_s(target, requests, data_centre))
        if not eligible:
            return None
        self._ages[bisect.bisect(AGE_BOUNDS_S, self.age_s())] += 1
        slots = max(1, min(target.info.slots for target in eligible))
        temperature_s = (1.0 - certainty) * PLAIN_FULL_COST_S / slots
        return eligible[pick_evenly(costs_s, temperature_s, random_source)]

    def metric_lines(self) -> list[str]:
        """Return how old the knowledge was at the choices, as metric lines."""
        lines, total = [], 0
        for bound_s, count in zip((*AGE_BOUNDS_S, "+Inf"), self._ages, strict=True):
            total += count
            name = f'endivesill_choice_knowledge_age_seconds_bucket{{le="{bound_s}"}}'
            lines.append(f"{name} {total}")
        return lines
