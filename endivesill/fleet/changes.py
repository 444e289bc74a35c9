"""Operators' changes and reads of the fleet state, through the control leader."""

from __future__ import annotations

from typing import Any

from endivesill import errors
from endivesill.control import ControlClient
from endivesill.fleet.state import (
    CURRENT,
    OVERTAKEN,
    REPLACE,
    SET_EVACUATION,
    ReplaceOutcome,
    document_digest,
)

__all__ = ["FleetChanges"]


class FleetChanges:
    """Proposes changes and reads the state that is in force.

    Args:
      client: client of the replicated state.
      timeout_s: timeout of each call.
    """

    def __init__(self, client: ControlClient, timeout_s: float) -> None:
        self._client = client
        self._timeout_s = timeout_s

    async def replace_configuration(self, version: int, document: Any) -> int:
        """Replace the configuration if the version is higher; return that in force.

        Raises:
          ConflictError: the version has other content.
          UnavailableError: nothing was changed.
          OutcomeUnknownError: the configuration may have been replaced.
        """
        message = {
            "version": version,
            "digest": document_digest(document),
            "document": document,
        }
        result = await self._client.propose(REPLACE, message, self._timeout_s)
        if result["outcome"] == ReplaceOutcome.CONFLICT.value:
            raise errors.ConflictError(f"version {version} has other content")
        return result["version"]

    async def read_configuration(self) -> Any:
        """Return the document in force.

        Raises:
          UnavailableError: there is none, or it is not known which one is the newest.
        """
        current = await self._client.query(CURRENT, {}, self._timeout_s)
        if not current:
            raise errors.UnavailableError("no configuration yet")
        return current["document"]

    async def is_in_force(self, document: Any) -> bool:
        """Return whether a document is the one in force.

        Raises:
          UnavailableError: it is not known which one is the newest.
        """
        current = await self._client.query(CURRENT, {}, self._timeout_s)
        return bool(current) and current["digest"] == document_digest(document)

    async def set_evacuation(
        self, data_centre: str, evacuated: bool, known_index: int
    ) -> None:
        """Evacuate a data centre or end its evacuation.

        Args:
          data_centre: the data centre.
          evacuated: whether it is evacuated from now on.
          known_index: an index of the log that was committed before the operator can
            have sent the order.

        Raises:
          OvertakenError: an opposite order may be newer; nothing was changed.
          UnavailableError: nothing was changed.
          OutcomeUnknownError: the order may have been carried out.
        """
        message = {
            "data_centre": data_centre,
            "evacuated": evacuated,
            "known_index": known_index,
        }
        result = await self._client.propose(SET_EVACUATION, message, self._timeout_s)
        if result.get("outcome") == OVERTAKEN:
            raise errors.OvertakenError(result["index"])
