"""Admission control: per-organisation concurrency limit at one entry."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

from endivesill import errors
from endivesill.configuration.model import Organisation

__all__ = ["Admission"]

RETRY_AFTER_S = 1.0


class Admission:
    """Limits the number of in-flight requests per organisation."""

    def __init__(self) -> None:
        self._running: dict[str, int] = {}

    def running(self, name: str) -> int:
        """Return the number of in-flight requests of an organisation."""
        return self._running.get(name, 0)

    @contextmanager
    def admit(self, organisation: Organisation) -> Iterator[None]:
        """Admit a request and count it as in flight until the context exits.

        Raises:
          RefusedError: the organisation is at its limit (429); not run.
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
            remaining = self._running[name] - 1
            if remaining:
                self._running[name] = remaining
            else:
                del self._running[name]
