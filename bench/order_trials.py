"""Random histories of competing orderers, with crashes, pauses and lost messages."""

from __future__ import annotations

import asyncio
import random

import attrs

from bench.order_engines import OrderEngines, orders_configuration
from endivesill import errors
from endivesill.control import LocalControl
from endivesill.orders import (
    Orderer,
    OrdererLease,
    OrderKind,
    OrderRequest,
    OrderSettings,
)
from endivesill.timer import ManualTimer

__all__ = ["OrderCounts", "run_order_histories"]

LEASE_S = 10.0
CANDIDATE_COUNT = 3
STEP_COUNT = 120
ROLES = ("prefill", "decode", "mixed")


@attrs.define
class OrderCounts:
    """The counts of orders over all histories.

    Attributes:
      issued: distinct orders that were requested.
      executed: executions at engines.
      duplicates: executions beyond the first of each order.
      stale_token: executions with a fencing token below one that the engine had seen.
      takeovers: acquisitions of the orderer lease.
    """

    issued: int = 0
    executed: int = 0
    duplicates: int = 0
    stale_token: int = 0
    takeovers: int = 0


class _Candidate:
    """A process that competes for the orderer lease until it is killed."""

    def __init__(self, history: _History, number: int) -> None:
        self.history = history
        holder = f"c{number}-{history.rng.random()}"
        self.lease = OrdererLease(history.timer, history.control, "a", holder, LEASE_S)
        self.orderer = Orderer(
            history.timer,
            history.control,
            self.lease,
            lambda: history.configuration,
            history.engines,
            OrderSettings(lease_s=LEASE_S, read_back_s=5.0),
        )
        self.tasks = {asyncio.ensure_future(self.compete_for_lease())}

    async def compete_for_lease(self) -> None:
        while True:
            try:
                if await self.lease.acquire():
                    self.history.counts.takeovers += 1
                    renewal = asyncio.ensure_future(self.lease.renew_until_lost())
                    self.tasks.add(renewal)
                    await self.orderer.resolve_pending()
                    await renewal
            except errors.EndivesillError:
                pass
            await self.history.timer.sleep(1.0)

    def start_issue(self, request: OrderRequest) -> None:
        self.tasks.add(asyncio.ensure_future(self._issue(request)))

    async def _issue(self, request: OrderRequest) -> None:
        try:
            await self.orderer.issue(request)
        except errors.EndivesillError:
            return

    async def kill(self) -> None:
        for task in self.tasks:
            task.cancel()
        await self.orderer.close()
        await asyncio.gather(*self.tasks, return_exceptions=True)


class _History:
    def __init__(self, seed: int, counts: OrderCounts) -> None:
        self.rng = random.Random(seed)
        self.counts = counts
        self.timer = ManualTimer()
        self.control = LocalControl(self.timer)
        self.configuration = orders_configuration(loads_per_minute=60.0)
        self.engines = OrderEngines(self.timer, self.configuration)
        self.requests: list[OrderRequest] = []

    def make_request(self) -> OrderRequest:
        """Return a new request, or an earlier one again."""
        if self.requests and self.rng.random() < 0.4:
            return self.rng.choice(self.requests)
        target = self.rng.choice(sorted(self.configuration.targets))
        order_id = f"o{len(self.requests)}"
        kind, subject = OrderKind.CHANGE_ROLE, self.rng.choice(ROLES)
        if self.rng.random() < 0.3:
            kind, subject = OrderKind.LOAD_MODEL, f"m{self.rng.randrange(4)}"
        request = OrderRequest(order_id, target, kind, subject)
        self.requests.append(request)
        return request

    async def run(self) -> None:
        candidates = [_Candidate(self, number) for number in range(CANDIDATE_COUNT)]
        for _ in range(STEP_COUNT):
            request = self.make_request()
            for candidate in self.rng.sample(candidates, self.rng.randint(1, 2)):
                candidate.start_issue(request)
            self.engines.delay_s = self.rng.choice((0.0, 0.01, 0.5, 1.5, 2.8))
            self.engines.lose_responses = self.rng.random() < 0.2
            self.engines.lose_orders = self.rng.random() < 0.1
            self.control.failure = None
            if self.rng.random() < 0.05:
                self.control.failure = errors.UnavailableError("no quorum")
            if self.rng.random() < 0.08:
                number = self.rng.randrange(CANDIDATE_COUNT)
                await candidates[number].kill()
                candidates[number] = _Candidate(self, number)
            if self.rng.random() < 0.05:
                self.timer.jump(self.rng.uniform(1.0, 2 * LEASE_S))
            await self.timer.advance(self.rng.uniform(0.1, 4.0))
        for candidate in candidates:
            await candidate.kill()
        self.counts.issued += len(self.requests)
        self.counts.executed += len(self.engines.runs())
        self.counts.duplicates += self.engines.duplicate_runs()
        self.counts.stale_token += self.engines.stale_token_runs()


def run_order_histories(histories: int, seed: int) -> OrderCounts:
    """Run random histories and return the counts of their orders."""
    counts = OrderCounts()

    async def run_all() -> None:
        for number in range(histories):
            await _History(seed * 10_000 + number, counts).run()

    asyncio.run(run_all())
    return counts
