"""Answers of the operator port as text or JSON."""

from __future__ import annotations

import json
from typing import Any

import attrs

from endivesill.peers import Message
from endivesill.porcelain import FolderDifference

__all__ = [
    "configuration_text",
    "control_text",
    "difference_text",
    "fleet_text",
    "history_text",
    "status_text",
    "to_json",
    "voters_text",
]


def to_json(answer: Any) -> str:
    """Return an answer as JSON; attrs objects become objects."""
    if attrs.has(type(answer)):
        answer = attrs.asdict(answer)
    return json.dumps(answer, indent=1, sort_keys=True)


def difference_text(difference: FolderDifference) -> str:
    """Return the items and values that differ, with their places."""
    lines = [f"compared with revision {difference.revision}"]
    for key, document in difference.change.changed.items():
        before = difference.before.get(key)
        lines.append(f"{'+' if before is None else '~'} {key}")
        origins = difference.origins.get(key, {})
        for field in sorted({*document, *(before or {})}):
            old = (before or {}).get(field)
            new = document.get(field)
            if old != new:
                place = origins.get(field, "")
                shown = f"{_value(old)} -> {_value(new)}"
                lines.append(f"    {field}: {shown}  {place}".rstrip())
    lines.extend(f"- {key}" for key in difference.change.removed)
    if not difference.change:
        lines.append("no difference")
    return "\n".join(lines)


def _value(value: Any) -> str:
    return "default" if value is None else json.dumps(value)


def configuration_text(answer: Message) -> str:
    """Return both layers of the configuration."""
    lines = [
        f"revision {answer['revision']}, folder of revision "
        f"{answer['folder_revision']}, digest {answer['digest'][:12]}"
    ]
    for key, document in sorted(answer["documents"].items()):
        lines.append(key)
        origin = answer["origins"].get(key, {})
        for field, value in sorted(document.items()):
            line = f"    {field} = {_value(value)}"
            place = origin.get("fields", {}).get(field)
            if place:
                line += f"  {place} at revision {origin['revision']}"
            lines.append(line)
        overlay = answer["overlays"].get(key)
        if overlay:
            lines.append(f"    {_overlay_text(overlay)}")
    for key, overlay in sorted(answer["overlays"].items()):
        if key not in answer["documents"]:
            lines.append(f"{key} (not in the folder)")
            lines.append(f"    {_overlay_text(overlay)}")
    return "\n".join(lines)


def _overlay_text(overlay: Message) -> str:
    return (
        f"{overlay['field']} = {_value(overlay['value'])}  single change by "
        f"{overlay['operator']} at revision {overlay['revision']}"
    )


def history_text(answer: Message) -> str:
    """Return one line a change."""
    lines = []
    for record in answer["history"]:
        keys = " ".join(record["keys"])
        lines.append(
            f"{record['revision']:>6}  number {record['number']}  "
            f"{record['operator']}  {record['changed']} changed, "
            f"{record['removed']} removed  {keys}"
        )
    return "\n".join(lines) or "no changes"


def control_text(answer: Message) -> str:
    """Return the replicas and what may be lost."""
    lines = [
        f"leader {answer['leader']}, term {answer['term']}, "
        f"commit index {answer['commit_index']}"
    ]
    for replica in answer["replicas"]:
        lines.append(
            f"{replica['identity']}  {replica['address']}  "
            f"{'voter' if replica['voter'] else 'learner'}  "
            f"{'live' if replica['live'] else 'not live'}, "
            f"{'caught up' if replica['ready'] else 'behind'}"
        )
    lines.append(f"voters that may be lost: {answer['spare_voters']}")
    return "\n".join(lines)


def voters_text(answer: Message) -> str:
    """Return how a change of voters ended."""
    done = "done" if answer["done"] else f"not done: {answer['detail']}"
    return f"{done}\n{control_text(answer['status'])}"


def fleet_text(answer: Message) -> str:
    """Return one line a VM."""
    lines = []
    for row in answer["vms"]:
        may_go = "may go" if row["may_go"] else f"stays: {'; '.join(row['reasons'])}"
        voter = "voter" if row["voter"] else ""
        lines.append(
            f"{row['name']:<20} {row['data_centre']:<16} {row['state']:<8} "
            f"{voter:<6} {may_go}"
        )
    return "\n".join(lines)


def status_text(answer: Message) -> str:
    """Return one line a field."""
    return "\n".join(f"{name}: {_plain(value)}" for name, value in answer.items())


def _plain(value: Any) -> str:
    if isinstance(value, dict):
        return ", ".join(f"{key} {_plain(inner)}" for key, inner in value.items())
    if isinstance(value, list):
        return ", ".join(map(str, value)) or "none"
    if isinstance(value, bool):
        return "yes" if value else "no"
    return str(value)
