"""The targets of one entry: list, load, health and rate limits."""

from __future__ import annotations

import collections
from collections.abc import Callable, Container, Iterable

import attrs

from endivesill import events
from endivesill.fleet.load import EngineLoad
from endivesill.fleet.model import EngineInfo
from endivesill.fleet.reports import EngineReport
from endivesill.fleet.sync_client import FleetView
from endivesill.forwarding.events import TARGET_EJECTED, TARGET_READMITTED
from endivesill.forwarding.health import HealthRecord
from endivesill.timer import TimerService

__all__ = ["ResourceDemand", "Target", "TargetTable"]

# First ejection of a target that cannot be connected to or does not report its load;
# about two reads of the platform's list.
CONNECT_EJECTION_S = 0.5
# The ejection doubles with each consecutive refused connection, up to this.
MAX_CONNECT_EJECTION_S = 4.0
# Largest fraction of a service's targets that may be ejected at a time.
MAX_EJECTED_FRACTION = 0.5
# The request rate of a cold target is limited in every second by the target's clock;
# the wider window absorbs variable network delay.
COLD_WINDOW_S = 1.1


# Largest age of an engine's report when it is read.
REPORT_LAG_S = 0.6
# Upper bound of the placements at a target between two reports.
MAX_RECENT_PLACEMENTS = 64

NO_LOAD = EngineLoad()


@attrs.frozen
class ResourceDemand:
    """Resources that a request takes at a target.

    Attributes:
      prompt_tokens: prompt tokens to prefill; 0 for a plain request.
      memory_tokens: KV cache for the prompt and the expected output.
    """

    prompt_tokens: int = 0
    memory_tokens: int = 0


@attrs.define(eq=False)
class Target:
    """One incarnation of an engine or plain service.

    Attributes:
      info: its entry in the platform's list.
      health: outcomes of this entry's requests.
      requests: this entry's requests in flight.
      reserved_tokens: KV cache reserved for them and for copies of runs.
      prefill_tokens: prompt tokens of those without a first event.
      remote_load: load of the other entries, as last reported.
      draining_since_s: when this process learnt that it drains; None before.
      ejected_until_s: end of its ejection.
      listed: whether the platform's list has it.
      report: its last load report; None without one.
      refused_connections: consecutive connection failures.
      is_replaced: whether another target answers at its address.
      send_times_s: when this process recently sent it requests.
      recent_placements: time and reserved KV cache of its recent placements.
    """

    info: EngineInfo
    health: HealthRecord
    requests: int = 0
    reserved_tokens: int = 0
    prefill_tokens: int = 0
    remote_load: EngineLoad = NO_LOAD
    draining_since_s: float | None = None
    ejected_until_s: float = 0.0
    listed: bool = True
    report: EngineReport | None = None
    refused_connections: int = 0
    is_replaced: bool = False
    send_times_s: collections.deque[float] = attrs.Factory(collections.deque)
    recent_placements: collections.deque[tuple[float, int]] = attrs.Factory(
        lambda: collections.deque(maxlen=MAX_RECENT_PLACEMENTS)
    )

    @property
    def total_requests(self) -> int:
        """Requests in flight from all entries."""
        return self.requests + self.remote_load.requests

    @property
    def total_reserved_tokens(self) -> int:
        """KV cache reserved by all entries, or in use if that is more."""
        reserved = self.reserved_tokens + self.remote_load.reserved_tokens
        if self.report is None:
            return reserved
        # The report lacks the placements made since it was taken.
        as_of_s = self.report.read_s - REPORT_LAG_S
        since = sum(
            tokens for time_s, tokens in self.recent_placements if time_s > as_of_s
        )
        return max(reserved, self.report.used_tokens + since)

    @property
    def total_prefill_tokens(self) -> int:
        """Prompt tokens without a first event from all entries."""
        return self.prefill_tokens + self.remote_load.prefill_tokens

    def reserve(self, demand: ResourceDemand) -> None:
        """Count a request as in flight."""
        self.requests += 1
        self.reserved_tokens += demand.memory_tokens
        self.prefill_tokens += demand.prompt_tokens

    def note_prefill_done(self, demand: ResourceDemand) -> None:
        """Count the prompt of a request as prefilled."""
        self.prefill_tokens -= demand.prompt_tokens

    def release(self, demand: ResourceDemand, *, prefill_done: bool = False) -> None:
        """Undo `reserve` when a request has ended.

        Args:
          demand: what was reserved.
          prefill_done: whether `note_prefill_done` was called for it.
        """
        self.requests -= 1
        self.reserved_tokens -= demand.memory_tokens
        if not prefill_done:
            self.prefill_tokens -= demand.prompt_tokens

    def reserve_copy(self, demand: ResourceDemand) -> None:
        """Reserve KV cache for a copy of a run."""
        self.reserved_tokens += demand.memory_tokens

    def release_copy(self, demand: ResourceDemand) -> None:
        """Undo `reserve_copy`."""
        self.reserved_tokens -= demand.memory_tokens

    def load(self) -> EngineLoad:
        """Return this entry's own load."""
        return EngineLoad(self.requests, self.reserved_tokens, self.prefill_tokens)


