"""Adapters to targets, by protocol.

The adapter registry holds a class for each protocol; `make_adapter` builds the
one that a service names.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

from endivesill import errors
from endivesill.targets.client import TargetClient
from endivesill.timer import TimerService

__all__ = ["ADAPTERS", "TargetAdapter", "adapter", "make_adapter"]

AdapterT = TypeVar("AdapterT", bound="type[TargetAdapter]")

ADAPTERS: dict[str, type[TargetAdapter]] = {}


class TargetAdapter:
    """Base of the adapters.

    Args:
      client: sends requests, shared by all targets.
      timer: the timer service.
    """

    def __init__(self, client: TargetClient, timer: TimerService) -> None:
        self.client = client
        self.timer = timer


def adapter(protocol: str) -> Callable[[AdapterT], AdapterT]:
    """Register an adapter class for a protocol."""

    def register(kind: AdapterT) -> AdapterT:
        ADAPTERS[protocol] = kind
        return kind

    return register


def make_adapter(
    protocol: str, client: TargetClient, timer: TimerService
) -> TargetAdapter:
    """Build the adapter of a protocol.

    Raises:
      EndivesillError: no adapter is registered for it.
    """
    kind = ADAPTERS.get(protocol)
    if kind is None:
        raise errors.EndivesillError(f"no adapter for protocol {protocol!r}")
    return kind(client, timer)
