"""Placement decisions: which engine should get another model or role.

The bounds for taking and giving lie apart (hysteresis), so that an engine that was
moved is not wanted back at once.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import attrs

from endivesill.orders.messages import OrderKind

__all__ = ["Decision", "PlacedEngine", "ServiceDemand", "plan_move", "plan_role"]

SHORT_ABOVE_SHARE = 0.9
SPARE_BELOW_SHARE = 0.6
LEAST_ENGINES = 1
ROLE_BAND_SHARE = 0.15
LEAST_ENGINES_WITH_ROLES = 2
PREFILL = "prefill"
DECODE = "decode"


@attrs.frozen
class ServiceDemand:
    """What a service needs in a data centre now.

    Attributes:
      engines: the work, in engines that it would keep busy.
      prefill_share: the share of it that is prefill; None where engines keep the
        role `mixed`.
      version: the model version that its engines should have; empty for any.
    """

    engines: float
    prefill_share: float | None = None
    version: str = ""


@attrs.frozen
class PlacedEngine:
    """An engine of the data centre that may be moved.

    Attributes:
      target: its name.
      service: the service whose model it has.
      role: its role.
      running: requests that run on it.
    """

    target: str
    service: str
    role: str = "mixed"
    running: int = 0


@attrs.frozen
class Decision:
    """An order that should be given, and why.

    Attributes:
      target: the engine.
      kind: what to order.
      subject: the model or role.
      version: the model's version.
      reason: why, for the log.
    """

    target: str
    kind: OrderKind
    subject: str
    version: str
    reason: str

    def motive(self) -> tuple[str, str]:
        """Return what must last for the decision to be carried out."""
        return self.kind.value, self.subject


def _of(engines: Sequence[PlacedEngine], service: str) -> list[PlacedEngine]:
    return [engine for engine in engines if engine.service == service]


def plan_move(
    engines: Sequence[PlacedEngine], demands: Mapping[str, ServiceDemand]
) -> Decision | None:
    """Return the model move that helps the shortest service, if one has spare."""
    counts = {service: len(_of(engines, service)) for service in demands}
    short = {
        service: demand.engines / max(counts[service], 0.5)
        for service, demand in demands.items()
        if demand.engines > SHORT_ABOVE_SHARE * counts[service]
    }
    if not short:
        return None
    taker = max(sorted(short), key=lambda service: short[service])
    donors = {
        service: SPARE_BELOW_SHARE * (counts[service] - 1) - demand.engines
        for service, demand in demands.items()
        if service != taker
        and counts[service] > LEAST_ENGINES
        and demand.engines < SPARE_BELOW_SHARE * (counts[service] - 1)
    }
    if not donors:
        return None
    donor = max(sorted(donors), key=lambda service: donors[service])
    engine = min(_of(engines, donor), key=lambda e: (e.running, e.target))
    reason = (
        f"{taker} needs {demands[taker].engines:.1f} engines and has {counts[taker]}; "
        f"{donor} needs {demands[donor].engines:.1f} and has {counts[donor]}"
    )
    return Decision(
        engine.target, OrderKind.LOAD_MODEL, taker, demands[taker].version, reason
    )


def plan_role(
    engines: Sequence[PlacedEngine], demands: Mapping[str, ServiceDemand]
) -> Decision | None:
    """Return the role change that brings a service nearest to its shares."""
    for service in sorted(demands):
        wanted = demands[service].prefill_share
        own = _of(engines, service)
        if wanted is None or len(own) < LEAST_ENGINES_WITH_ROLES:
            continue
        share = sum(engine.role == PREFILL for engine in own) / len(own)
        step = 1 / len(own)
        band = max(ROLE_BAND_SHARE, step / 2)
        if abs(wanted - share) <= band:
            continue
        role = PREFILL if wanted > share else DECODE
        others = [engine for engine in own if engine.role != role]
        keeps_other_role = len(others) > 1
        if not keeps_other_role:
            continue
        engine = min(others, key=lambda e: (e.running, e.target))
        reason = (
            f"{share:.2f} of {service}'s engines prefill, {wanted:.2f} of its work does"
        )
        return Decision(engine.target, OrderKind.CHANGE_ROLE, role, "", reason)
    return None
