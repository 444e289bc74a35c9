"""The targets of one entry: list, load, health and rate limits."""

from __future__ import annotations

from collections.abc import Callable, Container, Iterable

from endivesill.fleet.engine_limits import EngineLimits
from endivesill.fleet.load import EngineLoad
from endivesill.fleet.model import EngineInfo
from endivesill.fleet.notices import EngineNotices
from endivesill.fleet.permits import SendPermits
from endivesill.fleet.reports import EngineReport
from endivesill.fleet.sync_client import NO_LIST_STAMP, FleetView
from endivesill.forwarding.health import HealthRecord
from endivesill.forwarding.health_table import CONNECT_EJECTION_S, HealthTable
from endivesill.forwarding.target import NO_LOAD, ResourceDemand, Target
from endivesill.rollouts.versions import TargetVersions
from endivesill.timer import TimerService

__all__ = ["ResourceDemand", "Target", "TargetTable"]


class TargetTable(HealthTable):
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
      versions: which targets a roll-out keeps from ordinary requests.
      on_loads: called with all targets when the load of the other entries was applied.
      on_run: called with a service and how long one of its plain requests has run.
    """

    def __init__(
        self,
        timer: TimerService,
        view: FleetView,
        data_centre: str,
        new_record: Callable[[], HealthRecord] = HealthRecord,
    ) -> None:
        super().__init__(timer)
        self._new_record = new_record
        self._view = view
        self.data_centre = data_centre
        self.watchers: set[Callable[[], None]] = set()
        self.notices = EngineNotices(timer)
        self.permits = SendPermits()
        self.on_limit: Callable[[], None] = lambda: None
        self.on_leaving: Callable[[EngineInfo], None] = lambda engine: None
        self.versions = TargetVersions()
        self.on_loads: Callable[[Iterable[Target]], None] = lambda targets: None
        self.on_run: Callable[[str, float], None] = lambda service, duration_s: None

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
        self.on_loads(self._targets.values())

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

    def listed(self, service: str) -> list[Target]:
        """Return the targets of a service that the list has."""
        return list(self._by_service.get(service, []))

    def all_listed(self) -> list[Target]:
        """Return the targets of all services that the list has."""
        return [target for target in self._targets.values() if target.listed]

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

    def exclusion(self, target: Target) -> str:
        """Return why ordinary requests may not be sent to a target; empty if so."""
        info = target.info
        reasons = {
            "it is not listed": not target.listed,
            "another target has its address": target.is_replaced,
            "it is leaving": info.is_draining
            or self.notices.is_leaving(info.incarnation),
            "its data centre is evacuated": info.data_centre in self._view.evacuated,
            "it wants no requests for now": self.notices.is_paused(info),
            "a roll-out keeps it": not self._is_in(None, info),
        }
        return next((text for text, is_so in reasons.items() if is_so), "")

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

    def candidates(
        self,
        service: str,
        excluded: Iterable[Target],
        pool: Container[str] | None = None,
    ) -> list[Target]:
        """Return the targets of a service that a request may be placed at.

        Ejected targets are returned only if no other target is left.

        Args:
          service: the service.
          excluded: targets that are not returned.
          pool: the incarnations that may be returned; None for all that a roll-out
            leaves to ordinary requests.
        """
        excluded_ids = set(map(id, excluded))
        now_s = self._timer.now_s()
        accepting = [
            target
            for target in self._by_service.get(service, [])
            if id(target) not in excluded_ids
            and self.accepts_requests(target)
            and self._is_in(pool, target.info)
        ]
        healthy = [t for t in accepting if t.ejected_until_s <= now_s]
        return healthy or accepting

    def _is_in(self, pool: Container[str] | None, info: EngineInfo) -> bool:
        if pool is None:
            return not self.versions.is_barred(info.service, info.incarnation)
        return info.incarnation in pool

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
