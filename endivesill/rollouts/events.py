"""Log events of roll-outs."""

from endivesill import events

__all__ = [
    "ROLLOUT_APPLIED",
    "ROLLOUT_CHANGED",
    "ROLLOUT_PROGRESS",
    "ROLLOUT_UNDECIDED",
]

ROLLOUT_CHANGED = events.define(
    5120, "rollout-changed", "A roll-out has started, gone on to a phase, or ended."
)
ROLLOUT_PROGRESS = events.define(
    5121, "rollout-progress", "The evidence and the exposure of a running roll-out."
)
ROLLOUT_UNDECIDED = events.define(
    5122,
    "rollout-undecided",
    "A decision about a roll-out was not committed; it is tried again.",
)
ROLLOUT_APPLIED = events.define(
    5123, "rollout-applied", "This entry sends a service's requests by a new phase."
)
