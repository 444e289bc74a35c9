"""Prefix hashes of prompts and the index of which target caches which prefix."""

from __future__ import annotations

import collections
import hashlib
from collections.abc import Set

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
STALE_TRUST = 0.5
NO_HOLDERS: frozenset[str] = frozenset()


def prefix_hashes(prompt: str) -> tuple[str, ...]:
    """Return the hashes of a prompt's whole leading blocks, shortest first.

    Args:
      prompt: the prompt's text; a block is `PREFIX_BLOCK_TOKENS` tokens of
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
    """The prefixes that one target is thought to hold, oldest first."""

    def __init__(self) -> None:
        self.boot_id = ""
        self.sequence = 0
        self.stale = False
        self.blocks: collections.OrderedDict[str, None] = collections.OrderedDict()


class PrefixIndex:
    """Which target holds which prefix, from cache events and own placements.

    A gap in a target's sequence numbers marks its part stale: its prefixes count
    for less and `needs_resync` is true until the events have been read again.
    Placements of this entry fill the index before the late events come.
    """

    def __init__(self) -> None:
        self._targets: dict[str, _TargetPrefixes] = {}
        self._holders: dict[str, set[str]] = {}

    def cached_tokens(self, target_name: str, prefix: tuple[str, ...]) -> int:
        """Return how many leading tokens of a prompt a target holds."""
        part = self._targets.get(target_name)
        if part is None:
            return 0
        blocks = 0
        for block in prefix:
            if block not in part.blocks:
                break
            blocks += 1
        tokens = blocks * PREFIX_BLOCK_TOKENS
        return int(tokens * STALE_TRUST) if part.stale else tokens

    def holders(self, prefix: tuple[str, ...]) -> Set[str]:
        """Return the targets that hold the first block of a prompt at least."""
        return self._holders.get(prefix[0], NO_HOLDERS) if prefix else NO_HOLDERS

    def place(self, target_name: str, prefix: tuple[str, ...]) -> None:
        """Note that a prompt was sent to a target, which will cache it.

        Args:
          target_name: the target.
          prefix: the hashes of the prompt's prefixes; one at least.
        """
        part = self._part(target_name)
        if prefix[-1] in part.blocks:
            return
        for block in prefix:
            self._add(target_name, part, block)

    def apply(self, target_name: str, events: CacheEvents) -> bool:
        """Apply a poll's events.

        Returns:
          Whether the part is whole; False after a gap.
        """
        part = self._part(target_name)
        if events.boot_id != part.boot_id:
            self.clear(target_name)
            part.boot_id = events.boot_id
            part.sequence = 0
            if events.first_sequence > 1:
                part.sequence = events.first_sequence - 1
        for event in events.events:
            if event.sequence <= part.sequence:
                continue
            if event.sequence != part.sequence + 1:
                part.stale = True
            part.sequence = event.sequence
            if event.kind == "stored":
                self._add(target_name, part, event.prefix)
            elif event.kind == "evicted":
                self._remove(target_name, part, event.prefix)
            else:
                self.clear(target_name)
        return not part.stale

    def position(self, target_name: str) -> int:
        """Return the last sequence number that was applied."""
        part = self._targets.get(target_name)
        return part.sequence if part else 0

    def needs_resync(self, target_name: str) -> bool:
        """Tell whether events of the target were lost."""
        part = self._targets.get(target_name)
        return bool(part and part.stale)

    def resync(self, target_name: str, events: CacheEvents) -> None:
        """Rebuild a target's part from all events that it still has."""
        self.clear(target_name)
        part = self._part(target_name)
        part.boot_id = events.boot_id
        part.stale = False
        for event in events.events:
            if event.kind == "stored":
                self._add(target_name, part, event.prefix)
            elif event.kind == "evicted":
                self._remove(target_name, part, event.prefix)
            else:
                self.clear(target_name)
            part.sequence = event.sequence

    def clear(self, target_name: str) -> None:
        """Forget a target's prefixes."""
        part = self._targets.get(target_name)
        if part is None:
            return
        for block in list(part.blocks):
            self._remove(target_name, part, block)

    def forget(self, target_name: str) -> None:
        """Drop a target that is no longer configured."""
        self.clear(target_name)
        self._targets.pop(target_name, None)

    def _part(self, target_name: str) -> _TargetPrefixes:
        return self._targets.setdefault(target_name, _TargetPrefixes())

    def _add(self, target_name: str, part: _TargetPrefixes, block: str) -> None:
        part.blocks[block] = None
        part.blocks.move_to_end(block)
        self._holders.setdefault(block, set()).add(target_name)
        if len(part.blocks) > BLOCKS_PER_TARGET:
            self._remove(target_name, part, next(iter(part.blocks)))

    def _remove(self, target_name: str, part: _TargetPrefixes, block: str) -> None:
        if block not in part.blocks:
            return
        del part.blocks[block]
        names = self._holders[block]
        names.discard(target_name)
        if not names:
            del self._holders[block]
