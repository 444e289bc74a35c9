"""Traces of single requests, assembled from the logs of one or more processes.

Pure functions over log lines in eliot's JSON format. The trace of a request also
has the events of other requests about the same generation, such as a caller that
reconnected through another entry.
"""

from __future__ import annotations

import collections
import json
from collections.abc import Iterable, Mapping
from typing import Any

import attrs

__all__ = [
    "TraceEvent",
    "RequestTrace",
    "explain",
    "format_json",
    "format_text",
    "read_trace_events",
]

ENVELOPE = frozenset(
    ("timestamp", "task_uuid", "task_level", "message_type", "event", "action_type")
)
REQUEST_FIELD = "request_id"
GENERATION_FIELD = "generation_id"
TARGET_CHOSEN = ("route-chosen", "request-placed")
LINES_DROPPED = "log-lines-dropped"
# Dropped lines are reported once a second, after the second in which they were
# dropped.
DROPPED_REPORT_DELAY_S = 2.0
REQUEST_RECEIVED = "request-received"
ENDINGS = (
    "request-ended",
    "request-refused",
    "request-failed",
    "caller-gone",
    "stream-broken",
)
NO_ENDING = "running, or its log ends here"


@attrs.frozen
class TraceEvent:
    """One event of a trace.

    Attributes:
      time_s: when it was logged, in seconds since 1970.
      number: the event's number.
      name: the event's name.
      fields: the event's own fields, without the log envelope.
    """

    time_s: float
    number: int
    name: str
    fields: dict[str, Any]

    @property
    def request_id(self) -> str:
        """The id of the request that the event concerns, or an empty string."""
        return str(self.fields.get(REQUEST_FIELD, ""))


@attrs.frozen
class RequestTrace:
    """What happened to one request.

    Attributes:
      request_id: the id of the request.
      organisation: the organisation that sent it, or an empty string.
      targets: the chosen targets, in order.
      rejected: for each chosen target, the number of rejected targets by reason.
      ending: the name of the event that ended it, with its reason.
      steps: all events, in order of time.
      missing: number of log lines that the processes dropped during the trace, by
        event name.
    """

    request_id: str
    organisation: str
    targets: tuple[str, ...]
    rejected: tuple[dict[str, int], ...]
    ending: str
    steps: tuple[TraceEvent, ...]
    missing: dict[str, int] = attrs.Factory(dict)


def read_trace_events(lines: Iterable[str]) -> list[TraceEvent]:
    """Parse log lines into events; skip lines that are not events."""
    events = []
    for line in lines:
        event = _parse_event(line)
        if event is not None:
            events.append(event)
    return events


def _parse_event(line: str) -> TraceEvent | None:
    try:
        document = json.loads(line)
        fields = {k: v for k, v in document.items() if k not in ENVELOPE}
        return TraceEvent(
            float(document["timestamp"]),
            int(document["event"]),
            str(document["message_type"]),
            fields,
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        return None


def explain(lines: Iterable[str], request_id: str) -> RequestTrace | None:
    """Assemble the trace of a request.

    Args:
      lines: log lines of any number of processes, in any order.
      request_id: the value of the response header `X-Request-Id`.

    Returns:
      The trace, or None if no line has this request id.
    """
    all_events = read_trace_events(lines)
    candidates = [event for event in all_events if _has_request_or_generation(event)]
    own_events = [event for event in candidates if event.request_id == request_id]
    if not own_events:
        return None
    generations = {event.fields.get(GENERATION_FIELD) for event in own_events} - {None}
    related = [
        event
        for event in candidates
        if event.request_id == request_id
        or event.fields.get(GENERATION_FIELD) in generations
    ]
    related.sort(key=lambda event: event.time_s)
    own_events.sort(key=lambda event: event.time_s)
    choices = [event for event in own_events if event.name in TARGET_CHOSEN]
    return RequestTrace(
        request_id=request_id,
        organisation=_find_organisation(own_events),
        targets=tuple(str(event.fields.get("target", "")) for event in choices),
        rejected=tuple(
            _rejected_counts(event.fields.get("rejected")) for event in choices
        ),
        ending=_find_ending(own_events),
        steps=tuple(related),
        missing=_count_dropped_lines(all_events, related[0].time_s, related[-1].time_s),
    )


def _count_dropped_lines(
    events: list[TraceEvent], begin_s: float, end_s: float
) -> dict[str, int]:
    """Count the log lines that were dropped between two times, by event name."""
    counts: collections.Counter[str] = collections.Counter()
    for event in events:
        in_period = begin_s <= event.time_s <= end_s + DROPPED_REPORT_DELAY_S
        if event.name == LINES_DROPPED and in_period:
            counts.update(event.fields.get("counts", {}))
    return dict(counts)


def _has_request_or_generation(event: TraceEvent) -> bool:
    return REQUEST_FIELD in event.fields or GENERATION_FIELD in event.fields


def _find_organisation(events: list[TraceEvent]) -> str:
    for event in events:
        if event.name == REQUEST_RECEIVED:
            return str(event.fields.get("organisation", ""))
    return ""


def _find_ending(events: list[TraceEvent]) -> str:
    """Return the first ending; endings after a broken stream follow from it."""
    for event in events:
        if event.name in ENDINGS:
            reason = (
                event.fields.get("error")
                or event.fields.get("reason")
                or event.fields.get("outcome")
                or event.fields.get("status")
            )
            return f"{event.name}: {reason}" if reason else event.name
    return NO_ENDING


def _rejected_counts(value: Any) -> dict[str, int]:
    if not isinstance(value, Mapping):
        return {}
    return {str(reason): int(count) for reason, count in value.items()}


def format_json(trace: RequestTrace) -> dict[str, Any]:
    """Return the trace as a JSON object."""
    return attrs.asdict(trace)


def format_text(trace: RequestTrace) -> str:
    """Return the trace as text, with times relative to its first event."""
    lines = [
        f"request      {trace.request_id}",
        f"organisation {trace.organisation or '-'}",
        f"ended        {trace.ending}",
    ]
    for target, rejected in zip(trace.targets, trace.rejected, strict=True):
        lines.append(f"chosen       {target}")
        lines += [
            f"  rejected {count}: {reason}"
            for reason, count in sorted(rejected.items())
        ]
    lines += [
        f"dropped      {count} log lines of {name} in this period"
        for name, count in sorted(trace.missing.items())
    ]
    lines.append("")
    begin_s = trace.steps[0].time_s
    lines += [_format_event(event, begin_s, trace.request_id) for event in trace.steps]
    return "\n".join(lines) + "\n"


def _format_event(event: TraceEvent, begin_s: float, request_id: str) -> str:
    fields_to_show = {k: v for k, v in event.fields.items() if v != request_id}
    fields = " ".join(
        f"{key}={_format_value(value)}" for key, value in fields_to_show.items()
    )
    return f"{event.time_s - begin_s:+10.3f} s  {event.name:<20} {fields}".rstrip()


def _format_value(value: Any) -> str:
    if isinstance(value, (dict, list)):
        return json.dumps(value, separators=(",", ":"))
    return str(value)
