"""Outcomes of simulated requests and the figures that summarise them."""

from __future__ import annotations

import math
from typing import Any

import attrs

from bench.worst_load_arrivals import CLASSES, Arrival, find_class

__all__ = ["MAX_GAP_S", "MEASURED_S", "Outcome", "summary"]

MEASURED_S = 40.0
# A request with a longer gap between two events counts as late.
MAX_GAP_S = 0.18
# Sessions and organisations with fewer requests do not count as starved.
MIN_STARVED_REQUESTS = 4


@attrs.define
class Outcome:
    """Outcome of a request.

    Attributes:
      arrival: the request.
      refusals: how often it was refused.
      served: whether the generation was completed.
      first_event_s: from its first arrival to its first event; infinite without one.
      max_gap_s: the longest gap between two events.
    """

    arrival: Arrival
    refusals: int = 0
    served: bool = False
    first_event_s: float = math.inf
    max_gap_s: float = 0.0

    @property
    def is_late(self) -> bool:
        """Whether it was served, but missed its target latency or had a long gap."""
        target_s = find_class(self.arrival.kind).target_latency_s
        return self.served and (
            self.first_event_s > target_s or self.max_gap_s > MAX_GAP_S
        )

    @property
    def worth(self) -> float:
        """Its value to the caller, weighted by its size; 0 if not served."""
        kind = find_class(self.arrival.kind)
        if not self.served:
            return 0.0
        return self.size * (kind.late_worth if self.is_late else kind.worth)

    @property
    def size(self) -> float:
        """Its size relative to the mean of its class, in the users' weighting."""
        kind = find_class(self.arrival.kind)
        tokens = self.arrival.prompt_tokens + 10 * self.arrival.output_tokens
        mean = kind.prompt_tokens + 10 * kind.output_tokens
        return min(4.0, 0.3 + 0.7 * tokens / mean)


def summary(outcomes: list[Outcome]) -> dict[str, Any]:
    """Return the figures of a run: for all measured requests and by class."""
    outcomes = [item for item in outcomes if item.arrival.time_s < MEASURED_S]
    table = {"all": _figures(outcomes)}
    for kind in CLASSES:
        selected = [item for item in outcomes if item.arrival.kind == kind.name]
        table[kind.name] = _figures(selected)
    return table


def _figures(outcomes: list[Outcome]) -> dict[str, float]:
    count = max(1, len(outcomes))
    maximum = sum(item.size * find_class(item.arrival.kind).worth for item in outcomes)
    broken = [i for i in outcomes if not i.served and i.first_event_s < math.inf]
    return {
        "worth": round(sum(item.worth for item in outcomes) / max(1.0, maximum), 4),
        "served": round(sum(item.served for item in outcomes) / count, 4),
        "refused": round(
            sum(i.refusals > 0 and not i.served for i in outcomes) / count, 4
        ),
        "late": round(sum(item.is_late for item in outcomes) / count, 4),
        "pauses": round(sum(i.served and i.max_gap_s > MAX_GAP_S for i in outcomes), 4),
        "broken": len(broken),
        "starved": _starved(outcomes),
        "largest_tenth": _largest_tenth(outcomes),
    }


def _starved(outcomes: list[Outcome]) -> int:
    """Return how many frequent sessions and organisations had no request served."""
    starved = 0
    for name in ("session", "organisation"):
        groups: dict[str, list[bool]] = {}
        for item in outcomes:
            groups.setdefault(getattr(item.arrival, name), []).append(item.served)
        starved += sum(
            len(group) >= MIN_STARVED_REQUESTS and not any(group)
            for group in groups.values()
        )
    return starved


def _largest_tenth(outcomes: list[Outcome]) -> float:
    """Return the served fraction of the largest tenth, relative to that of all."""
    ordered = sorted(outcomes, key=lambda item: item.size)
    largest = ordered[-max(1, len(ordered) // 10) :]
    share = sum(item.served for item in outcomes) / max(1, len(outcomes))
    if not share:
        return 0.0
    selected = sum(item.served for item in largest) / max(1, len(largest))
    return round(selected / share, 4)
