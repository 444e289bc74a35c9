"""Finds the causes that explain crashes of engines, and blocks them.

A cause that crashes each engine that gets it is in a request which the engine held at
each of these crashes, and in no run that completed at an engine which lived on. Other
causes of the same requests, and of others that were held beside them, are also in runs
that complete. What is left after removing those explains the crashes; as in a set cover
by a greedy algorithm, the cause in most crashes explains its crashes first, and only
crashes without an explanation count for other causes. Causes that were in complete runs
before explain only what no other cause does.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable

import attrs

from endivesill.fleet.request_causes import REQUEST_PREFIX, request_of

__all__ = ["Block", "CrashReport", "find_blocks"]

# Crashes that a cause must explain before it is blocked; the second number is for one
# that was in a complete run. Popular causes are in runs at most engines, and so at many
# that crash for other reasons.
BLOCK_CRASHES = 3
SOUND_BLOCK_CRASHES = 5
# When engines end together, no run can complete between their crashes. A cause that was
# sound is blocked only if none has for this long after the last crash needed. A request
# that was sound needs no more crashes than others if they are as far apart as this.
SOUND_BLOCK_DELAY_S = 1.0
# Ends without an explanation beside the explained ones, as a part of these, above which
# parts of prompts may have been there by chance.
CHANCE_FRACTION = 0.5
# After this long without a crash, one request with a blocked cause is let through; each
# further trial comes after a time longer by the factor.
FIRST_TRIAL_S = 300.0
SOUND_FIRST_TRIAL_S = 10.0
TRIAL_FACTOR = 4
MAX_TRIAL_S = 3_600.0
# Beyond it, waits are longer than the longest one.
MAX_TRIAL_POWER = 5
# Start of the name of a report that stands for a trial.
TRIAL_PREFIX = "trial:"


@attrs.define
class CrashReport:
    """The crash of one engine, or one trial of a blocked cause.

    Attributes:
      name: incarnation of the engine, or the name of the trial.
      at_s: when it was reported, by this VM's clock.
      causes: what may have caused it, of all requests that the engine held.
      sound: those that were in a complete run within `SOUND_TTL_S` before.
      cleared: those that were in a run that completed after the crash; they did not
        cause it.
      number: number of the evidence at its last change.
    """

    name: str
    at_s: float
    causes: set[str] = attrs.Factory(set)
    sound: set[str] = attrs.Factory(set)
    cleared: set[str] = attrs.Factory(set)
    number: int = 0

    @property
    def suspects(self) -> set[str]:
        """Parts that may have caused the crash."""
        return self.causes - self.cleared

    @property
    def is_trial(self) -> bool:
        """Whether it stands for a trial."""
        return self.name.startswith(TRIAL_PREFIX)


@attrs.frozen
class Block:
    """Causes of which one crashes engines; a request with all of them is blocked.

    Attributes:
      causes: the causes that cannot be told apart.
      engines: incarnations of the engines whose crashes they explain.
      trials: number of trials since.
      newest_s: when the newest of these crashes and trials was reported.
      from_s: when the block comes into force.
      is_sound: whether runs with the causes completed before the crashes.
      is_doubtful: whether the crashes have another explanation: another request, or
        for parts of prompts, whatever ended other engines at the same moment.
    """

    causes: frozenset[str]
    engines: frozenset[str]
    trials: int
    newest_s: float
    from_s: float
    is_sound: bool
    is_doubtful: bool = False

    @property
    def crashes(self) -> int:
        """Number of crashes that the causes explain."""
        return len(self.engines)

    @property
    def trial_at_s(self) -> float:
        """When one request may be let through."""
        is_weak = self.is_sound or self.is_doubtful
        first_s = SOUND_FIRST_TRIAL_S if is_weak else FIRST_TRIAL_S
        wait_s = first_s * TRIAL_FACTOR ** min(self.trials, MAX_TRIAL_POWER)
        return self.newest_s + min(wait_s, MAX_TRIAL_S)


def find_blocks(reports: Collection[CrashReport]) -> list[Block]:
    """Return the blocks that follow from some reports, whose order does not matter."""
    crashes = [report for report in reports if not report.is_trial]
    trials = [report for report in reports if report.is_trial]
    sound = set().union(*(report.sound for report in crashes))
    found: list[tuple[frozenset[str], list[CrashReport], bool, bool]] = []
    while names_by_cause := _blockable_causes(crashes, sound):
        best = max(
            sorted(names_by_cause),
            key=lambda cause: (cause not in sound, len(names_by_cause[cause])),
        )
        names = names_by_cause[best]
        tied = {cause for cause in names_by_cause if names_by_cause[cause] == names}
        groups = _of_one_request(tied - sound or tied)
        explained = [report for report in crashes if report.name in names]
        for causes in groups:
            found.append((causes, explained, best in sound, len(groups) > 1))
        crashes = [report for report in crashes if report.name not in names]
    return [
        _make_block(
            causes,
            explained,
            [trial for trial in trials if trial.suspects & causes],
            is_sound=is_sound,
            is_doubtful=is_tied or _may_be_chance(causes, explained, crashes),
        )
        for causes, explained, is_sound, is_tied in found
    ]


def _may_be_chance(
    causes: frozenset[str], explained: list[CrashReport], others: list[CrashReport]
) -> bool:
    """Return whether parts of prompts may only have been where engines ended together.

    A part is in requests at many engines. Where a data centre loses power, a rare one
    is at some of its engines, and nothing explains the ends of the others.
    """
    times_s = [report.at_s for report in explained]
    first_s, last_s = min(times_s), max(times_s)
    if request_of(min(causes)) or last_s - first_s >= SOUND_BLOCK_DELAY_S:
        return False
    start_s, end_s = first_s - SOUND_BLOCK_DELAY_S, last_s + SOUND_BLOCK_DELAY_S
    beside = sum(start_s <= report.at_s <= end_s for report in others)
    return beside > CHANCE_FRACTION * len(explained)


def _make_block(
    causes: frozenset[str],
    crashes: list[CrashReport],
    trials: list[CrashReport],
    *,
    is_sound: bool,
    is_doubtful: bool,
) -> Block:
    times_s = sorted(report.at_s for report in crashes)
    newest_s = max([times_s[-1], *(report.at_s for report in trials)])
    from_s = float("-inf")
    if is_sound:
        needed = min(len(times_s), SOUND_BLOCK_CRASHES)
        from_s = times_s[needed - 1] + SOUND_BLOCK_DELAY_S
    engines = frozenset(report.name for report in crashes)
    return Block(causes, engines, len(trials), newest_s, from_s, is_sound, is_doubtful)


def _blockable_causes(
    crashes: Iterable[CrashReport], sound: set[str]
) -> dict[str, set[str]]:
    """Return the names of the crashes of each cause that is in enough of them."""
    times_s: dict[str, dict[str, float]] = {}
    for report in crashes:
        for cause in report.suspects:
            times_s.setdefault(cause, {})[report.name] = report.at_s
    return {
        cause: set(times)
        for cause, times in times_s.items()
        if _are_enough(cause, times.values(), is_sound=cause in sound)
    }


def _are_enough(cause: str, times_s: Collection[float], *, is_sound: bool) -> bool:
    """Return whether crashes at some times suffice to block a cause."""
    count = len(times_s)
    if not is_sound or count >= SOUND_BLOCK_CRASHES:
        return count >= BLOCK_CRASHES
    is_request = cause.startswith(REQUEST_PREFIX)
    are_apart = max(times_s) - min(times_s) >= SOUND_BLOCK_DELAY_S
    return is_request and count >= BLOCK_CRASHES and are_apart


def _of_one_request(tied: set[str]) -> list[frozenset[str]]:
    """Divide causes that cannot be told apart into those of one request each.

    No request has the causes of two of them. A request that explains crashes goes
    before the parts of its prompt, which sound requests have as well.
    """
    groups: dict[str, set[str]] = {}
    for cause in tied:
        groups.setdefault(request_of(cause), set()).add(cause)
    requests = sorted(key for key in groups if key)
    return [frozenset(groups[key]) for key in requests or groups]
