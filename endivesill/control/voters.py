"""Status and membership changes of the control cluster, for operators.

`VoterOperations` runs on any VM; the leader carries out the change in
`VoterManager`. Operations are idempotent: a repeated one resumes an unfinished
change.
"""

from __future__ import annotations

import attrs

from endivesill import errors, events
from endivesill.control.events import VOTERS_REFUSED
from endivesill.control.remote import RemoteControlClient
from endivesill.control.repair import LEAVE_PATH
from endivesill.control.voter_manager import (
    VOTERS_PATH,
    ChangeResult,
    ClusterStatus,
)

__all__ = ["ChangeResult", "ClusterStatus", "VoterOperations"]

CHANGE_TIMEOUT_S = 30.0
STATUS_TIMEOUT_S = 5.0
LEAVE_RETRY_DELAY_S = 0.2


class VoterOperations:
    """Operator commands for the control replicas.

    Args:
      client: calls the leader.
    """

    def __init__(self, client: RemoteControlClient) -> None:
        self._timer = client.timer
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

    async def leave(self, identity: str, timeout_s: float) -> bool:
        """Offer the seat of a voter that stops to a learner; see `VoterRepair`.

        Returns:
          Whether the replica is no longer a voter. It keeps its seat where no learner
          is ready in time, and with a leader of an earlier version.
        """
        deadline_s = self._timer.now_s() + timeout_s
        message = {"identity": identity}
        while (remaining_s := deadline_s - self._timer.now_s()) > 0:
            try:
                response = await self._client.call_leader(
                    LEAVE_PATH, message, remaining_s
                )
                return response.get("left") is True
            except errors.UnsafeChangeError as error:
                # The learner may still catch up.
                events.emit(VOTERS_REFUSED, operation="leave", reason=str(error))
                await self._timer.sleep(LEAVE_RETRY_DELAY_S)
            except errors.EndivesillError as error:
                events.emit(VOTERS_REFUSED, operation="leave", reason=str(error))
                return False
        return False

    async def _change(
        self, operation: str, replica: str, address: str, timeout_s: float
    ) -> ChangeResult:
        message = {"operation": operation, "replica": replica, "address": address}
        response = await self._client.call_leader(
            VOTERS_PATH, message, timeout_s, attempt_timeout_s=timeout_s
        )
        status = ClusterStatus.from_document(response["status"])
        return attrs.evolve(ChangeResult(False, "", status), **response["change"])
