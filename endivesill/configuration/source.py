"""The interface through which other services read the configuration.

`ConfigurationSource` is the base class; `FixedConfiguration` is an implementation for
tests.
"""

from __future__ import annotations

from collections.abc import Callable

from endivesill.configuration.model import Configuration
from endivesill.kernel import Service

__all__ = ["ConfigurationSource", "FixedConfiguration"]

Listener = Callable[[Configuration], None]


class ConfigurationSource(Service):
    """Base class of the sources of the configuration."""

    def __init__(self) -> None:
        self._listeners: list[Listener] = []

    def current(self) -> Configuration:
        """Return the newest known configuration; its revision never decreases."""
        raise NotImplementedError

    def holds_lease(self) -> bool:
        """Return whether new work may start now.

        This is so for a few seconds after a majority of the control replicas has
        confirmed that the current revision is the newest. The caller has to check it
        without waiting between the check and the first byte that it sends.
        """
        raise NotImplementedError

    def subscribe(self, listener: Listener) -> None:
        """Call a listener with each new configuration."""
        self._listeners.append(listener)

    def _notify(self, configuration: Configuration) -> None:
        for listener in self._listeners:
            listener(configuration)


class FixedConfiguration(ConfigurationSource):
    """A configuration for tests.

    Attributes:
      lease: what `holds_lease` returns.
    """

    def __init__(self, configuration: Configuration) -> None:
        super().__init__()
        self._configuration = configuration
        self.lease = True

    def current(self) -> Configuration:
        """Return the configuration that was set last."""
        return self._configuration

    def holds_lease(self) -> bool:
        """Return `lease`."""
        return self.lease

    def replace(self, configuration: Configuration) -> None:
        """Replace the configuration and notify the listeners."""
        self._configuration = configuration
        self._notify(configuration)
