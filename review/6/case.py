"""A planned replacement of a core machine, then the loss of two disks."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from core_2 import state, voters  # noqa: E402
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

# The largest pause of the site file between the start of the new machine and the
# SIGTERM of the old one.
PLANNED_S = 2.0
# After the new machine has had `catch_up_s`, neither of the two counts as lost.
STRIKE_AFTER_S = BOUNDS["catch_up_s"] + 0.15
DOWN_S = 0.67
READ_FOR_S = BOUNDS["recovery_s"] + 12.0


async def _case(record: Record) -> bool:
    fleet = Fleet(record)
    listing = Listing(record)
    await listing.start(fleet)
    operator = Operator(record, fleet.cores)
    try:
        await fleet.first_start(cores=5, fronts=0)
        if await operator.replace(state(1), 20.0) is None:
            raise CannotRunError("the first desired state was not acknowledged")
        # As long as the lead before the traffic of the sheet.
        await asyncio.sleep(8.0)
        await voters(record, fleet)
        old = fleet.cores()[3]
        if has_trouble():
            new = fleet.add("core-6", "control", old.zone)
            new.start(bootstrap=False)
            started_s = time.monotonic()
            record.note(f"{new.name} starts, empty, at a new address")
            await asyncio.sleep(PLANNED_S)
            old.send(signal.SIGTERM)
            record.note(f"SIGTERM to {old.name}, which is removed for good")
            await old.wait_end()
            record.note(f"{old.name} has ended")
            await asyncio.sleep(started_s + STRIKE_AFTER_S - time.monotonic())
            await voters(record, fleet)
        acknowledged = await operator.replace(state(2))
        if acknowledged is None:
            raise CannotRunError("the second desired state was not acknowledged")
        if has_trouble():
            others = [m for m in fleet.cores() if m not in (acknowledged, old, new)]
            # The machine that acknowledged, and one more: as many as may be lost.
            wiped = [acknowledged, others[0]] if acknowledged is not new else others[:2]
            for machine in wiped:
                machine.kill()
                machine.wipe()
            record.note(f"{[m.name for m in wiped]} have lost their disks")
            await asyncio.sleep(DOWN_S)
            for machine in wiped:
                machine.start(bootstrap=False)
            record.note("they start again with empty disks at their addresses")
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
