"""Which target a request goes to: pure decisions on counted loads."""

from __future__ import annotations

import random
from collections.abc import Sequence

from endivesill.fleet.model import Service
from endivesill.forwarding.protocol import RequestInfo
from endivesill.forwarding.targets import ResourceDemand, Target

__all__ = [
    "choose_backup",
    "choose_destination",
    "choose_target",
    "engine_time_s",
    "has_capacity",
    "estimate_demand",
]

# Prompt tokens that an engine reads in a second beside the generations that run
# there; half of what it reads alone.
PREFILL_TOKENS_PER_S = 7_000.0
# Prompts that an engine is given ahead: the last of them has its first event
# within the target latency of today's routes.
MAX_PREFILL_BACKLOG_S = 1.3
# Time between two tokens of a run at an engine with others.
DECODE_S_PER_TOKEN = 0.01
# Share of its output that a generation holds in memory on the mean of its run;
# the runs of an engine are at different points of theirs.
MEAN_OUTPUT_FRACTION = 0.5
# Output expected of a generation without an estimate, as a share of its longest.
DEFAULT_OUTPUT_FRACTION = 0.5
# What one more running request costs the others and itself, in seconds of wait;
# a step of decoding grows by about this much over an answer.
RUNNING_COST_S = 0.01
# The same for a plain target with all its slots in use.
PLAIN_FULL_COST_S = 0.06
# A target elsewhere must be this much better: bytes between data centres cost.
CROSS_DATA_CENTRE_COST_S = 0.03
# Share of an engine's memory that is given out; the rest takes up outputs that
# are longer than expected.
MEMORY_LIMIT_FRACTION = 0.92
# Share up to which backups are made while no request has to wait.
BACKUP_MEMORY_FRACTION = 0.75
# The same while requests have had to wait lately.
CONGESTED_BACKUP_MEMORY_FRACTION = 0.5
# Requests that a plain target may have besides those that it runs at once; its
# own queue holds some, and more only wait there instead of here.
PLAIN_QUEUE_FRACTION = 1.0
# Cost of a nearly full memory, at 1; it grows with the square of the fill.
MEMORY_COST_S = 0.2


def estimate_demand(info: RequestInfo, service: Service) -> ResourceDemand:
    """Return what a request takes at a target of a service."""
    if service.model_engine is None:
        return ResourceDemand()
    max_output_tokens = info.maximum_output_tokens
    expected = (
        info.expected_output_tokens or DEFAULT_OUTPUT_FRACTION * max_output_tokens
    )
    output = min(expected, max_output_tokens) if max_output_tokens else expected
    mean_output_tokens = int(MEAN_OUTPUT_FRACTION * output)
    return ResourceDemand(info.prompt_tokens, info.prompt_tokens + mean_output_tokens)


def engine_time_s(service: Service, demand: ResourceDemand) -> float:
    """Return the time for which a run takes a whole engine's memory.

    Answers the pattern of an overload with short and long generations: memory is
    what is scarce, and a long one holds it many times longer.
    """
    if service.model_engine is None:
        return PLAIN_FULL_COST_S
    output_tokens = (demand.memory_tokens - demand.prompt_tokens) / MEAN_OUTPUT_FRACTION
    run_s = (
        demand.prompt_tokens / PREFILL_TOKENS_PER_S + output_tokens * DECODE_S_PER_TOKEN
    )
    return run_s * demand.memory_tokens / max(1, service.model_engine.capacity_tokens)


def has_capacity(target: Target, service: Service, demand: ResourceDemand) -> bool:
    """Tell whether a target has room for a request now.

    Answers the pattern of more requests than the engines hold: what does not
    fit would wait or be preempted in an engine, where it cannot be placed anew.
    """
    if service.model_engine is None:
        return target.total_requests < (1 + PLAIN_QUEUE_FRACTION) * target.info.slots
    memory = service.model_engine
    if target.total_requests >= memory.slots:
        return False
    prefill_tokens = target.total_prefill_tokens
    if (
        prefill_tokens
        and prefill_tokens + demand.prompt_tokens
        > MAX_PREFILL_BACKLOG_S * PREFILL_TOKENS_PER_S
    ):
        return False
    limit = MEMORY_LIMIT_FRACTION * memory.capacity_tokens
    if target.total_requests == 0 and target.total_reserved_tokens == 0:
        return demand.memory_tokens <= memory.capacity_tokens
    return target.total_reserved_tokens + demand.memory_tokens <= limit


