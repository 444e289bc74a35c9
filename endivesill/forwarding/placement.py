"""Target selection from reserved and reported load, without side effects."""

from __future__ import annotations

import random
from collections.abc import Sequence

from endivesill.fleet.model import Service
from endivesill.forwarding.protocol import RequestInfo
from endivesill.forwarding.targets import ResourceDemand, Target

__all__ = [
    "MEAN_OUTPUT_FRACTION",
    "PLAIN_FULL_COST_S",
    "capacity_problem",
    "choose_backup",
    "choose_destination",
    "choose_target",
    "cost_terms",
    "engine_time_s",
    "has_capacity",
    "max_requests",
    "estimate_demand",
    "plain_cost_s",
    "run_time_s",
]

# Prefill throughput of an engine that also decodes other generations; half of its
# throughput when idle.
PREFILL_TOKENS_PER_S = 7_000.0
# Prefill work queued at one engine. The last prompt of a longer backlog would miss the
# target latency of the route.
MAX_PREFILL_BACKLOG_S = 1.3
# Time per output token at an engine that runs several generations.
DECODE_S_PER_TOKEN = 0.01
# Fraction of its final output that a generation holds in the KV cache, averaged over
# its run. The generations of an engine are at different points of their runs.
MEAN_OUTPUT_FRACTION = 0.5
# Expected output without an estimate by the caller, as a fraction of the longest.
DEFAULT_OUTPUT_FRACTION = 0.5
# Cost of each request that already runs at an engine, as extra wait: every further
# request lengthens the decode steps by about this much over a whole generation.
RUNNING_COST_S = 0.01
# Cost of a plain target whose slots are all in use; proportional to its requests.
PLAIN_FULL_COST_S = 0.06
# Penalty for a target in another data centre, since traffic between data centres is
# charged for.
CROSS_DATA_CENTRE_COST_S = 0.03
# Fraction of the KV cache that is reserved at most; the rest absorbs outputs longer
# than estimated.
MEMORY_LIMIT_FRACTION = 0.92
# KV cache fill up to which backups are placed while no request is queued.
BACKUP_MEMORY_FRACTION = 0.75
# The same while requests have been queued recently.
CONGESTED_BACKUP_MEMORY_FRACTION = 0.5
# Requests sent to a plain target beyond its slots, as a fraction of them. The target
# queues a few itself; any more wait here, where another target can take them.
PLAIN_QUEUE_FRACTION = 1.0
# Cost of a pause that is too long: more than any wait that leaves the start of the
# response in time, so that it only comes where no other target has room.
LATE_PAUSE_COST_S = 3.0
# Cost of a prompt for each request that runs at an engine whose streams do not bear one
# in a spell: about the probability that a spell comes while the prompt is read, times
# the cost of a pause that is too long.
HARM_COST_S = 0.5
# Cost of a prompt at an engine whose streams pause for longer than usual: more than any
# difference between engines with room, so that it only goes there if no other has any.
STRAIN_COST_S = 2.0
# Cost of a full KV cache; it grows with the square of the fill.
MEMORY_COST_S = 0.2


def estimate_demand(
    info: RequestInfo, service: Service, pause_limit_s: float = 0.0
) -> ResourceDemand:
    """Return the resources that a request is expected to take at a target."""
    if service.model_engine is None:
        return ResourceDemand()
    max_output_tokens = info.maximum_output_tokens
    expected = (
        info.expected_output_tokens or DEFAULT_OUTPUT_FRACTION * max_output_tokens
    )
    output = min(expected, max_output_tokens) if max_output_tokens else expected
    mean_output_tokens = int(MEAN_OUTPUT_FRACTION * output)
    return ResourceDemand(
        info.prompt_tokens, info.prompt_tokens + mean_output_tokens, pause_limit_s
    )


def engine_time_s(service: Service, demand: ResourceDemand) -> float:
    """Return the engine time of a request, in seconds of one engine's whole KV cache.

    The KV cache is the scarce resource when short and long generations overload the
    engines, and a long generation holds its part many times longer.
    """
    if service.model_engine is None:
        return PLAIN_FULL_COST_S
    capacity_tokens = max(1, service.model_engine.capacity_tokens)
    return run_time_s(demand) * demand.memory_tokens / capacity_tokens


def run_time_s(demand: ResourceDemand) -> float:
    """Return how long a generation is expected to run."""
    decode_s = output_tokens(demand) * DECODE_S_PER_TOKEN
    return demand.prompt_tokens / PREFILL_TOKENS_PER_S + decode_s


def output_tokens(demand: ResourceDemand) -> float:
    """Return the expected output of a generation."""
    return (demand.memory_tokens - demand.prompt_tokens) / MEAN_OUTPUT_FRACTION


def max_requests(target: Target) -> float:
    """Return how many requests a plain target runs and queues at most."""
    return (1 + PLAIN_QUEUE_FRACTION) * target.info.slots


def has_capacity(target: Target, service: Service, demand: ResourceDemand) -> bool:
    """Return whether a target can take a request now."""
    return not capacity_problem(target, service, demand, target.total_requests)


