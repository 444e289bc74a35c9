"""Adapters to targets, by protocol.

The adapter registry holds a class for each protocol; `make_adapter` builds the
one that a service names.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

import aiohttp

from endivesill import errors
from endivesill.timer import TimerService

__all__ = ["ADAPTERS", "TargetAdapter", "adapter", "make_adapter"]

AdapterT = TypeVar("AdapterT", bound="type[TargetAdapter]")

ADAPTERS: dict[str, type[TargetAdapter]] = {}

CONNECT_TIMEOUT_S = 1.0


class TargetAdapter:
    """Base of the adapters.

    Args:
      session: the HTTP client session, shared by all targets.
      timer: the timer service.
    """

    def __init__(self, session: aiohttp.ClientSession, timer: TimerService) -> None:
        self.session = session
        self.timer = timer


def adapter(protocol: str) -> Callable[[AdapterT], AdapterT]:
    """Register an adapter class for a protocol."""

    def register(kind: AdapterT) -> AdapterT:
        ADAPTERS[protocol] = kind
        return kind

    return register


def make_adapter(
    protocol: str, session: aiohttp.ClientSession, timer: TimerService
) -> TargetAdapter:
    """Build the adapter of a protocol.

    Raises:
      EndivesillError: no adapter is registered for it.
    """
    kind = ADAPTERS.get(protocol)
    if kind is None:
        raise errors.EndivesillError(f"no adapter for protocol {protocol!r}")
    return kind(session, timer)
