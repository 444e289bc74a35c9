"""Roles of a fleet's processes, and the options with which they are started."""

from __future__ import annotations

from collections.abc import Sequence

import attrs

__all__ = ["EVEN_LOAD", "USAGE", "Role", "parse_role"]

# Plain targets are chosen by how old their loads are; docs/design/even-load.md.
EVEN_LOAD = "--even-load"
OPTIONS: dict[str, tuple[str, ...]] = {"entry": (EVEN_LOAD,), "control": ()}
USAGE = f"entry [{EVEN_LOAD}] | control"


@attrs.frozen
class Role:
    """What a process is started as.

    Attributes:
      name: `entry` or `control`.
      options: its options.
    """

    name: str
    options: tuple[str, ...]


def parse_role(arguments: Sequence[str]) -> Role | None:
    """Return the role of a command line; None if it names none or a wrong option."""
    name, *options = [*arguments] or [""]
    if name not in OPTIONS or not set(options) <= set(OPTIONS[name]):
        return None
    return Role(name, tuple(options))
