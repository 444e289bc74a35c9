"""One run of the routing bench: the real router over fakes of engines."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import attrs

from bench.fake_engine import FakeEngine, FakeEngines
from bench.fake_sequence import EngineSpec, Sequence
from bench.routing_entry import Entry, make_entries
from bench.routing_quantiles import GAP_BUCKET_MS, gap_quantiles, quantiles
from bench.routing_workload import Arrival, make_arrivals
from endivesill import errors
from endivesill.configuration.model import (
    Configuration,
    DataCentre,
    Organisation,
    Service,
    Target,
)
from endivesill.peers import MemoryNetwork
from endivesill.routing import Grant, Outcome, RouteRequest
from endivesill.timer import ManualTimer

__all__ = ["Figures", "Plan", "run_plan"]

ENGINES = 6
DATA_CENTRES = ("dk-west-a", "dk-west-b", "dk-west-c")
STALL_S = 0.25
WARM_UP_S = 40.0
DRAIN_S = 150.0
DEADLINE_S = 10.0
MAXIMUM_ATTEMPTS = 3
COLD_SLOTS = 4
LONG_STEP_TOKENS = 700


@attrs.frozen
class Plan:
    """What one run does.

    Attributes:
      policy: the routing policy.
      limit: the targets' `maximum_slots`.
      rate_per_s: requests that arrive in a second.
      duration_s: how long they arrive.
      scenario: the fault that is brought about, or empty.
      entries: VMs that the requests go to by turns.
    """

    policy: str
    limit: int
    rate_per_s: float
    duration_s: float
    seed: int = 1
    scenario: str = ""
    entries: int = 1
    queue_limit: int = 200


@attrs.define
class Figures:
    """What one run measured between its warm-up and its last arrival.

    Goodput counts the tokens of whole answers; timely goodput only those whose
    first token met the deadline. The share of long steps is that of the gaps
    which a step with `LONG_STEP_TOKENS` of prefill or more made; the share of
    lone prompts, that of those in which one prompt alone made it.
    """

    policy: str
    limit: int
    goodput_tokens_s: float = 0.0
    timely_goodput_tokens_s: float = 0.0
    preemptions: int = 0
    stall_s: float = 0.0
    gap_ms: dict[str, float] = attrs.Factory(dict)
    first_token_ms: dict[str, float] = attrs.Factory(dict)
    check_first_token_ms: dict[str, float] = attrs.Factory(dict)
    requests: int = 0
    completed: int = 0
    refused: int = 0
    broken: int = 0
    credit_bytes_s: float = 0.0
    cold_peak: int = 0
    cold_excess: int = 0
    starts_in_closed: int = 0
    prefilled_tokens: int = 0
    long_step_share: float = 0.0
    lone_prompt_share: float = 0.0


class Run:
    """The state of a run."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.timer = ManualTimer()
        self.start_s = self.timer.now_s()
        self.service = Service(
            "plan-llm",
            protocol="engine",
            routing_policy=plan.policy,
            deadline_s=DEADLINE_S,
            queue_limit=plan.queue_limit,
        )
        self.spec = EngineSpec(cold_bears=COLD_SLOTS)
        self.organisations = [
            Organisation(f"o{i}", key_sha256="0" * 64) for i in range(10)
        ]
        self.configuration = self._configuration(taken_out=False)
        self.engines = {
            name: FakeEngine(name, self.spec, self.timer, plan.seed + number)
            for number, name in enumerate(self.configuration.targets)
        }
        self.figures = Figures(plan.policy, plan.limit)
        self.gaps: dict[int, int] = {}
        self.first_tokens: list[tuple[int, float]] = []
        self.good_tokens = 0
        self.timely_tokens = 0
        self._wire()

    def _configuration(self, taken_out: bool) -> Configuration:
        targets = {}
        for number in range(ENGINES):
            name = f"e{number}"
            targets[name] = Target(
                name,
                service="plan-llm",
                url="http://fake",
                data_centre=DATA_CENTRES[number % 3],
                cold_slots=COLD_SLOTS,
                maximum_slots=self.plan.limit,
                memory_tokens=self.spec.memory_tokens,
            )
        centres = {
            name: DataCentre(
                name,
                region="dk-west",
                taken_out=taken_out and name == DATA_CENTRES[0],
            )
            for name in DATA_CENTRES
        }
        return Configuration(
            1,
            data_centres=centres,
            services={"plan-llm": self.service},
            targets=targets,
        )

    def _wire(self) -> None:
        self.network = MemoryNetwork(self.timer, self.plan.seed)
        self.entries = make_entries(
            self.plan.entries,
            self.timer,
            lambda: self.configuration,
            FakeEngines(self.engines),
            self.network,
        )

    def assume_warm(self) -> None:
        """Begin with homes that have known warm targets for long."""
        for target in self.configuration.targets.values():
            for entry in self.entries:
                entry.assume_warm(target)

    def allowance_slots(self, target: Target) -> int:
        """Return what the target's home lends at most."""
        home = next(e for e in self.entries if e.lender.is_owner(target))
        return home.lender.allocator(target).allowance_slots()

    def elapsed_s(self) -> float:
        """Return the time since the run's start."""
        return self.timer.now_s() - self.start_s

    def measures(self) -> bool:
        """Tell whether the warm-up is over and arrivals go on."""
        return WARM_UP_S <= self.elapsed_s() < self.plan.duration_s

    async def serve(self, arrival: Arrival, entry: Entry) -> None:
        """Take one request through its attempts."""
        measured = self.measures()
        arrived_s = self.timer.now_s()
        self.figures.requests += measured
        excluded: set[str] = set()
        for _ in range(MAXIMUM_ATTEMPTS):
            request = RouteRequest(
                request_id="r",
                service=self.service,
                organisation=self.organisations[arrival.organisation],
                prompt_tokens=arrival.prompt_tokens,
                prefix=arrival.prefix,
                priority=arrival.priority,
                deadline_s=arrived_s + DEADLINE_S,
                excluded=frozenset(excluded),
            )
            try:
                grant = await entry.router.acquire(request)
            except errors.RefusedError:
                self.figures.refused += measured
                return
            if not grant.may_start():
                grant.finished(Outcome.NOT_RUN)
                continue
            attempt = Attempt(self, arrival, grant, arrived_s, measured)
            if await attempt.run():
                self.figures.completed += measured
                return
            excluded.add(grant.target.name)
            if attempt.sequence.produced:
                break
        self.figures.broken += measured

    def closed(self, target: Target) -> bool:
        """Tell whether the target's data centre is taken out."""
        return self.configuration.data_centres[target.data_centre].taken_out

    def note_cold_start(self, target: Target) -> None:
        """Compare a start on a cold engine with the target's allowance."""
        engine = self.engines[target.name]
        if not engine.cold_left or self.plan.policy != "credit":
            return
        allowance = self.allowance_slots(target)
        excess = engine.cold_running() + 1 - allowance
        self.figures.cold_excess = max(self.figures.cold_excess, excess)

    def note_gap(self, gap_s: float) -> None:
        """Count a gap between two tokens of a stream."""
        if not self.measures():
            return
        bucket = int(1000 * gap_s / GAP_BUCKET_MS)
        self.gaps[bucket] = self.gaps.get(bucket, 0) + 1
        if gap_s > STALL_S:
            self.figures.stall_s += gap_s - STALL_S

    async def arrive(self) -> None:
        """Let the requests arrive at their times."""
        plan = self.plan
        tasks: list[asyncio.Task[None]] = []
        for arrival in make_arrivals(plan.seed, plan.rate_per_s, plan.duration_s):
            await self.timer.sleep(arrival.at_s - self.elapsed_s())
            entry = self.entries[len(tasks) % plan.entries]
            tasks.append(asyncio.ensure_future(self.serve(arrival, entry)))
        await asyncio.gather(*tasks)

    def schedule(self) -> None:
        """Bring the scenario's fault about."""
        first = self.engines["e0"]
        at = self.timer.call_after
        span_s = self.plan.duration_s - WARM_UP_S
        begin_s = WARM_UP_S + 0.2 * span_s
        end_s = WARM_UP_S + 0.5 * span_s
        faults: dict[str, list[tuple[float, Callable[[], None]]]] = {
            "": [],
            "turns-cold": [(begin_s, first.turn_cold)],
            "dies": [(begin_s, first.die), (end_s, first.revive)],
            "data-centre": [
                (begin_s, lambda: self._take_out(True)),
                (end_s - 1.0, self._chill_closed),
                (end_s, lambda: self._take_out(False)),
            ],
        }
        for delay_s, action in faults[self.plan.scenario]:
            at(delay_s, action)

    def _take_out(self, taken_out: bool) -> None:
        self.configuration = self._configuration(taken_out)

    def _chill_closed(self) -> None:
        for target in self.configuration.targets.values():
            if self.closed(target):
                self.engines[target.name].turn_cold()


