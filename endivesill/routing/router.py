"""The router of an entry: queues requests and grants them a target."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

from endivesill import errors, events
from endivesill.configuration.model import Configuration, Target
from endivesill.configuration.source import ConfigurationSource
from endivesill.kernel import Service
from endivesill.metrics import Metrics
from endivesill.routing.credit_client import CreditClient
from endivesill.routing.credit_server import CreditServer
from endivesill.routing.credits import Usage
from endivesill.routing.directory import TargetDirectory
from endivesill.routing.events import ROUTE_CHOSEN, ROUTE_REFUSED, TARGET_RECOOLED
from endivesill.routing.grant import RoutedGrant
from endivesill.routing.lengths import LengthEstimator
from endivesill.routing.messages import Grant, Outcome, RouteRequest
from endivesill.routing.policy import POLICIES, Candidate, Decision
from endivesill.routing.prefixes import PrefixIndex
from endivesill.routing.queue import Waiter
from endivesill.routing.retries import RetryBudgets
from endivesill.routing.service_state import ServiceState
from endivesill.timer import TimerService

__all__ = ["Router"]

RETRY_AFTER_S = 1.0
CHECK_PERIOD_S = 0.25
REMAINING_FRACTION = 0.5
HEADROOM_SLOTS = 2
HEADROOM_TOKENS = 1024


class Router(Service):
    """Chooses targets and queues requests until one has capacity.

    Args:
      timer: the timer service.
      configuration: returns the configuration in force.
      source: reports whether this VM holds the lease; None if none is needed.
      credit_client: the entry's credits; None if this process owns all targets.
      prefixes: index of the prefixes that the targets cache.
      is_leaving: returns whether the target of a given name is leaving.
      entry_name: the name of this VM.
      data_centre: the data centre of this VM, whose targets are preferred.
      metrics: records refusals and the delay of their answers.
    """

    def __init__(
        self,
        timer: TimerService,
        configuration: Callable[[], Configuration],
        *,
        source: ConfigurationSource | None = None,
        credit_client: CreditClient | None = None,
        prefixes: PrefixIndex | None = None,
        is_leaving: Callable[[str], bool] = lambda name: False,
        entry_name: str = "",
        data_centre: str = "",
        metrics: Metrics | None = None,
    ) -> None:
        self._timer = timer
        self._configuration = configuration
        self._source = source
        self._owns_credit = credit_client is None
        if credit_client is None:
            server = CreditServer(timer, configuration, entry_name)
            credit_client = CreditClient(timer, configuration, entry_name, server)
        self._credit = credit_client
        self.prefixes = prefixes or PrefixIndex()
        self.directory = TargetDirectory(
            configuration, entry_name, is_leaving, data_centre, self.prefixes.retain
        )
        self.lengths = LengthEstimator()
        self.retries = RetryBudgets()
        self._metrics = metrics or Metrics()
        self._refusal_delay = self._metrics.recorder("refusal_answer")
        self._services: dict[str, ServiceState] = {}
        credit_client.usage_of = self._usage_of
        credit_client.running_at = lambda t: self.directory.candidate(t).outstanding
        credit_client.on_allocation = self._allocation_changed
        credit_client.on_credits = self._credits_received

    async def start(self) -> None:
        """Start renewing credits, unless the credit client was given."""
        if self._owns_credit:
            await self._credit.start()

    async def stop(self) -> None:
        """Stop renewing credits, unless the credit client was given."""
        if self._owns_credit:
            await self._credit.stop()

    def now_s(self) -> float:
        """Return the timer's time."""
        return self._timer.now_s()

    async def acquire(self, request: RouteRequest) -> Grant:
        """Return a grant for one attempt, waiting up to the request's deadline.

        Raises:
          RefusedError: the request was refused and has not run.
        """
        self._check_admission(request)
        state = self._state(request)
        if not len(state.queue):
            grant = self._admit(state, request)
            if grant is not None:
                return grant
        waiter = self._enqueue(state, request)
        try:
            return await waiter.future
        except errors.RefusedError:
            self._refusal_delay.record_s(self._timer.now_s() - waiter.refused_s)
            raise
        except asyncio.CancelledError:
            self._abandon(state, waiter)
            raise

    def _check_admission(self, request: RouteRequest) -> None:
        if self._source is not None and not self._source.holds_lease():
            raise self._refusal(request, "no-lease", RETRY_AFTER_S)
        if not self._candidates(request, self.now_s()):
            raise self._refusal(request, "no-target", RETRY_AFTER_S)

    def _state(self, request: RouteRequest) -> ServiceState:
        service = request.service
        kind = POLICIES[service.routing_policy]
        state = self._services.get(service.name)
        if state is None or (type(state.policy) is not kind and not len(state.queue)):
            state = ServiceState(kind(), kind.queue())
            self._services[service.name] = state
        return state

    def _admit(self, state: ServiceState, request: RouteRequest) -> RoutedGrant | None:
        """Choose a target and reserve its capacity; None if none has any."""
        now_s = self.now_s()
        candidates = self._candidates(request, now_s)
        reserved_tokens = self.reservation_tokens(request, 0)
        output_tokens = reserved_tokens - request.prompt_tokens
        decision = Decision(request, now_s, output_tokens, self.prefixes)
        chosen = state.policy.choose(decision, candidates)
        if chosen is None and self._request_credit(state, decision):
            decision = Decision(request, now_s, output_tokens, self.prefixes)
            chosen = state.policy.choose(decision, candidates)
        if chosen is None:
            return None
        for candidate in decision.short_of_credit:
            # Keeps its credits renewed, so that a recovered target is used again.
            self._credit.note_demand(candidate.target)
        return self._grant(decision, chosen, len(candidates))

    def _candidates(self, request: RouteRequest, now_s: float) -> list[Candidate]:
        candidates = self.directory.candidates(request.service.name, now_s)
        if not request.excluded:
            return candidates
        return [c for c in candidates if c.target.name not in request.excluded]

    def _request_credit(self, state: ServiceState, decision: Decision) -> bool:
        """Request the missing credits; return whether some were allocated at once."""
        state.needed_tokens = decision.request.prompt_tokens + decision.output_tokens
        state.is_requesting_credit = True
        received = [
            self._credit.request_more(c.target) for c in decision.short_of_credit
        ]
        state.is_requesting_credit = False
        return any(received)

    def _grant(
        self, decision: Decision, chosen: Candidate, considered: int
    ) -> RoutedGrant:
        request = decision.request
        name = chosen.target.name
        events.emit(
            ROUTE_CHOSEN,
            request_id=request.request_id,
            target=name,
            outstanding=chosen.outstanding,
            considered=considered,
            rejected=decision.rejected,
            uncached_tokens=decision.uncached_tokens,
        )
        self._credit.note_demand(chosen.target)
        self.directory.observation(name).count_start(decision.now_s)
        if request.prefix:
            self.prefixes.record_placement(name, request.prefix)
        reserved_tokens = request.prompt_tokens + decision.output_tokens
        uncached_tokens = decision.uncached_tokens
        return RoutedGrant(self, request, chosen, uncached_tokens, reserved_tokens)

    def _enqueue(self, state: ServiceState, request: RouteRequest) -> Waiter:
        now_s = self.now_s()
        cost = request.prompt_tokens + self.lengths.mean_remaining(
            request.service, request.organisation.name
        )
        future: asyncio.Future[Grant] = asyncio.get_running_loop().create_future()
        waiter = Waiter(request, cost, now_s, future)
        wait_s = state.queue.wait_s(waiter, now_s)
        if wait_s is not None and now_s + wait_s > request.deadline_s:
            raise self._refusal(request, "no-time", self._retry_after(request, wait_s))
        if now_s >= request.deadline_s:
            raise self._refusal(request, "deadline", RETRY_AFTER_S)
        victim = state.queue.push(waiter, request.service.queue_limit)
        if victim is not None:
            self._refuse(victim, "queue-full", wait_s)
        if not state.check_scheduled:
            state.check_scheduled = True
            self._timer.call_after(CHECK_PERIOD_S, lambda: self._check_deadlines(state))
        if waiter in state.queue.heads(now_s):
            self._serve_queue(state)
        return waiter

    def _abandon(self, state: ServiceState, waiter: Waiter) -> None:
        """Release the grant that a cancelled waiter may have received meanwhile."""
        state.queue.remove(waiter)
        future = waiter.future
        if not future.done() or future.cancelled() or future.exception():
            return
        future.result().finished(Outcome.CANCELLED)

    def _check_deadlines(self, state: ServiceState) -> None:
        """Refuse waiters that would miss their deadline, then serve the queue."""
        state.check_scheduled = False
        now_s = self.now_s()
        for waiter, wait_s in state.queue.estimates(now_s):
            request = waiter.request
            if now_s >= request.deadline_s:
                state.queue.remove(waiter)
                self._refuse(waiter, "deadline", wait_s)
            elif wait_s is not None and now_s + wait_s > request.deadline_s:
                state.queue.remove(waiter)
                self._refuse(waiter, "no-time", wait_s)
        self._serve_queue(state)
        if len(state.queue):
            state.check_scheduled = True
            self._timer.call_after(CHECK_PERIOD_S, lambda: self._check_deadlines(state))

    def _serve_queue(self, state: ServiceState) -> None:
        """Serve waiters in the queue's order until no target has capacity."""
        while len(state.queue):
            now_s = self.now_s()
            if not any(self._serve(state, w, now_s) for w in state.queue.heads(now_s)):
                return

    def _serve(self, state: ServiceState, waiter: Waiter, now_s: float) -> bool:
        request = waiter.request
        if self._source is not None and not self._source.holds_lease():
            state.queue.remove(waiter)
            self._refuse(waiter, "no-lease", None)
            return True
        grant = self._admit(state, request)
        if grant is None:
            return False
        state.queue.served(waiter, now_s)
        if waiter.future.done():
            grant.finished(Outcome.CANCELLED)
        else:
            waiter.future.set_result(grant)
        return True

    def _refuse(self, waiter: Waiter, reason: str, wait_s: float | None) -> None:
        waiter.refused_s = self.now_s()
        retry_after_s = self._retry_after(waiter.request, wait_s)
        error = self._refusal(waiter.request, reason, retry_after_s)
        if not waiter.future.done():
            waiter.future.set_exception(error)

    def _retry_after(self, request: RouteRequest, wait_s: float | None) -> float:
        """Return the estimated time to serve the present backlog, in seconds."""
        if wait_s is None:
            return max(RETRY_AFTER_S, request.service.deadline_s)
        return max(RETRY_AFTER_S, wait_s)

    def _refusal(
        self, request: RouteRequest, reason: str, retry_after_s: float
    ) -> errors.RefusedError:
        events.emit(
            ROUTE_REFUSED,
            request_id=request.request_id,
            reason=reason,
            retry_after_s=retry_after_s,
        )
        self._metrics.counter("refused", reason=reason).add()
        return errors.RefusedError(reason, retry_after_s=retry_after_s)

    def _usage_of(self, target: Target) -> Usage:
        """Return the usage report for a target's owner; resets what it collects."""
        candidate = self.directory.candidate(target)
        stats = self.directory.observation(target.name)
        allocation = self._credit.allocation(target.name)
        completed, first_token_ms = stats.take_completed()
        queued = self._queued(target)
        mean_tokens = candidate.reserved_tokens // max(1, candidate.outstanding)
        need_tokens = max(mean_tokens, self._needed_tokens(target), HEADROOM_TOKENS)
        return Usage(
            slots=candidate.outstanding,
            tokens=max(0, candidate.reserved_tokens),
            headroom_slots=HEADROOM_SLOTS + stats.recent_starts(self.now_s()) + queued,
            headroom_tokens=self._headroom_requests(target, queued) * need_tokens,
            serial=allocation.serial if allocation else 0,
            median_gap_ms=stats.gap_quantile_ms(0.5),
            tail_gap_ms=stats.gap_quantile_ms(0.99),
            completed=completed,
            first_token_ms=first_token_ms,
            suspects_cold=stats.take_suspects_cold(),
            minimum_slots=candidate.credit_requested(),
            queued=queued,
        )

    def _headroom_requests(self, target: Target, queued: int) -> int:
        """Return for how many requests to ask memory headroom at one target.

        The queued requests are spread over all targets, not counted at each.
        """
        count = len(self.directory.candidates(target.service, self.now_s()))
        return 1 + math.ceil(queued / max(1, count))

    def _needed_tokens(self, target: Target) -> int:
        state = self._services.get(target.service)
        if state is None or not (state.is_requesting_credit or len(state.queue)):
            return 0
        return state.needed_tokens

    def _queued(self, target: Target) -> int:
        state = self._services.get(target.service)
        return max(len(state.queue), int(state.is_requesting_credit)) if state else 0

    def _allocation_changed(self, target: Target) -> None:
        self.directory.candidate(target).credit_received(
            self._credit.allocation(target.name)
        )

    def _credits_received(self, target: Target) -> None:
        state = self._services.get(target.service)
        if state is not None:
            self._serve_queue(state)

    def is_valid(self, grant: RoutedGrant) -> bool:
        """Return whether the lease, the target and the credits permit a start now."""
        if self._source is not None and not self._source.holds_lease():
            return False
        if not self.directory.is_eligible(grant.target):
            return False
        if not POLICIES[grant.request.service.routing_policy].needs_credit:
            return True
        allocation = self._credit.allocation(grant.target.name)
        if allocation is None or allocation.expires_s <= self.now_s():
            return False
        return grant.candidate.outstanding <= allocation.slots

    def reservation_tokens(self, request: RouteRequest, produced: int) -> int:
        """Return the memory to reserve: prompt, output, part of the expected rest."""
        mean = self.lengths.mean_remaining(
            request.service, request.organisation.name, produced
        )
        if request.maximum_output_tokens:
            mean = min(mean, max(0, request.maximum_output_tokens - produced))
        return request.prompt_tokens + produced + int(REMAINING_FRACTION * mean)

    def first_token(self, grant: RoutedGrant, time_s: float) -> None:
        """Record a time to first token; the end of a prefill frees capacity."""
        observation = self.directory.observation(grant.target.name)
        target_ms = grant.request.service.first_token_target_ms
        if observation.record_first_token(1000 * time_s, target_ms):
            self._handle_slowdown(grant.target)
        self._serve_queue_of(grant)

    def gap(self, grant: RoutedGrant, gap_s: float) -> None:
        """Record a gap between output tokens."""
        observation = self.directory.observation(grant.target.name)
        if observation.record_gap(1000 * gap_s, grant.request.service.gap_target_ms):
            self._handle_slowdown(grant.target)

    def _handle_slowdown(self, target: Target) -> None:
        events.emit(TARGET_RECOOLED, target=target.name)
        self.prefixes.clear(target.name)
        self._credit.report_slowdown(target)

    def released(self, grant: RoutedGrant, outcome: Outcome) -> None:
        """Record the outcome of an attempt and serve the queue."""
        request = grant.request
        observation = self.directory.observation(grant.target.name)
        if outcome in (Outcome.FAILED, Outcome.NOT_RUN) and observation.count_failure():
            self._handle_slowdown(grant.target)
        if outcome is Outcome.DONE:
            organisation = request.organisation.name
            observation.count_completed()
            if grant.produced:
                self.lengths.record(request.service, organisation, grant.produced)
        self._serve_queue_of(grant)

    def _serve_queue_of(self, grant: RoutedGrant) -> None:
        state = self._services.get(grant.request.service.name)
        if state is not None and len(state.queue):
            self._serve_queue(state)
