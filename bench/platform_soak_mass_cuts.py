"""Many entries of a large fleet that lose their links to targets at once.

Each entry gets one or two requests a second. Some get none until they have been cut off
for a while, so that nothing has told them.
"""

from __future__ import annotations

import asyncio
import random
import uuid

from bench.fault_proxy import CutKind
from bench.platform_soak_callers import CallRecord, call_entry
from bench.platform_soak_cuts import EVEN, MOST, ODD, SHARE, CutRecords
from bench.platform_soak_faults import Fault
from bench.platform_soak_fleet import DATA_CENTRES, SoakFleet
from endivesill import errors
from endivesill.http1 import ConnectionPool, UpstreamError
from endivesill.timer import TimerService

__all__ = ["EntryCallers", "mass_cuts"]

FIRST_CUT_S = 1.0
CUT_S = 9.0
# From the end of a cut to the next one; none between the two halves of the fleet.
PAUSE_S = 1.0
MIN_PAUSE_S = 0.5
MAX_PAUSE_S = 1.0
# One entry in so many gets no requests until it has been cut off for a while.
QUIET_PERIOD = 3
# Deadlines by kind of request, and how often each is sent.
DEADLINES_S = {"unsafe": 0.6, "safe": 0.6, "streaming": 5.0}
KINDS = ("unsafe", "unsafe", "unsafe", "safe", "safe", "streaming")
CONNECT_TIMEOUT_S = 1.0


def mass_cuts(seed: int, duration_s: float) -> list[Fault]:
    """Return cuts of groups of entries, one after the other, by a seed."""
    rng = random.Random(f"{seed} mass cuts")
    groups = [[SHARE], [MOST], [rng.choice(DATA_CENTRES)], [EVEN, ODD]]
    rng.shuffle(groups)
    kinds = [kind.value for kind in CutKind]
    rng.shuffle(kinds)
    faults: list[Fault] = []
    at_s = FIRST_CUT_S
    while not faults or at_s + CUT_S <= duration_s:
        for name in groups[0]:
            kind = kinds[len(faults) % len(kinds)]
            faults.append(Fault(at_s, "cut_entries", name, CUT_S, kind, "all"))
            at_s += CUT_S
        at_s += PAUSE_S
        groups = groups[1:] + groups[:1]
    return faults


class EntryCallers:
    """Callers that send each entry its own requests and never try twice.

    Args:
      timer: the timer service.
      seed: seed of the times and kinds of requests.
      cuts: tells which entries are cut off.

    Attributes:
      records: all attempts, in order of sending.
    """

    def __init__(self, timer: TimerService, seed: int, cuts: CutRecords) -> None:
        self._timer = timer
        self._random = random.Random(f"{seed} entries")
        self._cuts = cuts
        self.records: list[CallRecord] = []
        self._calls: set[asyncio.Task[None]] = set()

    async def run(self, fleet: SoakFleet) -> None:
        """Call until cancelled."""
        entries = fleet.with_role("entry")
        await asyncio.gather(
            *(
                self._call_entry(fleet, entry.name, is_quiet=not i % QUIET_PERIOD)
                for i, entry in enumerate(entries)
            )
        )

    async def _call_entry(
        self, fleet: SoakFleet, entry: str, *, is_quiet: bool
    ) -> None:
        pool = ConnectionPool(self._timer, CONNECT_TIMEOUT_S, 10.0)
        while True:
            await self._timer.sleep(self._random.uniform(MIN_PAUSE_S, MAX_PAUSE_S))
            if is_quiet and not self._cuts.is_served_cut(entry):
                continue
            record = CallRecord(
                uuid.UUID(int=self._random.getrandbits(128)).hex,
                self._random.choice(KINDS),
                entry,
                self._timer.now_s(),
            )
            self.records.append(record)
            call = asyncio.ensure_future(
                self._call(pool, fleet.entry_proxies[entry].address, record)
            )
            self._calls.add(call)
            call.add_done_callback(self._calls.discard)

    async def _call(
        self, pool: ConnectionPool, address: str, record: CallRecord
    ) -> None:
        deadline_s = DEADLINES_S[record.kind]
        try:
            await self._timer.wait_for(
                call_entry(pool, address, record, deadline_s), deadline_s
            )
        except (UpstreamError, errors.DeadlineExceededError):
            # No complete response: the record keeps status 0.
            pool.close_idle(address)
        record.ended_s = self._timer.now_s()

    def stop(self) -> None:
        """Give up the requests that are under way."""
        for call in self._calls:
            call.cancel()
