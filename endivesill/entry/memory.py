"""Garbage collector tuning for streaming processes."""

from __future__ import annotations

import gc

__all__ = ["freeze_start_up_objects"]


def freeze_start_up_objects() -> None:
    """Exempt the objects created at startup from garbage collection.

    Otherwise each full collection visits all modules and classes and pauses every
    stream for tens of milliseconds. Call it once, after all services have started.
    """
    gc.collect()
    gc.freeze()
