"""The router of an entry: gives requests leave to start at a target."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

from endivesill import errors, events
from endivesill.configuration.model import Configuration, Target
from endivesill.configuration.source import ConfigurationSource
from endivesill.kernel import Service
from endivesill.metrics import Metrics
from endivesill.routing.credits import Use
from endivesill.routing.directory import TargetDirectory
from endivesill.routing.events import ROUTE_CHOSEN, ROUTE_REFUSED, TARGET_RECOOLED
from endivesill.routing.grant import RoutedGrant
from endivesill.routing.lender import Lender
from endivesill.routing.lengths import LengthEstimator
from endivesill.routing.messages import Grant, Outcome, RouteRequest
from endivesill.routing.policy import POLICIES, Candidate, Choice
from endivesill.routing.prefixes import PrefixIndex
from endivesill.routing.queue import Waiter
from endivesill.routing.retries import RetryBudgets
from endivesill.routing.service_state import ServiceState
from endivesill.routing.wallet import Wallet
from endivesill.timer import TimerService

__all__ = ["Router"]

RETRY_AFTER_S = 1.0
CHECK_PERIOD_S = 0.25
REMAINING_SHARE = 0.5
AHEAD_SLOTS = 2
AHEAD_TOKENS = 1024


class Router(Service):
    """Chooses targets and lets requests wait for a free one.

    Args:
      timer: the timer service.
      configuration: returns the configuration in force.
      source: where the lease is asked for; without one it always holds.
      wallet: the credits; without one, this process is the home of all targets.
      prefixes: what the targets cache.
      is_leaving: tells of a target's name whether the target leaves.
      entry_name: the name of this VM.
      data_centre: its data centre, whose targets come first.
      metrics: where durations are recorded.
    """

    def __init__(
        self,
        timer: TimerService,
        configuration: Callable[[], Configuration],
        *,
        source: ConfigurationSource | None = None,
        wallet: Wallet | None = None,
        prefixes: PrefixIndex | None = None,
        is_leaving: Callable[[str], bool] = lambda name: False,
        entry_name: str = "",
        data_centre: str = "",
        metrics: Metrics | None = None,
    ) -> None:
        self._timer = timer
        self._configuration = configuration
        self._source = source
        self._own_wallet = wallet is None
        if wallet is None:
            lender = Lender(timer, configuration, entry_name)
            wallet = Wallet(timer, configuration, entry_name, lender)
        self.wallet = wallet
        self.prefixes = prefixes or PrefixIndex()
        self.directory = TargetDirectory(
            configuration, entry_name, is_leaving, data_centre
        )
        self.lengths = LengthEstimator()
        self.retries = RetryBudgets()
        self._metrics = metrics or Metrics()
        self._answer_delay = self._metrics.recorder("refusal_answer")
        self._services: dict[str, ServiceState] = {}
        wallet.use_of = self._use_of
        wallet.running_at = lambda t: self.directory.candidate(t).outstanding
        wallet.on_loan = self._loan_changed
        wallet.on_credits = self._credits_came

    async def start(self) -> None:
        """Begin to hold credits."""
        if self._own_wallet:
            await self.wallet.start()

    async def stop(self) -> None:
        """Let the credits go."""
        if self._own_wallet:
            await self.wallet.stop()

    def now_s(self) -> float:
        """Return the timer's clock."""
        return self._timer.now_s()

    async def acquire(self, request: RouteRequest) -> Grant:
        """Return leave to start an attempt, waiting up to the deadline.

        Raises:
          RefusedError: there is no target, or none in time; it has not run.
        """
        self._check_open(request)
        state = self._state(request)
        if not len(state.queue):
            grant = self._place(state, request)
            if grant is not None:
                return grant
        waiter = self._enqueue(state, request)
        try:
            return await waiter.future
        except errors.RefusedError:
            self._answer_delay.record_s(self._timer.now_s() - waiter.decided_s)
            raise
        except asyncio.CancelledError:
            self._abandon(state, waiter)
            raise

    def _check_open(self, request: RouteRequest) -> None:
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

    def _place(self, state: ServiceState, request: RouteRequest) -> RoutedGrant | None:
        """Choose a target for a request and account for it there."""
        now_s = self.now_s()
        candidates = self._candidates(request, now_s)
        reserved_tokens = self.reservation_tokens(request, 0)
        output_tokens = reserved_tokens - request.prompt_tokens
        choice = Choice(request, now_s, output_tokens, self.prefixes)
        chosen = state.policy.choose(choice, candidates)
        if chosen is None and self._need_credit(state, choice):
            choice = Choice(request, now_s, output_tokens, self.prefixes)
            chosen = state.policy.choose(choice, candidates)
        if chosen is None:
            return None
        for candidate in choice.short_of_credit:
            # Asked for in its turn, so that a target that is back is used again.
            self.wallet.demand(candidate.target)
        return self._grant(choice, chosen, len(candidates))

    def _candidates(self, request: RouteRequest, now_s: float) -> list[Candidate]:
        candidates = self.directory.candidates(request.service.name, now_s)
        if not request.excluded:
            return candidates
        return [c for c in candidates if c.target.name not in request.excluded]

    def _need_credit(self, state: ServiceState, choice: Choice) -> bool:
        """Ask for the credits that a choice lacked; True if some came at once."""
        state.needed_tokens = choice.request.prompt_tokens + choice.output_tokens
        state.pressing = True
        came = [self.wallet.need(c.target) for c in choice.short_of_credit]
        state.pressing = False
        return any(came)

    def _grant(self, choice: Choice, chosen: Candidate, considered: int) -> RoutedGrant:
        request = choice.request
        name = chosen.target.name
        events.emit(
            ROUTE_CHOSEN,
            request_id=request.request_id,
            target=name,
            outstanding=chosen.outstanding,
            considered=considered,
            rejected=choice.rejected,
            uncached_tokens=choice.uncached_tokens,
        )
        self.wallet.demand(chosen.target)
        self.directory.observation(name).started(choice.now_s)
        if request.prefix:
            self.prefixes.place(name, request.prefix)
        reserved_tokens = request.prompt_tokens + choice.output_tokens
        uncached_tokens = choice.uncached_tokens
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
        if not state.checking:
            state.checking = True
            self._timer.call_after(CHECK_PERIOD_S, lambda: self._check(state))
        if waiter in state.queue.heads(now_s):
            self._pump(state)
        return waiter

    def _abandon(self, state: ServiceState, waiter: Waiter) -> None:
        """Give back what a cancelled waiter may have been given meanwhile."""
        state.queue.remove(waiter)
        future = waiter.future
        if not future.done() or future.cancelled() or future.exception():
            return
        future.result().finished(Outcome.CANCELLED)

    def _check(self, state: ServiceState) -> None:
        """Refuse who will not be served in time, and serve who can be."""
        state.checking = False
        now_s = self.now_s()
        for waiter, wait_s in state.queue.estimates(now_s):
            request = waiter.request
            if now_s >= request.deadline_s:
                state.queue.remove(waiter)
                self._refuse(waiter, "deadline", wait_s)
            elif wait_s is not None and now_s + wait_s > request.deadline_s:
                state.queue.remove(waiter)
                self._refuse(waiter, "no-time", wait_s)
        self._pump(state)
        if len(state.queue):
            state.checking = True
            self._timer.call_after(CHECK_PERIOD_S, lambda: self._check(state))

    def _pump(self, state: ServiceState) -> None:
        """Serve waiters, in the queue's order, until none finds a place."""
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
        grant = self._place(state, request)
        if grant is None:
            return False
        state.queue.served(waiter, now_s)
        if waiter.future.done():
            grant.finished(Outcome.CANCELLED)
        else:
            waiter.future.set_result(grant)
        return True

    def _refuse(self, waiter: Waiter, reason: str, wait_s: float | None) -> None:
        waiter.decided_s = self.now_s()
        retry_after_s = self._retry_after(waiter.request, wait_s)
        error = self._refusal(waiter.request, reason, retry_after_s)
        if not waiter.future.done():
            waiter.future.set_exception(error)

    def _retry_after(self, request: RouteRequest, wait_s: float | None) -> float:
        """Return when the backlog that stands now will have been served."""
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

    def _use_of(self, target: Target) -> Use:
        """Return what this entry tells the home of a target."""
        candidate = self.directory.candidate(target)
        observation = self.directory.observation(target.name)
        loan = self.wallet.loan(target.name)
        answers, first_token_ms = observation.take_answers()
        queued = self._queued(target)
        mean_tokens = candidate.reserved_tokens // max(1, candidate.outstanding)
        need_tokens = max(mean_tokens, self._needed_tokens(target), AHEAD_TOKENS)
        return Use(
            slots=candidate.outstanding,
            tokens=max(0, candidate.reserved_tokens),
            ahead_slots=AHEAD_SLOTS + observation.recent_starts(self.now_s()) + queued,
            ahead_tokens=self._ahead_requests(target, queued) * need_tokens,
            serial=loan.serial if loan else 0,
            median_gap_ms=observation.gap_quantile_ms(0.5),
            tail_gap_ms=observation.gap_quantile_ms(0.99),
            answers=answers,
            first_token_ms=first_token_ms,
            recooled=observation.take_recooled(),
            least_slots=candidate.asked(),
            queued=queued,
        )

    def _ahead_requests(self, target: Target, queued: int) -> int:
        """Return for how many requests this target's memory is asked in advance.

        What waits is asked for once over all targets, not at each of them.
        """
        count = len(self.directory.candidates(target.service, self.now_s()))
        return 1 + math.ceil(queued / max(1, count))

    def _needed_tokens(self, target: Target) -> int:
        state = self._services.get(target.service)
        if state is None or not (state.pressing or len(state.queue)):
            return 0
        return state.needed_tokens

    def _queued(self, target: Target) -> int:
        state = self._services.get(target.service)
        return max(len(state.queue), int(state.pressing)) if state else 0

    def _loan_changed(self, target: Target) -> None:
        self.directory.candidate(target).answered(self.wallet.loan(target.name))

    def _credits_came(self, target: Target) -> None:
        state = self._services.get(target.service)
        if state is not None:
            self._pump(state)

    def still_holds(self, grant: RoutedGrant) -> bool:
        """Tell whether an attempt may start now."""
        if self._source is not None and not self._source.holds_lease():
            return False
        if not self.directory.is_eligible(grant.target):
            return False
        if not POLICIES[grant.request.service.routing_policy].needs_credit:
            return True
        loan = self.wallet.loan(grant.target.name)
        if loan is None or loan.expires_s <= self.now_s():
            return False
        return grant.candidate.outstanding <= loan.slots

    def reservation_tokens(self, request: RouteRequest, produced: int) -> int:
        """Return the memory to reserve: prompt, output so far, part of the rest."""
        mean = self.lengths.mean_remaining(
            request.service, request.organisation.name, produced
        )
        if request.maximum_output_tokens:
            mean = min(mean, max(0, request.maximum_output_tokens - produced))
        return request.prompt_tokens + produced + int(REMAINING_SHARE * mean)

    def first_token(self, grant: RoutedGrant, time_s: float) -> None:
        """Note a first token: its prompt is no longer in flight."""
        observation = self.directory.observation(grant.target.name)
        target_ms = grant.request.service.first_token_target_ms
        if observation.first_token(1000 * time_s, target_ms):
            self._recool(grant.target)
        self._pump_service(grant)

    def gap(self, grant: RoutedGrant, gap_s: float) -> None:
        """Note a gap between tokens."""
        observation = self.directory.observation(grant.target.name)
        if observation.gap(1000 * gap_s, grant.request.service.gap_target_ms):
            self._recool(grant.target)

    def _recool(self, target: Target) -> None:
        events.emit(TARGET_RECOOLED, target=target.name)
        self.prefixes.clear(target.name)
        self.wallet.report_jump(target)

    def released(self, grant: RoutedGrant, outcome: Outcome) -> None:
        """Note the end of an attempt and serve who waits."""
        request = grant.request
        observation = self.directory.observation(grant.target.name)
        if outcome in (Outcome.FAILED, Outcome.NOT_RUN) and observation.failed():
            self._recool(grant.target)
        if outcome is Outcome.DONE:
            organisation = request.organisation.name
            observation.answered()
            if grant.produced:
                self.lengths.record(request.service, organisation, grant.produced)
        self._pump_service(grant)

    def _pump_service(self, grant: RoutedGrant) -> None:
        state = self._services.get(grant.request.service.name)
        if state is not None and len(state.queue):
            self._pump(state)
