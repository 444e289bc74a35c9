"""Messages of the target protocol, described in docs/TARGETS.md."""

from __future__ import annotations

import attrs

__all__ = ["CacheEvent", "CacheEvents", "GenerationRequest", "LoadReport", "Order"]


@attrs.frozen
class GenerationRequest:
    """One attempt at a generation.

    Attributes:
      path: the OpenAI-style path of the caller's request.
      body: the caller's JSON body with `stream` set.
      generation_id: the same for all attempts.
      attempt_id: unique to this attempt; the engine echoes it.
      priority: 0 is the highest.
    """

    path: str
    body: bytes
    generation_id: str
    attempt_id: str
    priority: int


@attrs.frozen
class LoadReport:
    """State of an engine as it reports it, with some delay.

    Attributes:
      boot_id: changes when the engine restarts, after which it is cold.
      running: requests being decoded.
      waiting: requests queued at the engine.
      memory_tokens: capacity of its KV cache in tokens.
      used_tokens: tokens in its KV cache.
      preemptions: preemptions since the boot.
      generated_tokens: tokens generated since the boot.
      leaving_in_s: seconds until the engine shuts down; None if it stays.
      model: the loaded model.
      adapters: the loaded adapters.
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
    """A change of an engine's prefix cache.

    Attributes:
      sequence: consecutive number, from 1 at the boot.
      kind: `stored`, `evicted` or `cleared`.
      prefix: hash of the prefix, as computed by `routing.prefix_hashes`.
      tokens: length of the prefix.
    """

    sequence: int
    kind: str
    prefix: str
    tokens: int


@attrs.frozen
class CacheEvents:
    """The response to a request for cache events.

    Attributes:
      boot_id: the engine's boot id.
      first_sequence: the oldest sequence number that the engine still has.
      events: the events after the requested sequence number.
    """

    boot_id: str
    first_sequence: int
    events: tuple[CacheEvent, ...]


@attrs.frozen
class Order:
    """An order to an engine.

    Attributes:
      order_id: a resent order keeps its id and is executed only once.
      fencing_token: increases with each new orderer.
      kind: `load-model`, `load-adapter` or `change-role`.
      subject: the model, adapter or role.
      version: the version to load; empty for a role.
    """

    order_id: str
    fencing_token: int
    kind: str
    subject: str
    version: str = ""
