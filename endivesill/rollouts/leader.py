"""The leader's part in roll-outs: it decides, lends exposure and tells the entries."""

from __future__ import annotations

import collections
from collections.abc import Awaitable, Callable, Sequence

from endivesill import errors, events
from endivesill.control import ControlReplica
from endivesill.peers import Message
from endivesill.rollouts.decision import Decision
from endivesill.rollouts.events import (
    ROLLOUT_CHANGED,
    ROLLOUT_PROGRESS,
    ROLLOUT_UNDECIDED,
)
from endivesill.rollouts.model import ExposureBounds, ServicePhase, VersionedEngine
from endivesill.rollouts.polls import RolloutPolls
from endivesill.rollouts.state import CHANGE, RESERVE, rollouts
from endivesill.rollouts.tracker import RolloutTracker
from endivesill.rollouts.versions import TargetVersions
from endivesill.timer import TimerService

__all__ = ["RolloutLeader"]

# Interval between two looks at the evidence.
STEP_S = 0.1
# Least time between two log lines on the progress of roll-outs.
PROGRESS_PERIOD_S = 1.0
PROPOSE_TIMEOUT_S = 0.5
# How long an entry that no longer polls keeps requests on old engines for all it knows.
CONFIRMATION_TTL_S = 4.0


class RolloutLeader(TargetVersions, RolloutPolls):
    """Runs the roll-outs of the replicated state while this VM leads.

    Args:
      timer: the timer service.
      replica: this VM's control replica.
      bounds: the bounds on the exposure of a version.
      engines: returns the engines of a service.
      on_change: called when entries are to be told of a change.
      confirm_leadership: returns whether a quorum confirms that this VM leads.
    """

    def __init__(
        self,
        timer: TimerService,
        replica: ControlReplica,
        bounds: ExposureBounds,
        engines: Callable[[str], Sequence[VersionedEngine]],
        on_change: Callable[[], None],
        confirm_leadership: Callable[[], Awaitable[bool]],
    ) -> None:
        self._timer = timer
        self._replica = replica
        self._bounds = bounds
        self._engines = engines
        self._on_change = on_change
        self._confirm_leadership = confirm_leadership
        self._term = 0
        self._number = 0
        self._rows: dict[str, Message] = {}
        self._trackers: dict[str, RolloutTracker] = {}
        self._engines_by_service: dict[str, ServicePhase] = {}
        # When each entry polled last and the stamp that it had; the oldest first.
        self._confirmed: collections.OrderedDict[str, tuple[float, list[int]]] = (
            collections.OrderedDict()
        )
        self._logged_s = float("-inf")

    # The replicated state.

    async def run(self) -> None:
        """Decide on the roll-outs while this VM leads, until cancelled."""
        while True:
            await self._timer.sleep(STEP_S)
            await self.step()

    async def step(self) -> None:
        """Take in what is new and commit the changes that are due."""
        self.refresh()
        for tracker in list(self._trackers.values()):
            if tracker.rollout.is_running:
                await self._step(tracker)

    def refresh(self) -> None:
        """Take in the committed roll-outs, the engines and the time."""
        leadership = self._replica.core.leadership
        if leadership is None or not leadership.has_committed_in_term():
            self._trackers.clear()
            self._publish()
            return
        if leadership.term != self._term:
            self._term, self._number = leadership.term, 0
            self._trackers.clear()
            self._confirmed.clear()
        now_s = self._timer.now_s()
        committed = rollouts(self._replica.state)
        for service in self._trackers.keys() - committed.keys():
            del self._trackers[service]
        for service, rollout in committed.items():
            tracker = self._trackers.get(service)
            if tracker is None or tracker.rollout.index != rollout.index:
                tracker = RolloutTracker(rollout, self._bounds, now_s)
                self._trackers[service] = tracker
            tracker.rollout = rollout
            tracker.exposure.reserved_requests = rollout.reserved_requests
            tracker.update(
                now_s,
                self._replica.core.cluster_time_s() - rollout.started_s,
                self._engines(service),
            )
        self._publish()
        # A change that was published just now is known to no entry.
        has_confirmed = self._has_confirmed(now_s)
        for tracker in self._trackers.values():
            tracker.has_confirmed = has_confirmed
        self._log_progress(now_s)

    def _publish(self) -> None:
        """Compute what entries are told; a change gets the next number."""
        trackers = self._trackers
        time_s = self._replica.core.cluster_time_s()
        rows = {
            service: tracker.row()
            for service, tracker in trackers.items()
            if tracker.is_listed(time_s - tracker.rollout.started_s)
        }
        self._engines_by_service = {
            service: trackers[service].engines() for service in rows
        }
        if rows != self._rows:
            self._rows = rows
            self._number += 1
            self._on_change()

    async def _step(self, tracker: RolloutTracker) -> None:
        decision = tracker.decide()
        if decision is not None:
            await self._commit(tracker, decision)
            return
        reservation = tracker.next_reservation()
        if reservation is not None:
            await self._propose(RESERVE, reservation)

    async def _commit(self, tracker: RolloutTracker, decision: Decision) -> None:
        rollout = tracker.rollout
        message = {
            "service": rollout.service,
            "index": rollout.index,
            "state": decision.state.value,
            "phase": decision.phase.value,
            "reason": decision.reason,
        }
        result = await self._propose(CHANGE, message)
        if result is not None and result["changed"]:
            progress = tracker.progress()
            events.emit(ROLLOUT_CHANGED, **{**progress, **message})
            self.refresh()

    async def _propose(self, command: str, message: Message) -> Message | None:
        """Return the result of a command; None if it is not known to be committed."""
        try:
            return await self._replica.propose(command, message, PROPOSE_TIMEOUT_S)
        except errors.EndivesillError as error:
            events.emit(ROLLOUT_UNDECIDED, command=command, reason=str(error))
            return None

    def _log_progress(self, now_s: float) -> None:
        running = [t for t in self._trackers.values() if t.rollout.is_running]
        if running and now_s - self._logged_s >= PROGRESS_PERIOD_S:
            self._logged_s = now_s
            for tracker in running:
                events.emit(ROLLOUT_PROGRESS, **tracker.progress())

    # Polls of entries.

    def record(self, message: Message) -> None:
        """Record the part of an entry's poll."""
        now_s = self._timer.now_s()
        entry_id = message["entry"]
        self._confirmed[entry_id] = (now_s, message.get("rollouts_stamp", [0, 0]))
        self._confirmed.move_to_end(entry_id)
        for service, report in message.get("rollouts", {}).items():
            tracker = self._tracker(service, report)
            if tracker is not None:
                tracker.record(report["outcomes"], now_s)

    def forget(self, entry_id: str) -> None:
        """Expect no confirmation of an entry that stops."""
        self._confirmed.pop(entry_id, None)

    def has_updates(self, message: Message) -> bool:
        """Return whether an entry lacks a change."""
        known = message.get("rollouts_stamp")
        return known != self._stamp if self._rows else known is not None

    def reply_fields(self, message: Message) -> Message:
        """Return the part of the reply to a poll; empty without roll-outs."""
        fields: Message = {}
        if self.has_updates(message):
            fields["rollouts"] = self._rows
            fields["rollouts_stamp"] = self._stamp
        return fields

    async def handle_offer(self, message: Message) -> Message:
        """Answer an entry that offers a request to the new version of a service.

        Args:
          message: `{"service", "route", "index"}`; the index is that of the roll-out.

        Returns:
          `{"pool"}`: the engines for this request; empty for none.
        """
        service, route = message["service"], message["route"]
        if not await self._confirm_leadership():
            return {"pool": []}
        # Nothing may come between the look at the budget and its use.
        tracker = self._tracker(service, message)
        pool = tracker.canary_pool(route) if tracker is not None else None
        if pool is None:
            return {"pool": []}
        self.use_canary(service, route)
        return {"pool": sorted(pool)}

    @property
    def _stamp(self) -> list[int]:
        return [self._term, self._number]

    def _tracker(self, service: str, report: Message) -> RolloutTracker | None:
        tracker = self._trackers.get(service)
        if tracker is None or tracker.rollout.index != report["index"]:
            return None
        return tracker

    def _has_confirmed(self, now_s: float) -> bool:
        """Return whether all entries that still poll have the newest stamp."""
        while self._confirmed:
            entry_id, (polled_s, _) = next(iter(self._confirmed.items()))
            if now_s - polled_s <= CONFIRMATION_TTL_S:
                break
            del self._confirmed[entry_id]
        return all(stamp == self._stamp for _, stamp in self._confirmed.values())

    # Placement at the leader.

    def is_barred(self, service: str, incarnation: str) -> bool:
        """Return whether a target of a service gets no ordinary requests."""
        engines = self._engines_by_service.get(service)
        return engines is not None and engines.is_barred(incarnation, True)

    def canary_pool(self, service: str, route: str) -> frozenset[str] | None:
        """Return the targets for one request to the new version; None for none."""
        tracker = self._trackers.get(service)
        return None if tracker is None else tracker.canary_pool(route)

    def use_canary(self, service: str, route: str) -> None:
        """Count a request that is sent to a target of `canary_pool`."""
        self._trackers[service].exposure.used += 1

    def metric_lines(self) -> list[str]:
        """Return the state and progress of the roll-outs as metric lines."""
        lines = []
        for service, tracker in sorted(self._trackers.items()):
            rollout, progress = tracker.rollout, tracker.progress()
            label = f'{{service="{service}",version="{rollout.version}"}}'
            lines.append(
                f'endivesill_rollout_state{{service="{service}",'
                f'version="{rollout.version}",state="{rollout.state.value}",'
                f'phase="{rollout.phase.value}"}} 1'
            )
            lines += [
                f"endivesill_rollout_{name}{label} {progress[name]}"
                for name in (
                    "age_s",
                    "exposed_requests",
                    "allowed_requests",
                    "service_requests",
                    "judged_answers",
                    "new_engines",
                    "old_requests",
                )
            ]
        return lines
