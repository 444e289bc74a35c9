"""Data classes of the simulated engines: specification, sequences and steps."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

import attrs

__all__ = ["EngineSpec", "Sequence", "StepRecord"]


@attrs.frozen
class EngineSpec:
    """Performance and limits of a simulated engine.

    Attributes:
      step_base_s: duration of an empty step.
      step_s_per_sequence: added by each decoding sequence.
      prefill_s_per_token: added by each token of prefill.
      chunk_tokens: token budget of a step, of decoding and prefill together.
      memory_tokens: size of the KV memory.
      cache_tokens: size of the prefix cache.
      max_batch: most sequences in the batch.
      report_lag_s: delay of load reports and cache events.
      cache_event_loss: fraction of the cache events that are lost.
      warm_after: completed sequences after which a cold engine is warm.
      cold_slots: sequences that a cold engine runs without a slowdown.
    """

    step_base_s: float = 0.008
    step_s_per_sequence: float = 0.0003
    prefill_s_per_token: float = 0.00006
    chunk_tokens: int = 2048
    memory_tokens: int = 60_000
    cache_tokens: int = 12_288
    max_batch: int = 256
    report_lag_s: float = 1.0
    cache_event_loss: float = 0.02
    warm_after: int = 24
    cold_slots: int = 4


@attrs.define(eq=False)
class Sequence:
    """One generation at a simulated engine.

    Attributes:
      prompt_tokens: length of the prompt.
      output_tokens: length of the output when complete.
      prefix: hashes of the prompt's blocks, for the prefix cache.
      priority: 0 is the most urgent.
      on_token: called with the time of each token.
      on_end: called once, with whether the generation is complete.
      generated_tokens: output tokens so far.
      prefill_tokens: tokens that remain to be prefilled.
      order: position in the order of submission.
      started_cold: whether it was submitted while the engine was cold.
    """

    prompt_tokens: int
    output_tokens: int
    prefix: tuple[str, ...]
    priority: int
    on_token: Callable[[float], None]
    on_end: Callable[[bool], None]
    generated_tokens: int = 0
    prefill_tokens: int = 0
    order: int = 0
    started_cold: bool = False

    @property
    def held_tokens(self) -> int:
        """Tokens that it takes in the engine's memory."""
        return self.prompt_tokens + self.generated_tokens


class StepRecord(NamedTuple):
    """One step: its duration, decoded and prefilled tokens, and prefilled prompts."""

    step_s: float
    decoded: int
    prefilled_tokens: int
    prompts: int
