"""The soak's fault schedule: a seed gives the same faults at the same times."""

from __future__ import annotations

import random
from collections.abc import Callable

import attrs

__all__ = ["Fault", "FleetNames", "make_schedule"]

FIRST_FAULT_S = 8.0
LAST_FAULT_MARGIN_S = 30.0
SHORTEST_PAUSE_S = 4.0
LONGEST_PAUSE_S = 8.0
SUSPENSION_S = 8.0
DOWN_S = 3.0
OUT_S = 8.0
RECLAIM_NOTICE_S = 5.0

Maker = Callable[[random.Random, "FleetNames", float], list["Fault"]]

_MAKERS: list[Maker] = []


@attrs.frozen(order=True)
class Fault:
    """One action of the schedule.

    Attributes:
      at_s: when, from the start of the load.
      action: what is done; see `bench.soak`.
      subject: the process or data centre.
    """

    at_s: float
    action: str
    subject: str


@attrs.frozen
class FleetNames:
    """What the faults may hit."""

    vms: tuple[str, ...]
    engines: tuple[str, ...]
    data_centres: tuple[str, ...]


def _maker(function: Maker) -> Maker:
    _MAKERS.append(function)
    return function


@_maker
def _kill_vm(source: random.Random, names: FleetNames, at_s: float) -> list[Fault]:
    vm = source.choice(names.vms)
    return [Fault(at_s, "kill", vm), Fault(at_s + DOWN_S, "start", vm)]


@_maker
def _stop_vm(source: random.Random, names: FleetNames, at_s: float) -> list[Fault]:
    vm = source.choice(names.vms)
    return [Fault(at_s, "planned-stop", vm)]


@_maker
def _suspend_vm(source: random.Random, names: FleetNames, at_s: float) -> list[Fault]:
    vm = source.choice(names.vms)
    return [Fault(at_s, "suspend", vm), Fault(at_s + SUSPENSION_S, "continue", vm)]


@_maker
def _take_out(source: random.Random, names: FleetNames, at_s: float) -> list[Fault]:
    place = source.choice(names.data_centres)
    return [Fault(at_s, "take-out", place), Fault(at_s + OUT_S, "put-back", place)]


@_maker
def _apply(source: random.Random, names: FleetNames, at_s: float) -> list[Fault]:
    return [Fault(at_s, "apply", "")]


@_maker
def _reclaim(source: random.Random, names: FleetNames, at_s: float) -> list[Fault]:
    engine = source.choice(names.engines)
    gone_s = at_s + RECLAIM_NOTICE_S
    return [
        Fault(at_s, "reclaim", engine),
        Fault(gone_s, "kill", engine),
        Fault(gone_s + DOWN_S, "start", engine),
    ]


@_maker
def _kill_engine(source: random.Random, names: FleetNames, at_s: float) -> list[Fault]:
    engine = source.choice(names.engines)
    return [Fault(at_s, "kill", engine), Fault(at_s + DOWN_S, "start", engine)]


def make_schedule(seed: int, names: FleetNames, duration_s: float) -> list[Fault]:
    """Return the faults of a seed in order of time.

    Each kind comes once before any comes twice, in an order of the seed; some
    overlap, so that two faults may be there together.
    """
    source = random.Random(seed)
    faults: list[Fault] = []
    waiting: list[Maker] = []
    at_s = FIRST_FAULT_S
    while at_s < duration_s - LAST_FAULT_MARGIN_S:
        if not waiting:
            waiting = list(_MAKERS)
            source.shuffle(waiting)
        faults.extend(waiting.pop()(source, names, at_s))
        at_s += source.uniform(SHORTEST_PAUSE_S, LONGEST_PAUSE_S)
    return sorted(faults)
