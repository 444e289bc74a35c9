"""Bench of admission and placement under overload with departing engines.

A simulation in virtual time: callers of two request classes send generations to six
engines, of which one after the other departs and is replaced. Three policies get the
same arrivals and departures at several loads: a least-requests baseline, the previous
version of the product and the current one. The same seed gives the same table.

    python -m bench.worst_load [--seeds 10] [--trace FILE] [--record FILE --seed N]
"""

from __future__ import annotations

import asyncio
import concurrent.futures
import json
import pathlib
import random
import statistics
import sys
from typing import Any

import cyclopts

from bench.report import commit, machine
from bench.worst_load_arrivals import (
    CLASSES,
    Arrival,
    draw_arrivals,
    find_class,
    read_trace,
    write_trace,
)
from bench.worst_load_engines import (
    ENGINE_SPEC,
    PREFILL_TOKENS_PER_S,
    STEP_BASE_S,
    STEP_S_PER_RUN,
    SimEngine,
    SimRun,
)
from bench.worst_load_outcomes import Outcome, summary
from bench.worst_load_policies import (
    DEPARTURE_NOTICE_S,
    POLICIES,
    Grant,
    Policy,
    SimFleet,
    start_copy,
)
from endivesill import events
from endivesill.forwarding.refusals import cap_retry_after_s
from endivesill.timer import ManualTimer

LOADS = (0.7, 1.0, 1.3, 2.0)
ENGINES = 6
DATA_CENTRES = ("a", "b", "c")
# Arrivals continue after the measured period, so that retries of measured requests
# meet the same load.
DURATION_S = 60.0
# Time after the last arrival in which running requests may end.
DRAIN_S = 40.0
TICK_S = 0.02
DEPARTURE_PERIOD_S = 6.0
# A new engine starts this long after the departure notice of another.
REPLACEMENT_DELAY_S = 4.0
# Tokens generated between two updates of a backup copy, lost when it takes over.
BACKUP_LAG_TOKENS = 25


