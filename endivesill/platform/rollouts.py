"""Translates the operators' calls about roll-outs."""

from __future__ import annotations

import urllib.parse
from typing import Any

from endivesill import errors
from endivesill.document_reader import Reader
from endivesill.fleet.changes import FleetChanges
from endivesill.json_text import check_nesting, parse_document
from endivesill.platform import wire
from endivesill.platform.configuration import decode_configuration
from endivesill.rollouts.orders import RolloutOrders

__all__ = ["RolloutCalls"]

# A day; longer budgets are taken for mistakes.
MAX_DURATION_S = 86_400.0
# The time in which a request can be sent and answered at all.
MIN_DURATION_S = 0.1

# Method and path of a call.
CallKey = tuple[str, bytes]


class RolloutCalls:
    """Handles the calls that start and read roll-outs.

    Args:
      orders: carries them out.
      changes: reads the configuration.
    """

    def __init__(self, orders: RolloutOrders, changes: FleetChanges) -> None:
        self._orders = orders
        self._changes = changes

    def handles(self, call: CallKey) -> bool:
        """Return whether a call is about roll-outs."""
        method, path = call
        return call == ("POST", wire.START_ROLLOUT_PATH) or (
            method == "GET" and path.startswith(wire.GET_ROLLOUT_PREFIX)
        )

    async def dispatch(self, call: CallKey, body: bytes) -> tuple[int, Any]:
        """Carry out a call; return the status and the document of its response.

        Raises:
          DocumentError: the order is invalid.
          ConflictError: another roll-out of the service is in progress.
          UnavailableError: it is not known what is in force.
          OutcomeUnknownError: the roll-out may have been started.
        """
        method, path = call
        if method == "POST":
            await self._start(body)
            return 200, {}
        service = urllib.parse.unquote(
            path[len(wire.GET_ROLLOUT_PREFIX) :].decode("latin-1")
        )
        rollout = await self._orders.read(service)
        if rollout is None:
            return 404, {"error": "no roll-out of this service"}
        state = wire.ROLLOUT_STATES[rollout.state.value]
        return 200, {"state": state, "target": rollout.version}

    async def _start(self, body: bytes) -> None:
        try:
            document = parse_document(body)
            check_nesting(document)
        except ValueError as error:
            raise errors.DocumentError(str(error)) from None
        reader = Reader(document, "rollout")
        service = reader.name("service")
        # The field names the version that the traffic is moved to.
        version = reader.name("target")
        duration_s = reader.number(
            "duration_s", minimum=MIN_DURATION_S, maximum=MAX_DURATION_S
        )
        configuration = decode_configuration(await self._changes.read_configuration())
        if service not in configuration.services:
            raise errors.DocumentError("rollout.service: no such service")
        await self._orders.start(service, version, float(duration_s))
