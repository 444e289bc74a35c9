"""Waiting, refusing and placing when the load is at its worst, in virtual time.

Callers of two classes send generations to six engines that are taken away one after
the other. Three policies get the same arrivals and the same departures at several
loads: a plain baseline, the previous version and the current one. The same seed
gives the same table.

    python -m bench.worst_load [--seeds 10] [--trace FILE] [--record FILE --seed N]
"""

from __future__ import annotations

import asyncio
import concurrent.futures
import json
import math
import pathlib
import random
import statistics
import sys
from typing import Any

import attrs
import cyclopts

from bench.report import commit, machine
from bench.worst_load_arrivals import (
    CLASSES,
    Arrival,
    class_named,
    draw_arrivals,
    read_trace,
    write_trace,
)
from bench.worst_load_engines import (
    MEMORY,
    READ_TOKENS_PER_S,
    STEP_RUN_S,
    STEP_S,
    SimEngine,
    SimRun,
)
from bench.worst_load_policies import (
    NOTICE_S,
    POLICIES,
    Fleet,
    Grant,
    Policy,
    order_copy,
)
from endivesill import events
from endivesill.forwarding.refusals import cap_retry_after_s
from endivesill.timer import ManualTimer

LOADS = (0.7, 1.0, 1.3, 2.0)
ENGINES = 6
DATA_CENTRES = ("a", "b", "c")
# Arrivals go on for a time after those that are judged, so that who comes back
# meets the same load.
DURATION_S = 60.0
JUDGED_S = 40.0
# After the last arrival, until nothing is under way.
TAIL_S = 40.0
TICK_S = 0.02
# One engine leaves after the other; another comes some time after the notice.
DEPARTURE_PERIOD_S = 6.0
REPLACEMENT_S = 4.0
# The longest pause that is on time.
PAUSE_S = 0.18
# Least size of a session that can be told to starve.
STARVED_REQUESTS = 4
# Tokens that an engine makes between two parts of a backup.
BACKUP_LACKS = 25


@attrs.define
class Outcome:
    """What became of a request.

    Attributes:
      arrival: the request.
      refusals: how often it was refused.
      served: whether all of it was made.
      first_event_s: from its first arrival to its first event; infinite without.
      pause_s: the longest pause between two events.
    """

    arrival: Arrival
    refusals: int = 0
    served: bool = False
    first_event_s: float = math.inf
    pause_s: float = 0.0

    @property
    def is_late(self) -> bool:
        """Whether it was served, but not on time."""
        aim_s = class_named(self.arrival.kind).target_latency_s
        return self.served and (self.first_event_s > aim_s or self.pause_s > PAUSE_S)

    @property
    def worth(self) -> float:
        """What its caller has of it."""
        kind = class_named(self.arrival.kind)
        if not self.served:
            return 0.0
        return self.size * (kind.late_worth if self.is_late else kind.worth)

    @property
    def size(self) -> float:
        """Its size against the mean of its class, as the users weigh it."""
        kind = class_named(self.arrival.kind)
        tokens = self.arrival.prompt_tokens + 10 * self.arrival.output_tokens
        mean = kind.prompt_tokens + 10 * kind.output_tokens
        return min(4.0, 0.3 + 0.7 * tokens / mean)


