"""One target: its entry in the list, its load, health and ejections."""

from __future__ import annotations

import collections

import attrs

from endivesill.fleet.load import EngineLoad
from endivesill.fleet.model import EngineInfo
from endivesill.fleet.pauses import EnginePauses
from endivesill.fleet.reports import EngineReport
from endivesill.forwarding.health import BrokenRequests, HealthRecord

__all__ = ["NO_LOAD", "Reservation", "ResourceDemand", "Target"]

# Largest age of an engine's report when it is read.
REPORT_LAG_S = 0.6
# The request rate of a cold target is limited in every second by the target's clock;
# the wider window absorbs variable network delay.
COLD_WINDOW_S = 1.1
# Upper bound of the placements at a target between two reports.
MAX_RECENT_PLACEMENTS = 64

NO_LOAD = EngineLoad()


@attrs.frozen
class ResourceDemand:
    """Resources that a request takes at a target.

    Attributes:
      prompt_tokens: prompt tokens to prefill; 0 for a plain request.
      memory_tokens: KV cache for the prompt and the expected output.
      pause_limit_s: longest pause that its route allows; 0 for any.
    """

    prompt_tokens: int = 0
    memory_tokens: int = 0
    pause_limit_s: float = 0.0


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
      outlier_until_s: end of its ejection for failing more often than its peers.
      unreachable_until_s: end of its ejection for lack of a connection or a report; a
        response ends it.
      listed: whether the platform's list has it.
      report: its last load report; None without one.
      refused_connections: consecutive connection failures.
      pauses: what is expected of the pauses in its streams; None while unknown. Kept at
        the leader.
      is_strained: whether its streams pause for longer than usual at the moment; kept
        at the leader.
      is_replaced: whether another target answers at its address.
      broken: requests of all entries that it broke off; kept at the leader.
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
    outlier_until_s: float = 0.0
    unreachable_until_s: float = 0.0
    listed: bool = True
    report: EngineReport | None = None
    refused_connections: int = 0
    pauses: EnginePauses | None = None
    is_strained: bool = False
    is_replaced: bool = False
    broken: BrokenRequests = attrs.Factory(BrokenRequests)
    send_times_s: collections.deque[float] = attrs.Factory(collections.deque)
    recent_placements: collections.deque[tuple[float, int]] = attrs.Factory(
        lambda: collections.deque(maxlen=MAX_RECENT_PLACEMENTS)
    )

    @property
    def ejected_until_s(self) -> float:
        """End of its ejection; the longest one is in force."""
        return max(self.outlier_until_s, self.unreachable_until_s)

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

    def may_send(self, now_s: float, allowance: float) -> bool:
        """Return whether one more request stays within a rate while it is cold.

        Args:
          now_s: the time.
          allowance: requests per second; below 1, one request in a longer window.
        """
        start_s = now_s - COLD_WINDOW_S / min(1.0, max(allowance, 1e-6))
        while self.send_times_s and self.send_times_s[0] < start_s:
            self.send_times_s.popleft()
        return len(self.send_times_s) < max(1, int(allowance))

    def load(self, unused_permits: int = 0) -> EngineLoad:
        """Return this entry's own load; permits that hold a slot count as requests."""
        requests = self.requests + unused_permits
        return EngineLoad(requests, self.reserved_tokens, self.prefill_tokens)


@attrs.define(eq=False)
class Reservation:
    """The demand of a request that is reserved at a target, to be released once.

    Attributes:
      target: the target.
      demand: what is reserved.
      is_held: whether it has not been released.
    """

    target: Target
    demand: ResourceDemand
    is_held: bool = True

    def release(self) -> None:
        """Release it unless that was done before."""
        if self.is_held:
            self.is_held = False
            self.target.release(self.demand)
