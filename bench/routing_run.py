"""One run of the routing benchmark: the real router with simulated engines."""

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

__all__ = ["Plan", "RunResults", "run_plan"]

ENGINES = 6
DATA_CENTRES = ("dk-west-a", "dk-west-b", "dk-west-c")
STALL_S = 0.25
WARM_UP_S = 40.0
MAX_DRAIN_S = 150.0
DEADLINE_S = 10.0
MAX_ATTEMPTS = 3
COLD_SLOTS = 4
LONG_STEP_TOKENS = 700


@attrs.frozen
class Plan:
    """The parameters of one run.

    Attributes:
      policy: the routing policy.
      limit: `maximum_slots` of every target.
      rate_per_s: mean arrival rate of requests.
      duration_s: time until the last arrival, with the warm-up.
      scenario: name of the injected fault; empty for none.
      entries: number of VMs that receive the requests in round-robin order.
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
class RunResults:
    """The results of one run between its warm-up and its last arrival.

    Goodput counts the tokens of completed responses, timely goodput only those of
    responses whose first token met the deadline. `long_step_share` is the share of
    token gaps caused by a step that prefilled `LONG_STEP_TOKENS` or more, and
    `lone_prompt_share` the share caused by such a step with a single prompt.
    `cold_excess` is the largest excess of running requests on a cold engine over
    its allowance; `starts_in_closed` counts attempts that started in a data centre
    that was taken out.
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


