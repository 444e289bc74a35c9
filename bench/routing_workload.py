"""The workload of the routing benchmark.

It mixes two kinds of requests: checks with short prompts and outputs and high
priority, and plans with long ones.
"""

from __future__ import annotations

import math
import random

import attrs

from endivesill.routing.prefixes import PREFIX_BLOCK_TOKENS

__all__ = ["Arrival", "make_arrivals", "mean_output_tokens"]

CHECK_FRACTION = 0.35
CHECK_PRIORITY = 0
PLAN_PRIORITY = 1
TEMPLATE_COUNT = 24
TEMPLATE_BLOCKS = 4
TEMPLATE_FRACTION = 0.75
ORGANISATION_SHARES = (0.35, 0.2, 0.15, 0.08, 0.06, 0.05, 0.04, 0.03, 0.02, 0.02)
MAX_OUTPUT_TOKENS = 8000
MAX_PROMPT_TOKENS = 6000


@attrs.frozen
class Arrival:
    """One request: its arrival time in seconds after the start, and its size."""

    at_s: float
    organisation: int
    priority: int
    prompt_tokens: int
    output_tokens: int
    prefix: tuple[str, ...]


def _draw_plan_output_tokens(rng: random.Random) -> int:
    length = int(rng.lognormvariate(math.log(350), 0.95))
    return max(8, min(MAX_OUTPUT_TOKENS, length))


def _draw_check_output_tokens(rng: random.Random) -> int:
    return rng.randint(4, 32)


def mean_output_tokens() -> float:
    """Return the mean output length, estimated from a sample with a fixed seed."""
    rng = random.Random(5)
    plan_mean_tokens = (
        sum(_draw_plan_output_tokens(rng) for _ in range(20_000)) / 20_000
    )
    return CHECK_FRACTION * 18 + (1 - CHECK_FRACTION) * plan_mean_tokens


def make_arrivals(seed: int, rate_per_s: float, duration_s: float) -> list[Arrival]:
    """Return the arrivals of a run; the same seed gives the same arrivals."""
    rng = random.Random(seed)
    arrivals: list[Arrival] = []
    at_s = 0.0
    while True:
        at_s += rng.expovariate(rate_per_s)
        if at_s >= duration_s:
            return arrivals
        arrivals.append(_draw_arrival(rng, at_s, len(arrivals)))


def _draw_arrival(rng: random.Random, at_s: float, index: int) -> Arrival:
    organisation = rng.choices(range(10), ORGANISATION_SHARES)[0]
    is_check = rng.random() < CHECK_FRACTION
    uses_template = rng.random() < TEMPLATE_FRACTION
    template = min(int(rng.paretovariate(1.0)), TEMPLATE_COUNT)
    if is_check:
        unique_tokens = rng.randint(40, 250)
        output_tokens = _draw_check_output_tokens(rng)
    else:
        unique_tokens = int(rng.lognormvariate(math.log(350), 0.9))
        output_tokens = _draw_plan_output_tokens(rng)
    shared_tokens = TEMPLATE_BLOCKS * PREFIX_BLOCK_TOKENS if uses_template else 0
    prompt_tokens = min(MAX_PROMPT_TOKENS, 16 + unique_tokens + shared_tokens)
    shared = (
        [f"t{template}.{i}" for i in range(TEMPLATE_BLOCKS)] if uses_template else []
    )
    blocks = prompt_tokens // PREFIX_BLOCK_TOKENS
    unique = [f"r{unique_prefix(index)}.{i}" for i in range(len(shared), blocks)]
    return Arrival(
        at_s,
        organisation,
        CHECK_PRIORITY if is_check else PLAN_PRIORITY,
        prompt_tokens,
        output_tokens,
        tuple(shared + unique),
    )


def unique_prefix(index: int) -> str:
    """Return the name of the prefix blocks that only this request has."""
    return format(index, "x")
