"""What the operator port asks of the part that administers the voters."""

from __future__ import annotations

from typing import Any, Protocol

__all__ = ["VoterAdministration"]


class VoterAdministration(Protocol):
    """Status and changes of the voters; the results are attrs objects."""

    async def status(self) -> Any:
        """Return the cluster as its leader sees it."""

    async def add(self, address: str) -> Any:
        """Make the replica at an address a voter once it has caught up."""

    async def remove(self, replica: str) -> Any:
        """Remove a voter or learner, given by identity or address."""

    async def replace(self, replica: str, address: str) -> Any:
        """Put the replica at an address in the place of another one."""