class Simulation:
    """Simulation of one policy with one list of arrivals.

    Args:
      name: the policy's name, a key of `POLICIES`.
      arrivals: the requests in order of time.
      seed: seed of the choice of departing engines and of the policy.
    """

    def __init__(self, name: str, arrivals: list[Arrival], seed: int) -> None:
        self._timer = ManualTimer(0.0)
        self._fleet = SimFleet(self._timer)
        self._policy: Policy = POLICIES[name](self._fleet, seed)
        self._arrivals = arrivals
        self._random = random.Random(seed)
        self._engines_started = 0
        for _ in range(ENGINES):
            self._add_engine()

    async def run(self) -> list[Outcome]:
        """Run the simulation; return the outcomes in the order of the arrivals."""
        outcomes = [Outcome(arrival) for arrival in self._arrivals]
        callers = [asyncio.ensure_future(self._run_caller(item)) for item in outcomes]
        # The first departure comes after half a period, at every load.
        self._timer.call_after(DEPARTURE_PERIOD_S / 2, self._announce_departure)
        self._policy.update()
        while self._timer.now_s() < DURATION_S + DRAIN_S:
            await self._timer.advance(TICK_S)
            for engine in self._fleet.engines:
                engine.advance(self._timer.now_s())
            self._move_copied_runs()
            self._policy.update()
            if all(caller.done() for caller in callers):
                break
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
        return outcomes

    # Callers.

    async def _run_caller(self, outcome: Outcome) -> None:
        arrival = outcome.arrival
        kind = find_class(arrival.kind)
        await self._timer.sleep(arrival.time_s)
        while True:
            elapsed_s = self._timer.now_s() - arrival.time_s
            remaining_s = kind.deadline_s - elapsed_s
            latency_remaining_s = kind.target_latency_s - elapsed_s
            grant = await self._policy.place(arrival, remaining_s, latency_remaining_s)
            if isinstance(grant, Grant):
                await self._generate(outcome, grant)
                return
            outcome.refusals += 1
            if outcome.refusals > 1:
                return
            # Callers retry once, after at most a part of their remaining time.
            await self._timer.sleep(cap_retry_after_s(grant.retry_after_s, remaining_s))

    async def _generate(self, outcome: Outcome, grant: Grant) -> None:
        done = asyncio.get_running_loop().create_future()
        run = SimRun(
            outcome.arrival,
            grant.reserved_tokens,
            outcome.arrival.prompt_tokens,
            lambda is_complete: _set_result(done, is_complete),
            backup=grant.backup,
        )
        if grant.backup is not None:
            grant.backup.copy_tokens[run.number] = outcome.arrival.prompt_tokens
        grant.engine.start(run)
        outcome.served = await done
        if run.first_event_s is not None:
            outcome.first_event_s = run.first_event_s - outcome.arrival.time_s
        outcome.max_gap_s = run.longest_gap_s
        self._release_copies(run)

    # Engines.

    def _add_engine(self) -> None:
        data_centre = DATA_CENTRES[self._engines_started % len(DATA_CENTRES)]
        name = f"e{self._engines_started}"
        self._engines_started += 1
        self._fleet.engines.append(SimEngine(name, data_centre, self._timer.now_s()))

    def _announce_departure(self) -> None:
        staying = [e for e in self._fleet.engines if e.departs_s is None]
        engine = self._random.choice(staying)
        engine.departs_s = self._timer.now_s() + DEPARTURE_NOTICE_S
        self._timer.call_after(DEPARTURE_NOTICE_S, lambda: self._remove_engine(engine))
        self._timer.call_after(
            self._policy.notice_lag_s,
            lambda: asyncio.ensure_future(self._copy_runs(engine)),
        )
        self._timer.call_after(REPLACEMENT_DELAY_S, self._add_engine)
        if self._timer.now_s() + DEPARTURE_PERIOD_S < DURATION_S:
            self._timer.call_after(DEPARTURE_PERIOD_S, self._announce_departure)

    async def _copy_runs(self, engine: SimEngine) -> None:
        """Start copies of the runs that would be lost with a departing engine."""
        for run in list(engine.runs):
            if self._has_backup(run):
                continue
            destination = await self._policy.place_copy(run)
            if destination is not None and run in engine.runs:
                run.copy = start_copy(run, destination, self._timer.now_s())

    def _has_backup(self, run: SimRun) -> bool:
        backup = run.backup
        if backup is None or backup.departs_s is not None:
            return False
        return backup in self._fleet.engines

    def _move_copied_runs(self) -> None:
        """Resume runs at the engine of their copy once the copy is complete."""
        if not self._policy.moves_before_departure:
            return
        now_s = self._timer.now_s()
        for engine in self._fleet.engines:
            for run in list(engine.runs):
                if run.copy is not None and run.copy.done_s <= now_s:
                    self._resume(run, run.copy.destination, run.copy.generated)

    def _remove_engine(self, engine: SimEngine) -> None:
        self._fleet.engines.remove(engine)
        for run in [*engine.runs, *engine.queue]:
            copy = run.copy
            if run.first_event_s is None:
                run.on_end(False)
            elif run.backup is not None and self._has_backup(run):
                # Tokens generated since the backup's last update are lost.
                self._resume(run, run.backup, max(0, run.generated - BACKUP_LAG_TOKENS))
            elif copy is not None and copy.done_s <= self._timer.now_s():
                self._resume(run, copy.destination, copy.generated)
            else:
                run.on_end(False)

    def _resume(self, run: SimRun, engine: SimEngine, generated: int) -> None:
        if engine not in self._fleet.engines:
            run.on_end(False)
            return
        assert run.engine is not None
        run.engine.remove_run(run)
        run.prefill_tokens = run.generated - generated
        run.backup = run.copy = None
        engine.start(run, admit_first=True)

    def _release_copies(self, run: SimRun) -> None:
        for engine in self._fleet.engines:
            engine.copy_tokens.pop(run.number, None)


