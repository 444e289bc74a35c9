"""An entry's claims of idempotency keys in the replicated ledger."""

from __future__ import annotations

import base64
import enum
import hashlib
import uuid
from collections.abc import Callable
from typing import Any

import attrs

from endivesill import errors, events
from endivesill.configuration.model import Limits, Organisation, Service
from endivesill.control import ControlClient
from endivesill.entry.background import Background
from endivesill.entry.events import CLAIM_ANSWERED, CLAIM_UNRECORDED
from endivesill.entry.ledger import make_ledger_id, shard_of
from endivesill.entry.settings import EntrySettings
from endivesill.peers import Message
from endivesill.timer import TimerService

__all__ = ["Claim", "ClaimState", "Claims", "Result", "StoredAnswer", "request_digest"]

POLL_S = 0.1
POLL_LIMIT_S = 1.0
PROPOSALS = 3
RECORD_BACKOFF_S = 0.2
RECORD_BACKOFF_LIMIT_S = 5.0
LONGEST_KEY = 255


class ClaimState(enum.Enum):
    """What the ledger says of a key."""

    CLAIMED = "claimed"
    DONE = "done"
    MISMATCH = "mismatch"
    RUNNING = "running"
    UNKNOWN = "unknown"


class Result(enum.Enum):
    """How a claimed call ended; RELEASED only if it certainly did not run."""

    DONE = "done"
    UNKNOWN = "unknown"
    RELEASED = "released"


