"""What the cases about the core machines share."""

from __future__ import annotations

import asyncio
import signal
from typing import Any

from deployment_2 import plain_document
from fleet_2 import Fleet, Machine, Record, metrics


def state(version: int) -> dict[str, Any]:
    """Return one version of a small desired state."""
    return {**plain_document(), "version": version}


async def voters(record: Record, fleet: Fleet) -> None:
    """Record what the core machines say of themselves; nothing of it is judged."""
    for machine in fleet.cores():
        if not machine.is_running:
            record.note(f"  {machine.name}: does not run")
            continue
        values = await metrics(machine)
        record.note(
            f"  {machine.name}: leads {values.get('endivesill_control_leads')}, "
            f"voters {values.get('endivesill_control_voters')}, "
            f"commit index {values.get('endivesill_control_commit_index')}"
        )


async def replace_as_planned(
    record: Record, fleet: Fleet, old: Machine, pause_s: float
) -> Machine:
    """Start an empty machine, and after a pause remove an old one by SIGTERM."""
    new = fleet.add(f"core-{len(fleet.cores()) + 1}", "control", old.zone)
    new.start(bootstrap=False)
    await asyncio.sleep(pause_s)
    old.send(signal.SIGTERM)
    await old.wait_end()
    record.note(f"{new.name} has started, and {old.name} has ended by SIGTERM")
    # The platform names seeds that run, in the settings of all machines.
    fleet.name_seeds()
    return new
