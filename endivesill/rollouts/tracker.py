"""One roll-out under one leader: its evidence, exposure and engines."""

from __future__ import annotations

from collections.abc import Sequence

from endivesill.peers import Message
from endivesill.rollouts.decision import (
    CANARY_FRACTION,
    LATEST_SHIFT_FRACTION,
    Decision,
    Situation,
    canary_engines,
    decide,
    is_retiring,
)
from endivesill.rollouts.evidence import Evidence
from endivesill.rollouts.exposure import USED_FRACTION, ExposureBudget
from endivesill.rollouts.model import (
    ExposureBounds,
    Phase,
    Rollout,
    RolloutState,
    ServicePhase,
    VersionedEngine,
)
from endivesill.rollouts.outcomes import OutcomeRows

__all__ = ["RolloutTracker"]

# How long the engines of the old version get no requests after a completed roll-out.
# The platform stops them at once, and the list may lag; later ones may be started on
# purpose.
STOPPED_S = 10.0
# Answers of the new version that are under way for a route without enough evidence;
# with these, no more are reserved for it.
RESERVED_FOR_ROUTE = 4
# Requests that are offered for each that a route gets.
OVERSAMPLING = 2.0
# The fractions of requests that are offered, in few steps: a change goes to all
# entries.
STEPS = (0.02, 0.05, 0.1, 0.2, 0.5, 1.0)
# Part of the usual evidence that is enough at the last moment for a shift: a version
# that is clearly bad would have been found by then.
LAST_PART = 0.4
# Least time over which the request rate is taken.
RATE_S = 1.0


