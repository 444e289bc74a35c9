"""A machine that was frozen cannot come back, since it asks only its first seeds."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from core_2 import replace_as_planned, state, voters  # noqa: E402
from fleet_2 import (  # noqa: E402
    BOUNDS,
    CannotRunError,
    Fleet,
    Listing,
    Operator,
    Record,
    has_trouble,
    main,
)

# Each change waits until the machines before it have had more than `catch_up_s`.
SETTLE_S = BOUNDS["catch_up_s"] + 0.5
PLANNED_S = 2.0
FROZEN_S = 5.5
# Before the final fault nothing happens for much longer than `catch_up_s` and
# `contact_ms`.
QUIET_S = 10.0
DOWN_S = 0.67
READ_FOR_S = BOUNDS["recovery_s"] + 8.0


async def _case(record: Record) -> bool:
    fleet = Fleet(record)
    listing = Listing(record)
    await listing.start(fleet)
    operator = Operator(record, fleet.cores)
    try:
        await fleet.first_start(cores=5, fronts=0)
        if await operator.replace(state(1), 20.0) is None:
            raise CannotRunError("the first desired state was not acknowledged")
        await asyncio.sleep(4.0)
        first, second, third, frozen, last = fleet.cores()
        if has_trouble():
            # The three seeds of the first start are replaced, one after the other.
            for old in (first, second, third):
                await replace_as_planned(record, fleet, old, PLANNED_S)
                await asyncio.sleep(SETTLE_S)
            await voters(record, fleet)
            new = fleet.add("core-9", "control", last.zone)
            new.start(bootstrap=False)
            record.note(f"{new.name} starts, which replaces {last.name} as planned")
            await asyncio.sleep(PLANNED_S)
            frozen.send(signal.SIGSTOP)
            record.note(f"{frozen.name} freezes")
            await asyncio.sleep(FROZEN_S)
            frozen.send(signal.SIGCONT)
            record.note(f"{frozen.name} wakes; its settings name seeds that run")
            last.send(signal.SIGTERM)
            await last.wait_end()
            fleet.name_seeds()
            record.note(f"{last.name} has ended by SIGTERM and is removed for good")
            await asyncio.sleep(QUIET_S)
            await voters(record, fleet)
        acknowledged = await operator.replace(state(2))
        if acknowledged is None:
            raise CannotRunError("the second desired state was not acknowledged")
        if has_trouble():
            running = [m for m in fleet.cores() if m.is_running and m is not frozen]
            others = [m for m in running if m is not acknowledged]
            # The machine that acknowledged, and one more: as many as may be lost.
            wiped = [m for m in running if m is acknowledged]
            wiped += others[: 2 - len(wiped)]
            for machine in wiped:
                machine.kill()
                machine.wipe()
            record.note(f"{[m.name for m in wiped]} have lost their disks")
            await asyncio.sleep(DOWN_S)
            for machine in wiped:
                machine.start(bootstrap=False)
        end_s = time.monotonic() + READ_FOR_S
        read = None
        while time.monotonic() < end_s and read is None:
            for machine in fleet.cores():
                if machine.is_running and read is None:
                    read = await operator.read(machine)
            await asyncio.sleep(0.5)
        await voters(record, fleet)
        record.note(f"read back: version {read}; acknowledged: version 2")
        return read is None or read < 2
    finally:
        fleet.stop()


if __name__ == "__main__":
    main(_case, FOLDER)
