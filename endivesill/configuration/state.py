"""The configuration in the replicated state: its commands and queries.

The state has two layers: the documents of the operators' folder, and overlays set by
single changes, such as a data centre taken out of service or a leaving target. An
overlay overrides the folder until it is removed. Both layers together are the
configuration in force, under a common revision.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Any

from endivesill.configuration.changes import (
    Change,
    ChangeLog,
    Document,
    Documents,
    difference,
    updated_digest,
)
from endivesill.configuration.checks import change_findings, finding, is_well_formed
from endivesill.control.commands import CommandContext, State, command, query
from endivesill.peers import Message

__all__ = [
    "APPLY",
    "CHANGE",
    "COMMAND_NAMES",
    "OVERLAY_FIELDS",
    "ConfigurationState",
]

APPLY = "configuration.apply"
CHANGE = "configuration.change"
COMMAND_NAMES = (APPLY, CHANGE)

# Items have separate sections, because snapshots are built one part of a section at a
# time.
SECTION = "configuration"
DOCUMENTS_SECTION = "configuration-documents"
ORIGINS_SECTION = "configuration-origins"
MAX_RECORDED_ANSWERS = 1_000
MAX_HISTORY_RECORDS = 1_000
HISTORY_KEYS_SHOWN = 20

# The field that an overlay sets, by kind of item.
OVERLAY_FIELDS = {"data-centre": "taken_out", "target": "leaving", "vm": "leaving"}


class ConfigurationState:
    """The configuration's sections of the replicated state.

    Args:
      content: the section with everything but the items.
      documents: the documents of the folder layer by key.
      origins: the origins of their values by key.
    """

    def __init__(
        self, content: dict[str, Any], documents: Documents, origins: dict[str, Any]
    ) -> None:
        self._content = content
        self._documents = documents
        self._origins = origins

    @classmethod
    def writable(cls, state: State) -> ConfigurationState:
        """Return the sections for a command; missing ones are created."""
        content = state.section(SECTION)
        if not content:
            content.update(
                revision=0,
                folder_revision=0,
                last_index=0,
                digest="",
                overlays={},
                numbers={},
                history=[],
                change_log={"floor": 0, "entries": [], "keys": 0},
            )
        documents = state.section(DOCUMENTS_SECTION)
        return cls(content, documents, state.section(ORIGINS_SECTION))

    @classmethod
    def readable(cls, state: State) -> ConfigurationState:
        """Return the sections for a query, which does not modify the state."""
        sections = state.sections
        return cls(
            sections.get(SECTION, {}),
            sections.get(DOCUMENTS_SECTION, {}),
            sections.get(ORIGINS_SECTION, {}),
        )

    @property
    def revision(self) -> int:
        """The newest revision."""
        return self._content.get("revision", 0)

    @property
    def folder_revision(self) -> int:
        """The newest revision that changed the folder layer."""
        return self._content.get("folder_revision", 0)

    @property
    def last_index(self) -> int:
        """The log index of the last configuration command."""
        return self._content.get("last_index", 0)

    @property
    def digest(self) -> str:
        """The digest of the configuration in force."""
        return self._content.get("digest", "")

    @property
    def documents(self) -> Documents:
        """The documents of the folder layer by key."""
        return self._documents

    @property
    def origins(self) -> dict[str, Any]:
        """The origin of each value and the revision that set it, by key."""
        return self._origins

    @property
    def overlays(self) -> dict[str, Any]:
        """The overlays in force, by key."""
        return self._content.get("overlays", {})

    @property
    def history(self) -> list[Message]:
        """The records of the last changes, the newest last."""
        return self._content.get("history", [])

    def effective_document(self, key: str) -> Document | None:
        """Return an item's document with its overlay, or None if it does not exist."""
        document = self.documents.get(key)
        overlay = self.overlays.get(key)
        if document is None or overlay is None:
            return document
        return {**document, overlay["field"]: overlay["value"]}

    def effective_documents(self, keys: Iterable[str]) -> Iterator[tuple[str, Any]]:
        """Return keys and documents, with overlays, of those items that exist."""
        for key in keys:
            document = self.effective_document(key)
            if document is not None:
                yield key, document

    def keys_since(self, revision: int) -> list[str] | None:
        """Return the keys changed after a revision; see `ChangeLog.keys_since`."""
        if revision == self.revision:
            return []
        return ChangeLog(self._content.setdefault("change_log", {})).keys_since(
            revision
        )

    def recorded_answer(self, message: Message) -> Message | None:
        """Return the answer to an earlier message with this number, or None.

        If that message has another digest, the answer is a conflict that names its
        sender.
        """
        first = self._content["numbers"].get(str(message["number"]))
        if first is None:
            return None
        if first["digest"] == message["digest"]:
            return first["answer"]
        return {
            "outcome": "conflict",
            "reason": "number",
            "revision": self.revision,
            "first": {k: first[k] for k in ("operator", "wall_time_s", "digest")},
        }

    def record_change(
        self, message: Message, before: Documents, keys: list[str]
    ) -> Message:
        """Increment the revision and record a change that has been made.

        Args:
          message: the command's message.
          before: the documents in force of the keys before the change.
          keys: the keys of the touched items.

        Returns:
          The answer, which is recorded under the message's number.
        """
        content = self._content
        after = dict(self.effective_documents(keys))
        revision = content["revision"] + 1
        content["revision"] = revision
        content["digest"] = updated_digest(self.digest, before.items(), after)
        ChangeLog(content["change_log"]).append(revision, keys)
        content["history"].append(
            {
                "revision": revision,
                "number": str(message["number"]),
                "operator": message["operator"],
                "wall_time_s": message["wall_time_s"],
                "digest": content["digest"],
                "changed": len(after),
                "removed": len(keys) - len(after),
                "keys": keys[:HISTORY_KEYS_SHOWN],
            }
        )
        del content["history"][:-MAX_HISTORY_RECORDS]
        return self.record_answer(message, "accepted")

    def record_answer(self, message: Message, outcome: str) -> Message:
        """Record an answer under the message's number and return it."""
        content = self._content
        answer = {
            "outcome": outcome,
            "revision": content["revision"],
            "folder_revision": content["folder_revision"],
            "digest": content["digest"],
        }
        numbers = content["numbers"]
        numbers[str(message["number"])] = {
            "digest": message["digest"],
            "operator": message["operator"],
            "wall_time_s": message["wall_time_s"],
            "answer": answer,
        }
        while len(numbers) > MAX_RECORDED_ANSWERS:
            del numbers[next(iter(numbers))]
        return answer

    def update_folder(self, change: Change, origins: dict[str, Any]) -> None:
        """Change the folder layer; the caller then calls `record_change`."""
        revision = self.revision + 1
        self._content["folder_revision"] = revision
        self.documents.update(change.changed)
        for key in change.changed:
            fields = origins.get(key, {})
            self.origins[key] = {"revision": revision, "fields": fields}
        for key in change.removed:
            self.documents.pop(key, None)
            self.origins.pop(key, None)

    def record_index(self, context: CommandContext) -> None:
        """Record the log index of the configuration command being applied."""
        self._content["last_index"] = context.index


