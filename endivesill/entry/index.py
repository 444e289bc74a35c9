"""Lookup tables of the entry, rebuilt for each configuration revision."""

from __future__ import annotations

import hmac
from collections.abc import Callable

from endivesill import errors
from endivesill.configuration.model import (
    Configuration,
    Organisation,
    Service,
    Target,
)
from endivesill.entry.identity import target_tag
from endivesill.keys import bearer_key, hash_key

__all__ = ["ConfigurationIndex", "IndexCache"]


class ConfigurationIndex:
    """Lookup tables by the keys, ids and paths that requests carry.

    Args:
      configuration: the configuration to index.
    """

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self._organisations = {
            organisation.key_sha256: organisation
            for organisation in configuration.organisations.values()
        }
        self._targets: dict[str, Target] = {
            target_tag(target.name): target for target in configuration.targets.values()
        }
        self._plain_services = sorted(
            (s for s in configuration.services.values() if s.protocol == "plain"),
            key=lambda service: len(service.path_prefix),
            reverse=True,
        )

    def authenticate(self, authorization: str | None) -> Organisation:
        """Return the organisation of an Authorization header.

        The lookup uses a digest of the key, which a caller cannot steer towards a
        stored digest; the digests are then compared in constant time.

        Raises:
          RequestError: the key is missing or unknown (401).
        """
        key = bearer_key(authorization)
        if key is None:
            raise errors.RequestError(401, "the key is missing", "authorization")
        digest = hash_key(key)
        found = self._organisations.get(digest)
        if found is None or not hmac.compare_digest(found.key_sha256, digest):
            raise errors.RequestError(401, "the key is unknown", "authorization")
        return found

    def engine_service(self, name: str) -> Service:
        """Return the engine service of a model.

        Raises:
          RequestError: there is no such model (404).
        """
        service = self.configuration.services.get(name)
        if service is None or service.protocol != "engine":
            raise errors.RequestError(404, f"no model {name}", "model")
        return service

    def plain_service(self, path: str) -> Service:
        """Return the plain service with the longest path prefix that matches.

        Raises:
          RequestError: no service matches the path (404).
        """
        for service in self._plain_services:
            if (path + "/").startswith(service.path_prefix.rstrip("/") + "/"):
                return service
        raise errors.RequestError(404, f"no service at {path}", "path")

    def target_by_tag(self, tag: str) -> Target | None:
        """Return the target with a tag, or None; see `target_tag`."""
        return self._targets.get(tag)

    def target_by_url(self, service_name: str, url: str) -> Target | None:
        """Return the target of a service with a URL, or None."""
        targets = self.configuration.targets.values()
        for target in targets:
            if target.service == service_name and target.url == url.rstrip("/"):
                return target
        return None


class IndexCache:
    """Caches the index of the configuration in force.

    Args:
      configuration: returns the configuration in force.
    """

    def __init__(self, configuration: Callable[[], Configuration]) -> None:
        self._configuration = configuration
        self._index = ConfigurationIndex(configuration())

    def current(self) -> ConfigurationIndex:
        """Return the index; it is rebuilt after a configuration change."""
        configuration = self._configuration()
        if configuration is not self._index.configuration:
            self._index = ConfigurationIndex(configuration)
        return self._index
