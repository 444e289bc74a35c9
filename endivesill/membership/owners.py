"""Assignment of targets to owner VMs by rendezvous hashing.

The owner of a target is the live entry of the target's data centre with the highest
hash of target and VM. If that data centre has no live entry, the entries of the
region are used, then those of the fleet. VMs with the same view of the fleet
compute the same owners. A VM that leaves moves only its own targets; one that joins
takes over only those for which it has the highest hash.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterable

import attrs

from endivesill.configuration.model import Target
from endivesill.timer import TimerService

__all__ = ["LiveEntry", "OwnerTable", "rendezvous_score"]

RegionOf = Callable[[str], str | None]


def rendezvous_score(key: str, vm_name: str) -> int:
    """Return the rendezvous hash of a key and a VM; the highest one wins."""
    digest = hashlib.blake2b(f"{key}|{vm_name}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


@attrs.frozen
class LiveEntry:
    """A live VM with the entry role, which can own targets."""

    name: str
    data_centre: str
    region: str


@attrs.frozen
class _Owner:
    scope: str
    vm_name: str
    score: int


class OwnerTable:
    """The owners of targets, cached and updated when the live entries change.

    Args:
      timer: the timer service.
      own_name: this VM's name.
      region_of: returns the region of a data centre, if known.
    """

    def __init__(self, timer: TimerService, own_name: str, region_of: RegionOf) -> None:
        self._timer = timer
        self._own_name = own_name
        self._region_of = region_of
        self._names_by_scope: dict[str, frozenset[str]] = {}
        self._regions: dict[str, str] = {}
        self._owners: dict[tuple[str, str], _Owner] = {}
        self._since_s: dict[str, float] = {}

    def update(self, entries: Iterable[LiveEntry]) -> list[str]:
        """Set the live entries and reassign the cached owners that change.

        Returns:
          The names of the targets that this VM has come to own.
        """
        names_by_scope: dict[str, set[str]] = {}
        for entry in entries:
            self._regions[entry.data_centre] = entry.region
            for scope in _scope_keys(entry.data_centre, entry.region):
                names_by_scope.setdefault(scope, set()).add(entry.name)
        previous = self._names_by_scope
        self._names_by_scope = {
            scope: frozenset(names) for scope, names in names_by_scope.items()
        }
        changed = {
            scope
            for scope in self._names_by_scope.keys() | previous.keys()
            if self._names_by_scope.get(scope) != previous.get(scope)
        }
        if not changed:
            return []
        gained = []
        for key, owner in list(self._owners.items()):
            reassigned = self._reassign(key, owner, previous)
            if reassigned is not owner and self._store_owner(key, reassigned):
                gained.append(key[0])
        return gained

    def _reassign(
        self, key: tuple[str, str], owner: _Owner, previous: dict[str, frozenset[str]]
    ) -> _Owner | None:
        target, data_centre = key
        scope = self._scope_of(data_centre)
        if scope is None:
            return None
        names = self._names_by_scope[scope]
        before = previous.get(scope, frozenset())
        if scope == owner.scope and names == before:
            return owner
        if scope != owner.scope or owner.vm_name not in names:
            return self._compute_owner(target, scope)
        for name in names - before:
            score = rendezvous_score(target, name)
            if score > owner.score:
                owner = _Owner(scope, name, score)
        return owner

    def _scope_of(self, data_centre: str) -> str | None:
        region = self._region_of(data_centre) or self._regions.get(data_centre, "")
        for scope in _scope_keys(data_centre, region):
            if scope in self._names_by_scope:
                return scope
        return None

    def _compute_owner(self, target: str, scope: str) -> _Owner:
        scores = {
            name: rendezvous_score(target, name)
            for name in sorted(self._names_by_scope[scope])
        }
        best = max(scores, key=lambda name: scores[name])
        return _Owner(scope, best, scores[best])

    def _store_owner(self, key: tuple[str, str], owner: _Owner | None) -> bool:
        if owner is None:
            self._owners.pop(key, None)
            self._since_s.pop(key[0], None)
            return False
        self._owners[key] = owner
        if owner.vm_name != self._own_name:
            self._since_s.pop(key[0], None)
            return False
        if key[0] in self._since_s:
            return False
        self._since_s[key[0]] = self._timer.now_s()
        return True

    def owner_name(self, target: Target) -> str | None:
        """Return the VM name of a target's owner, or None without live entries."""
        key = (target.name, target.data_centre)
        owner = self._owners.get(key)
        if owner is None:
            scope = self._scope_of(target.data_centre)
            if scope is None:
                return None
            owner = self._compute_owner(target.name, scope)
            self._store_owner(key, owner)
        return owner.vm_name

    def since_s(self, target: Target) -> float | None:
        """Return when this VM became the target's owner, or None if it is not.

        The time is that of the timer, in seconds.
        """
        if self.owner_name(target) != self._own_name:
            return None
        return self._since_s[target.name]

    def reset_since(self) -> None:
        """Count all targets of this VM as acquired now, as after a process pause."""
        now_s = self._timer.now_s()
        self._since_s = dict.fromkeys(self._since_s, now_s)


def _scope_keys(data_centre: str, region: str) -> tuple[str, str, str]:
    return f"data-centre/{data_centre}", f"region/{region}", "fleet"
