"""Typed messages of the targets' protocol; docs/TARGETS.md describes it."""

from __future__ import annotations

import attrs

__all__ = ["CacheEvent", "CacheEvents", "GenerationRequest", "LoadReport", "Order"]


@attrs.frozen
class GenerationRequest:
    """One attempt at a generation.

    Attributes:
      path: the OpenAI-style path that the caller used.
      body: the caller's JSON body with `stream` set.
      generation_id: stays the same over all attempts.
      attempt_id: unique to this attempt; the engine echoes it.
      priority: 0 is first.
    """

    path: str
    body: bytes
    generation_id: str
    attempt_id: str
    priority: int


@attrs.frozen
class LoadReport:
    """What an engine says of itself; it lags.

    Attributes:
      boot_id: changes when the engine starts anew and is cold.
      running: requests that are decoded now.
      waiting: requests that wait at the engine.
      memory_tokens: tokens that its memory holds.
      used_tokens: tokens in its memory now.
      preemptions: preemptions since the boot.
      generated_tokens: tokens generated since the boot.
      leaving_in_s: seconds until the engine goes; None if it stays.
      model: the model loaded.
      adapters: the adapters loaded.
      role: `mixed`, `prefill` or `decode`.
    """

    boot_id: str
    running: int = 0
    waiting: int = 0
    memory_tokens: int = 0
    used_tokens: int = 0
    preemptions: int = 0
    generated_tokens: int = 0
    leaving_in_s: float | None = None
    model: str = ""
    adapters: tuple[str, ...] = ()
    role: str = "mixed"


@attrs.frozen
class CacheEvent:
    """A prefix that entered or left an engine's cache.

    Attributes:
      sequence: consecutive from 1 since the boot.
      kind: `stored`, `evicted` or `cleared`.
      prefix: the prefix's hash, as `routing` computes it.
      tokens: the prefix's length.
    """

    sequence: int
    kind: str
    prefix: str
    tokens: int


@attrs.frozen
class CacheEvents:
    """An answer to a poll for cache events.

    Attributes:
      boot_id: the engine's boot.
      first_sequence: the oldest sequence number that the engine still has.
      events: the events after the one asked for.
    """

    boot_id: str
    first_sequence: int
    events: tuple[CacheEvent, ...]


@attrs.frozen
class Order:
    """An order to an engine.

    Attributes:
      order_id: a resent order has the same id and runs once.
      fencing_token: grows with each orderer.
      kind: `load-model`, `load-adapter` or `change-role`.
      subject: the model, adapter or role.
      version: the version to load; empty for a role.
    """

    order_id: str
    fencing_token: int
    kind: str
    subject: str
    version: str = ""
