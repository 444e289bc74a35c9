"""A configuration source that is looked up by name when it is used."""

from __future__ import annotations

from endivesill.configuration.model import Configuration
from endivesill.configuration.source import ConfigurationSource, Listener
from endivesill.kernel import Kernel

__all__ = ["NamedConfigurationSource"]


class NamedConfigurationSource(ConfigurationSource):
    """Looks up the kernel's configuration service at each call.

    Membership and configuration depend on each other; the late look-up allows
    either to be created first.

    Args:
      kernel: the kernel with the service.
      name: the service's name.
    """

    def __init__(self, kernel: Kernel, name: str = "configuration") -> None:
        super().__init__()
        self._kernel = kernel
        self._name = name

    def _source(self) -> ConfigurationSource:
        return self._kernel.find(self._name, ConfigurationSource)

    def current(self) -> Configuration:
        """Return the newest known configuration."""
        return self._source().current()

    def holds_lease(self) -> bool:
        """Return whether new work may start now."""
        return self._source().holds_lease()

    def subscribe(self, listener: Listener) -> None:
        """Call a listener with each new configuration."""
        self._source().subscribe(listener)
