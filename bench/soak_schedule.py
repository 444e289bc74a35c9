"""Fault schedule of the soak, determined by a seed."""

from __future__ import annotations

import random
from collections.abc import Callable

import attrs

__all__ = ["Fault", "FleetNames", "make_schedule"]

FIRST_FAULT_S = 8.0
# No fault starts in the last seconds of the load.
LAST_FAULT_MARGIN_S = 30.0
MIN_INTERVAL_S = 4.0
MAX_INTERVAL_S = 8.0
SUSPENSION_S = 8.0
RESTART_DELAY_S = 3.0
TAKEN_OUT_S = 8.0
RECLAIM_NOTICE_S = 5.0

FaultFactory = Callable[[random.Random, "FleetNames", float], list["Fault"]]

_FACTORIES: list[FaultFactory] = []


@attrs.frozen(order=True)
class Fault:
    """One action of the schedule.

    Attributes:
      at_s: time from the start of the load.
      action: name of the action, as `bench.soak` executes it.
      subject: name of the process or data centre; empty for `apply`.
    """

    at_s: float
    action: str
    subject: str


@attrs.frozen
class FleetNames:
    """Names of the VMs, engines and data centres to which faults may apply."""

    vms: tuple[str, ...]
    engines: tuple[str, ...]
    data_centres: tuple[str, ...]


def _register(function: FaultFactory) -> FaultFactory:
    _FACTORIES.append(function)
    return function


@_register
def _kill_vm(rng: random.Random, names: FleetNames, at_s: float) -> list[Fault]:
    vm = rng.choice(names.vms)
    return [Fault(at_s, "kill", vm), Fault(at_s + RESTART_DELAY_S, "start", vm)]


@_register
def _stop_vm(rng: random.Random, names: FleetNames, at_s: float) -> list[Fault]:
    vm = rng.choice(names.vms)
    return [Fault(at_s, "planned-stop", vm)]


@_register
def _suspend_vm(rng: random.Random, names: FleetNames, at_s: float) -> list[Fault]:
    vm = rng.choice(names.vms)
    return [Fault(at_s, "suspend", vm), Fault(at_s + SUSPENSION_S, "continue", vm)]


@_register
def _take_out(rng: random.Random, names: FleetNames, at_s: float) -> list[Fault]:
    data_centre = rng.choice(names.data_centres)
    return [
        Fault(at_s, "take-out", data_centre),
        Fault(at_s + TAKEN_OUT_S, "put-back", data_centre),
    ]


@_register
def _apply(rng: random.Random, names: FleetNames, at_s: float) -> list[Fault]:
    return [Fault(at_s, "apply", "")]


@_register
def _reclaim(rng: random.Random, names: FleetNames, at_s: float) -> list[Fault]:
    engine = rng.choice(names.engines)
    killed_s = at_s + RECLAIM_NOTICE_S
    return [
        Fault(at_s, "reclaim", engine),
        Fault(killed_s, "kill", engine),
        Fault(killed_s + RESTART_DELAY_S, "start", engine),
    ]


@_register
def _kill_engine(rng: random.Random, names: FleetNames, at_s: float) -> list[Fault]:
    engine = rng.choice(names.engines)
    return [Fault(at_s, "kill", engine), Fault(at_s + RESTART_DELAY_S, "start", engine)]


def make_schedule(seed: int, names: FleetNames, duration_s: float) -> list[Fault]:
    """Return the faults of a seed in order of time.

    Every kind occurs once, in random order, before any occurs again. A fault may
    start before the previous one has ended.
    """
    rng = random.Random(seed)
    faults: list[Fault] = []
    remaining: list[FaultFactory] = []
    at_s = FIRST_FAULT_S
    while at_s < duration_s - LAST_FAULT_MARGIN_S:
        if not remaining:
            remaining = list(_FACTORIES)
            rng.shuffle(remaining)
        faults.extend(remaining.pop()(rng, names, at_s))
        at_s += rng.uniform(MIN_INTERVAL_S, MAX_INTERVAL_S)
    return sorted(faults)
