"""The configuration in the replicated state: its commands and queries.

The state keeps two layers: the documents of the operators' folder, and the
overlays that single changes (a data centre taken out, a target leaving) have
set. An overlay stays until it is undone, whatever the folder says meanwhile.
Both layers together are the configuration in force, under one revision.
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

# The items have sections of their own, as snapshots are made a part of a section
# at a time.
SECTION = "configuration"
DOCUMENTS_SECTION = "configuration-documents"
ORIGINS_SECTION = "configuration-origins"
NUMBERS_KEPT = 1_000
HISTORY_KEPT = 1_000
HISTORY_KEYS_SHOWN = 20

# The field that a single change sets, by kind of item.
OVERLAY_FIELDS = {"data-centre": "taken_out", "target": "leaving", "vm": "leaving"}


class ConfigurationState:
    """The configuration's section of the replicated state.

    Args:
      content: all but the items.
      documents: the documents of the folder's layer.
      origins: the origins of their values.
    """

    def __init__(
        self, content: dict[str, Any], documents: Documents, origins: dict[str, Any]
    ) -> None:
        self._content = content
        self._documents = documents
        self._origins = origins

    @classmethod
    def writable(cls, state: State) -> ConfigurationState:
        """Return the section for a command."""
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
        """Return the section for a query, which leaves the state as it is."""
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
        """The newest revision that changed the folder's layer."""
        return self._content.get("folder_revision", 0)

    @property
    def last_index(self) -> int:
        """The log index of the last command on the configuration."""
        return self._content.get("last_index", 0)

    @property
    def digest(self) -> str:
        """The digest of the configuration in force."""
        return self._content.get("digest", "")

    @property
    def documents(self) -> Documents:
        """The documents of the folder's layer."""
        return self._documents

    @property
    def origins(self) -> dict[str, Any]:
        """Where each value was written, with the revision that set it."""
        return self._origins

    @property
    def overlays(self) -> dict[str, Any]:
        """The single changes that are in force, by key."""
        return self._content.get("overlays", {})

    @property
    def history(self) -> list[Message]:
        """What changed, the newest last."""
        return self._content.get("history", [])

    def effective(self, key: str) -> Document | None:
        """Return the document in force of an item, or None if there is none."""
        document = self.documents.get(key)
        overlay = self.overlays.get(key)
        if document is None or overlay is None:
            return document
        return {**document, overlay["field"]: overlay["value"]}

    def effective_documents(self, keys: Iterable[str]) -> Iterator[tuple[str, Any]]:
        """Return key and document in force of those items that exist."""
        for key in keys:
            document = self.effective(key)
            if document is not None:
                yield key, document

    def keys_since(self, revision: int) -> list[str] | None:
        """Return the keys changed after a revision, or None if not known."""
        if revision == self.revision:
            return []
        return ChangeLog(self._content.setdefault("change_log", {})).keys_since(
            revision
        )

    def earlier_answer(self, message: Message) -> Message | None:
        """Return the answer that a number has got already, or None.

        The same number with another digest gets a conflict that names who was
        first.
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

    def commit(self, message: Message, before: Documents, keys: list[str]) -> Message:
        """Raise the revision for a change that has been made.

        Args:
          message: the command's message.
          before: the documents in force of the keys, as they were.
          keys: the keys touched.

        Returns:
          The answer, which is kept under the message's number.
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
        del content["history"][:-HISTORY_KEPT]
        return self.answer(message, "accepted")

    def answer(self, message: Message, outcome: str) -> Message:
        """Return an answer that is kept under the message's number."""
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
        while len(numbers) > NUMBERS_KEPT:
            del numbers[next(iter(numbers))]
        return answer

    def replace_folder(self, change: Change, origins: dict[str, Any]) -> None:
        """Change the folder's layer; the caller commits."""
        revision = self.revision + 1
        self._content["folder_revision"] = revision
        self.documents.update(change.changed)
        for key in change.changed:
            fields = origins.get(key, {})
            self.origins[key] = {"revision": revision, "fields": fields}
        for key in change.removed:
            self.documents.pop(key, None)
            self.origins.pop(key, None)

    def note_index(self, context: CommandContext) -> None:
        """Note that a command on the configuration was applied."""
        self._content["last_index"] = context.index