class RolloutTracker:
    """Follows one roll-out while this VM leads.

    Args:
      rollout: the roll-out.
      bounds: the bounds on its exposure.
      now_s: the time.

    Attributes:
      rollout: the roll-out as last committed.
      exposure: the requests that the version has got or may get.
      has_confirmed: whether all entries know what was told last.
    """

    def __init__(self, rollout: Rollout, bounds: ExposureBounds, now_s: float) -> None:
        self.rollout = rollout
        self._bounds = bounds
        self._evidence = Evidence(rollout.digest)
        self.exposure = ExposureBudget(
            bounds, rollout.reserved_requests, rollout.requests
        )
        self._rate_from = (now_s, rollout.requests)
        self._requests_per_s = 0.0
        self._canary_per_s = 0.0
        self._engines: tuple[list[VersionedEngine], list[VersionedEngine]] = ([], [])
        self._pool: frozenset[str] = frozenset()
        # Engines of versions that were taken back before.
        self._excluded: frozenset[str] = frozenset()
        self._age_s = 0.0
        self._shifted_at_age_s: float | None = None
        self.has_confirmed = False

    @property
    def is_canary(self) -> bool:
        """Whether single requests go to the new version."""
        return self.rollout.is_running and self.rollout.phase is Phase.CANARY

    def is_listed(self, age_s: float) -> bool:
        """Return whether entries need to know of it."""
        old, new = self._engines
        if self._excluded:
            return True
        if self.rollout.state is RolloutState.COMPLETED:
            ended_age_s = age_s - (self.rollout.ended_s - self.rollout.started_s)
            return bool(old) and ended_age_s < STOPPED_S
        return self.rollout.is_running or bool(new)

    def update(
        self,
        now_s: float,
        age_s: float,
        engines: Sequence[VersionedEngine],
    ) -> None:
        """Take in the time and the engines."""
        self._age_s = age_s
        if self.rollout.phase is Phase.SHIFT and self._shifted_at_age_s is None:
            self._shifted_at_age_s = age_s
        version = self.rollout.version
        excluded = self.rollout.taken_back
        old = [e for e in engines if e.version != version and e.version not in excluded]
        new = [engine for engine in engines if engine.version == version]
        self._excluded = frozenset(
            engine.incarnation for engine in engines if engine.version in excluded
        )
        self._engines = (old, new)
        self._update_rate(now_s)
        self._canary_per_s = USED_FRACTION * (
            self._bounds.slack_requests / max(RATE_S, self._canary_s)
            + self._bounds.share * self._requests_per_s
        )
        pool = canary_engines(old, new, self._requests_per_s, self._canary_per_s)
        self._pool = frozenset(engine.incarnation for engine in pool)
        self._evidence.judge(now_s)

    def _update_rate(self, now_s: float) -> None:
        from_s, requests = self._rate_from
        if now_s - from_s >= RATE_S:
            self._requests_per_s = (self.exposure.requests - requests) / (
                now_s - from_s
            )
            self._rate_from = (now_s, self.exposure.requests)

    @property
    def _canary_s(self) -> float:
        return CANARY_FRACTION * self.rollout.duration_s

    @property
    def _elapsed_fraction(self) -> float:
        return self._age_s / max(RATE_S, self._canary_s)

    def decide(self) -> Decision | None:
        """Return the next change; None to go on."""
        old, new = self._engines
        situation = Situation(
            self._age_s,
            self._age_s - (self._shifted_at_age_s or 0.0),
            self._evidence.alarm(),
            self._missing(),
            old,
            new,
            self.has_confirmed,
        )
        return decide(self.rollout, situation)

    def _missing(self) -> str:
        """Return the evidence that is missing for a shift; empty if none."""
        latest_s = LATEST_SHIFT_FRACTION * self.rollout.duration_s
        if self._age_s >= latest_s:
            return self._evidence.missing(part=LAST_PART)
        return self._evidence.missing(latest_s / max(RATE_S, self._age_s))

    def next_reservation(self) -> Message | None:
        """Return the arguments of the reservation that is due; None without one."""
        if not self.is_canary or not self._pool:
            return None
        requests = self.exposure.next_reservation(self._elapsed_fraction)
        if requests is None:
            return None
        return {
            "service": self.rollout.service,
            "index": self.rollout.index,
            "reserved_requests": requests,
            "requests": self.exposure.requests,
            "digest": self._evidence.digest(),
        }

    def record(self, rows: OutcomeRows, now_s: float) -> None:
        """Record the outcomes in an entry's report."""
        self.exposure.requests += sum(row["requests"] for row in rows.values())
        if rows:
            self._evidence.add(rows, now_s)

    def canary_pool(self, route: str) -> frozenset[str] | None:
        """Return the engines for one canary request of a route; None for none."""
        if not self.is_canary or not self._pool or self._room_for(route) < 1:
            return None
        return self._pool

    def _room_for(self, route: str) -> int:
        """Return how many requests of a route may be given out now.

        A route with enough evidence leaves some room for those without.
        """
        room = self.exposure.room(self._elapsed_fraction)
        if self._evidence.wants_answers(route):
            return room
        return room - RESERVED_FOR_ROUTE * len(self._evidence.routes_wanting())

    def _asking(self) -> dict[str, float]:
        """Return which fraction of their requests entries offer, by route.

        Those that want answers come first; the name "" stands for all other routes.
        Asking costs an exchange, so that more than is granted is not asked for.
        """
        if not self.is_canary or not self._pool:
            return {}
        total = max(1, self._evidence.total_requests())
        asking = {"": _step_up(self._canary_per_s / max(1.0, self._requests_per_s))}
        wanting = self._evidence.routes_wanting()
        for route in wanting:
            route_per_s = self._requests_per_s * self._evidence.requests(route) / total
            offered = OVERSAMPLING * self._canary_per_s / len(wanting)
            asking[route] = _step_up(offered / max(0.1, route_per_s))
        return asking

    def engines(self) -> ServicePhase:
        """Return which engines get ordinary requests."""
        old, new = self._engines
        return ServicePhase(
            self.rollout.state,
            self.rollout.phase,
            frozenset(engine.incarnation for engine in old),
            frozenset(engine.incarnation for engine in new),
            self._excluded,
        )

    def is_retiring(self) -> bool:
        """Return whether generations are to leave the old engines."""
        return self.rollout.is_running and is_retiring(self.rollout, self._age_s)

    def row(self) -> Message:
        """Return what entries need to know."""
        engines = self.engines()
        return {
            "index": self.rollout.index,
            "state": engines.state.value,
            "phase": engines.phase.value,
            "old": sorted(engines.old),
            "new": sorted(engines.new),
            "excluded": sorted(engines.excluded),
            "asking": self._asking(),
            "retiring": self.is_retiring(),
        }

    def progress(self) -> Message:
        """Return the evidence and exposure for the log and the metrics."""
        old, new = self._engines
        return {
            "service": self.rollout.service,
            "version": self.rollout.version,
            "phase": self.rollout.phase.value,
            "age_s": round(self._age_s, 2),
            "duration_s": self.rollout.duration_s,
            "exposed_requests": self.exposure.used,
            "allowed_requests": self.exposure.allowed(self._elapsed_fraction),
            "service_requests": self.exposure.requests,
            "judged_answers": self._evidence.answers(),
            "missing": self._missing(),
            "old_engines": len(old),
            "new_engines": len(new),
            "old_requests": sum(engine.requests for engine in old),
        }


def _step_up(fraction: float) -> float:
    return next((step for step in STEPS if step >= fraction), 1.0)
