"""The targets of one entry: list, load, health and rate limits."""

from __future__ import annotations

from collections.abc import Callable, Container, Iterable

from endivesill import events
from endivesill.fleet.engine_limits import EngineLimits
from endivesill.fleet.load import EngineLoad
from endivesill.fleet.model import EngineInfo
from endivesill.fleet.notices import EngineNotices
from endivesill.fleet.outcomes import OutcomeCounts
from endivesill.fleet.permits import SendPermits
from endivesill.fleet.reports import EngineReport
from endivesill.fleet.sync_client import NO_LIST_STAMP, FleetView
from endivesill.forwarding.events import TARGET_EJECTED, TARGET_READMITTED
from endivesill.forwarding.health import HealthRecord
from endivesill.forwarding.target import NO_LOAD, ResourceDemand, Target
from endivesill.timer import TimerService

__all__ = ["ResourceDemand", "Target", "TargetTable"]

# First ejection of a target that cannot be connected to or does not report its load;
# about two reads of the platform's list.
CONNECT_EJECTION_S = 0.5
# The ejection doubles with each consecutive refused connection, up to this.
MAX_CONNECT_EJECTION_S = 4.0
MAX_CONNECT_DOUBLINGS = 3
# Largest fraction of a service's targets that may be ejected at a time.
MAX_EJECTED_FRACTION = 0.5


