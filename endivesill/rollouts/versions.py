"""What a VM knows of the versions of targets: the base for entries and the leader."""

from __future__ import annotations

__all__ = ["TargetVersions"]


class TargetVersions:
    """Which targets get no ordinary requests; this base knows of no roll-out."""

    def refresh(self) -> None:
        """Take in a change of the engines."""

    def is_barred(self, service: str, incarnation: str) -> bool:
        """Return whether a target of a service gets no ordinary requests."""
        return False

    def is_retiring(self, service: str, incarnation: str) -> bool:
        """Return whether a target's generations are to go on at other targets."""
        return False

    def canary_pool(self, service: str, route: str) -> frozenset[str] | None:
        """Return the targets for one request to the new version; None for none."""
        return None

    async def offer(self, service: str, route: str) -> frozenset[str] | None:
        """Offer a request to the new version; return its targets, None for none."""
        return None

    def use_canary(self, service: str, route: str) -> None:
        """Count a request that is sent to a target of `canary_pool`."""

    def note_request(self, service: str, route: str) -> None:
        """Count a request to a service."""

    def note_failed(self, service: str, route: str, incarnation: str) -> None:
        """Count a failure of a target, or a request without a response."""

    def note_start(
        self, service: str, route: str, incarnation: str, duration_s: float
    ) -> None:
        """Count the time to the first byte of a response."""

    def note_pace(
        self, service: str, route: str, incarnation: str, duration_s: float
    ) -> None:
        """Count the time per event of a stream."""
