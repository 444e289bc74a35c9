"""Status and changes of the voters, for operators.

`VoterOperations` can be used on any VM; the leader does the work in
`VoterManager`. Every operation can be repeated: it goes on where it stood.
"""

from __future__ import annotations

import attrs

from endivesill.control.remote import RemoteControlClient
from endivesill.control.voter_manager import (
    VOTERS_PATH,
    ChangeResult,
    ClusterStatus,
)

__all__ = ["ChangeResult", "ClusterStatus", "VoterOperations"]

CHANGE_TIMEOUT_S = 30.0
STATUS_TIMEOUT_S = 5.0


class VoterOperations:
    """What operators can do with the control replicas.

    Args:
      client: reaches the leader.
    """

    def __init__(self, client: RemoteControlClient) -> None:
        self._client = client

    async def status(self, timeout_s: float = STATUS_TIMEOUT_S) -> ClusterStatus:
        """Return the cluster as its leader sees it.

        Raises:
          UnavailableError: there is no leader.
        """
        message = {"operation": "status", "replica": "", "address": ""}
        answer = await self._client.call_leader(VOTERS_PATH, message, timeout_s)
        return ClusterStatus.from_document(answer["status"])

    async def add(
        self, address: str, timeout_s: float = CHANGE_TIMEOUT_S
    ) -> ChangeResult:
        """Make the replica at an address a voter once it has caught up.

        Raises:
          UnsafeChangeError: the cluster might lose its quorum.
        """
        return await self._change("add", "", address, timeout_s)

    async def remove(
        self, replica: str, timeout_s: float = CHANGE_TIMEOUT_S
    ) -> ChangeResult:
        """Remove a voter or learner, given by identity or address.

        Raises:
          UnsafeChangeError: the cluster might lose its quorum.
        """
        return await self._change("remove", replica, "", timeout_s)

    async def replace(
        self, replica: str, address: str, timeout_s: float = CHANGE_TIMEOUT_S
    ) -> ChangeResult:
        """Put the replica at an address in the place of another one.

        Raises:
          UnsafeChangeError: the cluster might lose its quorum.
        """
        return await self._change("replace", replica, address, timeout_s)

    async def _change(
        self, operation: str, replica: str, address: str, timeout_s: float
    ) -> ChangeResult:
        message = {"operation": operation, "replica": replica, "address": address}
        answer = await self._client.call_leader(
            VOTERS_PATH, message, timeout_s, attempt_timeout_s=timeout_s
        )
        status = ClusterStatus.from_document(answer["status"])
        return attrs.evolve(ChangeResult(False, "", status), **answer["change"])
