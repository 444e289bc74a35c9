"""The replicated ledger of idempotency keys.

A claim is committed before a call is dispatched, its outcome afterwards. The
commands are deterministic: they take the time only from the log. Keys are evicted
oldest first, by age and by number; a running claim is never evicted. The stored
responses are limited in bytes: the oldest are dropped, but their keys are kept.
"""

from __future__ import annotations

import hashlib
from typing import Any

from endivesill.control import CommandContext, State, command, query
from endivesill.peers import Message

__all__ = ["make_ledger_id", "read", "shard_of"]

ID_DIGITS = 40

Section = dict[str, Any]


def make_ledger_id(organisation: str, service: str, key: str) -> str:
    """Return the ledger id of an organisation's idempotency key for a service."""
    text = f"{len(organisation)}:{organisation}{len(service)}:{service}{key}"
    return hashlib.sha256(text.encode()).hexdigest()[:ID_DIGITS]


def shard_of(ledger_id: str, shards: int) -> int:
    """Return the number of the shard that holds an id."""
    return int(ledger_id[:8], 16) % shards


@command("ledger.claim")
def claim(state: State, message: Message, context: CommandContext) -> Message:
    """Claim a key, or return the state of its existing claim.

    Args:
      state: the replicated state.
      message: `shard`, `id`, `digest` of the request, `owner` and `attempt` of
        the claimant, `duration_s` of the claim, and the retention limits `age_s`
        and `entries` of the shard.
      context: the index and time of the log entry.

    Returns:
      `state` is `claimed`, `running` (with `wait_s` and `owner`), `done` (with
      `answer`), `unknown`, `mismatch` or `full`.
    """
    section = _section(state, message)
    now_s = context.time_s
    _evict_expired(section, now_s - message["age_s"], now_s)
    record = section["entries"].get(message["id"])
    if record is not None:
        return _existing_claim(record, message, now_s)
    if not _evict_for_capacity(section, message["entries"], now_s):
        return {"state": "full"}
    number = section["tail"]
    section["tail"] = number + 1
    section["order"][str(number)] = message["id"]
    section["entries"][message["id"]] = {
        "state": "running",
        "number": number,
        "digest": message["digest"],
        "owner": message["owner"],
        "attempt": message["attempt"],
        "claimed_s": now_s,
        "until_s": now_s + message["duration_s"],
    }
    return {"state": "claimed"}


@command("ledger.finish")
def finish(state: State, message: Message, context: CommandContext) -> Message:
    """Record the outcome of a claim.

    Args:
      state: the replicated state.
      message: `shard`, `id`, `attempt`, and `result`: `done` with `answer` and
        `answers_bytes`, the limit on all stored responses of the shard; `unknown`;
        or `released` for a call that certainly did not run.
      context: the index and time of the log entry.

    Returns:
      `state` is `recorded`, or `forgotten` if this attempt no longer holds a claim.
    """
    section = _section(state, message)
    record = section["entries"].get(message["id"])
    if record is None or record["attempt"] != message["attempt"]:
        return {"state": "forgotten"}
    if message["result"] == "released":
        if record["state"] != "done":
            _remove(section, message["id"])
        return {"state": "recorded"}
    if record["state"] != "done":
        record["state"] = message["result"]
        if message["result"] == "done":
            _store_response(section, record, message)
    return {"state": "recorded"}


@query("ledger.read")
def read(state: State, message: Message) -> Message:
    """Return the state of an id and its stored response; `absent` if unknown."""
    section = state.sections.get(_section_name(message), {})
    record = section.get("entries", {}).get(message["id"])
    if record is None:
        return {"state": "absent"}
    return {"state": record["state"], "answer": record.get("answer")}


def _section_name(message: Message) -> str:
    return f"ledger-{message['shard']}"


def _section(state: State, message: Message) -> Section:
    section = state.section(_section_name(message))
    if not section:
        section.update(head=0, tail=0, order={}, entries={})
        section.update(answer_bytes=0, answer_head=0)
    return section


def _existing_claim(record: dict[str, Any], message: Message, now_s: float) -> Message:
    if record["digest"] != message["digest"]:
        return {"state": "mismatch"}
    if record["state"] == "done":
        return {"state": "done", "answer": record.get("answer")}
    if record["state"] == "running" and record["attempt"] == message["attempt"]:
        return {"state": "claimed"}
    if record["state"] == "running" and record["until_s"] <= now_s:
        record["state"] = "unknown"
    if record["state"] == "unknown":
        return {"state": "unknown"}
    wait_s = record["until_s"] - now_s
    return {"state": "running", "wait_s": wait_s, "owner": record["owner"]}


def _oldest_id(section: Section) -> str | None:
    """Return the oldest id, skipping the gaps that released claims leave."""
    while section["head"] < section["tail"]:
        ledger_id = section["order"].get(str(section["head"]))
        if ledger_id is not None:
            return ledger_id
        section["head"] += 1
    return None


def _remove(section: Section, ledger_id: str) -> None:
    record = section["entries"].pop(ledger_id)
    _drop_response(section, record)
    del section["order"][str(record["number"])]


def _response_bytes(response: dict[str, Any] | None) -> int:
    if response is None:
        return 0
    headers = sum(len(name) + len(value) for name, value in response["headers"])
    return headers + len(response["body"])


def _store_response(section: Section, record: dict[str, Any], message: Message) -> None:
    record["answer"] = message["answer"]
    section["answer_bytes"] += _response_bytes(record["answer"])
    section["answer_head"] = min(section["answer_head"], record["number"])
    while section["answer_bytes"] > message["answers_bytes"]:
        ledger_id = section["order"].get(str(section["answer_head"]))
        section["answer_head"] += 1
        if ledger_id is not None:
            _drop_response(section, section["entries"][ledger_id])


def _drop_response(section: Section, record: dict[str, Any]) -> None:
    section["answer_bytes"] -= _response_bytes(record.pop("answer", None))


def _is_running(record: dict[str, Any], now_s: float) -> bool:
    return record["state"] == "running" and record["until_s"] > now_s


def _evict_expired(section: Section, before_s: float, now_s: float) -> None:
    while (oldest := _oldest_id(section)) is not None:
        record = section["entries"][oldest]
        if record["claimed_s"] > before_s or _is_running(record, now_s):
            return
        _remove(section, oldest)


def _evict_for_capacity(section: Section, entries: int, now_s: float) -> bool:
    while len(section["entries"]) >= entries:
        oldest = _oldest_id(section)
        if oldest is None or _is_running(section["entries"][oldest], now_s):
            return False
        _remove(section, oldest)
    return True
