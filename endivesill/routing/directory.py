"""Candidate targets by service, re-indexed when the configuration changes."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Callable, Container

import attrs

from endivesill.configuration.model import Configuration, Target
from endivesill.routing.observation import Observation
from endivesill.routing.policy import Candidate

__all__ = ["SUBSET_SIZE", "TargetDirectory"]

SUBSET_SIZE = 16
LOCAL_SUBSET_SIZE = 12
REFRESH_S = 1.0


@attrs.define
class _ServiceTargets:
    """The targets of a service in this entry's order, and its current candidates."""

    ordered: list[Target]
    candidates: list[Candidate] = attrs.Factory(list)
    refreshed_s: float = -math.inf


class TargetDirectory:
    """Candidates by service, limited to a subset for this entry.

    The subset has up to `SUBSET_SIZE` eligible targets: up to `LOCAL_SUBSET_SIZE`
    of the entry's own data centre, then those of its region and of the others,
    each group ordered by a hash of entry and target. The hash spreads the entries
    over all targets. The subset keeps the owners that an entry talks to few and
    mostly local, and its remote part takes the overflow of a full data centre.

    Args:
      configuration: returns the configuration in force.
      entry_name: the name of this VM.
      is_leaving: returns whether the target of a given name is leaving.
      data_centre: the data centre of this VM.
      on_targets: called with all target names after each configuration change.
    """

    def __init__(
        self,
        configuration: Callable[[], Configuration],
        entry_name: str,
        is_leaving: Callable[[str], bool],
        data_centre: str = "",
        on_targets: Callable[[Container[str]], None] = lambda names: None,
    ) -> None:
        self._configuration = configuration
        self._entry_name = entry_name
        self._is_leaving = is_leaving
        self._data_centre = data_centre
        self._on_targets = on_targets
        self._indexed: Configuration | None = None
        self._services: dict[str, _ServiceTargets] = {}
        self._candidates: dict[str, Candidate] = {}
        self.observations: dict[str, Observation] = {}

    def candidates(self, service_name: str, now_s: float) -> list[Candidate]:
        """Return the candidates of a service; callers must not modify the list."""
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
        """Return the candidate of a target, creating it at the first call."""
        found = self._candidates.get(target.name)
        if found is None:
            found = self._candidates[target.name] = Candidate(target)
        return found

    def observation(self, target_name: str) -> Observation:
        """Return the statistics of a target, creating them at the first call."""
        found = self.observations.get(target_name)
        if found is None:
            found = self.observations[target_name] = Observation()
        return found

    def is_eligible(self, target: Target) -> bool:
        """Return whether a target may receive new requests."""
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
                self._remove(name)
        self._on_targets(configuration.targets)

    def _remove(self, name: str) -> None:
        if not self._candidates[name].outstanding:
            del self._candidates[name]
            self.observations.pop(name, None)

    def _rank(self, target: Target) -> tuple[int, bytes]:
        text = f"{self._entry_name}\0{target.name}".encode()
        rank_hash = hashlib.blake2b(text, digest_size=8).digest()
        return self._distance(target.data_centre), rank_hash

    def _distance(self, data_centre: str) -> int:
        """Return 0 within this data centre, 1 within its region, else 2."""
        if data_centre == self._data_centre:
            return 0
        data_centres = self._configuration().data_centres
        own = data_centres.get(self._data_centre)
        other = data_centres.get(data_centre)
        if own is None or other is None:
            return 2
        return 1 if own.region == other.region else 2

    def _refresh(self, service: _ServiceTargets) -> None:
        eligible = [t for t in service.ordered if self.is_eligible(t)]
        local_count = sum(t.data_centre == self._data_centre for t in eligible)
        first = min(local_count, LOCAL_SUBSET_SIZE)
        subset = eligible[:first] + eligible[local_count:] + eligible[first:local_count]
        service.candidates = [self._current_candidate(t) for t in subset[:SUBSET_SIZE]]

    def _current_candidate(self, target: Target) -> Candidate:
        """Return a target's candidate, updated to the target as configured now."""
        candidate = self.candidate(target)
        candidate.target = target
        return candidate
