"""Validation of a change against the state that it applies to."""

from __future__ import annotations

from typing import Any

from endivesill import errors
from endivesill.configuration import model
from endivesill.configuration.changes import Change, Documents
from endivesill.peers import Message

__all__ = ["change_findings", "finding", "is_well_formed"]


def finding(text: str, place: str = "") -> Message:
    """Return a finding as a message.

    Args:
      text: what is wrong.
      place: the origin as `FILE:LINE`, or the empty string.
    """
    file, _, line = place.rpartition(":")
    number = int(line) if line.isdecimal() else 0
    return {"file": file, "line": number, "text": text}


def is_well_formed(message: Message) -> bool:
    """Return whether the parts of a change have the types that the checks need."""
    origins = message["origins"]
    try:
        Change.from_message(message)
    except errors.PeerMessageError:
        return False
    if not isinstance(origins, dict):
        return False
    if not all(isinstance(fields, dict) for fields in origins.values()):
        return False
    places = [place for fields in origins.values() for place in fields.values()]
    return all(isinstance(place, str) for place in places)


def change_findings(
    documents: Documents, change: Change, origins: dict[str, Any]
) -> list[Message]:
    """Return what is wrong with a change.

    Args:
      documents: the documents before the change, by key.
      change: the change.
      origins: `FILE:LINE` of each value, by key and field.
    """
    removed = set(change.removed)

    def exists(key: str) -> bool:
        return key in change.changed or (key in documents and key not in removed)

    findings: list[Message] = []
    for key, document in sorted(change.changed.items()):
        problems = model.document_findings(key, document)
        if not problems:
            problems = model.reference_findings(key, document, exists)
        place = min(origins.get(key, {}).values(), default="")
        findings.extend(finding(f"{key}: {text}", place) for text in problems)
    if any(key.startswith(("service/", "data-centre/")) for key in removed):
        for key, document in sorted(documents.items()):
            if key in removed or key in change.changed:
                continue
            problems = model.reference_findings(key, document, exists)
            findings.extend(finding(f"{key}: {text}") for text in problems)
    if not findings:
        findings = _duplicate_key_findings(documents, change)
    return findings


def _duplicate_key_findings(documents: Documents, change: Change) -> list[Message]:
    hashes = {
        document.get("key_sha256"): key
        for key, document in sorted(change.changed.items(), reverse=True)
        if key.startswith("organisation/")
    }
    if not hashes:
        return []
    findings: list[Message] = []
    after = {**documents, **change.changed}
    for key in change.removed:
        after.pop(key, None)
    for key, document in sorted(after.items()):
        if key.startswith("organisation/"):
            owner = hashes.get(document.get("key_sha256"), key)
            if owner != key:
                findings.append(finding(f"{key} has the same key as {owner}"))
    return findings