@command(APPLY)
def apply(state: State, message: Message, context: CommandContext) -> Message:
    """Change the folder's layer.

    The message holds number, digest, operator, wall_time_s, base_revision,
    changed, removed and origins. The outcome is accepted, unchanged, conflict
    or refused.
    """
    store = ConfigurationState.writable(state)
    store.note_index(context)
    earlier = store.earlier_answer(message)
    if earlier is not None:
        return earlier
    if not is_well_formed(message):
        return _refusal(store, [finding("the change is not well formed")])
    if not store.folder_revision <= message["base_revision"] <= store.revision:
        return _base_conflict(store)
    change = Change(message["changed"], tuple(message["removed"]))
    findings = change_findings(store.documents, change, message["origins"])
    if findings:
        return _refusal(store, findings)
    after = {**store.documents, **change.changed}
    for key in change.removed:
        after.pop(key, None)
    change = difference(store.documents, after)
    if not change:
        return store.answer(message, "unchanged")
    keys = change.touched
    before = dict(store.effective_documents(keys))
    store.replace_folder(change, message["origins"])
    return store.commit(message, before, keys)


@command(CHANGE)
def change_single(state: State, message: Message, context: CommandContext) -> Message:
    """Set or undo the overlay of one item.

    The message holds number, digest, operator, wall_time_s, key and value: true
    sets the overlay, false undoes it.
    """
    store = ConfigurationState.writable(state)
    store.note_index(context)
    earlier = store.earlier_answer(message)
    if earlier is not None:
        return earlier
    key = message["key"]
    kind, _, name = key.partition("/")
    if kind not in OVERLAY_FIELDS:
        return _refusal(store, [finding(f"a {kind} has no single change")])
    if key not in store.documents and key not in store.overlays:
        return _refusal(store, [finding(f"there is no {kind} {name}")])
    if (key in store.overlays) == message["value"]:
        return store.answer(message, "unchanged")
    before = dict(store.effective_documents([key]))
    if message["value"]:
        store.overlays[key] = {
            "field": OVERLAY_FIELDS[kind],
            "value": True,
            "operator": message["operator"],
            "wall_time_s": message["wall_time_s"],
            "revision": store.revision + 1,
        }
    else:
        del store.overlays[key]
    return store.commit(message, before, [key])


def _base_conflict(store: ConfigurationState) -> Message:
    last: Message = {}
    for record in reversed(store.history):
        if record["revision"] == store.folder_revision:
            last = record
            break
    first = {k: last.get(k) for k in ("operator", "wall_time_s", "digest")}
    return {
        "outcome": "conflict",
        "reason": "base-revision",
        "revision": store.revision,
        "folder_revision": store.folder_revision,
        "first": first,
    }


def _refusal(store: ConfigurationState, findings: list[Message]) -> Message:
    return {
        "outcome": "refused",
        "revision": store.revision,
        "findings": findings,
    }


@query("configuration.current")
def current(state: State, message: Message) -> Message:
    """Return the revision and the digest."""
    store = ConfigurationState.readable(state)
    return {
        "revision": store.revision,
        "folder_revision": store.folder_revision,
        "digest": store.digest,
        "items": len(store.documents),
    }


@query("configuration.documents")
def documents(state: State, message: Message) -> Message:
    """Return both layers with the origin of each value."""
    store = ConfigurationState.readable(state)
    return {
        **current(state, message),
        "documents": store.documents,
        "origins": store.origins if message.get("origins") else {},
        "overlays": store.overlays,
    }


@query("configuration.history")
def history(state: State, message: Message) -> Message:
    """Return the last changes, the newest first; `limit` bounds them."""
    store = ConfigurationState.readable(state)
    records = store.history[-int(message.get("limit", 20)) :]
    return {**current(state, message), "history": records[::-1]}
