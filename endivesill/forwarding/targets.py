"""The targets as one entry sees them: list, load, health, cold rate."""

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

# A target that refuses connections or has lost its address is left alone for
# this long, about two readings of the platform's list.
CONNECT_EJECTION_S = 0.5
# The rest doubles with each further refused connection in a row, up to this.
MAX_CONNECT_EJECTION_S = 4.0
# No more than this share of a service's targets rests because of failures.
MAX_EJECTED_FRACTION = 0.5
# The rate of a cold target is bounded for each second on the target's clock;
# the wider window takes up the spread of the way there.
COLD_WINDOW_S = 1.1


# How old an engine's report is when it is read, at most.
REPORT_LAG_S = 0.6
# Places that are kept; more are not given between two reports.
MAX_RECENT_PLACEMENTS = 64

NO_LOAD = EngineLoad()


@attrs.frozen
class ResourceDemand:
    """What a request takes at a target.

    Attributes:
      prompt_tokens: prompt tokens to read; 0 for a plain request.
      memory_tokens: memory for the prompt and the expected output.
    """

    prompt_tokens: int = 0
    memory_tokens: int = 0


@attrs.define(eq=False)
class Target:
    """One start of an engine or plain service.

    Attributes:
      info: what the list says of it.
      requests: this entry's requests under way there.
      reserved_tokens: memory that they and their copies are expected to need.
      prefill_tokens: prompt tokens of those without a first event.
      remote_load: the same of the other entries, as last told.
      draining_since_s: when this VM learnt that it is draining; None before.
      ejected_until_s: until when it gets nothing because of failures.
      health: outcomes of this entry's requests.
      report: what the engine said last; None where nobody asks.
      refused_connections: how often in a row no connection came about.
      is_replaced: whether another target has its address.
      send_times_s: when this entry sent its last requests there.
      recent_placements: when places were given here, with the memory of each.
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
        """Requests of all entries."""
        return self.requests + self.remote_load.requests

    @property
    def total_reserved_tokens(self) -> int:
        """Memory reserved by all entries, or in use if that is more."""
        reserved = self.reserved_tokens + self.remote_load.reserved_tokens
        if self.report is None:
            return reserved
        # The report does not hold the places that were given since.
        as_of_s = self.report.read_s - REPORT_LAG_S
        since = sum(
            tokens for time_s, tokens in self.recent_placements if time_s > as_of_s
        )
        return max(reserved, self.report.used_tokens + since)

    @property
    def total_prefill_tokens(self) -> int:
        """Prompt tokens without a first event of all entries."""
        return self.prefill_tokens + self.remote_load.prefill_tokens

    def reserve(self, demand: ResourceDemand) -> None:
        """Count a request as under way here."""
        self.requests += 1
        self.reserved_tokens += demand.memory_tokens
        self.prefill_tokens += demand.prompt_tokens

    def note_prefill_done(self, demand: ResourceDemand) -> None:
        """Count the prompt of a request as read."""
        self.prefill_tokens -= demand.prompt_tokens

    def release(self, demand: ResourceDemand, *, prefill_done: bool = False) -> None:
        """Count a request as ended.

        Args:
          demand: what it took.
          prefill_done: whether its prompt was counted as read.
        """
        self.requests -= 1
        self.reserved_tokens -= demand.memory_tokens
        if not prefill_done:
            self.prefill_tokens -= demand.prompt_tokens

    def reserve_copy(self, demand: ResourceDemand) -> None:
        """Count the copy of a run."""
        self.reserved_tokens += demand.memory_tokens

    def release_copy(self, demand: ResourceDemand) -> None:
        """Count the copy of a run as freed."""
        self.reserved_tokens -= demand.memory_tokens

    def load(self) -> EngineLoad:
        """Return this entry's own load."""
        return EngineLoad(self.requests, self.reserved_tokens, self.prefill_tokens)


