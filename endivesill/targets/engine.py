"""Adapter for model engines; docs/TARGETS.md describes the protocol."""

from __future__ import annotations

import json
from collections.abc import Callable, Sequence
from typing import Any

import attrs

from endivesill import errors, events
from endivesill.configuration.model import Target
from endivesill.targets.adapter import TargetAdapter, adapter
from endivesill.targets.client import TargetRequest, TargetResponse
from endivesill.targets.events import ANSWER_DROPPED, CANCEL_FAILED
from endivesill.targets.messages import (
    CacheEvent,
    CacheEvents,
    GenerationRequest,
    LoadReport,
    Order,
)

__all__ = ["EngineAdapter", "EngineStream", "parse_load_report"]

CONTROL_TIMEOUT_S = 2.0
MOVE_TIMEOUT_S = 5.0
RUN_HEADER = "X-Run"
NOT_RUN = "not-run"
ATTEMPT_HEADER = "X-Attempt-Id"
PREVIOUS_ATTEMPTS_HEADER = "X-Previous-Attempts"
MOVED_HEADER = "X-Moved-To"


class EngineStream:
    """The byte stream of a generation.

    Args:
      response: the engine's response, whose body has not been read.
    """

    def __init__(self, response: TargetResponse) -> None:
        self._response = response

    async def read(self) -> bytes:
        """Wait for bytes of the stream and return them; b"" at the end.

        Raises:
          TargetError: the connection broke or was closed.
        """
        return await self._response.read()

    def close(self) -> None:
        """Release the connection, which is reused only after the end of the stream.

        A pending `read` raises TargetError.
        """
        self._response.close()