class Simulation:
    """One policy with one list of arrivals.

    Args:
      name: the policy's name.
      arrivals: in order of time.
      seed: of the engines that leave and of the policy's draws.
    """

    def __init__(self, name: str, arrivals: list[Arrival], seed: int) -> None:
        self._timer = ManualTimer(0.0)
        self._fleet = Fleet(self._timer)
        self._policy: Policy = POLICIES[name](self._fleet, seed)
        self._arrivals = arrivals
        self._random = random.Random(seed)
        self._started = 0
        for _ in range(ENGINES):
            self._add_engine()

    async def run(self) -> list[Outcome]:
        """Play all of it."""
        outcomes = [Outcome(arrival) for arrival in self._arrivals]
        callers = [asyncio.ensure_future(self._call(item)) for item in outcomes]
        # Departures begin in the middle of a period, whatever the load.
        self._timer.call_after(DEPARTURE_PERIOD_S / 2, self._depart)
        self._policy.update()
        while self._timer.now_s() < DURATION_S + TAIL_S:
            await self._timer.advance(TICK_S)
            for engine in self._fleet.engines:
                engine.advance(self._timer.now_s())
            self._review()
            self._policy.update()
            if all(caller.done() for caller in callers):
                break
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
        return outcomes

    # Callers.

    async def _call(self, outcome: Outcome) -> None:
        arrival = outcome.arrival
        kind = class_named(arrival.kind)
        await self._timer.sleep(arrival.time_s)
        while True:
            passed_s = self._timer.now_s() - arrival.time_s
            left_s = kind.deadline_s - passed_s
            on_time_s = kind.target_latency_s - passed_s
            grant = await self._policy.place(arrival, left_s, on_time_s)
            if isinstance(grant, Grant):
                await self._generate(outcome, grant)
                return
            outcome.refusals += 1
            if outcome.refusals > 1:
                return
            # Callers come back once, after a part of their time at the latest.
            await self._timer.sleep(cap_retry_after_s(grant.retry_after_s, left_s))

    async def _generate(self, outcome: Outcome, grant: Grant) -> None:
        done = asyncio.get_running_loop().create_future()
        run = SimRun(
            outcome.arrival,
            grant.reserved_tokens,
            outcome.arrival.prompt_tokens,
            lambda whole: _settle(done, whole),
            backup=grant.backup,
        )
        if grant.backup is not None:
            grant.backup.held[run.number] = outcome.arrival.prompt_tokens
        grant.engine.start(run)
        outcome.served = await done
        if run.first_event_s is not None:
            outcome.first_event_s = run.first_event_s - outcome.arrival.time_s
        outcome.pause_s = run.longest_pause_s
        self._free_copies(run)

    # Engines.

    def _add_engine(self) -> None:
        data_centre = DATA_CENTRES[self._started % len(DATA_CENTRES)]
        name = f"e{self._started}"
        self._started += 1
        self._fleet.engines.append(SimEngine(name, data_centre, self._timer.now_s()))

    def _depart(self) -> None:
        staying = [e for e in self._fleet.engines if e.ends_s is None]
        engine = self._random.choice(staying)
        engine.ends_s = self._timer.now_s() + NOTICE_S
        self._timer.call_after(NOTICE_S, lambda: self._end(engine))
        self._timer.call_after(
            self._policy.notice_lag_s,
            lambda: asyncio.ensure_future(self._leave(engine)),
        )
        self._timer.call_after(REPLACEMENT_S, self._add_engine)
        if self._timer.now_s() + DEPARTURE_PERIOD_S < DURATION_S:
            self._timer.call_after(DEPARTURE_PERIOD_S, self._depart)

    async def _leave(self, engine: SimEngine) -> None:
        """Order copies of the runs that would be lost with an engine."""
        for run in list(engine.runs):
            if self._has_backup(run):
                continue
            destination = await self._policy.place_copy(run)
            if destination is not None and run in engine.runs:
                run.copy = order_copy(run, destination, self._timer.now_s())

    def _has_backup(self, run: SimRun) -> bool:
        backup = run.backup
        if backup is None or backup.ends_s is not None:
            return False
        return backup in self._fleet.engines

    def _review(self) -> None:
        """Let runs whose copy is complete leave their engine."""
        if not self._policy.moves_at_once:
            return
        now_s = self._timer.now_s()
        for engine in self._fleet.engines:
            for run in list(engine.runs):
                if run.copy is not None and run.copy.done_s <= now_s:
                    self._go_on(run, run.copy.destination, run.copy.made)

    def _end(self, engine: SimEngine) -> None:
        self._fleet.engines.remove(engine)
        for run in [*engine.runs, *engine.queue]:
            copy = run.copy
            if run.first_event_s is None:
                run.ended(False)
            elif run.backup is not None and self._has_backup(run):
                # A backup lacks what was made since its last part.
                self._go_on(run, run.backup, max(0, run.made - BACKUP_LACKS))
            elif copy is not None and copy.done_s <= self._timer.now_s():
                self._go_on(run, copy.destination, copy.made)
            else:
                run.ended(False)

    def _go_on(self, run: SimRun, engine: SimEngine, made: int) -> None:
        if engine not in self._fleet.engines:
            run.ended(False)
            return
        assert run.engine is not None
        run.engine.drop(run)
        run.unread_tokens = run.made - made
        run.backup = run.copy = None
        engine.start(run, first=True)

    def _free_copies(self, run: SimRun) -> None:
        for engine in self._fleet.engines:
            engine.held.pop(run.number, None)


def _settle(done: asyncio.Future[bool], whole: bool) -> None:
    if not done.done():
        done.set_result(whole)


