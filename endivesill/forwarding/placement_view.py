"""Explains where a request would be placed now, without placing it."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from typing import Any

import attrs

from endivesill.fleet.model import Service
from endivesill.forwarding.even_load import EvenLoad
from endivesill.forwarding.placement import (
    MEAN_OUTPUT_FRACTION,
    capacity_problem,
    cost_terms,
)
from endivesill.forwarding.route_table import RouteTable
from endivesill.forwarding.targets import ResourceDemand, Target, TargetTable
from endivesill.timer import TimerService

__all__ = ["PlacementQuery", "TargetView", "entry_page", "view_targets"]

# Candidates of one answer; the cheapest come first.
MAX_VIEWED = 64


@attrs.frozen
class PlacementQuery:
    """The request that is asked about.

    Attributes:
      service: name of its service.
      demand: the resources that it would take.
      priority: 0 is the most urgent.
      organisation: who would send it.
      patience_s: how long it could wait.
    """

    service: str
    demand: ResourceDemand
    priority: int = 1
    organisation: str = ""
    patience_s: float = 1.0

    @classmethod
    def read(cls, fields: Mapping[str, str]) -> PlacementQuery:
        """Return the query of a request to a page.

        Args:
          fields: `service`, and as decimal numbers, if they differ from the defaults,
            `prompt_tokens`, `output_tokens`, `pause_limit_s`, `priority` and
            `patience_s`; `organisation`.

        Raises:
          ValueError: a field is no number.
        """
        prompt_tokens = int(fields.get("prompt_tokens", "0"))
        output_tokens = int(fields.get("output_tokens", "0"))
        return cls(
            fields.get("service", ""),
            ResourceDemand(
                prompt_tokens,
                prompt_tokens + int(MEAN_OUTPUT_FRACTION * output_tokens),
                float(fields.get("pause_limit_s", "0")),
            ),
            int(fields.get("priority", "1")),
            fields.get("organisation", ""),
            float(fields.get("patience_s", "1")),
        )


@attrs.frozen
class TargetView:
    """How a target compares with the others.

    Attributes:
      target: its identity.
      data_centre: where it is.
      requests: requests of all entries that run there, as far as is known.
      excluded: why it may not be chosen; empty if it may.
      cost_s: the cost by which it is compared.
      terms: the parts of the cost, in seconds.
      report_age_s: age of its load report; None without one.
    """

    target: str
    data_centre: str
    requests: float
    excluded: str
    cost_s: float
    terms: dict[str, float]
    report_age_s: float | None


def view_targets(
    table: TargetTable,
    service: Service,
    demand: ResourceDemand,
    now_s: float,
    even_load: EvenLoad | None = None,
) -> list[TargetView]:
    """Return all listed targets of a service: first those that may be chosen, by cost.

    Args:
      table: the targets.
      service: the service.
      demand: the resources that a request would take.
      now_s: the time.
      even_load: what an entry expects of plain targets; None where the last report
        counts.
    """
    certainty = even_load.certainty(service.name) if even_load is not None else 1.0
    candidates = set(map(id, table.candidates(service.name, ())))

    def view(target: Target) -> TargetView:
        requests: float = target.total_requests
        if even_load is not None and service.model_engine is None:
            requests = even_load.expected_requests(target, certainty)
        excluded = table.exclusion(target)
        if not excluded and id(target) not in candidates:
            excluded = "it fails, and others do not"
        excluded = excluded or capacity_problem(target, service, demand, requests)
        terms = cost_terms(target, service, demand, table.data_centre, requests)
        return TargetView(
            target.info.identity,
            target.info.data_centre,
            round(requests, 2),
            excluded,
            round(sum(terms.values()), 4),
            {name: round(value, 4) for name, value in terms.items() if value},
            None if target.report is None else round(now_s - target.report.read_s, 3),
        )

    views = [view(target) for target in table.listed(service.name)]
    views.sort(key=lambda item: (bool(item.excluded), item.cost_s))
    return views[:MAX_VIEWED]


def entry_page(
    timer: TimerService,
    table: TargetTable,
    routes: Callable[[], RouteTable | None],
    even_load: EvenLoad | None,
) -> Callable[[Mapping[str, str]], Any]:
    """Return an entry's page about plain requests, which entries place themselves."""

    def answer(fields: Mapping[str, str]) -> Any:
        query = PlacementQuery.read(fields)
        known = routes()
        service = known and known.configuration.services.get(query.service)
        if not service:
            return {"error": f"no service {query.service!r} in the configuration"}
        if service.model_engine is not None:
            return {"error": "generations are placed by the leading control VM"}
        views = view_targets(table, service, query.demand, timer.now_s(), even_load)
        chosen = next((view for view in views if not view.excluded), None)
        age_s = even_load.age_s() if even_load is not None else None
        return {
            "outcome": "placed" if chosen is not None else "waits",
            "target": chosen.target if chosen is not None else None,
            "knowledge_age_s": _finite(age_s),
            "candidates": [attrs.asdict(view) for view in views],
        }

    return answer


def _finite(duration_s: float | None) -> float | None:
    """Return a rounded duration; JSON has no infinity."""
    if duration_s is None or math.isinf(duration_s):
        return None
    return round(duration_s, 3)
