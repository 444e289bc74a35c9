"""Decides how a roll-out goes on; no I/O and no clock."""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from endivesill.rollouts.model import Phase, Rollout, RolloutState, VersionedEngine

__all__ = [
    "CANARY_FRACTION",
    "LATEST_SHIFT_FRACTION",
    "Decision",
    "Situation",
    "canary_engines",
    "decide",
    "is_retiring",
]

# Parts of the time budget: the canary lasts at least until the first, since a version
# may turn bad later, and a shift after the second would leave generations too little
# time.
CANARY_FRACTION = 0.5
LATEST_SHIFT_FRACTION = 0.75
# Least part of the budget from the shift to its end, in which the answers under full
# load are judged.
SHIFT_FRACTION = 0.15
# Least time from the shift to its end, in which all entries poll a new leader.
MIN_SHIFT_S = 1.5
# From here on, generations are copied away from old engines.
RETIRE_FRACTION = 0.8
# The shift ends here, also with requests on old engines; the rest of the budget is for
# the commit and for the operator's next question.
COMPLETE_FRACTION = 0.95
# Least room of the new engines, as a fraction of that of the old ones, for a shift.
MIN_ROOM_FRACTION = 0.5


@attrs.frozen
class Situation:
    """What a decision is made from.

    Attributes:
      age_s: time since the start.
      shift_age_s: time since the shift began, as far as this VM knows.
      alarm: where the new version is worse; empty if it is not known to be.
      missing: which evidence is missing that the new version is sound; empty if none.
      old: the engines of other versions.
      new: the engines of the new version.
      has_confirmed: whether all entries have confirmed the newest phase.
    """

    age_s: float
    shift_age_s: float
    alarm: str
    missing: str
    old: Sequence[VersionedEngine]
    new: Sequence[VersionedEngine]
    has_confirmed: bool


@attrs.frozen
class Decision:
    """A change of a roll-out.

    Attributes:
      state: the new state.
      phase: the new phase.
      reason: why.
    """

    state: RolloutState
    phase: Phase
    reason: str


def decide(rollout: Rollout, situation: Situation) -> Decision | None:
    """Return the next change of a running roll-out, or None to go on."""
    if situation.alarm:
        return _take_back(rollout, situation.alarm)
    if rollout.phase is Phase.CANARY:
        return _decide_canary(rollout, situation)
    return _decide_shift(rollout, situation)


def _take_back(rollout: Rollout, reason: str) -> Decision:
    return Decision(RolloutState.ROLLED_BACK, rollout.phase, reason)


def _decide_canary(rollout: Rollout, situation: Situation) -> Decision | None:
    missing = situation.missing
    if _room(situation.new) < MIN_ROOM_FRACTION * _room(situation.old):
        missing = "too few new engines"
    if not _room(situation.new):
        missing = "no new engine"
    if situation.age_s >= LATEST_SHIFT_FRACTION * rollout.duration_s and missing:
        return _take_back(rollout, missing)
    if situation.age_s >= CANARY_FRACTION * rollout.duration_s and not missing:
        return Decision(RolloutState.RUNNING, Phase.SHIFT, "sound")
    return None


def _decide_shift(rollout: Rollout, situation: Situation) -> Decision | None:
    if not any(engine.is_usable for engine in situation.new):
        return _take_back(rollout, "no new engine")
    requests = sum(engine.requests for engine in situation.old)
    completed = Decision(RolloutState.COMPLETED, Phase.SHIFT, "")
    least_s = max(MIN_SHIFT_S, SHIFT_FRACTION * rollout.duration_s)
    is_judged = situation.shift_age_s >= least_s
    if situation.has_confirmed and not requests and is_judged:
        return attrs.evolve(completed, reason="old engines have no requests")
    if situation.age_s >= COMPLETE_FRACTION * rollout.duration_s:
        reason = f"end of the time budget, {requests} requests on old engines"
        return attrs.evolve(completed, reason=reason)
    return None


def is_retiring(rollout: Rollout, age_s: float) -> bool:
    """Return whether generations are to be copied away from the old engines."""
    return (
        rollout.phase is Phase.SHIFT and age_s >= RETIRE_FRACTION * rollout.duration_s
    )


def canary_engines(
    old: Sequence[VersionedEngine],
    new: Sequence[VersionedEngine],
    service_per_s: float,
    canary_per_s: float,
) -> list[VersionedEngine]:
    """Return the new engines that get the canary's requests.

    They are as few as get the load of old engines, since a version may be bad under
    load only.

    Args:
      old: the engines of other versions.
      new: the engines of the new version.
      service_per_s: requests a second to the service.
      canary_per_s: those of them that are canary requests.
    """
    warm = [engine for engine in new if engine.is_usable and engine.is_warm]
    # The same ones each time, whatever the order of the list.
    warm.sort(key=lambda engine: engine.incarnation)
    usable = sum(engine.is_usable for engine in old)
    if not usable or service_per_s <= 0:
        return warm[:1]
    count = round(canary_per_s * usable / service_per_s)
    return warm[: max(1, count)]


def _room(engines: Sequence[VersionedEngine]) -> int:
    return sum(engine.slots for engine in engines if engine.is_usable)
