"""The replicated ledger of idempotency keys.

A claim is committed before a call is dispatched and its outcome afterwards. The
commands are deterministic: time comes only from the log. Keys are kept by age and
by number, oldest first; a claim that is still running is never evicted. Answers
are bounded in bytes: the oldest give theirs up, and their keys stay known.
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
    """Return the ledger id of an organisation's key for a service."""
    text = f"{len(organisation)}:{organisation}{len(service)}:{service}{key}"
    return hashlib.sha256(text.encode()).hexdigest()[:ID_DIGITS]


def shard_of(ledger_id: str, shards: int) -> int:
    """Return the shard that holds an id."""
    return int(ledger_id[:8], 16) % shards


@command("ledger.claim")
def claim(state: State, message: Message, context: CommandContext) -> Message:
    """Claim a key, or tell what is known of it.

    Args:
      state: the replicated state.
      message: `shard`, `id`, `digest` of the request, `owner` and `attempt` of
        the claimant, `duration_s` of the claim, and the retention `age_s` and
        `entries` of the shard.
      context: the place in the log.

    Returns:
      `state` is `claimed`, `running` (with `wait_s` and `owner`), `done` (with
      `answer`), `unknown`, `mismatch` or `full`.
    """
    section = _section(state, message)
    now_s = context.time_s
    _expire(section, now_s - message["age_s"], now_s)
    record = section["entries"].get(message["id"])
    if record is not None:
        return _known(record, message, now_s)
    if not _make_room(section, message["entries"], now_s):
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
        `answers_bytes`, the bound on all answers of the shard; `unknown`; or
        `released` for a call that certainly did not run.
      context: the place in the log.

    Returns:
      `state` is `recorded`, or `forgotten` if the claim is not held any more.
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
            _keep_answer(section, record, message)
    return {"state": "recorded"}


@query("ledger.read")
def read(state: State, message: Message) -> Message:
    """Return the state of an id, `absent` if there is none."""
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


def _known(record: dict[str, Any], message: Message, now_s: float) -> Message:
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


def _oldest(section: Section) -> str | None:
    """Return the oldest id; released ones leave holes that are skipped."""
    while section["head"] < section["tail"]:
        ledger_id = section["order"].get(str(section["head"]))
        if ledger_id is not None:
            return ledger_id
        section["head"] += 1
    return None


def _remove(section: Section, ledger_id: str) -> None:
    record = section["entries"].pop(ledger_id)
    _drop_answer(section, record)
    del section["order"][str(record["number"])]


def _answer_bytes(answer: dict[str, Any] | None) -> int:
    if answer is None:
        return 0
    headers = sum(len(name) + len(value) for name, value in answer["headers"])
    return headers + len(answer["body"])


def _keep_answer(section: Section, record: dict[str, Any], message: Message) -> None:
    record["answer"] = message["answer"]
    section["answer_bytes"] += _answer_bytes(record["answer"])
    section["answer_head"] = min(section["answer_head"], record["number"])
    while section["answer_bytes"] > message["answers_bytes"]:
        ledger_id = section["order"].get(str(section["answer_head"]))
        section["answer_head"] += 1
        if ledger_id is not None:
            _drop_answer(section, section["entries"][ledger_id])


def _drop_answer(section: Section, record: dict[str, Any]) -> None:
    section["answer_bytes"] -= _answer_bytes(record.pop("answer", None))


def _is_running(record: dict[str, Any], now_s: float) -> bool:
    return record["state"] == "running" and record["until_s"] > now_s


def _expire(section: Section, before_s: float, now_s: float) -> None:
    while (oldest := _oldest(section)) is not None:
        record = section["entries"][oldest]
        if record["claimed_s"] > before_s or _is_running(record, now_s):
            return
        _remove(section, oldest)


def _make_room(section: Section, entries: int, now_s: float) -> bool:
    while len(section["entries"]) >= entries:
        oldest = _oldest(section)
        if oldest is None or _is_running(section["entries"][oldest], now_s):
            return False
        _remove(section, oldest)
    return True
