"""Entries of other writers in the target list, and the check of what they cause."""

from __future__ import annotations

import collections
import json
import random

from bench.platform_soak_targets import PlatformTargetList, SoakTarget, list_page
from endivesill.http1 import Exchange
from endivesill.timer import TimerService

__all__ = ["DepartingTarget", "OddTargetList"]

# Pages with odd entries; the others show that the list is followed in between.
ODD_FRACTION = 0.8
MAX_ODD_ENTRIES = 4
# Time from the first page that shows a departure until no request may arrive.
DRAIN_S = 3.0
MAX_LATE_REQUESTS = 0
DEEP = 50_000
NO_JSON = (
    b"\xff\xfe",
    b"",
    b'"',
    b"{",
    b"]",
    b"[" * DEEP,
    b'{"slots":%b}' % (b"9" * 5_000),
    b'{"id":"odd\xc3"}',
)
ODD_FIELDS = (
    {"address": "127.0.0.1:65536"},
    {"address": "nowhere:80"},
    {"slots": 0},
    {"slots": None},
    {"zone": None},
    {"version": 7},
    {"state": "odd"},
    {"cold_remaining_ms": 1e300},
    {"id": "odd\r\n"},
    {"id": "\ud800"},
)


class DepartingTarget(SoakTarget):
    """A target that records requests after a page of the list showed its departure."""

    def __init__(
        self,
        timer: TimerService,
        service: str,
        data_centre: str,
        run_counts: collections.Counter[str],
        rng: random.Random,
    ) -> None:
        super().__init__(timer, service, data_centre, run_counts, rng)
        self.departure_shown_s = float("inf")
        self.late_requests = 0

    async def _run(self, exchange: Exchange) -> None:
        if self._timer.now_s() > self.departure_shown_s + DRAIN_S:
            self.late_requests += 1
        await super()._run(exchange)


class OddTargetList(PlatformTargetList):
    """A list with entries of other writers among those of the targets.

    Args:
      timer: the timer service.
      targets: the listed targets; shared with the caller, who changes it.
      seed: seed of the odd entries.

    Attributes:
      odd_pages: number of pages with odd entries.
    """

    def __init__(
        self, timer: TimerService, targets: list[SoakTarget], seed: int
    ) -> None:
        super().__init__(timer, targets)
        self._random = random.Random(f"{seed} entries")
        self._departed: set[DepartingTarget] = set()
        self.odd_pages = 0

    async def _handle(self, exchange: Exchange) -> None:
        rows = []
        for target in self._targets:
            rows.append(json.dumps(target.list_entry()).encode())
            if target.is_draining and isinstance(target, DepartingTarget):
                now_s = self._timer.now_s()
                target.departure_shown_s = min(target.departure_shown_s, now_s)
                self._departed.add(target)
        if self._random.random() < ODD_FRACTION:
            self.odd_pages += 1
            for _ in range(self._random.randint(1, MAX_ODD_ENTRIES)):
                rows.insert(self._random.randint(0, len(rows)), self._odd_entry())
        exchange.respond(200, [], list_page(rows))

    def _odd_entry(self) -> bytes:
        if self._random.random() < 0.5:
            return self._random.choice(NO_JSON)
        entry = {**self._random.choice(self._targets).list_entry(), "id": "odd"}
        entry.update(self._random.choice(ODD_FIELDS))
        return json.dumps(entry).encode()

    def findings(self) -> list[str]:
        """Return the targets that got requests long after their departure was shown."""
        return [
            f"{target.identity} got {target.late_requests} requests over {DRAIN_S} s "
            "after the list showed that it leaves"
            for target in self._departed
            if target.late_requests > MAX_LATE_REQUESTS
        ]
