"""The client of the operator port, with failover between servers."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import aiohttp

from endivesill import errors
from endivesill.findings import Finding
from endivesill.keys import KeyRing
from endivesill.peers import Message
from endivesill.timer import SystemTimer, TimerService

__all__ = ["OperatorClient"]

CALL_TIMEOUT_S = 40.0
CONNECT_TIMEOUT_S = 2.0
RETRY_DELAY_S = 0.3

# Another server may succeed after one of these.
RETRIED_STATUSES = (502, 503, 504)
# A call without a usable response; a ValueError is a response that is no JSON.
CALL_ERRORS = (aiohttp.ClientError, TimeoutError, OSError, ValueError)


class OperatorClient:
    """Calls the operator ports of a fleet.

    Each change carries an idempotency number, so that it can be resent when the
    response was lost.

    Args:
      servers: HOST:PORT of each operator port, in order of preference.
      keys: the keys; the first one is sent.
      timeout_s: how long to retry until a server responds.
      ssl_context: the TLS context; None for plain HTTP.
      timer: the timer service.
    """

    def __init__(
        self,
        servers: Sequence[str],
        keys: KeyRing,
        timeout_s: float = 15.0,
        ssl_context: Any = None,
        timer: TimerService | None = None,
    ) -> None:
        self._servers = list(servers)
        self._keys = keys
        self._timeout_s = timeout_s
        self._ssl_context = ssl_context
        self.timer = timer or SystemTimer()
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> OperatorClient:
        """Open the HTTP session."""
        timeout = aiohttp.ClientTimeout(
            total=CALL_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S
        )
        self._session = aiohttp.ClientSession(timeout=timeout)
        return self

    async def __aexit__(self, *details: object) -> None:
        """Close the HTTP session."""
        if self._session is not None:
            await self._session.close()

    async def get(self, path: str, **parameters: Any) -> Message:
        """Send a GET request to the first server that responds.

        Raises:
          UnavailableError: no server responded in time.
          EndivesillError: the key or the request is invalid.
        """
        texts = {name: str(value) for name, value in parameters.items()}
        return await self._call("GET", path, texts, None)

    async def post(self, path: str, body: Message) -> Message:
        """Send a change to the first server that accepts it.

        Raises:
          ConflictError: it conflicts with another change.
          FindingsError: it failed validation; nothing was changed.
          UnavailableError: no server could apply it; nothing was changed.
          OutcomeUnknownError: it may or may not have been applied.
          EndivesillError: the key or the request is invalid.
        """
        return await self._call("POST", path, {}, body)

    async def _call(
        self, method: str, path: str, parameters: dict[str, str], body: Message | None
    ) -> Message:
        deadline_s = self.timer.now_s() + self._timeout_s
        problem = "no server address was given"
        may_have_run = False
        while True:
            for server in list(self._servers):
                try:
                    status, response_body = await self._call_server(
                        method, server, path, parameters, body
                    )
                except (
                    aiohttp.ClientError,
                    TimeoutError,
                    OSError,
                    ValueError,
                ) as error:
                    not_connected = isinstance(error, aiohttp.ClientConnectorError)
                    may_have_run = may_have_run or not not_connected
                    problem = f"{server}: {error}"
                    continue
                if status not in RETRIED_STATUSES:
                    self._move_to_front(server)
                    return _result_or_raise(status, response_body)
                may_have_run = (
                    may_have_run or response_body.get("error") == "outcome-unknown"
                )
                problem = f"{server}: {response_body.get('detail', status)}"
            if self.timer.now_s() >= deadline_s or not self._servers:
                break
            await self.timer.sleep(RETRY_DELAY_S)
        if body is not None and may_have_run:
            raise errors.OutcomeUnknownError(problem)
        raise errors.UnavailableError(problem)

    def _move_to_front(self, server: str) -> None:
        self._servers.remove(server)
        self._servers.insert(0, server)

    async def _call_server(
        self,
        method: str,
        server: str,
        path: str,
        parameters: dict[str, str],
        body: Message | None,
    ) -> tuple[int, Message]:
        assert self._session is not None
        scheme = "https" if self._ssl_context else "http"
        async with self._session.request(
            method,
            f"{scheme}://{server}{path}",
            params=parameters,
            json=body,
            headers={"Authorization": self._keys.authorization()},
            ssl=self._ssl_context or True,
        ) as response:
            if response.content_type != "application/json":
                return response.status, {"text": await response.text()}
            return response.status, await response.json()


def _result_or_raise(status: int, response_body: Message) -> Message:
    if status == 200:
        return response_body
    if response_body.get("outcome") == "conflict":
        raise errors.ConflictError(_conflict_text(response_body))
    if response_body.get("outcome") == "refused":
        findings = [
            Finding(f["file"] or "change", f["line"], f["text"])
            for f in response_body["findings"]
        ]
        raise errors.FindingsError(findings)
    if status == 409:
        raise errors.ConflictError(response_body.get("detail", "conflict"))
    detail = response_body.get("detail") or response_body.get("text") or "no detail"
    raise errors.EndivesillError(f"{detail} (status {status})")


def _conflict_text(response_body: Message) -> str:
    first = response_body["first"]
    operator = first.get("operator") or "another operator"
    digest = (first.get("digest") or "")[:12]
    if response_body["reason"] == "number":
        text = f"the number was used first by {operator} for another change"
    else:
        text = f"the folder was changed by {operator} after the base revision"
    return (
        f"{text} (digest {digest}, at {first.get('wall_time_s') or 0:.0f} s since "
        f"1970); the current revision is {response_body['revision']}"
    )