class TargetTable:
    """The targets of the platform's list.

    Args:
      timer: the timer service.
      view: the entry's view of the fleet.
      data_centre: where the entry runs.

    Attributes:
      watchers: called by `notify`.
    """

    def __init__(self, timer: TimerService, view: FleetView, data_centre: str) -> None:
        self._timer = timer
        self._view = view
        self.data_centre = data_centre
        self._targets: dict[str, Target] = {}
        self._by_service: dict[str, list[Target]] = {}
        self.watchers: set[Callable[[], None]] = set()

    def notify(self) -> None:
        """Call the watchers; done after a change of the targets and periodically."""
        for watcher in list(self.watchers):
            watcher()

    def update_engines(self) -> None:
        """Apply the engine list of the view."""
        for target in self._targets.values():
            target.listed = False
        for incarnation, info in self._view.engines.items():
            target = self._targets.setdefault(incarnation, Target(info, HealthRecord()))
            if info.address != target.info.address:
                target.is_replaced = False
            target.info = info
            target.listed = True
            if not info.is_draining:
                target.draining_since_s = None
            elif target.draining_since_s is None:
                target.draining_since_s = self._timer.now_s()
        for incarnation in [key for key, t in self._targets.items() if not t.listed]:
            if not self._targets[incarnation].requests:
                del self._targets[incarnation]
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
                target.ejected_until_s = now_s + CONNECT_EJECTION_S

    def get_or_add(self, info: EngineInfo) -> Target:
        """Return an engine's target, adding it if the local list lacks it."""
        target = self._targets.get(info.incarnation)
        if target is None:
            target = self._targets[info.incarnation] = Target(info, HealthRecord())
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
        return {
            incarnation: target.load()
            for incarnation, target in self._targets.items()
            if target.requests or target.reserved_tokens
        }

    def accepts_requests(self, target: Target) -> bool:
        """Return whether new requests may be sent to a target, ejected or not."""
        info = target.info
        return (
            target.listed
            and not target.is_replaced
            and not info.is_draining
            and info.data_centre not in self._view.evacuated
        )

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
        counts = dict.fromkeys(("ready", "evacuated", "draining", "resting"), 0)
        now_s = self._timer.now_s()
        for target in self._targets.values():
            if target.info.is_draining or not target.listed:
                counts["draining"] += 1
            elif not self.accepts_requests(target):
                counts["evacuated"] += 1
            else:
                counts["resting" if target.ejected_until_s > now_s else "ready"] += 1
        return [
            f'endivesill_engines{{state="{state}"}} {count}'
            for state, count in counts.items()
        ]

    def has_targets(self, service: str) -> bool:
        """Return whether any target of a service accepts requests."""
        return any(map(self.accepts_requests, self._by_service.get(service, [])))

    # Rate limits.

    def may_send_now(self, target: Target, allowance: float) -> bool:
        """Return whether one more request stays within a limit.

        Args:
          target: where it would be sent.
          allowance: requests per second; below 1, one request in a longer window.
        """
        now_s = self._timer.now_s()
        sends = target.send_times_s
        window_s = (
            COLD_WINDOW_S if allowance >= 1 else COLD_WINDOW_S / max(allowance, 1e-6)
        )
        while sends and now_s - sends[0] > window_s:
            sends.popleft()
        return len(sends) < max(1, int(allowance))

    def note_send(self, target: Target) -> None:
        """Record a request that is sent now."""
        target.send_times_s.append(self._timer.now_s())

    def note_placement(self, target: Target, tokens: int) -> None:
        """Record KV cache that is reserved at a target now."""
        target.recent_placements.append((self._timer.now_s(), tokens))

    # Health.

    def eject(self, target: Target, duration_s: float, reason: str) -> None:
        """Eject a target for a time, unless too many are ejected already."""
        now_s = self._timer.now_s()
        peers = self._by_service.get(target.info.service, [])
        ejected = sum(t.ejected_until_s > now_s for t in peers if t is not target)
        if ejected + 1 > MAX_EJECTED_FRACTION * len(peers):
            return
        target.ejected_until_s = now_s + duration_s
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
        events.emit(
            TARGET_EJECTED,
            target=target.info.identity,
            service=target.info.service,
            duration_s=None,
            reason="another target has its address",
        )

    def note_no_connection(self, target: Target, reason: str) -> None:
        """Eject a target that cannot be connected to."""
        ejection_s = CONNECT_EJECTION_S * 2**target.refused_connections
        target.refused_connections += 1
        self.eject(target, min(ejection_s, MAX_CONNECT_EJECTION_S), reason)

    def note_overdue(self, target: Target) -> None:
        """Count an overdue response; eject the target after several in a row."""
        ejection_s = target.health.note_overdue()
        if ejection_s > 0:
            self.eject(target, ejection_s, "answers are overdue")

    def note_outcome(self, target: Target, *, succeeded: bool) -> None:
        """Count a response; eject the target if it is an outlier among its peers."""
        target.refused_connections = 0
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
