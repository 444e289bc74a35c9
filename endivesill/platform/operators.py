"""Handles calls of operators: configuration, evacuations and roll-outs."""

from __future__ import annotations

import asyncio
import json
import re
import urllib.parse
from typing import Any

from endivesill import errors, events
from endivesill.fleet.changes import FleetChanges
from endivesill.fleet.events import CHANGE_ANSWERED
from endivesill.http1 import Exchange, Headers
from endivesill.json_text import check_nesting, parse_document
from endivesill.platform import wire
from endivesill.platform.configuration import check_new_document, decode_configuration
from endivesill.platform.rollouts import RolloutCalls
from endivesill.timer import TimerService

__all__ = ["RESPONSE_TIMEOUT_S", "OperatorHandler"]

# Operators try another node after one second without a response.
RESPONSE_TIMEOUT_S = 0.85
CONFIRMATION_PATTERN = re.compile(wire.CONFIRMED_INDEX_PARAMETER + rb"=([0-9]{1,18})")


class OperatorHandler:
    """Handles the HTTP exchanges of the control address.

    Args:
      timer: the timer service.
      changes: proposes the operators' changes.
      address: HOST:PORT of this VM for operators.
      rollouts: handles calls about roll-outs; None where there are none.
    """

    def __init__(
        self,
        timer: TimerService,
        changes: FleetChanges,
        address: str,
        rollouts: RolloutCalls | None = None,
    ) -> None:
        self._timer = timer
        self._changes = changes
        self._address = address
        self._rollouts = rollouts

    async def handle(self, exchange: Exchange) -> None:
        """Answer one call: 307 to confirm, 400 invalid, 409 conflict, 503 failed."""
        path, _, query = exchange.target.partition(b"?")
        headers: Headers = [(b"Content-Type", b"application/json")]
        try:
            status, document = await self._dispatch(exchange, path, query)
        except errors.OvertakenError as error:
            status, document = 307, {"error": str(error)}
            headers.append((b"Location", self._confirmation_url(path, error.index)))
            exchange.closes_connection = True
        except errors.DocumentError as error:
            status, document = 400, {"error": str(error)}
        except errors.ConflictError as error:
            status, document = 409, {"error": str(error)}
        except errors.EndivesillError as error:
            status, document = 503, {"error": str(error)}
        body = json.dumps(document, separators=(",", ":")).encode()
        exchange.respond(status, headers, body)
        events.emit(
            CHANGE_ANSWERED,
            call=exchange.target.decode("latin-1"),
            status=status,
            detail=document.get("error", ""),
            version=document.get("version"),
            connection_index=exchange.connection.stamp,
            connection_age_s=round(
                exchange.received_s - exchange.connection.opened_s, 4
            ),
            caller_left=exchange.disconnected.is_set(),
            elapsed_s=round(self._timer.now_s() - exchange.received_s, 4),
        )

    async def _dispatch(
        self, exchange: Exchange, path: bytes, query: bytes
    ) -> tuple[int, Any]:
        call = exchange.method, path
        if call == ("POST", wire.REPLACE_CONFIGURATION_PATH):
            return 200, await self._replace_configuration(exchange.body)
        if call == ("GET", wire.GET_CONFIGURATION_PATH):
            return 200, await self._changes.read_configuration()
        if self._rollouts is not None and self._rollouts.handles(call):
            return await self._rollouts.dispatch(call, exchange.body)
        for prefix, evacuated in wire.EVACUATION_PREFIXES.items():
            if exchange.method == "POST" and path.startswith(prefix):
                name = urllib.parse.unquote(path[len(prefix) :].decode("latin-1"))
                await self._set_evacuation(exchange, name, evacuated, query)
                return 200, {}
        return 404, {"error": "no such call"}

    async def _replace_configuration(self, body: bytes) -> dict[str, Any]:
        try:
            document = parse_document(body)
            check_nesting(document)
        except ValueError as error:
            raise errors.DocumentError(str(error)) from None
        version = decode_configuration(document).version
        try:
            check_new_document(document)
        except errors.DocumentError:
            if not await self._changes.is_in_force(document):
                raise
        return {"version": await self._changes.replace_configuration(version, document)}

    async def _set_evacuation(
        self, exchange: Exchange, name: str, evacuated: bool, query: bytes
    ) -> None:
        # A close that came with the order is read in the next iteration of the loop.
        await asyncio.sleep(0)
        if exchange.disconnected.is_set():
            raise errors.CallerGoneError
        # The order was sent after its connection was accepted, and a confirmation after
        # the response that asks for it.
        known_index = max(exchange.connection.stamp, _confirmed_index(query))
        await self._changes.set_evacuation(name, evacuated, known_index)

    def _confirmation_url(self, path: bytes, index: int) -> bytes:
        parameter = b"%s=%d" % (wire.CONFIRMED_INDEX_PARAMETER, index)
        return b"http://%s%s?%s" % (self._address.encode(), path, parameter)


def _confirmed_index(query: bytes) -> int:
    """Return the index with which an order is confirmed; 0 without one."""
    match = CONFIRMATION_PATTERN.fullmatch(query)
    return int(match[1]) if match else 0