@command(APPLY)
def apply_folder(state: State, message: Message, context: CommandContext) -> Message:
    """Change the folder layer.

    The message has the fields number, digest, operator, wall_time_s, base_revision,
    changed, removed and origins. The outcome is accepted, unchanged, conflict or
    refused.
    """
    configuration = ConfigurationState.writable(state)
    configuration.record_index(context)
    recorded = configuration.recorded_answer(message)
    if recorded is not None:
        return recorded
    if not is_well_formed(message):
        return _refused(configuration, [finding("the change is not well formed")])
    if (
        not configuration.folder_revision
        <= message["base_revision"]
        <= configuration.revision
    ):
        return _base_conflict(configuration)
    change = Change(message["changed"], tuple(message["removed"]))
    findings = change_findings(configuration.documents, change, message["origins"])
    if findings:
        return _refused(configuration, findings)
    after = {**configuration.documents, **change.changed}
    for key in change.removed:
        after.pop(key, None)
    change = difference(configuration.documents, after)
    if not change:
        return configuration.record_answer(message, "unchanged")
    keys = change.touched_keys
    before = dict(configuration.effective_documents(keys))
    configuration.update_folder(change, message["origins"])
    return configuration.record_change(message, before, keys)


@command(CHANGE)
def set_overlay(state: State, message: Message, context: CommandContext) -> Message:
    """Set or remove the overlay of an item.

    The message has the fields number, digest, operator, wall_time_s, key and value:
    true sets the overlay, false removes it.
    """
    configuration = ConfigurationState.writable(state)
    configuration.record_index(context)
    recorded = configuration.recorded_answer(message)
    if recorded is not None:
        return recorded
    key = message["key"]
    kind, _, name = key.partition("/")
    if kind not in OVERLAY_FIELDS:
        return _refused(configuration, [finding(f"a {kind} has no single change")])
    if key not in configuration.documents and key not in configuration.overlays:
        return _refused(configuration, [finding(f"there is no {kind} {name}")])
    if (key in configuration.overlays) == message["value"]:
        return configuration.record_answer(message, "unchanged")
    before = dict(configuration.effective_documents([key]))
    if message["value"]:
        configuration.overlays[key] = {
            "field": OVERLAY_FIELDS[kind],
            "value": True,
            "operator": message["operator"],
            "wall_time_s": message["wall_time_s"],
            "revision": configuration.revision + 1,
        }
    else:
        del configuration.overlays[key]
    return configuration.record_change(message, before, [key])


def _base_conflict(configuration: ConfigurationState) -> Message:
    last: Message = {}
    for record in reversed(configuration.history):
        if record["revision"] == configuration.folder_revision:
            last = record
            break
    first = {k: last.get(k) for k in ("operator", "wall_time_s", "digest")}
    return {
        "outcome": "conflict",
        "reason": "base-revision",
        "revision": configuration.revision,
        "folder_revision": configuration.folder_revision,
        "first": first,
    }


def _refused(configuration: ConfigurationState, findings: list[Message]) -> Message:
    return {
        "outcome": "refused",
        "revision": configuration.revision,
        "findings": findings,
    }


@query("configuration.current")
def current(state: State, message: Message) -> Message:
    """Return the revision, the digest and the number of items."""
    configuration = ConfigurationState.readable(state)
    return {
        "revision": configuration.revision,
        "folder_revision": configuration.folder_revision,
        "digest": configuration.digest,
        "items": len(configuration.documents),
    }


@query("configuration.documents")
def documents(state: State, message: Message) -> Message:
    """Return both layers, with the origin of each value if requested."""
    configuration = ConfigurationState.readable(state)
    return {
        **current(state, message),
        "documents": configuration.documents,
        "origins": configuration.origins if message.get("origins") else {},
        "overlays": configuration.overlays,
    }


@query("configuration.history")
def history(state: State, message: Message) -> Message:
    """Return the last changes, the newest first, `limit` at most."""
    configuration = ConfigurationState.readable(state)
    records = configuration.history[-int(message.get("limit", 20)) :]
    return {**current(state, message), "history": records[::-1]}
