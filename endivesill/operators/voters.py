"""The interface through which the operator port administers the voters."""

from __future__ import annotations

from typing import Any, Protocol

__all__ = ["VoterAdministration"]


class VoterAdministration(Protocol):
    """Status and changes of the voters; results are attrs instances."""

    async def status(self) -> Any:
        """Return the cluster's status as reported by its leader."""

    async def add(self, address: str) -> Any:
        """Make the replica at an address a voter once it has caught up."""

    async def remove(self, replica: str) -> Any:
        """Remove a voter or learner, given by identity or address."""

    async def replace(self, replica: str, address: str) -> Any:
        """Replace a voter or learner by the replica at an address."""