class Attempt:
    """One attempt of a request at a fake engine."""

    def __init__(
        self, run: Run, arrival: Arrival, grant: Grant, arrived_s: float, measured: bool
    ) -> None:
        self.run_state = run
        self.grant = grant
        self.arrived_s = arrived_s
        self.arrival = arrival
        self.measured = measured
        self.last_s: float | None = None
        self.first_s = 0.0
        self.delivered = 0
        self.ended: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self.sequence = Sequence(
            arrival.prompt_tokens,
            arrival.output_tokens,
            arrival.prefix,
            arrival.priority,
            self.on_token,
            self.ended.set_result,
        )

    async def run(self) -> bool:
        """Run it and return whether it was whole."""
        state = self.run_state
        engine = state.engines[self.grant.target.name]
        state.figures.starts_in_closed += state.closed(self.grant.target)
        state.note_cold_start(self.grant.target)
        if not engine.submit(self.sequence):
            self.grant.finished(Outcome.NOT_RUN)
            return False
        whole = await self.ended
        self.grant.finished(Outcome.DONE if whole else Outcome.FAILED)
        if whole:
            state.good_tokens += self.delivered
            if self.first_s - self.arrived_s <= DEADLINE_S:
                state.timely_tokens += self.delivered
        return whole

    def on_token(self, now_s: float) -> None:
        """Take a token."""
        self.delivered += self.run_state.measures()
        if self.last_s is None:
            self.first_s = now_s
            if self.measured:
                waited_ms = 1000 * (now_s - self.arrived_s)
                entry = (self.arrival.priority, waited_ms)
                self.run_state.first_tokens.append(entry)
        else:
            self.run_state.note_gap(now_s - self.last_s)
        self.last_s = now_s
        self.grant.tokens(1)