@adapter("engine")
class EngineAdapter(TargetAdapter):
    """Sends generations, control requests and orders to model engines."""

    async def generate(
        self,
        target: Target,
        request: GenerationRequest,
        may_start: Callable[[], bool] | None = None,
    ) -> EngineStream:
        """Start a generation.

        Args:
          target: the engine.
          request: the attempt.
          may_start: called once connected, before the first byte is sent.

        Raises:
          TargetRefusedError: the attempt has not run: the engine refused it, no
            connection was made, or `may_start` returned False.
          TargetError: the attempt may have run.
        """
        headers = {
            "Content-Type": "application/json",
            "X-Generation-Id": request.generation_id,
            ATTEMPT_HEADER: request.attempt_id,
            "X-Priority": str(request.priority),
        }
        return await self._open(
            target,
            request.path,
            request.body,
            headers,
            request.attempt_id,
            may_start,
        )

    async def resume(
        self,
        target: Target,
        generation_id: str,
        next_index: int,
        attempt_id: str,
        previous_attempts: Sequence[str] = (),
    ) -> EngineStream:
        """Resume streaming a generation that the engine still holds.

        Args:
          target: the engine.
          generation_id: the generation.
          next_index: the index of the first token to stream.
          attempt_id: the new attempt.
          previous_attempts: the attempts that this one may supersede; if empty, it
            supersedes any attempt.

        Raises:
          TargetGoneError: the engine does not hold the generation.
          SupersededError: another attempt has taken over the generation.
          TargetError: the engine did not answer.
        """
        path = f"/v1/generations/{generation_id}/resume?from={next_index}"
        headers = {ATTEMPT_HEADER: attempt_id}
        if previous_attempts:
            headers[PREVIOUS_ATTEMPTS_HEADER] = ",".join(previous_attempts)
        return await self._open(target, path, b"", headers, attempt_id)

    async def _open(
        self,
        target: Target,
        path: str,
        body: bytes,
        headers: dict[str, str],
        attempt_id: str,
        may_start: Callable[[], bool] | None = None,
    ) -> EngineStream:
        request = TargetRequest("POST", path, tuple(headers.items()), body)
        response = await self.client.open(target, request, may_start=may_start)
        if response.status == 200:
            if response.header(ATTEMPT_HEADER) == attempt_id:
                return EngineStream(response)
            response.close()
            events.emit(ANSWER_DROPPED, target=target.name, attempt_id=attempt_id)
            raise errors.TargetError("the answer belongs to another attempt")
        response.close()
        raise _status_error(response)

    async def cancel(
        self, target: Target, generation_id: str, attempts: Sequence[str] = ()
    ) -> None:
        """Cancel a generation; a failure is logged and not raised.

        If the engine does not answer, the generation ends by the engine's own time
        limit for generations without a reader.

        Args:
          target: the engine.
          generation_id: the generation.
          attempts: cancel only if the last attempt that streamed the generation is
            one of these; if empty, cancel unconditionally.
        """
        headers = {PREVIOUS_ATTEMPTS_HEADER: ",".join(attempts)} if attempts else {}
        path = f"/v1/generations/{generation_id}/cancel"
        try:
            await self._request_json("POST", target, path, headers=headers)
        except errors.TargetError as error:
            events.emit(
                CANCEL_FAILED,
                target=target.name,
                generation_id=generation_id,
                error=str(error),
            )

    async def move(
        self, target: Target, generation_id: str, destination: Target
    ) -> None:
        """Make an engine transfer a generation to another engine.

        Raises:
          TargetStatusError: the engine refused and keeps the generation.
          TargetError: no answer; the generation may have been transferred.
        """
        path = f"/v1/generations/{generation_id}/move"
        body = {"to": destination.url}
        await self._request_json("POST", target, path, body, timeout_s=MOVE_TIMEOUT_S)

    async def load(self, target: Target) -> LoadReport:
        """Fetch the load report.

        Raises:
          TargetError: no valid answer.
        """
        document = await self._request_json("GET", target, "/v1/load")
        return parse_load_report(document)

    async def cache_events(self, target: Target, after: int) -> CacheEvents:
        """Fetch the cache events after a sequence number; 0 fetches all.

        Raises:
          TargetError: no valid answer.
        """
        path = f"/v1/cache-events?after={after}"
        document = await self._request_json("GET", target, path)
        try:
            cached = tuple(CacheEvent(**event) for event in document["events"])
            return CacheEvents(document["boot_id"], document["first_sequence"], cached)
        except (KeyError, TypeError) as error:
            raise errors.TargetError(f"bad cache events: {error!r}") from None

    async def order(self, target: Target, order: Order) -> LoadReport:
        """Send an order and return the engine's state after it.

        Raises:
          TargetRefusedError: the engine rejected the fencing token.
          TargetError: no answer; the order may have run.
        """
        document = await self._request_json(
            "POST", target, "/v1/orders", attrs.asdict(order)
        )
        return parse_load_report(document)

    async def _request_json(
        self,
        method: str,
        target: Target,
        path: str,
        body: Any = None,
        *,
        headers: dict[str, str] | None = None,
        timeout_s: float = CONTROL_TIMEOUT_S,
    ) -> dict[str, Any]:
        all_headers = dict(headers or {})
        data = b""
        if body is not None:
            data = json.dumps(body).encode()
            all_headers["Content-Type"] = "application/json"
        request = TargetRequest(method, path, tuple(all_headers.items()), data)
        status, document = await self.client.json(target, request, timeout_s)
        if status == 409:
            raise errors.TargetRefusedError(str(document))
        if status != 200:
            raise errors.TargetStatusError(status)
        return document


def _status_error(response: TargetResponse) -> errors.TargetError:
    detail = f"the engine answered {response.status}"
    if response.status in (404, 410):
        return errors.TargetGoneError(detail, response.header(MOVED_HEADER))
    if response.status == 409:
        return errors.SupersededError(detail)
    if response.header(RUN_HEADER) == NOT_RUN:
        return errors.TargetRefusedError(detail)
    return errors.TargetError(detail)


def parse_load_report(document: dict[str, Any]) -> LoadReport:
    """Parse a load report; unknown fields are ignored.

    Raises:
      TargetError: a required field is missing or the document is no object.
    """
    known = {attribute.name for attribute in attrs.fields(LoadReport)}
    try:
        values = {key: value for key, value in document.items() if key in known}
        values["adapters"] = tuple(values.get("adapters", ()))
        return LoadReport(**values)
    except (TypeError, AttributeError) as error:
        raise errors.TargetError(f"bad load report: {error!r}") from None
