"""Memory management of a process that streams."""

from __future__ import annotations

import gc

__all__ = ["freeze_start_up_objects"]


def freeze_start_up_objects() -> None:
    """Take the objects of the start out of the garbage collector's passes.

    A full pass visits all modules and classes, and stops every stream for tens of
    milliseconds. Called once, after all services have started.
    """
    gc.collect()
    gc.freeze()