def capacity_per_s() -> float:
    """Return the arrivals that all engines' memory can take, if none leaves."""
    taken = 0.0
    for kind in CLASSES:
        step_s = STEP_S + 8 * STEP_RUN_S
        held_s = kind.prompt_tokens / READ_TOKENS_PER_S + kind.output_tokens * step_s
        taken += kind.share * held_s * (kind.prompt_tokens + kind.output_tokens / 2)
    return ENGINES * MEMORY.capacity_tokens / taken


def summary(outcomes: list[Outcome]) -> dict[str, Any]:
    """Return the figures of a run: of all requests and by class."""
    outcomes = [item for item in outcomes if item.arrival.time_s < JUDGED_S]
    table = {"all": _figures(outcomes)}
    for kind in CLASSES:
        own = [item for item in outcomes if item.arrival.kind == kind.name]
        table[kind.name] = _figures(own)
    return table


def _figures(outcomes: list[Outcome]) -> dict[str, float]:
    count = max(1, len(outcomes))
    owed = sum(item.size * class_named(item.arrival.kind).worth for item in outcomes)
    broken = [i for i in outcomes if not i.served and i.first_event_s < math.inf]
    return {
        "worth": round(sum(item.worth for item in outcomes) / max(1.0, owed), 4),
        "served": round(sum(item.served for item in outcomes) / count, 4),
        "refused": round(
            sum(i.refusals > 0 and not i.served for i in outcomes) / count, 4
        ),
        "late": round(sum(item.is_late for item in outcomes) / count, 4),
        "pauses": round(sum(i.served and i.pause_s > PAUSE_S for i in outcomes), 4),
        "broken": len(broken),
        "starved": _starved(outcomes),
        "largest_tenth": _largest_tenth(outcomes),
    }


def _starved(outcomes: list[Outcome]) -> int:
    """Return how many sessions and organisations that ask often get nothing."""
    starved = 0
    for name in ("session", "organisation"):
        groups: dict[str, list[bool]] = {}
        for item in outcomes:
            groups.setdefault(getattr(item.arrival, name), []).append(item.served)
        starved += sum(
            len(group) >= STARVED_REQUESTS and not any(group)
            for group in groups.values()
        )
    return starved


def _largest_tenth(outcomes: list[Outcome]) -> float:
    """Return how often the largest are served, against all of them."""
    ordered = sorted(outcomes, key=lambda item: item.size)
    largest = ordered[-max(1, len(ordered) // 10) :]
    share = sum(item.served for item in outcomes) / max(1, len(outcomes))
    if not share:
        return 0.0
    own = sum(item.served for item in largest) / max(1, len(largest))
    return round(own / share, 4)


def play(name: str, arrivals: list[Arrival], seed: int) -> list[Outcome]:
    """Play one policy; return what became of each request."""
    return asyncio.run(Simulation(name, arrivals, seed).run())


def _job(job: tuple[str, float, int, pathlib.Path | None]) -> dict[str, Any]:
    events.set_sink(lambda kind, fields: None)
    name, load, seed, trace = job
    if trace is not None:
        return summary(play(name, read_trace(trace), seed))
    arrivals = draw_arrivals(seed, load * capacity_per_s(), DURATION_S)
    return summary(play(name, arrivals, seed))


def compare(
    seeds: int, loads: tuple[float, ...], trace: pathlib.Path | None, jobs: int
) -> dict[str, Any]:
    """Return the table: by load, policy, class and figure the median and spread."""
    plan = [
        (name, load, seed, trace)
        for load in loads
        for name in POLICIES
        for seed in range(1, seeds + 1)
    ]
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        found = dict(zip(plan, pool.map(_job, plan), strict=True))
    table: dict[str, Any] = {}
    for load in loads:
        for name in POLICIES:
            runs = [found[name, load, seed, trace] for seed in range(1, seeds + 1)]
            table.setdefault(str(load), {})[name] = _spread(runs)
    return table


def _spread(runs: list[dict[str, Any]]) -> dict[str, Any]:
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
      seeds: how many seeds each load is played with.
      trace: recorded arrivals to play instead of drawn ones.
      record: write the arrivals of one seed and load to this file, and end.
      seed: the seed to record.
      load: the load to record, as a multiple of the capacity.
      jobs: processes to use.
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
    for at, policies in table.items():
        for name, groups in policies.items():
            row = {figure: spread["median"] for figure, spread in groups["all"].items()}
            print(f"{at:>4} {name:<9} {row}", file=sys.stderr)


if __name__ == "__main__":
    app()
