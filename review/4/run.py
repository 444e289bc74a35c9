"""A copy of an old order ends an evacuation that was acknowledged later.

A control machine freezes. The operator takes a zone back: the order goes to the frozen
machine, gets no response, and is acknowledged by another one. Then the operator
evacuates the zone again. The frozen machine wakes and carries out its copy of the
order to take the zone back.
"""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    ZONES,
    Callers,
    EngineList,
    Fleet,
    Operator,
    PlainEngine,
    Record,
    desired_state,
    main,
    plain_service,
    route,
)

FREEZE_S = 4.0
EVACUATION_S = 5.0
CONTACT_S = 3.0
MAX_STRETCH_S = 5.0
REQUESTS_PER_S = 20.0
ZONE = ZONES[0]


async def play(record: Record, fleet: Fleet, trouble: bool) -> int:
    """Play the case; return its exit status."""
    engine_list = EngineList(record)
    engines = [
        PlainEngine(
            record, f"i-app-{n}", "app", f"{fleet.base}.{100 + n}:8080", ZONES[n % 3]
        )
        for n in range(3)
    ]
    for engine in engines:
        await engine.start()
    engine_list.entries = [engine.entry() for engine in engines]
    await engine_list.start(fleet.cloud)
    fleet.start()
    operator = Operator(record, fleet)
    state = desired_state(1, [route("book", "unsafe", "app")], [plain_service("app")])
    if not await operator.configure(state) or not await fleet.wait_ready():
        return 2
    callers = Callers(record, fleet)
    calling = asyncio.ensure_future(callers.run("/book/1", REQUESTS_PER_S))
    await asyncio.sleep(3.0)

    start, end = f"/Evacuation.Start/{ZONE}", f"/Evacuation.End/{ZONE}"
    leader = await fleet.find_leader()
    if leader is None or not await operator.order(start, b"", fleet.controls):
        return 2
    record.say(f"the evacuation of {ZONE} is acknowledged")
    await asyncio.sleep(EVACUATION_S + 1.0)

    frozen = next(c for c in fleet.controls if c is not leader)
    others = [c for c in fleet.controls if c is not frozen]
    frozen_s = record.now_s()
    if trouble:
        record.say(f"{frozen.name}, which doesn't lead, freezes for {FREEZE_S} s")
        frozen.signal(signal.SIGSTOP)
    # The operator picks among the nodes; the first one is the frozen one.
    if not await operator.order(end, b"", [frozen, *others]):
        return 2
    record.say("the order to take the zone back is acknowledged")
    await asyncio.sleep(0.5)
    if not await operator.order(start, b"", others):
        return 2
    acknowledged_s = record.now_s()
    record.say(f"the second evacuation of {ZONE} is acknowledged")
    await asyncio.sleep(max(0.0, frozen_s + FREEZE_S - record.now_s()))
    if trouble:
        frozen.signal(signal.SIGCONT)
        record.say(f"{frozen.name} wakes")
    # Judged from when all machines are in touch again and every bound has passed.
    judged_s = max(
        record.now_s() + CONTACT_S, acknowledged_s + EVACUATION_S + MAX_STRETCH_S
    )
    await asyncio.sleep(judged_s + 8.0 - record.now_s())
    calling.cancel()
    await asyncio.sleep(2.0)

    in_zone = [e for e in engines if e.zone == ZONE]
    late = [at_s for e in in_zone for at_s, _ in e.run_ids if at_s > judged_s]
    record.say(
        f"requests that reached engines of {ZONE} later than evacuation_ms (and "
        f"max_stretch_ms) after the second evacuation was acknowledged: {len(late)} "
        "(allowed: 0)"
    )
    return 1 if late else 0


main(FOLDER, play, controls=5, entries=3)
