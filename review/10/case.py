"""An open channel from a front to an engine goes silent, while new ones work."""

from __future__ import annotations

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from callers_2 import StreamCaller  # noqa: E402
from deployment_2 import HOST, KEY, PATH, document, wait_ready  # noqa: E402
from engines_2 import Engine  # noqa: E402
from fleet_2 import (  # noqa: E402
    ZONES,
    CannotRunError,
    Fleet,
    Listing,
    Operator,
    Record,
    has_trouble,
    main,
)

STREAMS, TOKENS = 9, 1864
STILL_AT_WORK_S = 0.4
CONTACT_S = 3.0
# Of the channels of one front, not more than this share: the dose of `reset_conns`.
SHARE = 0.5


async def _case(record: Record) -> bool:
    fleet = Fleet(record)
    listing = Listing(record)
    await listing.start(fleet)
    operator = Operator(record, fleet.cores)
    engines = [Engine(fleet, record, "plan-llm", zone, 24) for zone in ZONES]
    for engine in engines:
        engine.peers = {e.address: e for e in engines}
        await engine.start()
    listing.rows = [e.row() for e in engines]
    try:
        await fleet.first_start(cores=5, fronts=3)
        if await operator.replace(document(), 20.0) is None:
            raise CannotRunError("the desired state was not acknowledged")
        await wait_ready(record, fleet)
        await asyncio.sleep(3.0)
        tasks = []
        for number in range(STREAMS):
            caller = StreamCaller(
                record, fleet.fronts()[number % 3], f"{0xA000 + number:016x}", KEY
            )
            run = caller.run(HOST, PATH + "2f", 3079, TOKENS)
            tasks.append(asyncio.ensure_future(run))
            await asyncio.sleep(0.1)
        await asyncio.sleep(2.0)
        if has_trouble():
            front = fleet.fronts()[0]
            open_channels = [
                (engine, channel)
                for engine in engines
                for channel in engine.stream_channels(front.ip)
            ]
            for engine, channel in open_channels[: int(SHARE * len(open_channels))]:
                engine.silence(channel)
        await asyncio.gather(*tasks)
        return _check(record, engines)
    finally:
        fleet.stop()


def _check(record: Record, engines: list[Engine]) -> bool:
    runs = sorted((r for e in engines for r in e.runs), key=lambda r: r.started_s)
    broken = 0
    # A silent channel counts as a reset of the channels of all machines.
    silent_s = max((s for e in engines for s in e.silent.values()), default=0.0)
    for run in runs:
        if not run.resumed_from:
            continue
        for before in runs:
            if before.attempt != run.attempt or before.engine == run.engine:
                continue
            still_s = before.worked_s - run.started_s
            is_in_touch = run.started_s - silent_s >= CONTACT_S
            if before.started_s < run.started_s and still_s > STILL_AT_WORK_S:
                record.note(
                    f"{run.attempt} goes on at {run.engine} "
                    f"{run.started_s - silent_s:.2f} s after the channels went silent; "
                    f"in touch: {is_in_touch}"
                )
                if not is_in_touch:
                    continue
                broken += 1
                record.note(
                    f"TWICE: {run.attempt} goes on at {run.engine} while "
                    f"{before.engine} works on it for {still_s:.2f} s more"
                )
    record.note(f"{len(runs)} runs, {broken} of them while another one went on")
    return broken > 0


if __name__ == "__main__":
    main(_case, FOLDER)