def _set_result(done: asyncio.Future[bool], is_complete: bool) -> None:
    if not done.done():
        done.set_result(is_complete)


def capacity_per_s() -> float:
    """Return the arrival rate that fills the memory of all engines if none departs."""
    token_seconds = 0.0
    for kind in CLASSES:
        step_s = STEP_BASE_S + 8 * STEP_S_PER_RUN
        run_s = kind.prompt_tokens / PREFILL_TOKENS_PER_S + kind.output_tokens * step_s
        token_seconds += (
            kind.share * run_s * (kind.prompt_tokens + kind.output_tokens / 2)
        )
    return ENGINES * ENGINE_SPEC.capacity_tokens / token_seconds


def simulate(name: str, arrivals: list[Arrival], seed: int) -> list[Outcome]:
    """Simulate one policy; return the outcome of each request."""
    return asyncio.run(Simulation(name, arrivals, seed).run())


def _run_job(job: tuple[str, float, int, pathlib.Path | None]) -> dict[str, Any]:
    events.set_sink(lambda kind, fields: None)
    name, load, seed, trace = job
    if trace is not None:
        return summary(simulate(name, read_trace(trace), seed))
    arrivals = draw_arrivals(seed, load * capacity_per_s(), DURATION_S)
    return summary(simulate(name, arrivals, seed))


def compare(
    seeds: int, loads: tuple[float, ...], trace: pathlib.Path | None, jobs: int
) -> dict[str, Any]:
    """Return median, low and high over the seeds by load, policy, class and figure."""
    cases = [
        (name, load, seed, trace)
        for load in loads
        for name in POLICIES
        for seed in range(1, seeds + 1)
    ]
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        summaries = dict(zip(cases, pool.map(_run_job, cases), strict=True))
    table: dict[str, Any] = {}
    for load in loads:
        for name in POLICIES:
            runs = [summaries[name, load, seed, trace] for seed in range(1, seeds + 1)]
            table.setdefault(str(load), {})[name] = _aggregate(runs)
    return table


def _aggregate(runs: list[dict[str, Any]]) -> dict[str, Any]:
    return {
        group: {
            figure: {
                "median": statistics.median(run[group][figure] for run in runs),
                "low": min(run[group][figure] for run in runs),
                "high": max(run[group][figure] for run in runs),
            }
            for figure in runs[0][group]
        }
        for group in runs[0]
    }


app = cyclopts.App(help=__doc__)


@app.default
def main(
    *,
    seeds: int = 10,
    trace: pathlib.Path | None = None,
    record: pathlib.Path | None = None,
    seed: int = 1,
    load: float = 1.3,
    jobs: int = 4,
) -> None:
    """Compare the policies and print the table as JSON.

    Args:
      seeds: number of seeds for each load.
      trace: file of recorded arrivals to use instead of drawn ones.
      record: write the arrivals of one seed and load to this file, and exit.
      seed: the seed to record.
      load: the load to record, as a multiple of the capacity.
      jobs: number of worker processes.
    """
    if record is not None:
        write_trace(record, draw_arrivals(seed, load * capacity_per_s(), DURATION_S))
        return
    loads = LOADS if trace is None else (load,)
    table = compare(seeds, loads, trace, jobs)
    document = {
        "bench": "worst_load",
        "seeds": seeds,
        "machine": machine(),
        "commit": commit(),
        "capacity_per_s": round(capacity_per_s(), 3),
        "loads": table,
    }
    print(json.dumps(document, indent=1))
    for load_name, policies in table.items():
        for name, groups in policies.items():
            row = {figure: spread["median"] for figure, spread in groups["all"].items()}
            print(f"{load_name:>4} {name:<9} {row}", file=sys.stderr)


if __name__ == "__main__":
    app()
