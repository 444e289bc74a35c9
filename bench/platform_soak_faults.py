"""Fault schedules of the platform soak, determined by a seed."""

from __future__ import annotations

import collections
import random
from collections.abc import Callable
from typing import Any

import attrs

from bench.fault_proxy import CutKind, LinkState
from bench.platform_soak_fleet import DATA_CENTRES

__all__ = ["STANDARD", "Fault", "make_faults"]

# Intervals between faults; shorter than most faults last, so that they overlap.
MIN_INTERVAL_S = 0.3
MAX_INTERVAL_S = 1.6
STANDARD = "standard"
# By profile, where they differ: sound requests must be served between the faults.
INTERVALS_S = {"crashes": (3.0, 6.0), "cuts": (1.0, 4.0), "mass-cuts": (4.0, 8.0)}
# How a control VM goes that is replaced: by SIGTERM, killed, or killed while frozen.
REMOVALS = ("stop", "stop", "kill", "freeze")
# Time from the start of the VM that replaces it: the platform counts on the new one
# after 4 s.
REPLACED_AFTER_S = 4.2
# Targets that one cut takes an entry's links to: all, a service, or a data centre.
CUT_SCOPES = ("all", "all", "all", "app", "llm", *DATA_CENTRES)
IMPAIRED_STATES = tuple(state for state in LinkState if state is not LinkState.OPEN)


@attrs.frozen(order=True)
class Fault:
    """One fault.

    Attributes:
      at_s: when it begins, from the start of the fault period.
      action: name of the method of `FaultInjector` that injects it, without the
        underscore.
      subject: the VM or proxy by name, or the position of the target.
      for_s: how long it lasts.
      link: value of the `LinkState` or `CutKind` during the fault; empty for others.
      scope: targets that an entry is cut off from, of `CUT_SCOPES`.
    """

    at_s: float
    action: str
    subject: str
    for_s: float
    link: str = ""
    scope: str = ""


FaultFactory = Callable[[random.Random], tuple[Any, ...]]
# By profile.
_FACTORIES: dict[str, list[FaultFactory]] = collections.defaultdict(list)


def _register(
    function: FaultFactory, profiles: tuple[str, ...] = (STANDARD,)
) -> FaultFactory:
    for profile in profiles:
        _FACTORIES[profile].append(function)
    return function


def _register_for(*profiles: str) -> Callable[[FaultFactory], FaultFactory]:
    return lambda function: _register(function, profiles)


def _draw_vm(rng: random.Random) -> str:
    role = rng.choice(("control", "entry"))
    return f"{role}-{rng.choice(DATA_CENTRES)}"


@_register
def _kill(rng: random.Random) -> tuple[str, str, float, str]:
    return "kill", _draw_vm(rng), rng.uniform(0.2, 2.0), ""


@_register
def _pause(rng: random.Random) -> tuple[str, str, float, str]:
    return "pause", _draw_vm(rng), rng.uniform(0.3, 3.0), ""


@_register
def _stop(rng: random.Random) -> tuple[str, str, float, str]:
    return "stop", _draw_vm(rng), rng.uniform(0.1, 1.0), ""


@_register
def _wipe_disk(rng: random.Random) -> tuple[str, str, float, str]:
    return "wipe_disk", f"control-{rng.choice(DATA_CENTRES)}", 1.0, ""


@_register
def _fail_disk(rng: random.Random) -> tuple[str, str, float, str]:
    return "fail_disk", f"control-{rng.choice(DATA_CENTRES)}", 1.5, ""


@_register
def _kill_all_controls(rng: random.Random) -> tuple[str, str, float, str]:
    return "kill_all_controls", "control", rng.uniform(0.2, 1.0), ""


@_register
def _impair_entry_link(rng: random.Random) -> tuple[str, str, float, str]:
    link = rng.choice(IMPAIRED_STATES).value
    subject = f"entry-{rng.choice(DATA_CENTRES)}"
    return "impair_entry_link", subject, rng.uniform(0.3, 2.0), link


@_register_for(STANDARD, "orders")
def _impair_control_link(rng: random.Random) -> tuple[str, str, float, str]:
    link = rng.choice(IMPAIRED_STATES).value
    subject = f"control-{rng.choice(DATA_CENTRES)}"
    return "impair_control_link", subject, rng.uniform(0.5, 3.0), link


