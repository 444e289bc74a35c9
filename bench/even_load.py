"""Evenness of plain targets' load by ways of choosing among them, in virtual time.

    python -m bench.even_load

Many entries choose by reports of some age. The targets are in three data centres, and
the entries too. Prints for each way: the coefficient of variation of requests in flight
between targets, the time in which one has more than twice the mean while another has
under half, and the latency.
"""

from __future__ import annotations

import functools
import heapq
import itertools
import random
import statistics
import sys
from collections.abc import Callable

import attrs

from endivesill.fleet.load import EngineLoad
from endivesill.fleet.model import EngineInfo, Service
from endivesill.forwarding.even_load import EvenLoad
from endivesill.forwarding.health import HealthRecord
from endivesill.forwarding.placement import choose_target
from endivesill.forwarding.target import ResourceDemand, Target

__all__ = ["Play", "main"]

DATA_CENTRES = ("a", "b", "c")
TARGETS = 6
SLOTS = 6
RUN_S = 0.06
PLAY_S = 12.0
WARM_UP_S = 3.0
OBSERVATION_S = 0.1
SERVICE = Service("app", "/health", 100, 0.0, 0.0, None)
DEMAND = ResourceDemand()
SPEEDS = {"alike": (1.0,), "uneven": (0.55, 1.2, 1.2, 1.2)}
Choose = Callable[["Entry"], Target]


class Clock:
    """The time of a play."""

    def __init__(self) -> None:
        self.time_s = 0.0

    def now_s(self) -> float:
        """Return the time."""
        return self.time_s


class Entry:
    """One entry with its own view of the targets."""

    def __init__(self, clock: Clock, number: int, source: random.Random) -> None:
        self.data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        self.random = source
        self.even_load = EvenLoad(clock)  # type: ignore[arg-type]
        self.targets = [
            Target(
                EngineInfo(
                    f"t{n}",
                    f"t{n}@1",
                    SERVICE.name,
                    f"t{n}:1",
                    DATA_CENTRES[n % len(DATA_CENTRES)],
                    SLOTS,
                    False,
                    0.0,
                ),
                HealthRecord(),
            )
            for n in range(TARGETS)
        ]

    def choose_least(self) -> Target:
        """Return the target of least cost by the last report."""
        return self._choose(self.targets)

    def choose_random(self) -> Target:
        """Return any target."""
        return self.random.choice(self.targets)

    def choose_of_two(self) -> Target:
        """Return the one of less cost of two random targets."""
        return self._choose(self.random.sample(self.targets, 2))

    def choose_evenly(self) -> Target:
        """Return what the product chooses."""
        choice = self.even_load.choose(
            self.targets, SERVICE, DEMAND, self.data_centre, self.random
        )
        return choice or self.choose_random()

    def _choose(self, targets: list[Target]) -> Target:
        choice = choose_target(targets, SERVICE, DEMAND, self.data_centre, self.random)
        return choice or self.random.choice(targets)


WAYS: dict[str, Choose] = {
    "least": Entry.choose_least,
    "random": Entry.choose_random,
    "two": Entry.choose_of_two,
    "even": Entry.choose_evenly,
}


@attrs.frozen
class Figures:
    """What a play shows.

    Attributes:
      variation: mean coefficient of variation of requests in flight between targets.
      apart: part of the time with one over twice the mean and another under half.
      p99_s: 99th percentile of the latency.
    """

    variation: float
    apart: float
    p99_s: float


