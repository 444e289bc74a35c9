"""The faults of the platform's soak: a seed gives the same ones at the same times."""

from __future__ import annotations

import random
from collections.abc import Callable

import attrs

from bench.fault_proxy import LinkState
from bench.platform_soak_fleet import DATA_CENTRES

__all__ = ["Fault", "make_faults"]

# Faults follow each other faster than they end, so that they overlap.
SHORTEST_PAUSE_S = 0.3
LONGEST_PAUSE_S = 1.6
LINKS = tuple(state for state in LinkState if state is not LinkState.OPEN)


@attrs.frozen(order=True)
class Fault:
    """One fault.

    Attributes:
      at_s: when it begins, from the start of the faults.
      action: what happens; a method of the soak has its name.
      subject: what it happens to.
      for_s: how long it lasts.
      link: what becomes of a link, for faults of links.
    """

    at_s: float
    action: str
    subject: str
    for_s: float
    link: str = ""


Maker = Callable[[random.Random], tuple[str, str, float, str]]
_MAKERS: list[Maker] = []


def _maker(function: Maker) -> Maker:
    _MAKERS.append(function)
    return function


def _vm(source: random.Random) -> str:
    role = source.choice(("control", "entry"))
    return f"{role}-{source.choice(DATA_CENTRES)}"


@_maker
def _kill(source: random.Random) -> tuple[str, str, float, str]:
    return "kill", _vm(source), source.uniform(0.2, 2.0), ""


@_maker
def _pause(source: random.Random) -> tuple[str, str, float, str]:
    return "pause", _vm(source), source.uniform(0.3, 3.0), ""


@_maker
def _stop(source: random.Random) -> tuple[str, str, float, str]:
    return "stop", _vm(source), source.uniform(0.1, 1.0), ""


@_maker
def _wipe(source: random.Random) -> tuple[str, str, float, str]:
    return "wipe", f"control-{source.choice(DATA_CENTRES)}", 1.0, ""


@_maker
def _fail_disk(source: random.Random) -> tuple[str, str, float, str]:
    return "fail_disk", f"control-{source.choice(DATA_CENTRES)}", 1.5, ""


@_maker
def _kill_all_controls(source: random.Random) -> tuple[str, str, float, str]:
    return "kill_all_controls", "control", source.uniform(0.2, 1.0), ""


@_maker
def _harm_front(source: random.Random) -> tuple[str, str, float, str]:
    link = source.choice(LINKS).value
    subject = f"entry-{source.choice(DATA_CENTRES)}"
    return "harm_front", subject, source.uniform(0.3, 2.0), link


@_maker
def _harm_operators(source: random.Random) -> tuple[str, str, float, str]:
    link = source.choice(LINKS).value
    subject = f"control-{source.choice(DATA_CENTRES)}"
    return "harm_operators", subject, source.uniform(0.5, 3.0), link


@_maker
def _harm_target(source: random.Random) -> tuple[str, str, float, str]:
    link = source.choice(LINKS).value
    return "harm_target", str(source.randrange(100)), source.uniform(0.3, 2.0), link


@_maker
def _harm_list(source: random.Random) -> tuple[str, str, float, str]:
    link = source.choice(LINKS).value
    return "harm_list", "list", source.uniform(0.5, 3.0), link


@_maker
def _crash_target(source: random.Random) -> tuple[str, str, float, str]:
    return "crash_target", str(source.randrange(100)), source.uniform(0.5, 1.5), ""


@_maker
def _drain_target(source: random.Random) -> tuple[str, str, float, str]:
    return "drain_target", str(source.randrange(100)), 3.0, ""


def make_faults(seed: int, duration_s: float) -> list[Fault]:
    """Return the faults of a seed in order of time.

    Each kind comes once before any comes twice, in an order of the seed.
    """
    source = random.Random(seed)
    faults = []
    waiting: list[Maker] = []
    at_s = source.uniform(0.0, LONGEST_PAUSE_S)
    while at_s < duration_s:
        if not waiting:
            waiting = list(_MAKERS)
            source.shuffle(waiting)
        faults.append(Fault(at_s, *waiting.pop()(source)))
        at_s += source.uniform(SHORTEST_PAUSE_S, LONGEST_PAUSE_S)
    return faults