class Simulation:
    """The simulated fleet, workload and results of one run."""

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
        self.spec = EngineSpec(cold_slots=COLD_SLOTS)
        self.organisations = [
            Organisation(f"o{i}", key_sha256="0" * 64) for i in range(10)
        ]
        self.configuration = self._make_configuration(taken_out=False)
        self.engines = {
            name: FakeEngine(name, self.spec, self.timer, plan.seed + number)
            for number, name in enumerate(self.configuration.targets)
        }
        self.results = RunResults(plan.policy, plan.limit)
        self.gap_histogram: dict[int, int] = {}
        self.first_token_times: list[tuple[int, float]] = []
        self.completed_tokens = 0
        self.timely_tokens = 0
        self._make_entries()

    def _make_configuration(self, taken_out: bool) -> Configuration:
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
        data_centres = {
            name: DataCentre(
                name,
                region="dk-west",
                taken_out=taken_out and name == DATA_CENTRES[0],
            )
            for name in DATA_CENTRES
        }
        return Configuration(
            1,
            data_centres=data_centres,
            services={"plan-llm": self.service},
            targets=targets,
        )

    def _make_entries(self) -> None:
        self.network = MemoryNetwork(self.timer, self.plan.seed)
        self.entries = make_entries(
            self.plan.entries,
            self.timer,
            lambda: self.configuration,
            FakeEngines(self.engines),
            self.network,
        )

    def assume_warm(self) -> None:
        """Skip the takeover period and slow start of all targets."""
        for target in self.configuration.targets.values():
            for entry in self.entries:
                entry.assume_warm(target)

    def allowance_slots(self, target: Target) -> int:
        """Return the slots that the target's owner may allocate in total."""
        owner = next(e for e in self.entries if e.credit_server.is_owner(target))
        return owner.credit_server.allocator(target).allowance_slots()

    def elapsed_s(self) -> float:
        """Return the simulated time since the start of the run."""
        return self.timer.now_s() - self.start_s

    def is_measuring(self) -> bool:
        """Return whether the warm-up is over and requests still arrive."""
        return WARM_UP_S <= self.elapsed_s() < self.plan.duration_s

    async def serve(self, arrival: Arrival, entry: Entry) -> None:
        """Route one request; retry it unless an attempt has produced a token."""
        is_measured = self.is_measuring()
        arrived_s = self.timer.now_s()
        self.results.requests += is_measured
        excluded: set[str] = set()
        for _ in range(MAX_ATTEMPTS):
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
                self.results.refused += is_measured
                return
            if not grant.may_start():
                grant.finished(Outcome.NOT_RUN)
                continue
            attempt = Attempt(self, arrival, grant, arrived_s, is_measured)
            if await attempt.run():
                self.results.completed += is_measured
                return
            excluded.add(grant.target.name)
            if attempt.sequence.generated_tokens:
                break
        self.results.broken += is_measured

    def is_taken_out(self, target: Target) -> bool:
        """Return whether the target's data centre is taken out."""
        return self.configuration.data_centres[target.data_centre].taken_out

    def record_cold_start(self, target: Target) -> None:
        """Record how far a start on a cold engine exceeds the target's allowance."""
        engine = self.engines[target.name]
        if not engine.warm_up_remaining or self.plan.policy != "credit":
            return
        max_slots = self.allowance_slots(target)
        excess = engine.count_cold_started() + 1 - max_slots
        self.results.cold_excess = max(self.results.cold_excess, excess)

    def record_gap(self, gap_s: float) -> None:
        """Record the time between two tokens of a stream."""
        if not self.is_measuring():
            return
        bucket = int(1000 * gap_s / GAP_BUCKET_MS)
        self.gap_histogram[bucket] = self.gap_histogram.get(bucket, 0) + 1
        if gap_s > STALL_S:
            self.results.stall_s += gap_s - STALL_S

    async def serve_arrivals(self) -> None:
        """Start each request at its arrival time and wait for all of them."""
        plan = self.plan
        tasks: list[asyncio.Task[None]] = []
        for arrival in make_arrivals(plan.seed, plan.rate_per_s, plan.duration_s):
            await self.timer.sleep(arrival.at_s - self.elapsed_s())
            entry = self.entries[len(tasks) % plan.entries]
            tasks.append(asyncio.ensure_future(self.serve(arrival, entry)))
        await asyncio.gather(*tasks)

    def schedule_faults(self) -> None:
        """Schedule the fault of the scenario within the measured time."""
        first_engine = self.engines["e0"]
        run_after = self.timer.call_after
        measurement_s = self.plan.duration_s - WARM_UP_S
        begin_s = WARM_UP_S + 0.2 * measurement_s
        end_s = WARM_UP_S + 0.5 * measurement_s
        faults: dict[str, list[tuple[float, Callable[[], None]]]] = {
            "": [],
            "turns-cold": [(begin_s, first_engine.reset_to_cold)],
            "dies": [(begin_s, first_engine.crash), (end_s, first_engine.restart)],
            "data-centre": [
                (begin_s, lambda: self._set_taken_out(True)),
                (end_s - 1.0, self._reset_taken_out_to_cold),
                (end_s, lambda: self._set_taken_out(False)),
            ],
        }
        for delay_s, action in faults[self.plan.scenario]:
            run_after(delay_s, action)

    def _set_taken_out(self, taken_out: bool) -> None:
        self.configuration = self._make_configuration(taken_out)

    def _reset_taken_out_to_cold(self) -> None:
        for target in self.configuration.targets.values():
            if self.is_taken_out(target):
                self.engines[target.name].reset_to_cold()


