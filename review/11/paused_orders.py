"""A channel to an engine goes silent while the engine has no room for more."""

from __future__ import annotations

import asyncio
import sys
import time

from deployment_3 import (
    Deployment,
    desired_state,
    has_trouble,
    route,
    run_case,
)
from standins_3 import Engine, Request

PLAN, TRIAGE = (3_000, 1_000), (2_200, 12)
ROUTES = [
    route("week-plan", "streaming", "huvo11a", 39_000, 1_800, 1),
    route("hoof-triage", "streaming", "huvo11a", 6_000, 1_500, 0),
]
STREAMS, ROUNDS = 6, 2
# `contact_ms`, and the time for which two engines may work on a run.
CONTACT_S, OVERLAP_S = 3.0, 0.4
TRIAGE_PERIOD_S = 0.1
# How often it waits for 0.1 s until a request comes to the engine that has no room.
REFUSED_WAITS = 60


async def play(deployment: Deployment) -> int:
    """Send the streams; return 1 if the rule was broken."""
    await deployment.start(desired_state(ROUTES))
    started: dict[str, list[Engine]] = {}
    silent: dict[str, tuple[Engine, float]] = {}
    broken = 0

    async def check(attempt_id: str, engine: Engine) -> None:
        nonlocal broken
        before, since_s = silent[attempt_id]
        silent_s = time.monotonic() - since_s
        await asyncio.sleep(OVERLAP_S)
        both = attempt_id in before.running and attempt_id in engine.running
        deployment.record(
            f"{attempt_id} goes on at {engine.identity} {silent_s:.3f} s after the"
            f" channel went silent; {before.identity} works on it"
            f" {OVERLAP_S} s later: {both}"
        )
        if both and silent_s >= CONTACT_S:
            deployment.record("broken: TWICE")
            broken += 1

    checks = []

    def note_run(engine: Engine, request: Request) -> None:
        attempt_id = request.headers["x-endivesill-request-attempt-id"]
        started.setdefault(attempt_id, []).append(engine)
        if attempt_id in silent:
            checks.append(asyncio.ensure_future(check(attempt_id, engine)))

    deployment.on_run = note_run
    for _ in range(ROUNDS):
        started.clear()
        plans = [
            asyncio.ensure_future(
                deployment.ask("week-plan", tokens=PLAN, remaining_ms=20_000)
            )
            for _ in range(STREAMS)
        ]
        await asyncio.sleep(1.5)
        attempt_id, (engine, *_) = next(iter(started.items()))
        engine.is_full = True
        engine.refused = 0
        deployment.record(f"{engine.identity} is full")
        asking = asyncio.ensure_future(ask_often(deployment))
        for _ in range(REFUSED_WAITS):
            if engine.refused:
                break
            await asyncio.sleep(0.1)
        if has_trouble():
            now_s = time.monotonic()
            silent[attempt_id] = (engine, now_s)
            engine.silent_since_s[attempt_id] = now_s
            deployment.record(f"the channel of {attempt_id} goes silent")
        await asyncio.gather(*plans)
        asking.cancel()
        engine.is_full = False
        await asyncio.sleep(6.0)
    await asyncio.gather(*checks)
    deployment.record(f"{broken} runs at two engines")
    return 1 if broken else 0


async def ask_often(deployment: Deployment) -> None:
    """Send short requests until cancelled."""
    running = []
    try:
        while True:
            running.append(
                asyncio.ensure_future(deployment.ask("hoof-triage", tokens=TRIAGE))
            )
            await asyncio.sleep(TRIAGE_PERIOD_S)
    finally:
        for task in running:
            task.cancel()


if __name__ == "__main__":
    sys.exit(run_case(__file__, play, fronts=2))
