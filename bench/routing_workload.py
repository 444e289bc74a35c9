"""The workload of the routing bench: short checks among long plans."""

from __future__ import annotations

import math
import random

import attrs

from endivesill.routing.prefixes import PREFIX_BLOCK_TOKENS

__all__ = ["Arrival", "make_arrivals", "mean_output_tokens"]

CHECK_SHARE = 0.35
CHECK_PRIORITY = 0
PLAN_PRIORITY = 1
TEMPLATES = 24
TEMPLATE_BLOCKS = 4
TEMPLATE_SHARE = 0.75
ORGANISATION_SHARES = (0.35, 0.2, 0.15, 0.08, 0.06, 0.05, 0.04, 0.03, 0.02, 0.02)
LONGEST_OUTPUT_TOKENS = 8000
LONGEST_PROMPT_TOKENS = 6000


@attrs.frozen
class Arrival:
    """One request of the workload."""

    at_s: float
    organisation: int
    priority: int
    prompt_tokens: int
    output_tokens: int
    prefix: tuple[str, ...]


def _plan_output(source: random.Random) -> int:
    length = int(source.lognormvariate(math.log(350), 0.95))
    return max(8, min(LONGEST_OUTPUT_TOKENS, length))


def _check_output(source: random.Random) -> int:
    return source.randint(4, 32)


def mean_output_tokens() -> float:
    """Return the mean output length, from a sample with its own seed."""
    source = random.Random(5)
    plans = sum(_plan_output(source) for _ in range(20_000)) / 20_000
    return CHECK_SHARE * 18 + (1 - CHECK_SHARE) * plans


def make_arrivals(seed: int, rate_per_s: float, duration_s: float) -> list[Arrival]:
    """Return the arrivals of a run, the same for the same seed."""
    source = random.Random(seed)
    arrivals: list[Arrival] = []
    at_s = 0.0
    while True:
        at_s += source.expovariate(rate_per_s)
        if at_s >= duration_s:
            return arrivals
        arrivals.append(_arrival(source, at_s, len(arrivals)))


def _arrival(source: random.Random, at_s: float, number: int) -> Arrival:
    organisation = source.choices(range(10), ORGANISATION_SHARES)[0]
    check = source.random() < CHECK_SHARE
    templated = source.random() < TEMPLATE_SHARE
    template = min(int(source.paretovariate(1.0)), TEMPLATES)
    if check:
        own_tokens = source.randint(40, 250)
        output_tokens = _check_output(source)
    else:
        own_tokens = int(source.lognormvariate(math.log(350), 0.9))
        output_tokens = _plan_output(source)
    shared_tokens = TEMPLATE_BLOCKS * PREFIX_BLOCK_TOKENS if templated else 0
    prompt_tokens = min(LONGEST_PROMPT_TOKENS, 16 + own_tokens + shared_tokens)
    shared = [f"t{template}.{i}" for i in range(TEMPLATE_BLOCKS)] if templated else []
    blocks = prompt_tokens // PREFIX_BLOCK_TOKENS
    own = [f"r{seed_free(number)}.{i}" for i in range(len(shared), blocks)]
    return Arrival(
        at_s,
        organisation,
        CHECK_PRIORITY if check else PLAN_PRIORITY,
        prompt_tokens,
        output_tokens,
        tuple(shared + own),
    )


def seed_free(number: int) -> str:
    """Return a request's part of its prefix names."""
    return format(number, "x")
