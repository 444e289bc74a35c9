"""The adapter to model engines; docs/TARGETS.md describes the protocol."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

import aiohttp
import attrs

from endivesill import errors, events
from endivesill.configuration.model import Target
from endivesill.targets.adapter import CONNECT_TIMEOUT_S, TargetAdapter, adapter
from endivesill.targets.events import ANSWER_DROPPED, CANCEL_FAILED
from endivesill.targets.messages import (
    CacheEvent,
    CacheEvents,
    GenerationRequest,
    LoadReport,
    Order,
)
from endivesill.targets.session import start_check

__all__ = ["EngineAdapter", "EngineStream", "parse_load_report"]

CONTROL_TIMEOUT_S = 2.0
MOVE_TIMEOUT_S = 5.0
RUN_HEADER = "X-Run"
NOT_RUN = "not-run"
ATTEMPT_HEADER = "X-Attempt-Id"
PREVIOUS_ATTEMPTS_HEADER = "X-Previous-Attempts"
MOVED_HEADER = "X-Moved-To"


class EngineStream:
    """The bytes of a generation that an engine streams.

    Args:
      response: the engine's answer, whose body has not been read.
    """

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        self._response = response
        self._content = response.content

    async def read(self) -> bytes:
        """Return all bytes that have arrived, at least one; b"" at the end.

        Raises:
          TargetError: the connection broke or was closed.
        """
        try:
            return await self._content.readany()
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise errors.TargetError(f"stream broke: {error!r}") from None

    def close(self) -> None:
        """Close the connection, unless the answer has been read to its end.

        A connection with an answer pending is never reused. A reader that waits
        is woken with a TargetError.
        """
        if self._content.is_eof():
            self._response.release()
        else:
            self._response.close()


@adapter("engine")
class EngineAdapter(TargetAdapter):
    """Speaks to model engines."""

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
          may_start: asked once connected, before the first byte goes out.

        Raises:
          TargetRefusedError: the engine did not run it and says so, or no
            connection was made, or it may not start any more.
          TargetError: it may have run.
        """
        headers = {
            "Content-Type": "application/json",
            "X-Generation-Id": request.generation_id,
            ATTEMPT_HEADER: request.attempt_id,
            "X-Priority": str(request.priority),
        }
        with start_check(may_start):
            return await self._open(
                target, request.path, request.body, headers, request.attempt_id
            )

    async def resume(
        self,
        target: Target,
        generation_id: str,
        next_index: int,
        attempt_id: str,
        previous_attempts: Sequence[str] = (),
    ) -> EngineStream:
        """Go on with a generation that the engine still holds.

        Args:
          target: the engine.
          generation_id: the generation.
          next_index: the index of the first token wanted.
          attempt_id: the new attempt.
          previous_attempts: the attempts that this one follows; none takes the
            generation over from any other attempt.

        Raises:
          TargetGoneError: the engine does not hold it.
          SupersededError: another attempt has taken it over.
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
    ) -> EngineStream:
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
        try:
            response = await self.session.post(
                target.url + path, data=body, headers=headers, timeout=timeout
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise errors.TargetUnreachableError(f"no connection: {error}") from None
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise errors.TargetError(f"no answer: {error!r}") from None
        if response.status == 200:
            if response.headers.get(ATTEMPT_HEADER) == attempt_id:
                return EngineStream(response)
            response.close()
            events.emit(ANSWER_DROPPED, target=target.name, attempt_id=attempt_id)
            raise errors.TargetError("the answer belongs to another attempt")
        response.close()
        raise _refusal(response)

    async def cancel(
        self, target: Target, generation_id: str, attempts: Sequence[str] = ()
    ) -> None:
        """Cancel a generation; without an answer the engine's time limit rules.

        Args:
          target: the engine.
          generation_id: the generation.
          attempts: cancel only if the last attempt that streamed it is one of
            these; none cancels in any case.
        """
        headers = {PREVIOUS_ATTEMPTS_HEADER: ",".join(attempts)} if attempts else {}
        path = f"/v1/generations/{generation_id}/cancel"
        try:
            await self._control("POST", target, path, headers=headers)
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
        """Let an engine hand a generation to another engine.

        Raises:
          TargetStatusError: the engine keeps it.
          TargetError: it did not answer; it may have handed it over.
        """
        path = f"/v1/generations/{generation_id}/move"
        body = {"to": destination.url}
        await self._control("POST", target, path, body, timeout_s=MOVE_TIMEOUT_S)

    async def load(self, target: Target) -> LoadReport:
        """Ask for the load report.

        Raises:
          TargetError: no usable answer.
        """
        document = await self._control("GET", target, "/v1/load")
        return parse_load_report(document)

    async def cache_events(self, target: Target, after: int) -> CacheEvents:
        """Ask for the cache events after a sequence number.

        Raises:
          TargetError: no usable answer.
        """
        path = f"/v1/cache-events?after={after}"
        document = await self._control("GET", target, path)
        try:
            cached = tuple(CacheEvent(**event) for event in document["events"])
            return CacheEvents(document["boot_id"], document["first_sequence"], cached)
        except (KeyError, TypeError) as error:
            raise errors.TargetError(f"bad cache events: {error!r}") from None

    async def order(self, target: Target, order: Order) -> LoadReport:
        """Give an order and return the state after it.

        Raises:
          TargetRefusedError: the engine refused the fencing token.
          TargetError: no answer; the order may have run.
        """
        document = await self._control(
            "POST", target, "/v1/orders", attrs.asdict(order)
        )
        return parse_load_report(document)

    async def _control(
        self,
        method: str,
        target: Target,
        path: str,
        body: Any = None,
        *,
        headers: dict[str, str] | None = None,
        timeout_s: float = CONTROL_TIMEOUT_S,
    ) -> dict[str, Any]:
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with self.session.request(
                method, target.url + path, json=body, headers=headers, timeout=timeout
            ) as response:
                if response.status == 409:
                    raise errors.TargetRefusedError(await response.text())
                if response.status != 200:
                    raise errors.TargetStatusError(response.status)
                return await response.json(content_type=None)
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            raise errors.TargetError(f"no answer: {error!r}") from None


def _refusal(response: aiohttp.ClientResponse) -> errors.TargetError:
    detail = f"the engine answered {response.status}"
    if response.status in (404, 410):
        return errors.TargetGoneError(detail, response.headers.get(MOVED_HEADER, ""))
    if response.status == 409:
        return errors.SupersededError(detail)
    if response.headers.get(RUN_HEADER) == NOT_RUN:
        return errors.TargetRefusedError(detail)
    return errors.TargetError(detail)


def parse_load_report(document: dict[str, Any]) -> LoadReport:
    """Return the load report of a JSON object; unknown fields are left out.

    Raises:
      TargetError: a needed field is missing.
    """
    known = {attribute.name for attribute in attrs.fields(LoadReport)}
    try:
        values = {key: value for key, value in document.items() if key in known}
        values["adapters"] = tuple(values.get("adapters", ()))
        return LoadReport(**values)
    except (TypeError, AttributeError) as error:
        raise errors.TargetError(f"bad load report: {error!r}") from None
