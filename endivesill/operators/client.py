"""The client of the operator port: several servers, tried in turn."""

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
RETRY_S = 0.3

# Answers of a server that another one may do better.
RETRIED_STATUS = (502, 503, 504)


class OperatorClient:
    """Calls the operator ports of a fleet.

    A call that changes something carries a number, so that it may be sent again
    after a lost answer.

    Args:
      servers: HOST:PORT of the operator ports.
      keys: the keys; the first is sent.
      timeout_s: how long to go on until a server answers.
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
        """Open the client."""
        timeout = aiohttp.ClientTimeout(
            total=CALL_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S
        )
        self._session = aiohttp.ClientSession(timeout=timeout)
        return self

    async def __aexit__(self, *details: object) -> None:
        """Close the client."""
        if self._session is not None:
            await self._session.close()

    async def get(self, path: str, **parameters: Any) -> Message:
        """Read from the first server that answers; see `post`."""
        texts = {name: str(value) for name, value in parameters.items()}
        return await self._call("GET", path, texts, None)

    async def post(self, path: str, body: Message) -> Message:
        """Send a change to the first server that takes it.

        Raises:
          ConflictError: it lost against another one.
          FindingsError: it was refused; nothing was changed.
          UnavailableError: no server could carry it out.
          OutcomeUnknownError: it may or may not have been carried out.
          EndivesillError: the key or the request is wrong.
        """
        return await self._call("POST", path, {}, body)

    async def _call(
        self, method: str, path: str, parameters: dict[str, str], body: Message | None
    ) -> Message:
        deadline_s = self.timer.now_s() + self._timeout_s
        problem = "no server was given"
        may_have_run = False
        while True:
            for server in list(self._servers):
                try:
                    status, answer = await self._call_one(
                        method, server, path, parameters, body
                    )
                except (aiohttp.ClientError, TimeoutError, OSError) as error:
                    refused = isinstance(error, aiohttp.ClientConnectorError)
                    may_have_run = may_have_run or not refused
                    problem = f"{server}: {error}"
                    continue
                if status not in RETRIED_STATUS:
                    self._prefer(server)
                    return _result(status, answer)
                may_have_run = may_have_run or answer.get("error") == "outcome-unknown"
                problem = f"{server}: {answer.get('detail', status)}"
            if self.timer.now_s() >= deadline_s or not self._servers:
                break
            await self.timer.sleep(RETRY_S)
        if body is not None and may_have_run:
            raise errors.OutcomeUnknownError(problem)
        raise errors.UnavailableError(problem)

    def _prefer(self, server: str) -> None:
        self._servers.remove(server)
        self._servers.insert(0, server)

    async def _call_one(
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


def _result(status: int, answer: Message) -> Message:
    if status == 200:
        return answer
    if answer.get("outcome") == "conflict":
        raise errors.ConflictError(_conflict_text(answer))
    if answer.get("outcome") == "refused":
        findings = [
            Finding(f["file"] or "change", f["line"], f["text"])
            for f in answer["findings"]
        ]
        raise errors.FindingsError(findings)
    if status == 409:
        raise errors.ConflictError(answer.get("detail", "conflict"))
    detail = answer.get("detail") or answer.get("text") or "no detail"
    raise errors.EndivesillError(f"{detail} (status {status})")


def _conflict_text(answer: Message) -> str:
    first = answer["first"]
    who = first.get("operator") or "another operator"
    digest = (first.get("digest") or "")[:12]
    if answer["reason"] == "number":
        text = f"the number was used first by {who} for another change"
    else:
        text = f"the folder was changed by {who} after the base revision"
    return (
        f"{text} (digest {digest}, at {first.get('wall_time_s') or 0:.0f} s since "
        f"1970); the current revision is {answer['revision']}"
    )
