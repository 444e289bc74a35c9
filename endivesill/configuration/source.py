"""Where the other services get the configuration in force from.

`ConfigurationSource` is the base; `FixedConfiguration` is the sibling for tests.
"""

from __future__ import annotations

from collections.abc import Callable

from endivesill.configuration.model import Configuration
from endivesill.kernel import Service

__all__ = ["ConfigurationSource", "FixedConfiguration"]

Listener = Callable[[Configuration], None]


class ConfigurationSource(Service):
    """Base of the sources of the configuration."""

    def __init__(self) -> None:
        self._listeners: list[Listener] = []

    def current(self) -> Configuration:
        """Return the newest configuration known; its revision never goes back."""
        raise NotImplementedError

    def holds_lease(self) -> bool:
        """Tell whether new work may start now.

        It is true while a majority of the control replicas has confirmed, a few
        seconds ago at most, that the current revision is the newest. It must be
        asked after the last wait before the first byte goes out.
        """
        raise NotImplementedError

    def subscribe(self, listener: Listener) -> None:
        """Call a listener with each new configuration."""
        self._listeners.append(listener)

    def _notify(self, configuration: Configuration) -> None:
        for listener in self._listeners:
            listener(configuration)


class FixedConfiguration(ConfigurationSource):
    """A configuration that a test sets, with a lease that it can take away."""

    def __init__(self, configuration: Configuration) -> None:
        super().__init__()
        self._configuration = configuration
        self.lease = True

    def current(self) -> Configuration:
        """Return what was set last."""
        return self._configuration

    def holds_lease(self) -> bool:
        """Return what the test wants."""
        return self.lease

    def replace(self, configuration: Configuration) -> None:
        """Set another configuration."""
        self._configuration = configuration
        self._notify(configuration)
