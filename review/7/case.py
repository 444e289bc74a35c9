"""Three core machines are replaced as planned, the new ones first."""

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

# The new machines start first, one at a time. Each counts as lost for `catch_up_s`.
SETTLE_S = BOUNDS["catch_up_s"] + 0.5
# The pause between two SIGTERMs: that of `roll_term` (`busy`) in the site file.
GAP_S = 1.0
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
        if has_trouble():
            old = fleet.cores()[1:4]
            new = [
                fleet.add(f"core-{6 + i}", "control", m.zone) for i, m in enumerate(old)
            ]
            for machine in new:
                machine.start(bootstrap=False)
                record.note(f"{machine.name} starts, empty, at a new address")
                await asyncio.sleep(SETTLE_S)
            await voters(record, fleet)
            for machine in old:
                machine.send(signal.SIGTERM)
                record.note(f"SIGTERM to {machine.name}, which is removed for good")
                await asyncio.sleep(GAP_S)
        if await operator.replace(state(2)) is None:
            record.note("version 2 was never acknowledged")
        end_s = time.monotonic() + READ_FOR_S
        read = None
        while time.monotonic() < end_s and read is None:
            for machine in fleet.cores():
                if machine.is_running and read is None:
                    read = await operator.read(machine)
            await asyncio.sleep(0.5)
        await voters(record, fleet)
        record.note(f"read back: version {read}; acknowledged: version 1 at least")
        return read is None
    finally:
        fleet.stop()


if __name__ == "__main__":
    main(_case, FOLDER)