@attrs.frozen
class StoredAnswer:
    """An answer as the ledger keeps it."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def to_message(self) -> Message:
        """Return the answer as a JSON object."""
        body = base64.b64encode(self.body).decode("ascii")
        headers = [list(pair) for pair in self.headers]
        return {"status": self.status, "headers": headers, "body": body}

    @classmethod
    def from_message(cls, message: Message | None) -> StoredAnswer | None:
        """Return the answer of a JSON object; None for one that was not kept."""
        if message is None:
            return None
        headers = tuple((name, value) for name, value in message["headers"])
        return cls(message["status"], headers, base64.b64decode(message["body"]))


@attrs.frozen
class Claim:
    """A key with what the ledger says of it.

    Attributes:
      ledger_id: the key's id in the ledger.
      attempt: this entry's attempt to claim it.
      state: what the ledger says.
      answer: the stored answer of a DONE key, if it was kept.
    """

    ledger_id: str
    attempt: str
    state: ClaimState
    answer: StoredAnswer | None = None


def request_digest(method: str, path: str, body: bytes) -> str:
    """Return the digest by which a repeated request is known to be the same."""
    head = f"{method}\0{path}\0".encode()
    return hashlib.sha256(head + body).hexdigest()


def check_key(key: str) -> None:
    """Check an `Idempotency-Key` header.

    Raises:
      RequestError: it is empty, too long or not printable (400).
    """
    if not 0 < len(key) <= LONGEST_KEY or not key.isprintable():
        detail = f"is not 1 to {LONGEST_KEY} printable characters"
        raise errors.RequestError(400, detail, "idempotency-key")


class Claims:
    """Claims keys before a call is dispatched and records outcomes after.

    Args:
      timer: the timer service.
      control: the replicated state.
      settings: the entry's settings.
      owner: this VM's instance, for the ledger.
      background: runs what is recorded after the caller has its answer.
      is_gone: tells whether a claimant's VM instance is known to be gone.
    """

    def __init__(
        self,
        timer: TimerService,
        control: ControlClient,
        settings: EntrySettings,
        owner: str,
        background: Background,
        is_gone: Callable[[str], bool] = lambda owner: False,
    ) -> None:
        self._timer = timer
        self._control = control
        self._settings = settings
        self._owner = owner
        self._background = background
        self._is_gone = is_gone

    async def claim(
        self,
        organisation: Organisation,
        service: Service,
        key: str,
        digest: str,
        limits: Limits,
        request_id: str,
    ) -> Claim:
        """Claim a key; wait for one that runs elsewhere, for a bounded time.

        Raises:
          RefusedError: the control state is not available, so that the call
            has not run.
        """
        check_key(key)
        ledger_id = make_ledger_id(organisation.name, service.name, key)
        attempt = uuid.uuid4().hex
        shards = self._settings.ledger_shards
        message = {
            "shard": shard_of(ledger_id, shards),
            "id": ledger_id,
            "digest": digest,
            "owner": self._owner,
            "attempt": attempt,
            "duration_s": 2 * service.deadline_s + self._settings.claim_margin_s,
            "age_s": limits.idempotency_age_s,
            "entries": max(1, limits.idempotency_entries // shards),
        }
        deadline_s = self._timer.now_s() + service.deadline_s
        while True:
            result = await self._propose_claim(message)
            is_waiting = result["state"] == "running"
            if is_waiting and await self._wait(message, result, deadline_s):
                continue
            return self._claim(message, result, request_id)

    def _claim(self, message: Message, result: Message, request_id: str) -> Claim:
        events.emit(
            CLAIM_ANSWERED,
            request_id=request_id,
            ledger_id=message["id"],
            state=result["state"],
        )
        if result["state"] == "full":
            raise errors.RefusedError("ledger-full", retry_after_s=POLL_LIMIT_S)
        state = ClaimState(result["state"])
        if state is ClaimState.RUNNING and self._is_gone(result["owner"]):
            state = ClaimState.UNKNOWN
        answer = StoredAnswer.from_message(result.get("answer"))
        return Claim(message["id"], message["attempt"], state, answer)

    async def _propose_claim(self, message: Message) -> Message:
        timeout_s = self._settings.ledger_timeout_s
        for _ in range(PROPOSALS):
            try:
                return await self._control.propose("ledger.claim", message, timeout_s)
            except errors.OutcomeUnknownError:
                continue
            except errors.UnavailableError:
                break
        # A claim may stand after an unknown outcome; nothing was dispatched.
        self._record_later(message["id"], message["attempt"], Result.RELEASED, None)
        raise errors.RefusedError("control-unavailable", retry_after_s=POLL_LIMIT_S)

    async def _wait(self, message: Message, result: Message, deadline_s: float) -> bool:
        """Wait while a key runs elsewhere; tell whether to claim again."""
        until_s = min(deadline_s, self._timer.now_s() + result["wait_s"])
        poll_s = POLL_S
        place = {"shard": message["shard"], "id": message["id"]}
        while self._timer.now_s() < until_s:
            if self._is_gone(result["owner"]):
                return False
            await self._timer.sleep(min(poll_s, until_s - self._timer.now_s()))
            poll_s = min(2 * poll_s, POLL_LIMIT_S)
            try:
                found = await self._control.query(
                    "ledger.read", place, self._settings.ledger_timeout_s
                )
            except errors.UnavailableError:
                continue
            if found["state"] != "running":
                return True
        return self._timer.now_s() < deadline_s

    async def finish(
        self, claim: Claim, result: Result, answer: StoredAnswer | None = None
    ) -> None:
        """Record the outcome of a claimed call.

        The caller gets its answer even if this fails; it is tried again in the
        background, and until then the key counts as running or unknown.
        """
        if not await self._record(claim.ledger_id, claim.attempt, result, answer):
            self._record_later(claim.ledger_id, claim.attempt, result, answer)

    def _record_later(
        self, ledger_id: str, attempt: str, result: Result, answer: StoredAnswer | None
    ) -> None:
        self._background.spawn(self._record_often(ledger_id, attempt, result, answer))

    async def _record_often(
        self, ledger_id: str, attempt: str, result: Result, answer: StoredAnswer | None
    ) -> None:
        until_s = self._timer.now_s() + self._settings.claim_margin_s
        backoff_s = RECORD_BACKOFF_S
        while self._timer.now_s() < until_s:
            await self._timer.sleep(backoff_s)
            backoff_s = min(2 * backoff_s, RECORD_BACKOFF_LIMIT_S)
            if await self._record(ledger_id, attempt, result, answer):
                return
        events.emit(CLAIM_UNRECORDED, ledger_id=ledger_id, result=result.value)

    async def _record(
        self, ledger_id: str, attempt: str, result: Result, answer: StoredAnswer | None
    ) -> bool:
        message: dict[str, Any] = {
            "shard": shard_of(ledger_id, self._settings.ledger_shards),
            "id": ledger_id,
            "attempt": attempt,
            "result": result.value,
            "answer": None if answer is None else answer.to_message(),
            "answers_bytes": self._settings.stored_answers_bytes
            // self._settings.ledger_shards,
        }
        try:
            await self._control.propose(
                "ledger.finish", message, self._settings.ledger_timeout_s
            )
        except (errors.UnavailableError, errors.OutcomeUnknownError):
            return False
        return True
