"""Homes of targets: rendezvous hashing over the live entries.

A target's home is the live entry of its data centre with the highest hash of
target and VM; where that data centre has none, of its region, then of the fleet.
Every VM that knows the same fleet finds the same homes. A VM that leaves moves
only its own targets, one that joins takes only those that it now wins.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterable

import attrs

from endivesill.configuration.model import Target
from endivesill.timer import TimerService

__all__ = ["HomeTable", "LiveEntry", "rendezvous_score"]

RegionOf = Callable[[str], str | None]


def rendezvous_score(key: str, vm_name: str) -> int:
    """Return the hash by which VMs compete for a key."""
    digest = hashlib.blake2b(f"{key}|{vm_name}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


@attrs.frozen
class LiveEntry:
    """An entry that may be a home."""

    name: str
    data_centre: str
    region: str


@attrs.frozen
class _Home:
    scope: str
    vm_name: str
    score: int


class HomeTable:
    """The homes of the targets that were asked for, kept over changes.

    Args:
      timer: the timer service.
      own_name: this VM's name.
      region_of: returns the region of a data centre, if known.
    """

    def __init__(self, timer: TimerService, own_name: str, region_of: RegionOf) -> None:
        self._timer = timer
        self._own_name = own_name
        self._region_of = region_of
        self._scopes: dict[str, frozenset[str]] = {}
        self._regions: dict[str, str] = {}
        self._homes: dict[tuple[str, str], _Home] = {}
        self._since_s: dict[str, float] = {}

    def update(self, entries: Iterable[LiveEntry]) -> list[str]:
        """Set the live entries and move the homes that must move.

        Returns:
          The names of the targets that this VM has become the home of.
        """
        scopes: dict[str, set[str]] = {}
        for entry in entries:
            self._regions[entry.data_centre] = entry.region
            for scope in _scopes(entry.data_centre, entry.region):
                scopes.setdefault(scope, set()).add(entry.name)
        old = self._scopes
        self._scopes = {scope: frozenset(names) for scope, names in scopes.items()}
        changed = {
            scope
            for scope in self._scopes.keys() | old.keys()
            if self._scopes.get(scope) != old.get(scope)
        }
        if not changed:
            return []
        taken = []
        for key, home in list(self._homes.items()):
            moved = self._move(key, home, old)
            if moved is not home and self._set(key, moved):
                taken.append(key[0])
        return taken

    def _move(
        self, key: tuple[str, str], home: _Home, old: dict[str, frozenset[str]]
    ) -> _Home | None:
        target, data_centre = key
        scope = self._scope(data_centre)
        if scope is None:
            return None
        names = self._scopes[scope]
        before = old.get(scope, frozenset())
        if scope == home.scope and names == before:
            return home
        if scope != home.scope or home.vm_name not in names:
            return self._find(target, scope)
        for name in names - before:
            score = rendezvous_score(target, name)
            if score > home.score:
                home = _Home(scope, name, score)
        return home

    def _scope(self, data_centre: str) -> str | None:
        region = self._region_of(data_centre) or self._regions.get(data_centre, "")
        for scope in _scopes(data_centre, region):
            if scope in self._scopes:
                return scope
        return None

    def _find(self, target: str, scope: str) -> _Home:
        scores = {
            name: rendezvous_score(target, name) for name in sorted(self._scopes[scope])
        }
        best = max(scores, key=lambda name: scores[name])
        return _Home(scope, best, scores[best])

    def _set(self, key: tuple[str, str], home: _Home | None) -> bool:
        if home is None:
            self._homes.pop(key, None)
            self._since_s.pop(key[0], None)
            return False
        self._homes[key] = home
        if home.vm_name != self._own_name:
            self._since_s.pop(key[0], None)
            return False
        if key[0] in self._since_s:
            return False
        self._since_s[key[0]] = self._timer.now_s()
        return True

    def home_name(self, target: Target) -> str | None:
        """Return the name of a target's home, or None without live entries."""
        key = (target.name, target.data_centre)
        home = self._homes.get(key)
        if home is None:
            scope = self._scope(target.data_centre)
            if scope is None:
                return None
            home = self._find(target.name, scope)
            self._set(key, home)
        return home.vm_name

    def since_s(self, target: Target) -> float | None:
        """Return when this VM became the target's home; None if it is not."""
        if self.home_name(target) != self._own_name:
            return None
        return self._since_s[target.name]

    def restart(self) -> None:
        """Count all own homes from now, as after a pause of the process."""
        now_s = self._timer.now_s()
        self._since_s = dict.fromkeys(self._since_s, now_s)


def _scopes(data_centre: str, region: str) -> tuple[str, str, str]:
    return f"data-centre/{data_centre}", f"region/{region}", "fleet"