class Play:
    """One play of some entries.

    Args:
      way: how targets are chosen.
      entries: number of entries.
      age_s: time between two reports of an entry.
      load: part of what the targets can run.
      speeds: of the targets in turn.
      seed: seed of the play.
    """

    def __init__(
        self,
        way: Choose,
        entries: int,
        age_s: float,
        load: float,
        speeds: tuple[float, ...],
        seed: int,
    ) -> None:
        self._way = way
        self._age_s = age_s
        self._random = random.Random(seed)
        self._clock = Clock()
        self._entries = [Entry(self._clock, n, self._random) for n in range(entries)]
        self._speeds = [speeds[n % len(speeds)] for n in range(TARGETS)]
        self._per_s = load * SLOTS * sum(self._speeds) / RUN_S
        self._waiting: list[list[tuple[Entry, float]]] = [[] for _ in range(TARGETS)]
        self._running = [0] * TARGETS
        self._steps: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._latencies_s: list[float] = []
        self._variations: list[float] = []
        self._apart: list[bool] = []

    def run(self) -> Figures:
        """Return the figures of the play."""
        for entry in self._entries:
            delay_s = self._random.uniform(0.0, self._age_s)
            self._after(delay_s, functools.partial(self._report, entry))
        self._after(0.0, self._arrive)
        self._after(WARM_UP_S, self._observe)
        while self._steps and self._steps[0][0] <= PLAY_S:
            self._clock.time_s, _, step = heapq.heappop(self._steps)
            step()
        latencies_s = sorted(self._latencies_s)
        return Figures(
            statistics.mean(self._variations),
            statistics.mean(self._apart),
            latencies_s[int(0.99 * len(latencies_s))],
        )

    def _after(self, delay_s: float, step: Callable[[], None]) -> None:
        at_s = self._clock.time_s + delay_s
        heapq.heappush(self._steps, (at_s, next(self._numbers), step))

    def _in_flight(self) -> list[int]:
        return [self._running[n] + len(self._waiting[n]) for n in range(TARGETS)]

    def _report(self, entry: Entry) -> None:
        for target, total in zip(entry.targets, self._in_flight(), strict=True):
            target.remote_load = EngineLoad(total - target.requests)
        entry.even_load.note_loads(entry.targets)
        self._after(self._age_s, lambda: self._report(entry))

    def _arrive(self) -> None:
        self._after(self._random.expovariate(self._per_s), self._arrive)
        entry = self._random.choice(self._entries)
        number = entry.targets.index(self._way(entry))
        entry.targets[number].reserve(DEMAND)
        self._waiting[number].append((entry, self._clock.time_s))
        self._start(number)

    def _start(self, number: int) -> None:
        if self._running[number] >= SLOTS or not self._waiting[number]:
            return
        entry, sent_s = self._waiting[number].pop(0)
        self._running[number] += 1
        run_s = self._random.lognormvariate(-0.125, 0.5) * RUN_S / self._speeds[number]
        self._after(run_s, lambda: self._end(entry, number, sent_s))

    def _end(self, entry: Entry, number: int, sent_s: float) -> None:
        self._running[number] -= 1
        entry.targets[number].release(DEMAND)
        entry.even_load.note_run(SERVICE.name, self._clock.time_s - sent_s)
        if sent_s >= WARM_UP_S:
            self._latencies_s.append(self._clock.time_s - sent_s)
        self._start(number)

    def _observe(self) -> None:
        self._after(OBSERVATION_S, self._observe)
        in_flight = self._in_flight()
        mean = statistics.mean(in_flight)
        if mean:
            self._variations.append(statistics.pstdev(in_flight) / mean)
            is_apart = max(in_flight) > 2 * mean and min(in_flight) < mean / 2
            self._apart.append(is_apart)


def main(seeds: int = 2) -> None:
    """Print a table of all ways, for several fleets, ages and loads."""
    print("| entries | targets | age, s | load |", *(f"{w} |" for w in WAYS))
    print("| --- " * (4 + len(WAYS)) + "|")
    cases = itertools.product((6, 65, 200, 1_000), SPEEDS, (0.1, 0.5, 2.0), (0.8, 1.2))
    for entries, speeds, age_s, load in cases:
        cells = []
        for way in WAYS.values():
            plays = [
                Play(way, entries, age_s, load, SPEEDS[speeds], seed).run()
                for seed in range(seeds)
            ]
            variation = statistics.mean(p.variation for p in plays)
            apart = statistics.mean(p.apart for p in plays)
            p99_s = statistics.mean(p.p99_s for p in plays)
            cells.append(f"{variation:.2f}, {apart:.2f}, {p99_s:.2f}")
        print(f"| {entries} | {speeds} | {age_s} | {load} |", " | ".join(cells), "|")
        sys.stdout.flush()


if __name__ == "__main__":
    main()