class TargetTable:
    """All targets of the platform's list.

    Args:
      timer: the timer service.
      view: what the entry knows of the fleet.
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
        """Call those who watch the targets, after a change or some time."""
        for watcher in list(self.watchers):
            watcher()

    def update_engines(self) -> None:
        """Take the engines of the view."""
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
        for incarnation in [b for b, t in self._targets.items() if not t.listed]:
            if not self._targets[incarnation].requests:
                del self._targets[incarnation]
        self._by_service = {}
        for target in self._targets.values():
            if target.listed:
                self._by_service.setdefault(target.info.service, []).append(target)

    def update_loads(self, remote_load: dict[str, EngineLoad]) -> None:
        """Take the loads of the other entries, by incarnation."""
        for incarnation, target in self._targets.items():
            target.remote_load = remote_load.get(incarnation, NO_LOAD)

    def update_reports(
        self,
        report_of: Callable[[str], EngineReport | None],
        unresponsive: Container[str],
    ) -> None:
        """Take the engines' own reports, by incarnation.

        Args:
          report_of: returns the report of a incarnation; None without one.
          unresponsive: incarnations that did not answer when they were asked.
        """
        now_s = self._timer.now_s()
        for incarnation, target in self._targets.items():
            target.report = report_of(incarnation)
            if incarnation in unresponsive:
                target.ejected_until_s = now_s + CONNECT_EJECTION_S

    def get_or_add(self, info: EngineInfo) -> Target:
        """Return the target of an engine; the list may not have it here yet."""
        target = self._targets.get(info.incarnation)
        if target is None:
            target = self._targets[info.incarnation] = Target(info, HealthRecord())
            self._by_service.setdefault(info.service, []).append(target)
        return target

    def find_all(self, incarnations: Iterable[str]) -> list[Target]:
        """Return the targets of some incarnations; unknown ones are left out."""
        return [
            self._targets[incarnation]
            for incarnation in incarnations
            if incarnation in self._targets
        ]

    def own_loads(self) -> dict[str, EngineLoad]:
        """Return this entry's load by incarnation of the engine."""
        return {
            incarnation: target.load()
            for incarnation, target in self._targets.items()
            if target.requests or target.reserved_tokens
        }

    def accepts_requests(self, target: Target) -> bool:
        """Tell whether new requests may go to a target at all."""
        info = target.info
        return (
            target.listed
            and not target.is_replaced
            and not info.is_draining
            and info.data_centre not in self._view.evacuated
        )

    def candidates(self, service: str, excluded: Iterable[Target]) -> list[Target]:
        """Return the targets that may have a request now.

        Targets that rest come in only where nothing else is left.
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
        """Return the metrics' lines on how many targets are in each state."""
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
        """Tell whether any target of a service may have work."""
        return any(map(self.accepts_requests, self._by_service.get(service, [])))

    # Rates.

    def may_send_now(self, target: Target, allowance: float) -> bool:
        """Tell whether one more request stays within an allowance a second."""
        now_s = self._timer.now_s()
        sends = target.send_times_s
        window_s = (
            COLD_WINDOW_S if allowance >= 1 else COLD_WINDOW_S / max(allowance, 1e-6)
        )
        while sends and now_s - sends[0] > window_s:
            sends.popleft()
        return len(sends) < max(1, int(allowance))

    def note_send(self, target: Target) -> None:
        """Count a request that is sent now."""
        target.send_times_s.append(self._timer.now_s())

    def note_placement(self, target: Target, tokens: int) -> None:
        """Count memory of a target that was given out now."""
        target.recent_placements.append((self._timer.now_s(), tokens))

    # Health.

    def eject(self, target: Target, duration_s: float, reason: str) -> None:
        """Leave a target alone for a time, unless too many rest already."""
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
        """Leave a target alone for good whose address has another identity."""
        target.is_replaced = True
        events.emit(
            TARGET_EJECTED,
            target=target.info.identity,
            service=target.info.service,
            duration_s=None,
            reason="another target has its address",
        )

    def note_no_connection(self, target: Target, reason: str) -> None:
        """Leave a target alone for a time that cannot be connected to."""
        ejection_s = CONNECT_EJECTION_S * 2**target.refused_connections
        target.refused_connections += 1
        self.eject(target, min(ejection_s, MAX_CONNECT_EJECTION_S), reason)

    def note_overdue(self, target: Target) -> None:
        """Count an answer that did not come in good time."""
        ejection_s = target.health.note_overdue()
        if ejection_s > 0:
            self.eject(target, ejection_s, "answers are overdue")

    def note_outcome(self, target: Target, *, good: bool) -> None:
        """Count an answer; a target that fails far more than its peers rests."""
        target.refused_connections = 0
        target.health.record_response(good=good)
        peers = [
            t.health
            for t in self._by_service.get(target.info.service, [])
            if t is not target
        ]
        ejection_s = target.health.ejection_s(peers)
        if ejection_s > 0:
            self.eject(target, ejection_s, "fails more often than its peers")
        elif good and target.health.check_readmission():
            events.emit(TARGET_READMITTED, target=target.info.identity)
