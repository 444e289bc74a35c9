"""Formatting of operator port responses as text or JSON."""

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


def to_json(response: Any) -> str:
    """Return a response or an attrs instance as indented JSON."""
    if attrs.has(type(response)):
        response = attrs.asdict(response)
    return json.dumps(response, indent=1, sort_keys=True)


def difference_text(difference: FolderDifference) -> str:
    """Return the items and values that differ, with file and line."""
    lines = [f"compared with revision {difference.revision}"]
    for key, document in difference.change.changed.items():
        before = difference.before.get(key)
        lines.append(f"{'+' if before is None else '~'} {key}")
        origins = difference.origins.get(key, {})
        for field in sorted({*document, *(before or {})}):
            old = (before or {}).get(field)
            new = document.get(field)
            if old != new:
                location = origins.get(field, "")
                values = f"{_json_value(old)} -> {_json_value(new)}"
                lines.append(f"    {field}: {values}  {location}".rstrip())
    lines.extend(f"- {key}" for key in difference.change.removed)
    if not difference.change:
        lines.append("no difference")
    return "\n".join(lines)


def _json_value(value: Any) -> str:
    return "default" if value is None else json.dumps(value)


def configuration_text(response: Message) -> str:
    """Return the folder's items and the single changes of the configuration."""
    lines = [
        f"revision {response['revision']}, folder of revision "
        f"{response['folder_revision']}, digest {response['digest'][:12]}"
    ]
    for key, document in sorted(response["documents"].items()):
        lines.append(key)
        origin = response["origins"].get(key, {})
        for field, value in sorted(document.items()):
            line = f"    {field} = {_json_value(value)}"
            location = origin.get("fields", {}).get(field)
            if location:
                line += f"  {location} at revision {origin['revision']}"
            lines.append(line)
        overlay = response["overlays"].get(key)
        if overlay:
            lines.append(f"    {_overlay_text(overlay)}")
    for key, overlay in sorted(response["overlays"].items()):
        if key not in response["documents"]:
            lines.append(f"{key} (not in the folder)")
            lines.append(f"    {_overlay_text(overlay)}")
    return "\n".join(lines)


def _overlay_text(overlay: Message) -> str:
    return (
        f"{overlay['field']} = {_json_value(overlay['value'])}  single change by "
        f"{overlay['operator']} at revision {overlay['revision']}"
    )


def history_text(response: Message) -> str:
    """Return one line per change."""
    lines = []
    for record in response["history"]:
        keys = " ".join(record["keys"])
        lines.append(
            f"{record['revision']:>6}  number {record['number']}  "
            f"{record['operator']}  {record['changed']} changed, "
            f"{record['removed']} removed  {keys}"
        )
    return "\n".join(lines) or "no changes"


def control_text(response: Message) -> str:
    """Return the control replicas and how many voters may be lost."""
    lines = [
        f"leader {response['leader']}, term {response['term']}, "
        f"commit index {response['commit_index']}"
    ]
    for replica in response["replicas"]:
        lines.append(
            f"{replica['identity']}  {replica['address']}  "
            f"{'voter' if replica['voter'] else 'learner'}  "
            f"{'live' if replica['live'] else 'not live'}, "
            f"{'caught up' if replica['ready'] else 'behind'}"
        )
    lines.append(f"voters that may be lost: {response['spare_voters']}")
    return "\n".join(lines)


def voters_text(response: Message) -> str:
    """Return the result of a change of the voters."""
    done = "done" if response["done"] else f"not done: {response['detail']}"
    return f"{done}\n{control_text(response['status'])}"


def fleet_text(response: Message) -> str:
    """Return one line per VM."""
    lines = []
    for row in response["vms"]:
        stop_text = "may go" if row["may_go"] else f"stays: {'; '.join(row['reasons'])}"
        voter = "voter" if row["voter"] else ""
        lines.append(
            f"{row['name']:<20} {row['data_centre']:<16} {row['state']:<8} "
            f"{voter:<6} {stop_text}"
        )
    return "\n".join(lines)


def status_text(response: Message) -> str:
    """Return one line per field."""
    return "\n".join(
        f"{name}: {_plain_value(value)}" for name, value in response.items()
    )


def _plain_value(value: Any) -> str:
    if isinstance(value, dict):
        return ", ".join(f"{key} {_plain_value(item)}" for key, item in value.items())
    if isinstance(value, list):
        return ", ".join(map(str, value)) or "none"
    if isinstance(value, bool):
        return "yes" if value else "no"
    return str(value)
