"""Random histories of orderers that die, stall and race; counts of what ran."""

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

__all__ = ["OrderCounts", "run_orders"]

LEASE_S = 10.0
CONTENDERS = 3
STEPS = 120
ROLES = ("prefill", "decode", "mixed")


@attrs.define
class OrderCounts:
    """What became of the orders of all histories.

    Attributes:
      given: distinct orders that were asked for.
      ran: orders that ran at an engine.
      twice: orders that ran more than once.
      old_token: orders that ran with a token under one that the engine had seen.
      take_overs: how often the orderer changed.
    """

    given: int = 0
    ran: int = 0
    twice: int = 0
    old_token: int = 0
    take_overs: int = 0


class _Contender:
    """A process that wants to be the orderer, until it is killed."""

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
        self.tasks = {asyncio.ensure_future(self.compete())}

    async def compete(self) -> None:
        while True:
            try:
                if await self.lease.acquire():
                    self.history.counts.take_overs += 1
                    keeping = asyncio.ensure_future(self.lease.renew_until_lost())
                    self.tasks.add(keeping)
                    await self.orderer.resolve_pending()
                    await keeping
            except errors.EndivesillError:
                pass
            await self.history.timer.sleep(1.0)

    def give(self, request: OrderRequest) -> None:
        self.tasks.add(asyncio.ensure_future(self.try_to_give(request)))

    async def try_to_give(self, request: OrderRequest) -> None:
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

    def request(self) -> OrderRequest:
        """Return a new order, or one that was given before."""
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
        contenders = [_Contender(self, number) for number in range(CONTENDERS)]
        for _ in range(STEPS):
            request = self.request()
            for contender in self.rng.sample(contenders, self.rng.randint(1, 2)):
                contender.give(request)
            self.engines.delay_s = self.rng.choice((0.0, 0.01, 0.5, 1.5, 2.8))
            self.engines.lose_answers = self.rng.random() < 0.2
            self.engines.lose_orders = self.rng.random() < 0.1
            self.control.failure = None
            if self.rng.random() < 0.05:
                self.control.failure = errors.UnavailableError("no quorum")
            if self.rng.random() < 0.08:
                number = self.rng.randrange(CONTENDERS)
                await contenders[number].kill()
                contenders[number] = _Contender(self, number)
            if self.rng.random() < 0.05:
                self.timer.jump(self.rng.uniform(1.0, 2 * LEASE_S))
            await self.timer.advance(self.rng.uniform(0.1, 4.0))
        for contender in contenders:
            await contender.kill()
        self.counts.given += len(self.requests)
        self.counts.ran += len(self.engines.runs())
        self.counts.twice += self.engines.run_twice()
        self.counts.old_token += self.engines.old_token_runs()


def run_orders(histories: int, seed: int) -> OrderCounts:
    """Run random histories and count what ran."""
    counts = OrderCounts()

    async def run() -> None:
        for number in range(histories):
            await _History(seed * 10_000 + number, counts).run()

    asyncio.run(run())
    return counts