async def _simulate(plan: Plan) -> Figures:
    run = Run(plan)
    run.assume_warm()
    for entry in run.entries:
        await entry.start()
    run.schedule()
    arriving = asyncio.ensure_future(run.arrive())
    await run.timer.advance(WARM_UP_S)
    before = sum(engine.preemptions for engine in run.engines.values())
    await run.timer.advance(plan.duration_s - WARM_UP_S)
    figures = run.figures
    figures.preemptions = (
        sum(engine.preemptions for engine in run.engines.values()) - before
    )
    while not arriving.done() and run.elapsed_s() < plan.duration_s + DRAIN_S:
        await run.timer.advance(5.0)
    arriving.cancel()
    await asyncio.gather(arriving, return_exceptions=True)
    for entry in run.entries:
        await entry.stop()
    measured_s = plan.duration_s - WARM_UP_S
    figures.goodput_tokens_s = round(run.good_tokens / measured_s, 1)
    figures.timely_goodput_tokens_s = round(run.timely_tokens / measured_s, 1)
    per_entry = plan.entries * run.elapsed_s()
    figures.credit_bytes_s = round(run.network.bytes / per_entry, 1)
    figures.stall_s = round(figures.stall_s, 2)
    figures.gap_ms = gap_quantiles(run.gaps)
    figures.first_token_ms = quantiles([t for _, t in run.first_tokens])
    checks = [t for priority, t in run.first_tokens if priority == 0]
    figures.check_first_token_ms = quantiles(checks)
    figures.cold_peak = max(engine.cold_peak for engine in run.engines.values())
    steps = [step for engine in run.engines.values() for step in engine.step_log]
    figures.prefilled_tokens = sum(step.prefilled_tokens for step in steps)
    decoded = sum(step.decoded for step in steps) or 1
    long = [step for step in steps if step.prefilled_tokens >= LONG_STEP_TOKENS]
    lone = [step for step in long if step.prompts == 1]
    figures.long_step_share = round(sum(s.decoded for s in long) / decoded, 5)
    figures.lone_prompt_share = round(sum(s.decoded for s in lone) / decoded, 5)
    return figures


def run_plan(plan: Plan) -> Figures:
    """Run one plan to its end."""
    return asyncio.run(_simulate(plan))
