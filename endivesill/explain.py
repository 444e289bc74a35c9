"""The story of one request, from the log lines of one process or more.

Pure functions over lines of JSON as eliot writes them. The request's own lines
are joined by those of other requests about the same generation, such as a
caller that came back through another entry.
"""

from __future__ import annotations

import collections
import json
from collections.abc import Iterable, Mapping
from typing import Any

import attrs

__all__ = ["Step", "Story", "explain", "format_json", "format_text", "read_steps"]

ENVELOPE = frozenset(
    ("timestamp", "task_uuid", "task_level", "message_type", "event", "action_type")
)
REQUEST_FIELD = "request_id"
GENERATION_FIELD = "generation_id"
CHOSEN = ("route-chosen", "request-placed")
DROPPED = "log-lines-dropped"
# Dropped lines are told once a second, after the second in which they were.
DROPPED_SPAN_S = 2.0
RECEIVED = "request-received"
ENDINGS = (
    "request-ended",
    "request-refused",
    "request-failed",
    "caller-gone",
    "stream-broken",
)
OPEN_ENDING = "running, or its log ends here"


@attrs.frozen
class Step:
    """One log line of the story.

    Attributes:
      time_s: when it was written, in seconds since 1970.
      number: the event's number.
      name: the event's name.
      fields: what it says.
    """

    time_s: float
    number: int
    name: str
    fields: dict[str, Any]

    @property
    def request_id(self) -> str:
        """The request that it is about, or an empty string."""
        return str(self.fields.get(REQUEST_FIELD, ""))


@attrs.frozen
class Story:
    """What happened to one request.

    Attributes:
      request_id: the request.
      organisation: whose request it is, or an empty string.
      targets: the targets that were chosen, in order.
      rejected: for each choice, how many targets were passed over, by reason.
      ending: the name of the event that ended it, with its reason.
      steps: all lines, in order of time.
      missing: lines that the processes left out at that time, by event name.
    """

    request_id: str
    organisation: str
    targets: tuple[str, ...]
    rejected: tuple[dict[str, int], ...]
    ending: str
    steps: tuple[Step, ...]
    missing: dict[str, int] = attrs.Factory(dict)


def read_steps(lines: Iterable[str]) -> list[Step]:
    """Return the events of log lines; lines that are no events are left out."""
    steps = []
    for line in lines:
        step = _step(line)
        if step is not None:
            steps.append(step)
    return steps


def _step(line: str) -> Step | None:
    try:
        document = json.loads(line)
        fields = {k: v for k, v in document.items() if k not in ENVELOPE}
        return Step(
            float(document["timestamp"]),
            int(document["event"]),
            str(document["message_type"]),
            fields,
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        return None


def explain(lines: Iterable[str], request_id: str) -> Story | None:
    """Tell the story of a request.

    Args:
      lines: log lines of any number of processes, in any order.
      request_id: the request, as the header `X-Request-Id` gave it.

    Returns:
      The story, or None if no line is about the request.
    """
    every = read_steps(lines)
    steps = [step for step in every if _may_concern(step)]
    own = [step for step in steps if step.request_id == request_id]
    if not own:
        return None
    generations = {step.fields.get(GENERATION_FIELD) for step in own} - {None}
    told = [
        step
        for step in steps
        if step.request_id == request_id
        or step.fields.get(GENERATION_FIELD) in generations
    ]
    told.sort(key=lambda step: step.time_s)
    own.sort(key=lambda step: step.time_s)
    choices = [step for step in own if step.name in CHOSEN]
    return Story(
        request_id=request_id,
        organisation=_organisation(own),
        targets=tuple(str(step.fields.get("target", "")) for step in choices),
        rejected=tuple(_rejected(step.fields.get("rejected")) for step in choices),
        ending=_ending(own),
        steps=tuple(told),
        missing=_missing(every, told[0].time_s, told[-1].time_s),
    )


def _missing(steps: list[Step], begin_s: float, end_s: float) -> dict[str, int]:
    """Return how many lines were left out while a story went on, by event name."""
    counts: collections.Counter[str] = collections.Counter()
    for step in steps:
        told = begin_s <= step.time_s <= end_s + DROPPED_SPAN_S
        if step.name == DROPPED and told:
            counts.update(step.fields.get("counts", {}))
    return dict(counts)


def _may_concern(step: Step) -> bool:
    return REQUEST_FIELD in step.fields or GENERATION_FIELD in step.fields


def _organisation(steps: list[Step]) -> str:
    for step in steps:
        if step.name == RECEIVED:
            return str(step.fields.get("organisation", ""))
    return ""


def _ending(steps: list[Step]) -> str:
    """Return the first ending: what follows a broken stream is its consequence."""
    for step in steps:
        if step.name in ENDINGS:
            reason = (
                step.fields.get("error")
                or step.fields.get("reason")
                or step.fields.get("outcome")
                or step.fields.get("status")
            )
            return f"{step.name}: {reason}" if reason else step.name
    return OPEN_ENDING


def _rejected(value: Any) -> dict[str, int]:
    if not isinstance(value, Mapping):
        return {}
    return {str(reason): int(count) for reason, count in value.items()}


def format_json(story: Story) -> dict[str, Any]:
    """Return the story as a JSON object."""
    return attrs.asdict(story)


def format_text(story: Story) -> str:
    """Return the story as text, with times from its first line."""
    lines = [
        f"request      {story.request_id}",
        f"organisation {story.organisation or '-'}",
        f"ended        {story.ending}",
    ]
    for target, rejected in zip(story.targets, story.rejected, strict=True):
        lines.append(f"chosen       {target}")
        lines += [
            f"  passed over {count}: {reason}"
            for reason, count in sorted(rejected.items())
        ]
    lines += [
        f"left out     {count} lines of {name} in this time"
        for name, count in sorted(story.missing.items())
    ]
    lines.append("")
    begin_s = story.steps[0].time_s
    lines += [_line(step, begin_s, story.request_id) for step in story.steps]
    return "\n".join(lines) + "\n"


def _line(step: Step, begin_s: float, request_id: str) -> str:
    shown = {k: v for k, v in step.fields.items() if v != request_id}
    fields = " ".join(f"{key}={_value(value)}" for key, value in shown.items())
    return f"{step.time_s - begin_s:+10.3f} s  {step.name:<20} {fields}".rstrip()


def _value(value: Any) -> str:
    if isinstance(value, (dict, list)):
        return json.dumps(value, separators=(",", ":"))
    return str(value)
