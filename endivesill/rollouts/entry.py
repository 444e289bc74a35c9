"""An entry's part in roll-outs: it obeys the leader and reports outcomes."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from typing import Any

import attrs

from endivesill import events
from endivesill.peers import Message
from endivesill.rollouts.events import ROLLOUT_APPLIED
from endivesill.rollouts.model import Phase, RolloutState, ServicePhase
from endivesill.rollouts.outcomes import VersionOutcomes
from endivesill.rollouts.versions import TargetVersions
from endivesill.timer import TimerService

__all__ = ["OFFER_PATH", "EntryRollouts"]

# At the leader: offers one request to the new version of a service.
OFFER_PATH = "/rollouts/offer"


@attrs.define(eq=False)
class _ServiceRollout:
    """A roll-out of one service as this entry knows it.

    Attributes:
      index: identifies the roll-out.
      engines: which engines get ordinary requests.
      asking: fraction of their requests that routes offer to the new version; that of
        the name "" holds for all others.
      is_retiring: whether generations are to leave the old engines.
      canary_requests: requests sent to the new version in the canary phase.
      outcomes: outcomes since the last report.
    """

    index: int
    engines: ServicePhase
    asking: dict[str, float]
    is_retiring: bool
    canary_requests: int = 0
    outcomes: VersionOutcomes = attrs.Factory(VersionOutcomes)


class EntryRollouts(TargetVersions):
    """The roll-outs that the leader has told this entry of.

    Args:
      timer: the timer service.
      holds_lease: returns whether this entry is in touch with the leader.
      ask_leader: sends a message to `OFFER_PATH` at the leader and returns the reply;
        None without one.
      random_source: draws which requests are offered.
    """

    def __init__(
        self,
        timer: TimerService,
        holds_lease: Callable[[], bool],
        ask_leader: Callable[[Message], Awaitable[Message | None]],
        random_source: random.Random | None = None,
    ) -> None:
        self._timer = timer
        self._holds_lease = holds_lease
        self._ask_leader = ask_leader
        self._random = random_source or random.Random()
        self._stamp: list[int] | None = None
        self._services: dict[str, _ServiceRollout] = {}

    # Messages.

    def request_fields(self) -> Message:
        """Return the part of a poll; empty where the leader told of no roll-out."""
        if self._stamp is None:
            return {}
        reports = {
            service: {"index": rollout.index, "outcomes": rollout.outcomes.take()}
            for service, rollout in self._services.items()
            if rollout.engines.state is RolloutState.RUNNING
        }
        return {"rollouts_stamp": self._stamp, "rollouts": reports}

    def restore(self, request: Message) -> None:
        """Take back the outcomes of a poll that did not arrive."""
        for service, report in request.get("rollouts", {}).items():
            rollout = self._services.get(service)
            if rollout is not None and rollout.index == report["index"]:
                rollout.outcomes.restore(report["outcomes"])

    def apply_reply(self, reply: Message) -> bool:
        """Apply the reply to a poll; return whether it tells of a change."""
        rows = reply.get("rollouts")
        if rows is None:
            return False
        self._stamp = reply["rollouts_stamp"] if rows else None
        self._apply_rows(rows)
        return True

    def _apply_rows(self, rows: dict[str, Any]) -> None:
        services = {}
        for service, row in rows.items():
            rollout = _decode_row(row)
            known = self._services.get(service)
            if known is not None and known.index == rollout.index:
                rollout.canary_requests = known.canary_requests
                rollout.outcomes = known.outcomes
            engines = rollout.engines
            if known is None or (known.engines.phase, known.engines.state) != (
                engines.phase,
                engines.state,
            ):
                events.emit(
                    ROLLOUT_APPLIED,
                    service=service,
                    state=engines.state.value,
                    phase=engines.phase.value,
                    old=len(engines.old),
                    new=len(engines.new),
                )
            services[service] = rollout
        self._services = services

    # Placement.

    def is_barred(self, service: str, incarnation: str) -> bool:
        """Return whether a target of a service gets no ordinary requests."""
        rollout = self._services.get(service)
        if rollout is None:
            return False
        return rollout.engines.is_barred(incarnation, self._holds_lease())

    def is_retiring(self, service: str, incarnation: str) -> bool:
        """Return whether a target's generations are to go on at other targets."""
        rollout = self._services.get(service)
        return (
            rollout is not None
            and rollout.is_retiring
            and incarnation in rollout.engines.old
        )

    async def offer(self, service: str, route: str) -> frozenset[str] | None:
        """Offer a request to the new version of its service.

        Returns:
          The targets that it is to be sent to; None if it stays with the old version.
        """
        rollout = self._services.get(service)
        if rollout is None or not rollout.asking:
            return None
        fraction = rollout.asking.get(route, rollout.asking.get("", 0.0))
        if self._random.random() >= fraction:
            return None
        message = {"service": service, "route": route, "index": rollout.index}
        reply = await self._ask_leader(message)
        if reply is None or not reply.get("pool"):
            return None
        rollout.canary_requests += 1
        return frozenset(reply["pool"])

    # Outcomes.

    def note_request(self, service: str, route: str) -> None:
        """Count a request to a service."""
        rollout = self._services.get(service)
        if rollout is not None:
            rollout.outcomes.note_request(route)

    def note_failed(self, service: str, route: str, incarnation: str) -> None:
        """Count a failure of a target, or a request without a response."""
        rollout = self._services.get(service)
        if rollout is not None:
            version = "new" if incarnation in rollout.engines.new else "old"
            rollout.outcomes.note_failed(route, version)

    def note_start(
        self, service: str, route: str, incarnation: str, duration_s: float
    ) -> None:
        """Count the time to the first byte of a response."""
        self._note_time(service, route, incarnation, "start", duration_s)

    def note_pace(
        self, service: str, route: str, incarnation: str, duration_s: float
    ) -> None:
        """Count the time per event of a stream."""
        self._note_time(service, route, incarnation, "pace", duration_s)

    def _note_time(
        self,
        service: str,
        route: str,
        incarnation: str,
        measure: str,
        duration_s: float,
    ) -> None:
        rollout = self._services.get(service)
        if rollout is not None:
            version = "new" if incarnation in rollout.engines.new else "old"
            rollout.outcomes.note_time(route, version, measure, duration_s)

    def metric_lines(self) -> list[str]:
        """Return the known roll-outs and the permits used as metric lines."""
        return [
            line
            for service, rollout in sorted(self._services.items())
            for line in (
                f'endivesill_rollout_shifted{{service="{service}"}} '
                f"{int(rollout.engines.phase is Phase.SHIFT)}",
                f'endivesill_rollout_canary_requests{{service="{service}"}} '
                f"{rollout.canary_requests}",
            )
        ]


def _decode_row(row: Message) -> _ServiceRollout:
    engines = ServicePhase(
        state=RolloutState(row["state"]),
        phase=Phase(row["phase"]),
        old=frozenset(row["old"]),
        new=frozenset(row["new"]),
        excluded=frozenset(row["excluded"]),
    )
    return _ServiceRollout(row["index"], engines, row["asking"], row["retiring"])