class TargetTable:
    """The targets of the platform's list.

    Args:
      timer: the timer service.
      view: the entry's view of the fleet.
      data_centre: where the entry runs.
      new_record: creates the health record of a target.

    Attributes:
      watchers: called by `notify`.
      notices: what the engines have announced to this process.
      permits: says which targets may be sent a request under their limits.
      on_limit: called when a response has changed a target's limit.
      on_leaving: called with an engine whose notice of departure is news.
      on_ejected: called with a target and the duration of its ejection as an outlier.
      outcomes: counts the outcomes of this entry's requests for the leader.
      on_broken: called after a request that a target broke off.
    """

    def __init__(
        self,
        timer: TimerService,
        view: FleetView,
        data_centre: str,
        new_record: Callable[[], HealthRecord] = HealthRecord,
    ) -> None:
        self._new_record = new_record
        self._timer = timer
        self._view = view
        self.data_centre = data_centre
        self._targets: dict[str, Target] = {}
        self._by_service: dict[str, list[Target]] = {}
        self.watchers: set[Callable[[], None]] = set()
        self.notices = EngineNotices(timer)
        self.permits = SendPermits()
        self.on_limit: Callable[[], None] = lambda: None
        self.on_leaving: Callable[[EngineInfo], None] = lambda engine: None
        self.on_ejected: Callable[[Target, float], None] = lambda target, time_s: None
        self.outcomes = OutcomeCounts()
        self.on_broken: Callable[[], None] = lambda: None

    def notify(self) -> None:
        """Call the watchers; done after a change of the targets and periodically."""
        for watcher in list(self.watchers):
            watcher()

    def update_engines(self) -> None:
        """Apply the engine list of the view."""
        for target in self._targets.values():
            target.listed = False
        for incarnation, info in self._view.engines.items():
            if incarnation not in self._targets:
                self._targets[incarnation] = Target(info, self._new_record())
            target = self._targets[incarnation]
            if info.address != target.info.address:
                target.is_replaced = False
            target.info = info
            target.listed = True
            if not info.is_draining and not self.notices.is_leaving(incarnation):
                target.draining_since_s = None
            elif target.draining_since_s is None:
                target.draining_since_s = self._timer.now_s()
        for incarnation in [key for key, t in self._targets.items() if not t.listed]:
            if not self._targets[incarnation].requests:
                del self._targets[incarnation]
        self.notices.retain(self._targets)
        self._by_service = {}
        for target in self._targets.values():
            if target.listed:
                self._by_service.setdefault(target.info.service, []).append(target)

    def update_loads(self, remote_loads: dict[str, EngineLoad]) -> None:
        """Apply the load of the other entries, by incarnation."""
        for incarnation, target in self._targets.items():
            target.remote_load = remote_loads.get(incarnation, NO_LOAD)

    def update_reports(
        self,
        report_of: Callable[[str], EngineReport | None],
        unresponsive: Container[str],
    ) -> None:
        """Apply the engines' load reports.

        Args:
          report_of: returns the report of an incarnation; None without one.
          unresponsive: incarnations that did not answer the last request for a report;
            they are ejected.
        """
        now_s = self._timer.now_s()
        for incarnation, target in self._targets.items():
            target.report = report_of(incarnation)
            if incarnation in unresponsive:
                target.unreachable_until_s = max(
                    target.unreachable_until_s, now_s + CONNECT_EJECTION_S
                )

    def get_or_add(self, info: EngineInfo) -> Target:
        """Return an engine's target, adding it if the local list lacks it."""
        target = self._targets.get(info.incarnation)
        if target is None:
            target = Target(info, self._new_record())
            self._targets[info.incarnation] = target
            self._by_service.setdefault(info.service, []).append(target)
        return target

    def find_all(self, incarnations: Iterable[str]) -> list[Target]:
        """Return the targets of some incarnations; unknown ones are skipped."""
        return [
            self._targets[incarnation]
            for incarnation in incarnations
            if incarnation in self._targets
        ]

    def own_loads(self) -> dict[str, EngineLoad]:
        """Return this entry's load by incarnation, without idle targets."""
        unused = self.permits.unused()
        return {
            incarnation: target.load(unused.get(incarnation, 0))
            for incarnation, target in self._targets.items()
            if target.requests or target.reserved_tokens or incarnation in unused
        }

    def accepts_requests(self, target: Target) -> bool:
        """Return whether new requests may be sent to a target, ejected or not."""
        return self._stays(target) and not self.notices.is_paused(target.info)

    def _stays(self, target: Target) -> bool:
        """Return whether a target accepts requests, now or after a pause."""
        info = target.info
        return (
            target.listed
            and not target.is_replaced
            and not info.is_draining
            and not self.notices.is_leaving(info.incarnation)
            and info.data_centre not in self._view.evacuated
        )

    def note_announcements(
        self, target: Target, *, is_leaving: bool, pause_s: float | None
    ) -> None:
        """Record what a target has announced in a response."""
        if is_leaving and self.notices.note_leaving(target.info, "response"):
            if target.draining_since_s is None:
                target.draining_since_s = self._timer.now_s()
            self.on_leaving(target.info)
            self.notify()
        if pause_s is not None:
            self.notices.note_pause(target.info, pause_s)

    def use_limits(self, limits: EngineLimits, permits: SendPermits) -> None:
        """Share the limits of targets and the permits with another part."""
        self.notices.limits = limits
        self.permits = permits

    def note_limit(
        self,
        target: Target,
        limit_per_s: float | None,
        brittle_per_s: float | None = None,
        *,
        may_end: bool,
    ) -> None:
        """Record the limit that a response names; see `EngineLimits`."""
        limits, key = self.notices.limits, target.info.incarnation
        is_news = limits.note_response(key, limit_per_s, may_end=may_end)
        if limits.note_brittle(key, brittle_per_s, may_end=may_end) or is_news:
            self.on_limit()

    def unlisted_departures(self) -> list[str]:
        """Return the leaving incarnations that the list does not show as leaving."""
        return [
            incarnation
            for incarnation, info in self._view.engines.items()
            if not info.is_draining and self.notices.is_leaving(incarnation)
        ]

    def withheld(self, service: str) -> list[str]:
        """Return the incarnations of a service that this process may not use now."""
        return [
            target.info.incarnation
            for target in self._by_service.get(service, [])
            if self.notices.is_paused(target.info)
            or self.notices.is_leaving(target.info.incarnation)
        ]

    def pause_end_s(self, service: str) -> float | None:
        """Return when the first target of a service accepts requests again.

        Returns:
          None unless the service has targets and all of them are paused.
        """
        staying = [t for t in self._by_service.get(service, []) if self._stays(t)]
        ends_s = self.pause_ends_s(service)
        return min(ends_s) if ends_s and len(ends_s) == len(staying) else None

    def pause_ends_s(self, service: str) -> list[float]:
        """Return when the paused targets of a service accept requests again."""
        return [
            self.notices.pause_end_s(t.info)
            for t in self._by_service.get(service, [])
            if self._stays(t) and self.notices.is_paused(t.info)
        ]

    def candidates(self, service: str, excluded: Iterable[Target]) -> list[Target]:
        """Return the targets of a service that a request may be placed at.

        Ejected targets are returned only if no other target is left.
        """
        excluded_ids = set(map(id, excluded))
        now_s = self._timer.now_s()
        accepting = [
            target
            for target in self._by_service.get(service, [])
            if id(target) not in excluded_ids and self.accepts_requests(target)
        ]
        healthy = [t for t in accepting if t.ejected_until_s <= now_s]
        return healthy or accepting

    def metric_lines(self) -> list[str]:
        """Return the number of targets in each state as metric lines."""
        states = ("ready", "evacuated", "draining", "resting", "paused")
        counts = dict.fromkeys(states, 0)
        now_s = self._timer.now_s()
        for target in self._targets.values():
            incarnation = target.info.incarnation
            is_leaving = target.info.is_draining or self.notices.is_leaving(incarnation)
            if is_leaving or not target.listed:
                counts["draining"] += 1
            elif self.notices.is_paused(target.info):
                counts["paused"] += 1
            elif not self.accepts_requests(target):
                counts["evacuated"] += 1
            else:
                counts["resting" if target.ejected_until_s > now_s else "ready"] += 1
        lines = [
            f'endivesill_engines{{state="{state}"}} {count}'
            for state, count in counts.items()
        ]
        limited = len(self.notices.limits.limited())
        return [*lines, f"endivesill_engines_limited {limited}"]

    def has_list(self) -> bool:
        """Return whether the list of engines was received since the start."""
        return bool(self._view.engines) or self._view.list_stamp != NO_LIST_STAMP

    def has_targets(self, service: str) -> bool:
        """Return whether a target of a service accepts requests, if after a pause."""
        return any(map(self._stays, self._by_service.get(service, [])))

    # Rate limits.

    def may_send_now(self, target: Target, allowance: float) -> bool:
        """Return whether one more request is allowed; see `Target.may_send`."""
        return target.may_send(self._timer.now_s(), allowance)

    def note_send(self, target: Target) -> None:
        """Record a request that is sent now."""
        target.send_times_s.append(self._timer.now_s())

    def note_placement(self, target: Target, tokens: int) -> None:
        """Record KV cache that is reserved at a target now."""
        target.recent_placements.append((self._timer.now_s(), tokens))

    # Health.

    def eject(self, target: Target, duration_s: float, reason: str) -> None:
        """Eject an outlier for a time, unless too many targets are ejected already."""
        if self._may_eject(target):
            until_s = self._timer.now_s() + duration_s
            target.outlier_until_s = max(target.outlier_until_s, until_s)
            self._log_ejection(target, duration_s, reason)
            self.on_ejected(target, duration_s)

    def _may_eject(self, target: Target) -> bool:
        now_s = self._timer.now_s()
        peers = self._by_service.get(target.info.service, [])
        ejected = sum(t.ejected_until_s > now_s for t in peers if t is not target)
        return ejected + 1 <= MAX_EJECTED_FRACTION * len(peers)

    def _log_ejection(
        self, target: Target, duration_s: float | None, reason: str
    ) -> None:
        events.emit(
            TARGET_EJECTED,
            target=target.info.identity,
            service=target.info.service,
            duration_s=duration_s,
            reason=reason,
        )

    def note_replaced(self, target: Target) -> None:
        """Stop using a target whose address now belongs to another one."""
        target.is_replaced = True
        self._log_ejection(target, None, "another target has its address")

    def note_no_connection(self, target: Target, reason: str) -> None:
        """Eject a target that cannot be connected to."""
        doublings = min(target.refused_connections, MAX_CONNECT_DOUBLINGS)
        ejection_s = CONNECT_EJECTION_S * 2**doublings
        target.refused_connections += 1
        if self._may_eject(target):
            ejection_s = min(ejection_s, MAX_CONNECT_EJECTION_S)
            target.unreachable_until_s = self._timer.now_s() + ejection_s
            self._log_ejection(target, ejection_s, reason)

    def note_broken(self, target: Target) -> None:
        """Count a request whose connection ended without a response."""
        self.outcomes.note_broken(target.info.incarnation)
        self.on_broken()

    def apply_outcomes(self, rows: dict[str, list[int]]) -> None:
        """Count the outcomes that an entry reports; done at the leader.

        Args:
          rows: rows of `OutcomeCounts`; unknown incarnations are skipped.
        """
        for incarnation, (succeeded, failed, broken) in rows.items():
            target = self._targets.get(incarnation)
            if target is None:
                continue
            for _ in range(succeeded):
                self._record_outcome(target, succeeded=True)
            for _ in range(failed):
                self._record_outcome(target, succeeded=False)
            for _ in range(broken):
                ejection_s = target.broken.note(self._timer.now_s())
                if ejection_s > 0:
                    self.eject(target, ejection_s, "breaks off requests")

    def apply_ejections(self, remaining_s: dict[str, float]) -> None:
        """Eject targets as the leader says, by incarnation."""
        now_s = self._timer.now_s()
        for incarnation, duration_s in remaining_s.items():
            target = self._targets.get(incarnation)
            if target is not None:
                until_s = now_s + duration_s
                target.outlier_until_s = max(target.outlier_until_s, until_s)

    def note_overdue(self, target: Target) -> None:
        """Count an overdue response; eject the target after several in a row."""
        ejection_s = target.health.note_overdue()
        if ejection_s > 0:
            self.eject(target, ejection_s, "answers are overdue")

    def note_outcome(self, target: Target, *, succeeded: bool) -> None:
        """Count a response; eject the target if it is an outlier among its peers."""
        if succeeded:
            self.outcomes.note_succeeded(target.info.incarnation)
        else:
            self.outcomes.note_failed(target.info.incarnation)
        self._record_outcome(target, succeeded=succeeded)

    def _record_outcome(self, target: Target, *, succeeded: bool) -> None:
        target.refused_connections = 0
        target.unreachable_until_s = 0.0
        target.health.record_response(succeeded=succeeded)
        peers = [
            t.health
            for t in self._by_service.get(target.info.service, [])
            if t is not target
        ]
        ejection_s = target.health.ejection_s(peers)
        if ejection_s > 0:
            self.eject(target, ejection_s, "fails more often than its peers")
        elif succeeded and target.health.check_readmission():
            events.emit(TARGET_READMITTED, target=target.info.identity)
