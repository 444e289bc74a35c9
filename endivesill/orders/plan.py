"""Placement decisions: which engine should get another model or role.

The thresholds for receiving and for giving up an engine differ (hysteresis), so
that an engine that was moved is not moved back immediately.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import attrs

from endivesill.orders.messages import OrderKind

__all__ = ["Decision", "PlacedEngine", "ServiceDemand", "plan_move", "plan_role"]

RECIPIENT_MIN_UTILISATION = 0.9
DONOR_MAX_UTILISATION = 0.6
MIN_ENGINES = 1
ROLE_SHARE_TOLERANCE = 0.15
MIN_ENGINES_WITH_ROLES = 2
PREFILL = "prefill"
DECODE = "decode"


@attrs.frozen
class ServiceDemand:
    """Current demand for a service in a data centre.

    Attributes:
      engines: the load, as a number of fully utilised engines.
      prefill_share: the share of the load that is prefill, 0 to 1; None if the
        engines keep the role `mixed`.
      version: the model version to load on its engines; empty for any.
    """

    engines: float
    prefill_share: float | None = None
    version: str = ""


@attrs.frozen
class PlacedEngine:
    """An engine of the data centre that may be reassigned.

    Attributes:
      target: the name of the engine.
      service: the service whose model is loaded.
      role: `prefill`, `decode` or `mixed`.
      running: the number of running requests.
    """

    target: str
    service: str
    role: str = "mixed"
    running: int = 0


@attrs.frozen
class Decision:
    """An order that placement has decided to issue, with its reason.

    Attributes:
      target: the name of the engine.
      kind: the kind of the order.
      subject: the model or role.
      version: the version of the model; empty for any.
      reason: the reason, for the log.
    """

    target: str
    kind: OrderKind
    subject: str
    version: str
    reason: str

    def trigger(self) -> tuple[str, str]:
        """Return the kind and subject, which must persist for the hold time."""
        return self.kind.value, self.subject


def _engines_of(engines: Sequence[PlacedEngine], service: str) -> list[PlacedEngine]:
    return [engine for engine in engines if engine.service == service]


def plan_move(
    engines: Sequence[PlacedEngine], demands: Mapping[str, ServiceDemand]
) -> Decision | None:
    """Return the move of an engine to the most overloaded service, or None.

    The engine comes from the service with the most spare capacity; without one
    there is no move.
    """
    counts = {service: len(_engines_of(engines, service)) for service in demands}
    overload = {
        service: demand.engines / max(counts[service], 0.5)
        for service, demand in demands.items()
        if demand.engines > RECIPIENT_MIN_UTILISATION * counts[service]
    }
    if not overload:
        return None
    recipient = max(sorted(overload), key=lambda service: overload[service])
    donors = {
        service: DONOR_MAX_UTILISATION * (counts[service] - 1) - demand.engines
        for service, demand in demands.items()
        if service != recipient
        and counts[service] > MIN_ENGINES
        and demand.engines < DONOR_MAX_UTILISATION * (counts[service] - 1)
    }
    if not donors:
        return None
    donor = max(sorted(donors), key=lambda service: donors[service])
    engine = min(_engines_of(engines, donor), key=lambda e: (e.running, e.target))
    reason = (
        f"{recipient} needs {demands[recipient].engines:.1f} engines "
        f"and has {counts[recipient]}; "
        f"{donor} needs {demands[donor].engines:.1f} and has {counts[donor]}"
    )
    return Decision(
        engine.target,
        OrderKind.LOAD_MODEL,
        recipient,
        demands[recipient].version,
        reason,
    )


def plan_role(
    engines: Sequence[PlacedEngine], demands: Mapping[str, ServiceDemand]
) -> Decision | None:
    """Return a role change that brings a service closer to its prefill share.

    Returns:
      None if every service is within the tolerance or keeps its last engine of
      a role.
    """
    for service in sorted(demands):
        wanted_share = demands[service].prefill_share
        service_engines = _engines_of(engines, service)
        if wanted_share is None or len(service_engines) < MIN_ENGINES_WITH_ROLES:
            continue
        share = sum(engine.role == PREFILL for engine in service_engines) / len(
            service_engines
        )
        step = 1 / len(service_engines)
        tolerance = max(ROLE_SHARE_TOLERANCE, step / 2)
        if abs(wanted_share - share) <= tolerance:
            continue
        role = PREFILL if wanted_share > share else DECODE
        candidates = [engine for engine in service_engines if engine.role != role]
        keeps_other_role = len(candidates) > 1
        if not keeps_other_role:
            continue
        engine = min(candidates, key=lambda e: (e.running, e.target))
        reason = (
            f"prefill share of {service}: {share:.2f} of its engines, "
            f"{wanted_share:.2f} of its load"
        )
        return Decision(engine.target, OrderKind.CHANGE_ROLE, role, "", reason)
    return None
