"""Operators' orders about roll-outs, through the control leader."""

from __future__ import annotations

import asyncio

from endivesill import errors
from endivesill.control import ControlReplica
from endivesill.peers import Message, PeerTransport
from endivesill.rollouts.model import Rollout
from endivesill.rollouts.state import CURRENT, START, StartOutcome

__all__ = ["RolloutOrders"]

SUPPORT_PATH = "/rollouts/support"
# Voters answer within milliseconds; those that do not are lost and count as neither.
SUPPORT_TIMEOUT_S = 0.25


class RolloutOrders:
    """Starts and reads roll-outs.

    Args:
      replica: this VM's control replica.
      transport: the peer port.
      timeout_s: timeout of each call.
    """

    def __init__(
        self, replica: ControlReplica, transport: PeerTransport, timeout_s: float
    ) -> None:
        self._replica = replica
        self._transport = transport
        self._timeout_s = timeout_s
        transport.handle(SUPPORT_PATH, _confirm_support)

    async def start(self, service: str, version: str, duration_s: float) -> None:
        """Start a roll-out; the same order again has no effect.

        Args:
          service: a service of the configuration.
          version: the version that its traffic is moved to.
          duration_s: time budget.

        Raises:
          ConflictError: a roll-out of another version runs, or one with another budget.
          UnavailableError: nothing was started.
          OutcomeUnknownError: the roll-out may have been started.
        """
        await self._check_voters()
        message = {"service": service, "version": version, "duration_s": duration_s}
        result = await self._replica.propose(START, message, self._timeout_s)
        if result["outcome"] == StartOutcome.CONFLICT.value:
            raise errors.ConflictError(
                f"a roll-out of {service} to {result['version']} is in progress"
            )

    async def read(self, service: str) -> Rollout | None:
        """Return the newest roll-out of a service; None without one.

        Raises:
          UnavailableError: it is not known whether it is the newest.
        """
        row = await self._replica.query(CURRENT, {"service": service}, self._timeout_s)
        return Rollout.from_row(service, row) if row else None

    async def _check_voters(self) -> None:
        """Check that no voter's build lacks the commands, which it would not apply.

        Raises:
          UnavailableError: one does.
        """
        addresses = sorted(self._replica.core.voter_set.members.values())
        supports = await asyncio.gather(*map(self._supports_rollouts, addresses))
        for address, is_supported in zip(addresses, supports, strict=True):
            if not is_supported:
                raise errors.UnavailableError(f"{address} runs a build without them")

    async def _supports_rollouts(self, address: str) -> bool:
        try:
            await self._transport.call(address, SUPPORT_PATH, {}, SUPPORT_TIMEOUT_S)
        except errors.UnknownPathError:
            return False
        except errors.PeerUnreachableError:
            # A voter that is lost catches up from the log.
            return True
        return True


async def _confirm_support(message: Message) -> Message:
    return {}
