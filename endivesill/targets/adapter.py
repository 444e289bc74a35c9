"""Registry of the target adapters by protocol.

`adapter` registers a class for a protocol; `make_adapter` creates an instance.
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
      client: sends the requests to all targets.
      timer: the timer service.
    """

    def __init__(self, client: TargetClient, timer: TimerService) -> None:
        self.client = client
        self.timer = timer


def adapter(protocol: str) -> Callable[[AdapterT], AdapterT]:
    """Register an adapter class for a protocol."""

    def register(adapter_class: AdapterT) -> AdapterT:
        ADAPTERS[protocol] = adapter_class
        return adapter_class

    return register


def make_adapter(
    protocol: str, client: TargetClient, timer: TimerService
) -> TargetAdapter:
    """Create the adapter of a protocol.

    Raises:
      EndivesillError: no adapter is registered for the protocol.
    """
    adapter_class = ADAPTERS.get(protocol)
    if adapter_class is None:
        raise errors.EndivesillError(f"no adapter for protocol {protocol!r}")
    return adapter_class(client, timer)