@_register
def _impair_target_link(rng: random.Random) -> tuple[str, str, float, str]:
    link = rng.choice(IMPAIRED_STATES).value
    return "impair_target_link", str(rng.randrange(100)), rng.uniform(0.3, 2.0), link


@_register
def _impair_list_link(rng: random.Random) -> tuple[str, str, float, str]:
    link = rng.choice(IMPAIRED_STATES).value
    return "impair_list_link", "list", rng.uniform(0.5, 3.0), link


@_register_for(STANDARD, "entries", "replacements")
def _crash_target(rng: random.Random) -> tuple[str, str, float, str]:
    return "crash_target", str(rng.randrange(100)), rng.uniform(0.5, 1.5), ""


@_register_for(STANDARD, "runs")
def _drain_target(rng: random.Random) -> tuple[str, str, float, str]:
    return "drain_target", str(rng.randrange(100)), 3.0, ""


@_register_for("entries")
def _drain_target_long(rng: random.Random) -> tuple[str, str, float, str]:
    return "drain_target", str(rng.randrange(100)), 6.0, ""


def _pause_control(rng: random.Random) -> tuple[str, str, float, str]:
    return "pause", f"control-{rng.choice(DATA_CENTRES)}", rng.uniform(0.5, 4.0), ""


# Half of the profile's faults.
for _ in range(4):
    _register(_pause_control, ("orders",))


@_register_for("orders")
def _kill_control(rng: random.Random) -> tuple[str, str, float, str]:
    return "kill", f"control-{rng.choice(DATA_CENTRES)}", rng.uniform(0.2, 2.0), ""


@_register_for("orders")
def _stop_control(rng: random.Random) -> tuple[str, str, float, str]:
    return "stop", f"control-{rng.choice(DATA_CENTRES)}", rng.uniform(0.1, 1.0), ""


def _replace_control(rng: random.Random) -> tuple[str, str, float, str]:
    how = rng.choice(REMOVALS)
    # Any control VM, or the leader.
    subject = rng.choice((str(rng.randrange(100)), "leader"))
    return "replace_control", subject, REPLACED_AFTER_S, how


# Half of the profile's faults, so that several replacements overlap.
for _ in range(3):
    _register(_replace_control, ("replacements",))


@_register_for(
    "stops", "crashes", "limits", "cuts", "mass-cuts", "replacements", "runs"
)
def _stop_entry(rng: random.Random) -> tuple[str, str, float, str]:
    subject = f"entry-{rng.choice(DATA_CENTRES)}"
    return "stop", subject, rng.uniform(0.1, 1.0), ""


@_register_for("crashes", "limits", "cuts", "mass-cuts", "replacements")
def _kill_entry(rng: random.Random) -> tuple[str, str, float, str]:
    subject = f"entry-{rng.choice(DATA_CENTRES)}"
    return "kill", subject, rng.uniform(0.2, 1.0), ""


@_register_for("crashes", "limits", "cuts", "mass-cuts", "orders", "runs")
def _kill_leader(rng: random.Random) -> tuple[str, str, float, str]:
    return "kill_leader", "control", rng.uniform(0.5, 2.0), ""


@_register_for("crashes", "limits")
def _kill_all_controls_long(rng: random.Random) -> tuple[str, str, float, str]:
    return "kill_all_controls", "control", rng.uniform(1.0, 3.0), ""


def _cut_entry(rng: random.Random) -> tuple[str, str, float, str, str]:
    subject = f"entry-{rng.choice(DATA_CENTRES)}"
    kind = rng.choice(tuple(CutKind)).value
    return "cut_entry", subject, rng.uniform(6.0, 9.0), kind, rng.choice(CUT_SCOPES)


# Cuts are three in six of the profile's faults, so that they overlap with others.
for _ in range(3):
    _register(_cut_entry, ("cuts",))


def make_faults(seed: int, duration_s: float, profile: str = STANDARD) -> list[Fault]:
    """Return the faults of a seed and a profile in order of time.

    Every kind occurs once, in random order, before any occurs again.
    """
    rng = random.Random(seed)
    faults = []
    remaining: list[FaultFactory] = []
    interval_s = INTERVALS_S.get(profile, (MIN_INTERVAL_S, MAX_INTERVAL_S))
    at_s = rng.uniform(0.0, interval_s[1])
    while at_s < duration_s:
        if not remaining:
            remaining = list(_FACTORIES[profile])
            rng.shuffle(remaining)
        faults.append(Fault(at_s, *remaining.pop()(rng)))
        at_s += rng.uniform(*interval_s)
    return faults
