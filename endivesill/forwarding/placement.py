"""Which target a request goes to: pure decisions on counted loads."""

from __future__ import annotations

import random
from collections.abc import Sequence

from endivesill.fleet.model import Service
from endivesill.forwarding.protocol import RequestInfo
from endivesill.forwarding.targets import Need, Target

__all__ = [
    "choose_backup",
    "choose_destination",
    "choose_target",
    "engine_time_s",
    "fits",
    "need_of",
]

# Prompt tokens that an engine reads in a second beside the generations that run
# there; half of what it reads alone.
READ_TOKENS_PER_S = 7_000.0
# Prompts that an engine is given ahead: the last of them has its first event
# within the target latency of today's routes.
READ_AHEAD_S = 1.3
# Time between two tokens of a run at an engine with others.
TOKEN_S = 0.01
# Share of its output that a generation holds in memory on the mean of its run;
# the runs of an engine are at different points of theirs.
MEAN_FILL = 0.5
# Output expected of a generation without an estimate, as a share of its longest.
OUTPUT_SHARE = 0.5
# What one more running request costs the others and itself, in seconds of wait;
# a step of decoding grows by about this much over an answer.
RUNNING_COST_S = 0.01
# The same for a plain target with all its slots in use.
PLAIN_FULL_COST_S = 0.06
# A target elsewhere must be this much better: bytes between data centres cost.
DISTANCE_COST_S = 0.03
# Share of an engine's memory that is given out; the rest takes up outputs that
# are longer than expected.
MEMORY_SHARE = 0.92
# Share up to which backups are made while no request has to wait.
BACKUP_SHARE = 0.75
# The same while requests have had to wait lately.
BUSY_BACKUP_SHARE = 0.5
# Requests that a plain target may have besides those that it runs at once; its
# own queue holds some, and more only wait there instead of here.
PLAIN_QUEUE_SHARE = 1.0
# Cost of a nearly full memory, at 1; it grows with the square of the fill.
MEMORY_COST_S = 0.2


def need_of(info: RequestInfo, service: Service) -> Need:
    """Return what a request takes at a target of a service."""
    if service.memory is None:
        return Need()
    longest = info.maximum_output_tokens
    expected = info.expected_output_tokens or OUTPUT_SHARE * longest
    output = min(expected, longest) if longest else expected
    held = int(MEAN_FILL * output)
    return Need(info.prompt_tokens, info.prompt_tokens + held)


def engine_time_s(service: Service, need: Need) -> float:
    """Return the time for which a run takes a whole engine's memory.

    Answers the pattern of an overload with short and long generations: memory is
    what is scarce, and a long one holds it many times longer.
    """
    if service.memory is None:
        return PLAIN_FULL_COST_S
    output_tokens = (need.memory_tokens - need.prompt_tokens) / MEAN_FILL
    run_s = need.prompt_tokens / READ_TOKENS_PER_S + output_tokens * TOKEN_S
    return run_s * need.memory_tokens / max(1, service.memory.capacity_tokens)


def fits(target: Target, service: Service, need: Need) -> bool:
    """Tell whether a target has room for a request now.

    Answers the pattern of more requests than the engines hold: what does not
    fit would wait or be preempted in an engine, where it cannot be placed anew.
    """
    if service.memory is None:
        return target.all_requests < (1 + PLAIN_QUEUE_SHARE) * target.info.slots
    memory = service.memory
    if target.all_requests >= memory.slots:
        return False
    unread = target.all_unread_tokens
    if unread and unread + need.prompt_tokens > READ_AHEAD_S * READ_TOKENS_PER_S:
        return False
    limit = MEMORY_SHARE * memory.capacity_tokens
    if target.all_requests == 0 and target.all_reserved_tokens == 0:
        return need.memory_tokens <= memory.capacity_tokens
    return target.all_reserved_tokens + need.memory_tokens <= limit


def cost_s(target: Target, service: Service, need: Need, data_centre: str) -> float:
    """Return the expected wait for the first answer, with what else it costs."""
    cost = PLAIN_FULL_COST_S * target.all_requests / max(1, target.info.slots)
    if service.memory is not None:
        unread = target.all_unread_tokens + need.prompt_tokens
        cost = unread / READ_TOKENS_PER_S + RUNNING_COST_S * target.all_requests
        fill = target.all_reserved_tokens / max(1, service.memory.capacity_tokens)
        cost += MEMORY_COST_S * fill * fill
    if target.info.data_centre != data_centre:
        cost += DISTANCE_COST_S
    return cost


def choose_target(
    targets: Sequence[Target],
    service: Service,
    need: Need,
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
        if not fits(target, service, need):
            continue
        cost = cost_s(target, service, need, data_centre)
        if cost < best_cost_s - 1e-9:
            best, best_cost_s = [target], cost
        elif cost <= best_cost_s + 1e-9:
            best.append(target)
    return random_source.choice(best) if best else None


def choose_backup(
    targets: Sequence[Target],
    service: Service,
    need: Need,
    holder: Target,
    *,
    is_busy: bool,
) -> Target | None:
    """Return the target for a copy of a run from its start on, or None.

    Answers the pattern of engines that are taken away on short notice or crash
    while they generate. The engines of a data centre may all leave at once, so
    that another one is better. A backup takes the memory of a run, so that there
    are fewer while requests wait for memory.
    """
    if service.memory is None or not service.memory.has_backups:
        return None
    share = BUSY_BACKUP_SHARE if is_busy else BACKUP_SHARE
    here = holder.info.data_centre
    elsewhere = [target for target in targets if target.info.data_centre != here]
    return _roomiest(elsewhere, service, need, holder, share) or _roomiest(
        targets, service, need, holder, share
    )


def choose_destination(
    targets: Sequence[Target], service: Service, need: Need, holder: Target
) -> Target | None:
    """Return the target that gets a copy of a run without a backup, or None.

    The engine is about to leave, and a copy within its data centre takes half
    the time.
    """
    if service.memory is None or not service.memory.has_moves:
        return None
    here = holder.info.data_centre
    near = [target for target in targets if target.info.data_centre == here]
    return _roomiest(near, service, need, holder, MEMORY_SHARE) or _roomiest(
        targets, service, need, holder, MEMORY_SHARE
    )


def _roomiest(
    targets: Sequence[Target],
    service: Service,
    need: Need,
    holder: Target,
    share: float,
) -> Target | None:
    """Return the target with the most free memory, or None without room."""
    assert service.memory is not None
    limit = share * service.memory.capacity_tokens - need.memory_tokens
    roomy = [
        target
        for target in targets
        if target is not holder and target.all_reserved_tokens <= limit
    ]
    return min(roomy, key=lambda target: target.all_reserved_tokens, default=None)
