"""Hashes of prompt prefixes, and an index of the targets that cache them."""

from __future__ import annotations

import collections
import hashlib
from collections.abc import Container, Set

from endivesill.targets.messages import CacheEvents

__all__ = [
    "CHARACTERS_PER_TOKEN",
    "PREFIX_BLOCK_TOKENS",
    "PrefixIndex",
    "prefix_hashes",
]

PREFIX_BLOCK_TOKENS = 128
CHARACTERS_PER_TOKEN = 4
MAXIMUM_PREFIX_BLOCKS = 64
HASH_BYTES = 8
BLOCKS_PER_TARGET = 4096
STALE_WEIGHT = 0.5
NO_HOLDERS: frozenset[str] = frozenset()


def prefix_hashes(prompt: str) -> tuple[str, ...]:
    """Return the hashes of a prompt's prefixes of whole blocks, shortest first.

    Args:
      prompt: the text; a block is `PREFIX_BLOCK_TOKENS` tokens, each taken as
        `CHARACTERS_PER_TOKEN` characters.
    """
    size = PREFIX_BLOCK_TOKENS * CHARACTERS_PER_TOKEN
    blocks = min(len(prompt) // size, MAXIMUM_PREFIX_BLOCKS)
    digest = hashlib.blake2b(digest_size=HASH_BYTES)
    hashes = []
    for number in range(blocks):
        digest.update(prompt[number * size : (number + 1) * size].encode())
        hashes.append(digest.copy().hexdigest())
    return tuple(hashes)


class _TargetPrefixes:
    """The prefixes presumably cached by one target, least recently added first."""

    def __init__(self) -> None:
        self.boot_id = ""
        self.sequence = 0
        self.is_stale = False
        self.blocks: collections.OrderedDict[str, None] = collections.OrderedDict()


class PrefixIndex:
    """Index of the prefixes that targets cache.

    It is maintained from the targets' cache events and, as those lag, from the
    placements of this entry. A gap in a target's sequence numbers marks its
    prefixes stale: they count for less, and `needs_resync` is true until all
    events have been read again.
    """

    def __init__(self) -> None:
        self._targets: dict[str, _TargetPrefixes] = {}
        self._holders: dict[str, set[str]] = {}

    def cached_tokens(self, target_name: str, prefix: tuple[str, ...]) -> int:
        """Return how many leading tokens of a prompt a target caches."""
        prefixes = self._targets.get(target_name)
        if prefixes is None:
            return 0
        blocks = 0
        for block in prefix:
            if block not in prefixes.blocks:
                break
            blocks += 1
        tokens = blocks * PREFIX_BLOCK_TOKENS
        return int(tokens * STALE_WEIGHT) if prefixes.is_stale else tokens

    def holders(self, prefix: tuple[str, ...]) -> Set[str]:
        """Return the names of the targets that cache the first block of a prompt."""
        return self._holders.get(prefix[0], NO_HOLDERS) if prefix else NO_HOLDERS

    def record_placement(self, target_name: str, prefix: tuple[str, ...]) -> None:
        """Record that a prompt was sent to a target, which will cache it.

        Args:
          target_name: the target.
          prefix: hashes of the prompt's prefixes; at least one.
        """
        prefixes = self._prefixes_of(target_name)
        if prefix[-1] in prefixes.blocks:
            return
        for block in prefix:
            self._add(target_name, prefixes, block)

    def apply(self, target_name: str, events: CacheEvents) -> bool:
        """Apply the events of a poll; those applied before are skipped.

        Returns:
          False if events are missing and a resync is needed.
        """
        prefixes = self._prefixes_of(target_name)
        if events.boot_id != prefixes.boot_id:
            self.clear(target_name)
            prefixes.boot_id = events.boot_id
            prefixes.is_stale = False
            prefixes.sequence = 0
            if events.first_sequence > 1:
                prefixes.sequence = events.first_sequence - 1
        for event in events.events:
            if event.sequence <= prefixes.sequence:
                continue
            if event.sequence != prefixes.sequence + 1:
                prefixes.is_stale = True
            prefixes.sequence = event.sequence
            if event.kind == "stored":
                self._add(target_name, prefixes, event.prefix)
            elif event.kind == "evicted":
                self._remove(target_name, prefixes, event.prefix)
            else:
                self.clear(target_name)
        return not prefixes.is_stale

    def last_sequence(self, target_name: str) -> int:
        """Return the last sequence number applied; 0 if none was."""
        prefixes = self._targets.get(target_name)
        return prefixes.sequence if prefixes else 0

    def needs_resync(self, target_name: str) -> bool:
        """Return whether events of the target are missing."""
        prefixes = self._targets.get(target_name)
        return bool(prefixes and prefixes.is_stale)

    def resync(self, target_name: str, events: CacheEvents) -> None:
        """Rebuild a target's prefixes from all events that it still has."""
        self.clear(target_name)
        prefixes = self._prefixes_of(target_name)
        prefixes.boot_id = events.boot_id
        prefixes.is_stale = False
        for event in events.events:
            if event.kind == "stored":
                self._add(target_name, prefixes, event.prefix)
            elif event.kind == "evicted":
                self._remove(target_name, prefixes, event.prefix)
            else:
                self.clear(target_name)
            prefixes.sequence = event.sequence

    def clear(self, target_name: str) -> None:
        """Remove a target's prefixes."""
        prefixes = self._targets.get(target_name)
        if prefixes is None:
            return
        for block in list(prefixes.blocks):
            self._remove(target_name, prefixes, block)

    def retain(self, target_names: Container[str]) -> None:
        """Drop all other targets, which are no longer configured."""
        for name in [name for name in self._targets if name not in target_names]:
            self.clear(name)
            del self._targets[name]

    def target_names(self) -> Set[str]:
        """Return the names of the targets that the index knows."""
        return self._targets.keys()

    def _prefixes_of(self, target_name: str) -> _TargetPrefixes:
        return self._targets.setdefault(target_name, _TargetPrefixes())

    def _add(self, target_name: str, prefixes: _TargetPrefixes, block: str) -> None:
        prefixes.blocks[block] = None
        prefixes.blocks.move_to_end(block)
        self._holders.setdefault(block, set()).add(target_name)
        if len(prefixes.blocks) > BLOCKS_PER_TARGET:
            self._remove(target_name, prefixes, next(iter(prefixes.blocks)))

    def _remove(self, target_name: str, prefixes: _TargetPrefixes, block: str) -> None:
        if block not in prefixes.blocks:
            return
        del prefixes.blocks[block]
        names = self._holders[block]
        names.discard(target_name)
        if not names:
            del self._holders[block]
