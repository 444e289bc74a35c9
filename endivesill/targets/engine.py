"""The adapter to model engines; docs/TARGETS.md describes the protocol."""

from __future__ import annotations

from typing import Any

import aiohttp
import attrs

from endivesill import errors
from endivesill.configuration.model import Target
from endivesill.targets.adapter import CONNECT_TIMEOUT_S, TargetAdapter, adapter
from endivesill.targets.messages import (
    CacheEvent,
    CacheEvents,
    GenerationRequest,
    LoadReport,
    Order,
)

__all__ = ["EngineAdapter", "EngineStream"]

CONTROL_TIMEOUT_S = 2.0
RUN_HEADER = "X-Run"
NOT_RUN = "not-run"


class EngineStream:
    """The bytes of a generation that an engine streams.

    Args:
      response: the engine's answer, whose body has not been read.
    """

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        self._response = response

    async def read(self) -> bytes:
        """Return all bytes that have arrived, at least one; b"" at the end.

        Raises:
          TargetError: the connection broke.
        """
        try:
            return await self._response.content.readany()
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise errors.TargetError(f"stream broke: {error!r}") from None

    def close(self) -> None:
        """Close the connection; it is never reused with an answer pending."""
        self._response.close()


@adapter("engine")
class EngineAdapter(TargetAdapter):
    """Speaks to model engines."""

    async def generate(
        self, target: Target, request: GenerationRequest
    ) -> EngineStream:
        """Start a generation.

        Raises:
          TargetRefusedError: the engine did not run it and says so, or no
            connection was made.
          TargetError: it may have run.
        """
        headers = {
            "Content-Type": "application/json",
            "X-Generation-Id": request.generation_id,
            "X-Attempt-Id": request.attempt_id,
            "X-Priority": str(request.priority),
        }
        return await self._open(
            target.url + request.path, request.body, headers, request.attempt_id
        )

    async def resume(
        self, target: Target, generation_id: str, next_index: int, attempt_id: str
    ) -> EngineStream:
        """Go on with a generation that the engine still holds.

        Raises:
          TargetGoneError: the engine does not hold it.
          TargetError: the engine did not answer.
        """
        url = f"{target.url}/v1/generations/{generation_id}/resume?from={next_index}"
        return await self._open(url, b"", {"X-Attempt-Id": attempt_id}, attempt_id)

    async def _open(
        self, url: str, body: bytes, headers: dict[str, str], attempt_id: str
    ) -> EngineStream:
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
        try:
            response = await self.session.post(
                url, data=body, headers=headers, timeout=timeout
            )
        except aiohttp.ClientConnectorError as error:
            raise errors.TargetRefusedError(f"no connection: {error}") from None
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise errors.TargetError(f"no answer: {error!r}") from None
        if response.status == 200:
            if response.headers.get("X-Attempt-Id") == attempt_id:
                return EngineStream(response)
            response.close()
            raise errors.TargetError("the answer belongs to another attempt")
        status, run = response.status, response.headers.get(RUN_HEADER)
        response.close()
        if status in (404, 410):
            raise errors.TargetGoneError(f"the engine answered {status}")
        if run == NOT_RUN:
            raise errors.TargetRefusedError(f"the engine answered {status}")
        raise errors.TargetError(f"the engine answered {status}")

    async def cancel(self, target: Target, generation_id: str) -> None:
        """Cancel a generation; errors are left to the engine's own time limit."""
        try:
            await self._control(
                "POST", target, f"/v1/generations/{generation_id}/cancel"
            )
        except errors.TargetError:
            return

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
            events = tuple(CacheEvent(**event) for event in document["events"])
            return CacheEvents(document["boot_id"], document["first_sequence"], events)
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
        self, method: str, target: Target, path: str, body: Any = None
    ) -> dict[str, Any]:
        timeout = aiohttp.ClientTimeout(total=CONTROL_TIMEOUT_S)
        try:
            async with self.session.request(
                method, target.url + path, json=body, timeout=timeout
            ) as response:
                if response.status == 409:
                    raise errors.TargetRefusedError(await response.text())
                if response.status != 200:
                    raise errors.TargetError(f"the engine answered {response.status}")
                return await response.json(content_type=None)
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            raise errors.TargetError(f"no answer: {error!r}") from None


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
