"""Claims of idempotency keys in the replicated ledger."""

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
from endivesill.entry.background import BackgroundTasks
from endivesill.entry.events import CLAIM_ANSWERED, CLAIM_UNRECORDED
from endivesill.entry.ledger import make_ledger_id, shard_of
from endivesill.entry.settings import EntrySettings
from endivesill.peers import Message
from endivesill.timer import TimerService

__all__ = [
    "Claim",
    "ClaimResult",
    "ClaimState",
    "Claims",
    "StoredResponse",
    "request_digest",
]

INITIAL_POLL_S = 0.1
MAX_POLL_S = 1.0
MAX_PROPOSALS = 3
INITIAL_RECORD_BACKOFF_S = 0.2
MAX_RECORD_BACKOFF_S = 5.0
MAX_KEY_CHARACTERS = 255


class ClaimState(enum.Enum):
    """State of a key in the ledger."""

    CLAIMED = "claimed"
    DONE = "done"
    MISMATCH = "mismatch"
    RUNNING = "running"
    UNKNOWN = "unknown"


class ClaimResult(enum.Enum):
    """Outcome of a claimed call; RELEASED only if it certainly did not run."""

    DONE = "done"
    UNKNOWN = "unknown"
    RELEASED = "released"


@attrs.frozen
class StoredResponse:
    """A response as stored in the ledger."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def to_message(self) -> Message:
        """Return the response as a JSON object with a base64 body."""
        body = base64.b64encode(self.body).decode("ascii")
        headers = [list(pair) for pair in self.headers]
        return {"status": self.status, "headers": headers, "body": body}

    @classmethod
    def from_message(cls, message: Message | None) -> StoredResponse | None:
        """Decode a JSON object; None stands for a response that was not stored."""
        if message is None:
            return None
        headers = tuple((name, value) for name, value in message["headers"])
        return cls(message["status"], headers, base64.b64decode(message["body"]))


@attrs.frozen
class Claim:
    """A key with its state in the ledger.

    Attributes:
      ledger_id: the key's id in the ledger.
      attempt: the id of this attempt to claim the key.
      state: the state of the key.
      response: the stored response of a DONE key, if it is still stored.
    """

    ledger_id: str
    attempt: str
    state: ClaimState
    response: StoredResponse | None = None


def request_digest(method: str, path: str, body: bytes) -> str:
    """Return the digest that identifies repetitions of a request."""
    head = f"{method}\0{path}\0".encode()
    return hashlib.sha256(head + body).hexdigest()


def check_key(key: str) -> None:
    """Validate an `Idempotency-Key` header.

    Raises:
      RequestError: the key is empty, too long or not printable (400).
    """
    if not 0 < len(key) <= MAX_KEY_CHARACTERS or not key.isprintable():
        detail = f"is not 1 to {MAX_KEY_CHARACTERS} printable characters"
        raise errors.RequestError(400, detail, "idempotency-key")


class Claims:
    """Claims keys before calls are dispatched and records outcomes afterwards.

    Args:
      timer: the timer service.
      control: the client of the replicated state.
      settings: the settings of the entry.
      owner: the instance id of this VM, recorded as the claimant.
      background: runs retries of failed ledger writes.
      is_gone: returns whether the VM instance of a claimant is known to be gone.
    """

    def __init__(
        self,
        timer: TimerService,
        control: ControlClient,
        settings: EntrySettings,
        owner: str,
        background: BackgroundTasks,
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
        """Claim a key; if it is running elsewhere, wait for its outcome.

        The wait ends at the deadline of the service.

        Raises:
          RequestError: the key is invalid (400).
          RefusedError: the ledger is unavailable or full; the call has not run.
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
            if is_waiting and await self._wait_for_outcome(message, result, deadline_s):
                continue
            return self._to_claim(message, result, request_id)

    def _to_claim(self, message: Message, result: Message, request_id: str) -> Claim:
        events.emit(
            CLAIM_ANSWERED,
            request_id=request_id,
            ledger_id=message["id"],
            state=result["state"],
        )
        if result["state"] == "full":
            raise errors.RefusedError("ledger-full", retry_after_s=MAX_POLL_S)
        state = ClaimState(result["state"])
        if state is ClaimState.RUNNING and self._is_gone(result["owner"]):
            state = ClaimState.UNKNOWN
        response = StoredResponse.from_message(result.get("answer"))
        return Claim(message["id"], message["attempt"], state, response)

    async def _propose_claim(self, message: Message) -> Message:
        timeout_s = self._settings.ledger_timeout_s
        for _ in range(MAX_PROPOSALS):
            try:
                return await self._control.propose("ledger.claim", message, timeout_s)
            except errors.OutcomeUnknownError:
                continue
            except errors.UnavailableError:
                break
        # After an unknown outcome the claim may be committed; since nothing was
        # dispatched, release it.
        self._record_in_background(
            message["id"], message["attempt"], ClaimResult.RELEASED, None
        )
        raise errors.RefusedError("control-unavailable", retry_after_s=MAX_POLL_S)

    async def _wait_for_outcome(
        self, message: Message, result: Message, deadline_s: float
    ) -> bool:
        """Wait while a key is running elsewhere; return whether to claim again."""
        until_s = min(deadline_s, self._timer.now_s() + result["wait_s"])
        poll_s = INITIAL_POLL_S
        lookup = {"shard": message["shard"], "id": message["id"]}
        while self._timer.now_s() < until_s:
            if self._is_gone(result["owner"]):
                return False
            await self._timer.sleep(min(poll_s, until_s - self._timer.now_s()))
            poll_s = min(2 * poll_s, MAX_POLL_S)
            try:
                found = await self._control.query(
                    "ledger.read", lookup, self._settings.ledger_timeout_s
                )
            except errors.UnavailableError:
                continue
            if found["state"] != "running":
                return True
        return self._timer.now_s() < deadline_s

    async def finish(
        self, claim: Claim, result: ClaimResult, response: StoredResponse | None = None
    ) -> None:
        """Record the outcome of a claimed call.

        A failed write does not fail the call: it is retried in the background.
        Until then the key counts as running or unknown.
        """
        if not await self._record(claim.ledger_id, claim.attempt, result, response):
            self._record_in_background(claim.ledger_id, claim.attempt, result, response)

    def _record_in_background(
        self,
        ledger_id: str,
        attempt: str,
        result: ClaimResult,
        response: StoredResponse | None,
    ) -> None:
        self._background.spawn(
            self._record_with_retries(ledger_id, attempt, result, response)
        )

    async def _record_with_retries(
        self,
        ledger_id: str,
        attempt: str,
        result: ClaimResult,
        response: StoredResponse | None,
    ) -> None:
        until_s = self._timer.now_s() + self._settings.claim_margin_s
        backoff_s = INITIAL_RECORD_BACKOFF_S
        while self._timer.now_s() < until_s:
            await self._timer.sleep(backoff_s)
            backoff_s = min(2 * backoff_s, MAX_RECORD_BACKOFF_S)
            if await self._record(ledger_id, attempt, result, response):
                return
        events.emit(CLAIM_UNRECORDED, ledger_id=ledger_id, result=result.value)

    async def _record(
        self,
        ledger_id: str,
        attempt: str,
        result: ClaimResult,
        response: StoredResponse | None,
    ) -> bool:
        message: dict[str, Any] = {
            "shard": shard_of(ledger_id, self._settings.ledger_shards),
            "id": ledger_id,
            "attempt": attempt,
            "result": result.value,
            "answer": None if response is None else response.to_message(),
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
