"""The configuration source that other services look up when they need it."""

from __future__ import annotations

from endivesill.configuration.model import Configuration
from endivesill.configuration.source import ConfigurationSource, Listener
from endivesill.kernel import Kernel

__all__ = ["NamedConfigurationSource"]


class NamedConfigurationSource(ConfigurationSource):
    """Finds the kernel's configuration service at each call.

    Membership and configuration need each other; this lets either be built
    first.

    Args:
      kernel: the kernel that holds the service.
      name: the service's name.
    """

    def __init__(self, kernel: Kernel, name: str = "configuration") -> None:
        super().__init__()
        self._kernel = kernel
        self._name = name

    def _source(self) -> ConfigurationSource:
        return self._kernel.find(self._name, ConfigurationSource)

    def current(self) -> Configuration:
        """Return the newest configuration known."""
        return self._source().current()

    def holds_lease(self) -> bool:
        """Tell whether new work may start now."""
        return self._source().holds_lease()

    def subscribe(self, listener: Listener) -> None:
        """Call a listener with each new configuration."""
        self._source().subscribe(listener)
