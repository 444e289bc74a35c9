"""Checks of a change against the state that it would be made to."""

from __future__ import annotations

from typing import Any

from endivesill.configuration import model
from endivesill.configuration.changes import Change, Documents
from endivesill.peers import Message

__all__ = ["change_findings", "finding", "is_well_formed"]


def finding(text: str, place: str = "") -> Message:
    """Return a finding, with the `FILE:LINE` that it belongs to."""
    file, _, line = place.rpartition(":")
    number = int(line) if line.isdecimal() else 0
    return {"file": file, "line": number, "text": text}


def is_well_formed(message: Message) -> bool:
    """Tell whether the change's parts have the types that the checks need."""
    objects = [*message["changed"].values(), *message["origins"].values()]
    places = [p for o in message["origins"].values() for p in _values_of(o)]
    return all(isinstance(value, dict) for value in objects) and all(
        isinstance(text, str) for text in [*message["removed"], *places]
    )


def _values_of(value: Any) -> list[Any]:
    return list(value.values()) if isinstance(value, dict) else []


def change_findings(
    documents: Documents, change: Change, origins: dict[str, Any]
) -> list[Message]:
    """Check a change against the state that it would be made to."""
    removed = set(change.removed)

    def known(key: str) -> bool:
        return key in change.changed or (key in documents and key not in removed)

    findings: list[Message] = []
    for key, document in sorted(change.changed.items()):
        problems = model.document_findings(key, document)
        if not problems:
            problems = model.reference_findings(key, document, known)
        place = min(origins.get(key, {}).values(), default="")
        findings.extend(finding(f"{key}: {text}", place) for text in problems)
    if any(key.startswith(("service/", "data-centre/")) for key in removed):
        for key, document in sorted(documents.items()):
            if key in removed or key in change.changed:
                continue
            problems = model.reference_findings(key, document, known)
            findings.extend(finding(f"{key}: {text}") for text in problems)
    if not findings:
        findings = _equal_key_findings(documents, change)
    return findings


def _equal_key_findings(documents: Documents, change: Change) -> list[Message]:
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
