"""The data of the fake engines: what they are, run and record."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

import attrs

__all__ = ["EngineSpec", "Sequence", "StepRecord"]


@attrs.frozen
class EngineSpec:
    """What a fake engine is able to do.

    Attributes:
      cold_answers: answers after which a cold engine is warm.
      cold_bears: sequences that a cold engine decodes without slowing down.
    """

    step_base_s: float = 0.008
    step_sequence_s: float = 0.0003
    prefill_token_s: float = 0.00006
    chunk_tokens: int = 2048
    memory_tokens: int = 60_000
    cache_tokens: int = 12_288
    maximum_batch: int = 256
    report_lag_s: float = 1.0
    cache_event_loss: float = 0.02
    cold_answers: int = 24
    cold_bears: int = 4


@attrs.define(eq=False)
class Sequence:
    """One generation at a fake engine.

    Attributes:
      on_token: called with each token's time.
      on_end: called once, with whether the generation is whole.
    """

    prompt_tokens: int
    output_tokens: int
    prefix: tuple[str, ...]
    priority: int
    on_token: Callable[[float], None]
    on_end: Callable[[bool], None]
    produced: int = 0
    to_prefill: int = 0
    order: int = 0
    started_cold: bool = False

    @property
    def held_tokens(self) -> int:
        """Tokens in the engine's memory."""
        return self.prompt_tokens + self.produced


class StepRecord(NamedTuple):
    """One step: how long it took and what it did."""

    step_s: float
    decoded: int
    prefilled_tokens: int
    prompts: int