def cost_s(
    target: Target, service: Service, demand: ResourceDemand, data_centre: str
) -> float:
    """Return the expected wait for the first answer, with what else it costs."""
    cost = PLAIN_FULL_COST_S * target.total_requests / max(1, target.info.slots)
    if service.model_engine is not None:
        prefill_tokens = target.total_prefill_tokens + demand.prompt_tokens
        cost = (
            prefill_tokens / PREFILL_TOKENS_PER_S
            + RUNNING_COST_S * target.total_requests
        )
        fill = target.total_reserved_tokens / max(
            1, service.model_engine.capacity_tokens
        )
        cost += MEMORY_COST_S * fill * fill
    if target.info.data_centre != data_centre:
        cost += CROSS_DATA_CENTRE_COST_S
    return cost


def choose_target(
    targets: Sequence[Target],
    service: Service,
    demand: ResourceDemand,
    data_centre: str,
    random_source: random.Random,
) -> Target | None:
    """Return the cheapest target that has room, or None.

    Equal ones are drawn by lot, so that entries with the same reports do not
    all choose the same target.
    """
    best: list[Target] = []
    best_cost_s = float("inf")
    for target in targets:
        if not has_capacity(target, service, demand):
            continue
        cost = cost_s(target, service, demand, data_centre)
        if cost < best_cost_s - 1e-9:
            best, best_cost_s = [target], cost
        elif cost <= best_cost_s + 1e-9:
            best.append(target)
    return random_source.choice(best) if best else None


def choose_backup(
    targets: Sequence[Target],
    service: Service,
    demand: ResourceDemand,
    source: Target,
    *,
    is_congested: bool,
) -> Target | None:
    """Return the target for a copy of a run from its start on, or None.

    Answers the pattern of engines that are taken away on short notice or crash
    while they generate. The engines of a data centre may all leave at once, so
    that another one is better. A backup takes the memory of a run, so that there
    are fewer while requests wait for memory.
    """
    if service.model_engine is None or not service.model_engine.has_backups:
        return None
    memory_fraction = (
        CONGESTED_BACKUP_MEMORY_FRACTION if is_congested else BACKUP_MEMORY_FRACTION
    )
    source_data_centre = source.info.data_centre
    remote = [
        target for target in targets if target.info.data_centre != source_data_centre
    ]
    return _least_reserved(
        remote, service, demand, source, memory_fraction
    ) or _least_reserved(targets, service, demand, source, memory_fraction)


def choose_destination(
    targets: Sequence[Target], service: Service, demand: ResourceDemand, source: Target
) -> Target | None:
    """Return the target that gets a copy of a run without a backup, or None.

    The engine is about to leave, and a copy within its data centre takes half
    the time.
    """
    if service.model_engine is None or not service.model_engine.has_moves:
        return None
    source_data_centre = source.info.data_centre
    local = [
        target for target in targets if target.info.data_centre == source_data_centre
    ]
    return _least_reserved(
        local, service, demand, source, MEMORY_LIMIT_FRACTION
    ) or _least_reserved(targets, service, demand, source, MEMORY_LIMIT_FRACTION)


def _least_reserved(
    targets: Sequence[Target],
    service: Service,
    demand: ResourceDemand,
    source: Target,
    memory_fraction: float,
) -> Target | None:
    """Return the target with the most free memory, or None without room."""
    assert service.model_engine is not None
    limit = (
        memory_fraction * service.model_engine.capacity_tokens - demand.memory_tokens
    )
    eligible = [
        target
        for target in targets
        if target is not source and target.total_reserved_tokens <= limit
    ]
    return min(eligible, key=lambda target: target.total_reserved_tokens, default=None)
