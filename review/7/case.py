"""An engine that is about to stop, and does not drop requests whose channel closes."""

from __future__ import annotations

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from lib2.callers import StreamCaller  # noqa: E402
from lib2.deployment import HOST, KEY, PATH, document, wait_ready  # noqa: E402
from lib2.engines import Engine  # noqa: E402
from lib2.harness import (  # noqa: E402
    ZONES,
    CannotRunError,
    Fleet,
    Listing,
    Operator,
    Record,
    has_trouble,
    main,
)

# Short streams come first. While they run, there is no room for backups of the last
# long ones.
SHORT_STREAMS, SHORT_TOKENS = 6, 480
LONG_STREAMS, LONG_TOKENS = 10, 1864
STILL_AT_WORK_S = 0.4
# It continues to serve for `drain_ms` and a little longer.
NOTICE_S = 3.5


async def _case(record: Record) -> bool:
    fleet = Fleet(record)
    listing = Listing(record)
    await listing.start(fleet)
    operator = Operator(record, fleet.cores)
    engines = [Engine(fleet, record, "plan-llm", zone, 24) for zone in ZONES]
    for engine in engines:
        engine.peers = {e.address: e for e in engines}
        await engine.start()
    # Most engines drop a request when its channel closes; this one does not.
    leaving = engines[0]
    leaving.drops = False
    listing.rows = [e.row() for e in engines]
    try:
        await fleet.first_start(cores=5, fronts=3)
        if await operator.replace(document(), 20.0) is None:
            raise CannotRunError("the desired state was not acknowledged")
        await wait_ready(record, fleet)
        await asyncio.sleep(3.0)
        tasks = []
        for number in range(SHORT_STREAMS + LONG_STREAMS):
            is_short = number < SHORT_STREAMS
            caller = StreamCaller(
                record, fleet.fronts()[number % 3], f"{0xA000 + number:016x}", KEY
            )
            tokens = SHORT_TOKENS if is_short else LONG_TOKENS
            tasks.append(
                asyncio.ensure_future(caller.run(HOST, PATH + "2f", 3079, tokens))
            )
            await asyncio.sleep(0.1)
        # The short streams have ended by now.
        await asyncio.sleep(4.0)
        if has_trouble():
            leaving.state = "draining"
            leaving.leaves_s = time.monotonic() + NOTICE_S
            record.note(f"{leaving.identity} is draining, and ends in {NOTICE_S} s")
            listing.rows = [e.row() for e in engines]
            await asyncio.sleep(NOTICE_S)
            leaving.end()
            listing.rows = [e.row() for e in engines[1:]]
        await asyncio.gather(*tasks)
        return _check(record, engines)
    finally:
        fleet.stop()


def _check(record: Record, engines: list[Engine]) -> bool:
    runs = sorted((r for e in engines for r in e.runs), key=lambda r: r.started_s)
    broken = 0
    for run in runs:
        if not run.resumed_from:
            continue
        for before in runs:
            if before.attempt != run.attempt or before.engine == run.engine:
                continue
            still_s = before.worked_s - run.started_s
            if before.started_s < run.started_s and still_s > STILL_AT_WORK_S:
                broken += 1
                record.note(
                    f"TWICE: {run.attempt} goes on at {run.engine} while "
                    f"{before.engine} works on it for {still_s:.2f} s more"
                )
    record.note(f"{len(runs)} runs, {broken} of them while another one went on")
    return broken > 0


if __name__ == "__main__":
    main(_case, FOLDER)
