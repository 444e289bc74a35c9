"""The targets of each service as candidates, indexed once a configuration."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Callable

import attrs

from endivesill.configuration.model import Configuration, Target
from endivesill.routing.observation import Observation
from endivesill.routing.policy import Candidate

__all__ = ["SUBSET_SIZE", "TargetDirectory"]

SUBSET_SIZE = 16
REFRESH_S = 1.0


@attrs.define
class _ServiceTargets:
    """The targets of a service in this entry's order, and those in use now."""

    ordered: list[Target]
    candidates: list[Candidate] = attrs.Factory(list)
    refreshed_s: float = -math.inf


class TargetDirectory:
    """Candidates by service, limited to a subset for this entry.

    The subset is the first `SUBSET_SIZE` eligible targets in the order of a
    hash of the entry and the target, so that entries spread over all targets
    and each talks to few homes.

    Args:
      configuration: returns the configuration in force.
      entry_name: the name of this VM.
      is_leaving: tells of a target's name whether the target leaves.
    """

    def __init__(
        self,
        configuration: Callable[[], Configuration],
        entry_name: str,
        is_leaving: Callable[[str], bool],
    ) -> None:
        self._configuration = configuration
        self._entry_name = entry_name
        self._is_leaving = is_leaving
        self._indexed: Configuration | None = None
        self._services: dict[str, _ServiceTargets] = {}
        self._candidates: dict[str, Candidate] = {}
        self.observations: dict[str, Observation] = {}

    def candidates(self, service_name: str, now_s: float) -> list[Candidate]:
        """Return the candidates of a service; the list is shared."""
        if self._configuration() is not self._indexed:
            self._index()
        service = self._services.get(service_name)
        if service is None:
            return []
        if now_s - service.refreshed_s > REFRESH_S:
            service.refreshed_s = now_s
            self._refresh(service)
        return service.candidates

    def candidate(self, target: Target) -> Candidate:
        """Return the one candidate object of a target."""
        found = self._candidates.get(target.name)
        if found is None:
            found = self._candidates[target.name] = Candidate(target)
        return found

    def observation(self, target_name: str) -> Observation:
        """Return what was observed of a target."""
        found = self.observations.get(target_name)
        if found is None:
            found = self.observations[target_name] = Observation()
        return found

    def is_eligible(self, target: Target) -> bool:
        """Tell whether a target may be given new work."""
        configuration = self._configuration()
        current = configuration.targets.get(target.name)
        if current is None or not configuration.takes_new_work(current):
            return False
        return not self._is_leaving(target.name)

    def _index(self) -> None:
        configuration = self._configuration()
        self._indexed = configuration
        by_service: dict[str, list[Target]] = {}
        for target in configuration.targets.values():
            by_service.setdefault(target.service, []).append(target)
        self._services = {
            name: _ServiceTargets(sorted(targets, key=self._rank))
            for name, targets in by_service.items()
        }
        for name in list(self._candidates):
            if name not in configuration.targets:
                self._drop(name)

    def _drop(self, name: str) -> None:
        if not self._candidates[name].outstanding:
            del self._candidates[name]
            self.observations.pop(name, None)

    def _rank(self, target: Target) -> bytes:
        text = f"{self._entry_name}\0{target.name}".encode()
        return hashlib.blake2b(text, digest_size=8).digest()

    def _refresh(self, service: _ServiceTargets) -> None:
        service.candidates = []
        for target in service.ordered:
            if not self.is_eligible(target):
                continue
            candidate = self.candidate(target)
            candidate.target = target
            service.candidates.append(candidate)
            if len(service.candidates) == SUBSET_SIZE:
                return
