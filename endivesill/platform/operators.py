"""Handles calls of operators: configuration and evacuations."""

from __future__ import annotations

import json
import urllib.parse
from typing import Any

from endivesill import errors, events
from endivesill.control import ControlReplica
from endivesill.fleet.events import CHANGE_ANSWERED
from endivesill.fleet.state import (
    CURRENT,
    REPLACE,
    SET_EVACUATION,
    ReplaceOutcome,
    document_digest,
)
from endivesill.http1 import Exchange
from endivesill.json_text import parse_json
from endivesill.platform import wire
from endivesill.platform.configuration import decode_configuration
from endivesill.timer import TimerService

__all__ = ["OperatorHandler"]

# Operators try another node after one second without a response.
RESPONSE_TIMEOUT_S = 0.85


class OperatorHandler:
    """Handles the HTTP exchanges of the control address.

    Args:
      timer: the timer service.
      replica: this VM's control replica.
    """

    def __init__(self, timer: TimerService, replica: ControlReplica) -> None:
        self._timer = timer
        self._replica = replica

    async def handle(self, exchange: Exchange) -> None:
        """Answer one call: 400 invalid, 409 conflict, 503 failed or outcome unknown."""
        path = exchange.target.partition(b"?")[0]
        try:
            status, document = await self._dispatch(exchange, path)
        except errors.DocumentError as error:
            status, document = 400, {"error": str(error)}
        except errors.ConflictError as error:
            status, document = 409, {"error": str(error)}
        except errors.EndivesillError as error:
            status, document = 503, {"error": str(error)}
        self._send_response(exchange, status, document)
        events.emit(
            CHANGE_ANSWERED,
            call=path.decode("latin-1"),
            status=status,
            detail=document.get("error", ""),
            version=document.get("version"),
            connection_age_s=round(
                exchange.received_s - exchange.connection.opened_s, 4
            ),
            caller_left=exchange.disconnected.is_set(),
            elapsed_s=round(self._timer.now_s() - exchange.received_s, 4),
        )

    async def _dispatch(self, exchange: Exchange, path: bytes) -> tuple[int, Any]:
        method = exchange.method
        if method == "POST" and path == wire.REPLACE_CONFIGURATION_PATH:
            return 200, await self._replace_configuration(exchange.body)
        if method == "GET" and path == wire.GET_CONFIGURATION_PATH:
            return await self._read_configuration()
        if method == "POST" and path.startswith(wire.START_EVACUATION_PREFIX):
            return 200, await self._set_evacuation(
                path, wire.START_EVACUATION_PREFIX, True
            )
        if method == "POST" and path.startswith(wire.END_EVACUATION_PREFIX):
            return 200, await self._set_evacuation(
                path, wire.END_EVACUATION_PREFIX, False
            )
        return 404, {"error": "no such call"}

    async def _replace_configuration(self, body: bytes) -> dict[str, Any]:
        try:
            document = parse_json(body)
        except ValueError as error:
            raise errors.DocumentError(str(error)) from None
        version = decode_configuration(document).version
        message = {
            "version": version,
            "digest": document_digest(document),
            "document": document,
        }
        result = await self._replica.propose(REPLACE, message, RESPONSE_TIMEOUT_S)
        if result["outcome"] == ReplaceOutcome.CONFLICT.value:
            raise errors.ConflictError(f"version {version} has other content")
        return {"version": result["version"]}

    async def _read_configuration(self) -> tuple[int, Any]:
        current = await self._replica.query(CURRENT, {}, RESPONSE_TIMEOUT_S)
        if not current:
            return 503, {"error": "no configuration yet"}
        return 200, current["document"]

    async def _set_evacuation(
        self, path: bytes, prefix: bytes, evacuated: bool
    ) -> dict[str, Any]:
        data_centre = urllib.parse.unquote(path[len(prefix) :].decode("latin-1"))
        message = {"data_centre": data_centre, "evacuated": evacuated}
        await self._replica.propose(SET_EVACUATION, message, RESPONSE_TIMEOUT_S)
        return {}

    def _send_response(self, exchange: Exchange, status: int, document: Any) -> None:
        body = json.dumps(document, separators=(",", ":")).encode()
        exchange.respond(status, [(b"Content-Type", b"application/json")], body)