class Attempt:
    """One attempt of a request at a simulated engine."""

    def __init__(
        self,
        simulation: Simulation,
        arrival: Arrival,
        grant: Grant,
        arrived_s: float,
        is_measured: bool,
    ) -> None:
        self.simulation = simulation
        self.grant = grant
        self.arrived_s = arrived_s
        self.arrival = arrival
        self.is_measured = is_measured
        self.last_token_s: float | None = None
        self.first_token_s = 0.0
        self.delivered_tokens = 0
        self.completion: asyncio.Future[bool] = (
            asyncio.get_running_loop().create_future()
        )
        self.sequence = Sequence(
            arrival.prompt_tokens,
            arrival.output_tokens,
            arrival.prefix,
            arrival.priority,
            self.on_token,
            self.completion.set_result,
        )

    async def run(self) -> bool:
        """Run the attempt; return whether the response was completed."""
        simulation = self.simulation
        engine = simulation.engines[self.grant.target.name]
        simulation.results.starts_in_closed += simulation.is_taken_out(
            self.grant.target
        )
        simulation.record_cold_start(self.grant.target)
        if not engine.submit(self.sequence):
            self.grant.finished(Outcome.NOT_RUN)
            return False
        is_complete = await self.completion
        self.grant.finished(Outcome.DONE if is_complete else Outcome.FAILED)
        if is_complete:
            simulation.completed_tokens += self.delivered_tokens
            if self.first_token_s - self.arrived_s <= DEADLINE_S:
                simulation.timely_tokens += self.delivered_tokens
        return is_complete

    def on_token(self, now_s: float) -> None:
        """Record a token that the engine generated at a time."""
        self.delivered_tokens += self.simulation.is_measuring()
        if self.last_token_s is None:
            self.first_token_s = now_s
            if self.is_measured:
                time_to_first_token_ms = 1000 * (now_s - self.arrived_s)
                sample = (self.arrival.priority, time_to_first_token_ms)
                self.simulation.first_token_times.append(sample)
        else:
            self.simulation.record_gap(now_s - self.last_token_s)
        self.last_token_s = now_s
        self.grant.tokens(1)


async def _simulate(plan: Plan) -> RunResults:
    simulation = Simulation(plan)
    simulation.assume_warm()
    for entry in simulation.entries:
        await entry.start()
    simulation.schedule_faults()
    arrival_task = asyncio.ensure_future(simulation.serve_arrivals())
    await simulation.timer.advance(WARM_UP_S)
    preemptions_before = sum(
        engine.preemptions for engine in simulation.engines.values()
    )
    await simulation.timer.advance(plan.duration_s - WARM_UP_S)
    results = simulation.results
    results.preemptions = (
        sum(engine.preemptions for engine in simulation.engines.values())
        - preemptions_before
    )
    while (
        not arrival_task.done()
        and simulation.elapsed_s() < plan.duration_s + MAX_DRAIN_S
    ):
        await simulation.timer.advance(5.0)
    arrival_task.cancel()
    await asyncio.gather(arrival_task, return_exceptions=True)
    for entry in simulation.entries:
        await entry.stop()
    measured_s = plan.duration_s - WARM_UP_S
    results.goodput_tokens_s = round(simulation.completed_tokens / measured_s, 1)
    results.timely_goodput_tokens_s = round(simulation.timely_tokens / measured_s, 1)
    entry_seconds = plan.entries * simulation.elapsed_s()
    results.credit_bytes_s = round(simulation.network.bytes / entry_seconds, 1)
    results.stall_s = round(results.stall_s, 2)
    results.gap_ms = gap_quantiles(simulation.gap_histogram)
    results.first_token_ms = quantiles([t for _, t in simulation.first_token_times])
    check_times_ms = [
        t for priority, t in simulation.first_token_times if priority == 0
    ]
    results.check_first_token_ms = quantiles(check_times_ms)
    results.cold_peak = max(engine.cold_peak for engine in simulation.engines.values())
    steps = [step for engine in simulation.engines.values() for step in engine.step_log]
    results.prefilled_tokens = sum(step.prefilled_tokens for step in steps)
    decoded = sum(step.decoded for step in steps) or 1
    long_steps = [step for step in steps if step.prefilled_tokens >= LONG_STEP_TOKENS]
    single_prompt_steps = [step for step in long_steps if step.prompts == 1]
    results.long_step_share = round(sum(s.decoded for s in long_steps) / decoded, 5)
    results.lone_prompt_share = round(
        sum(s.decoded for s in single_prompt_steps) / decoded, 5
    )
    return results


def run_plan(plan: Plan) -> RunResults:
    """Simulate one plan and return its results."""
    return asyncio.run(_simulate(plan))
