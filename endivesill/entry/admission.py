"""The bound on an organisation's requests at one entry."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

from endivesill import errors
from endivesill.configuration.model import Organisation

__all__ = ["Admission"]

RETRY_AFTER_S = 1.0


class Admission:
    """Counts the requests that run for each organisation."""

    def __init__(self) -> None:
        self._running: dict[str, int] = {}

    def running(self, name: str) -> int:
        """Return how many requests of an organisation run."""
        return self._running.get(name, 0)

    @contextmanager
    def admit(self, organisation: Organisation) -> Iterator[None]:
        """Count a request while it runs.

        Raises:
          RefusedError: too many run already (429); this one has not run.
        """
        name = organisation.name
        running = self._running.get(name, 0)
        if running >= organisation.maximum_requests:
            raise errors.RefusedError(
                "too-many-requests", retry_after_s=RETRY_AFTER_S, status=429
            )
        self._running[name] = running + 1
        try:
            yield
        finally:
            left = self._running[name] - 1
            if left:
                self._running[name] = left
            else:
                del self._running[name]
