"""Status and membership changes of the control cluster, for operators.

`VoterOperations` runs on any VM; the leader carries out the change in
`VoterManager`. Operations are idempotent: a repeated one resumes an unfinished
change.
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
    """Operator commands for the control replicas.

    Args:
      client: calls the leader.
    """

    def __init__(self, client: RemoteControlClient) -> None:
        self._client = client

    async def status(self, timeout_s: float = STATUS_TIMEOUT_S) -> ClusterStatus:
        """Return the leader's view of the cluster.

        Raises:
          UnavailableError: no leader was reached in time.
        """
        message = {"operation": "status", "replica": "", "address": ""}
        response = await self._client.call_leader(VOTERS_PATH, message, timeout_s)
        return ClusterStatus.from_document(response["status"])

    async def add(
        self, address: str, timeout_s: float = CHANGE_TIMEOUT_S
    ) -> ChangeResult:
        """Add the replica at an address as a learner; promote it once caught up.

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
        """Replace a voter or learner by the replica at an address.

        Raises:
          UnsafeChangeError: the cluster might lose its quorum.
        """
        return await self._change("replace", replica, address, timeout_s)

    async def _change(
        self, operation: str, replica: str, address: str, timeout_s: float
    ) -> ChangeResult:
        message = {"operation": operation, "replica": replica, "address": address}
        response = await self._client.call_leader(
            VOTERS_PATH, message, timeout_s, attempt_timeout_s=timeout_s
        )
        status = ClusterStatus.from_document(response["status"])
        return attrs.evolve(ChangeResult(False, "", status), **response["change"])