def capacity_problem(
    target: Target, service: Service, demand: ResourceDemand, requests: float
) -> str:
    """Return why a target can take no request now; empty if it can.

    Requests beyond an engine's capacity would be queued or preempted by the engine,
    where they can no longer be placed elsewhere.

    Args:
      target: the target.
      service: its service.
      demand: the resources that the request takes.
      requests: requests that run there.
    """
    if service.model_engine is None:
        return "" if requests < max_requests(target) else "its slots and queue are full"
    spec = service.model_engine
    if requests >= spec.slots:
        return "its slots are full"
    prefill_tokens = target.total_prefill_tokens
    if (
        prefill_tokens
        and prefill_tokens + demand.prompt_tokens
        > MAX_PREFILL_BACKLOG_S * PREFILL_TOKENS_PER_S
    ):
        return "too many prompts wait there"
    limit = MEMORY_LIMIT_FRACTION * spec.capacity_tokens
    if requests == 0 and target.total_reserved_tokens == 0:
        limit = spec.capacity_tokens
    if target.total_reserved_tokens + demand.memory_tokens > limit:
        return "its memory is reserved"
    return ""


def cost_s(
    target: Target, service: Service, demand: ResourceDemand, data_centre: str
) -> float:
    """Return the cost of placing a request at a target, in seconds.

    It is the expected time to the first byte, with penalties for load and distance.
    """
    terms = cost_terms(target, service, demand, data_centre, target.total_requests)
    return sum(terms.values())


def cost_terms(
    target: Target,
    service: Service,
    demand: ResourceDemand,
    data_centre: str,
    requests: float,
) -> dict[str, float]:
    """Return the parts of the cost of a target with some requests, in seconds."""
    distance_s = distance_cost_s(target, data_centre)
    if service.model_engine is None:
        cost_s = plain_cost_s(target, requests, data_centre)
        return {"load": cost_s - distance_s, "distance": distance_s}
    prefill_tokens = target.total_prefill_tokens + demand.prompt_tokens
    fill = target.total_reserved_tokens / max(1, service.model_engine.capacity_tokens)
    terms = {
        "prompts": prefill_tokens / PREFILL_TOKENS_PER_S,
        "running": RUNNING_COST_S * requests,
        "memory": MEMORY_COST_S * fill * fill,
        "distance": distance_s,
    }
    if target.is_strained:
        terms["strain"] = STRAIN_COST_S
    if target.pauses is not None and demand.pause_limit_s > 0:
        events = output_tokens(demand) / max(1, service.model_engine.event_tokens)
        late = target.pauses.late_fraction(demand.pause_limit_s)
        pauses = max(0.0, events - 1.0)
        terms["late pauses"] = LATE_PAUSE_COST_S * (1.0 - (1.0 - late) ** pauses)
        if late and target.pauses.is_slow:
            terms["harm to streams"] = HARM_COST_S * requests
    return terms


def plain_cost_s(target: Target, requests: float, data_centre: str) -> float:
    """Return the cost of a plain target with some requests in flight, in seconds."""
    cost = PLAIN_FULL_COST_S * requests / max(1, target.info.slots)
    return cost + distance_cost_s(target, data_centre)


def distance_cost_s(target: Target, data_centre: str) -> float:
    """Return the cost of the way to a target from a data centre, in seconds."""
    return CROSS_DATA_CENTRE_COST_S if target.info.data_centre != data_centre else 0.0


def choose_target(
    targets: Sequence[Target],
    service: Service,
    demand: ResourceDemand,
    data_centre: str,
    random_source: random.Random,
) -> Target | None:
    """Return the target of least cost that has capacity, or None.

    Ties are broken at random, so that entries with the same reports do not all choose
    the same target.
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
    """Return the target that receives a live copy of a run's KV cache, or None.

    The copy lets the run resume after its engine has crashed or been taken away at
    short notice. A target in another data centre is preferred, since all engines of one
    data centre may leave together. A copy takes as much KV cache as the run, so fewer
    are placed while requests are queued.
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
        remote, service, demand, source, memory_fraction, slow_first=True
    ) or _least_reserved(
        targets, service, demand, source, memory_fraction, slow_first=True
    )


def choose_destination(
    targets: Sequence[Target], service: Service, demand: ResourceDemand, source: Target
) -> Target | None:
    """Return the target for a copy of a run that has no backup, or None.

    Used for runs of an engine that is about to leave. A target in the same data centre
    is preferred, since the copy takes half the time there.
    """
    if service.model_engine is None or not service.model_engine.has_moves:
        return None
    source_data_centre = source.info.data_centre
    local = [
        target for target in targets if target.info.data_centre == source_data_centre
    ]
    return _least_reserved(
        local, service, demand, source, MEMORY_LIMIT_FRACTION, slow_first=False
    ) or _least_reserved(
        targets, service, demand, source, MEMORY_LIMIT_FRACTION, slow_first=False
    )


def _least_reserved(
    targets: Sequence[Target],
    service: Service,
    demand: ResourceDemand,
    source: Target,
    memory_fraction: float,
    *,
    slow_first: bool,
) -> Target | None:
    """Return the target with the least reserved KV cache, or None if none has room.

    With `slow_first`, those come first whose streams are late sooner than others'.
    """
    assert service.model_engine is not None
    limit = (
        memory_fraction * service.model_engine.capacity_tokens - demand.memory_tokens
    )
    eligible = [
        target
        for target in targets
        if target is not source and target.total_reserved_tokens <= limit
    ]
    return min(
        eligible,
        key=lambda target: (
            slow_first and not _is_slow(target),
            target.total_reserved_tokens,
        ),
        default=None,
    )


def _is_slow(target: Target) -> bool:
    return target.pauses is not None and target.pauses.is_slow
