"""Fake engines that count what they run, for tests and benches of orders."""

from __future__ import annotations

import asyncio

import attrs

from endivesill import errors
from endivesill.configuration import Configuration, DataCentre, Limits, Target
from endivesill.orders.messages import OrderKind
from endivesill.targets.messages import LoadReport, Order
from endivesill.timer import TimerService

__all__ = ["OrderEngine", "OrderEngines", "orders_configuration"]


@attrs.define
class OrderEngine:
    """One engine's state and all that it ran.

    Attributes:
      checks_fencing: whether it refuses orders with an old token.
      report: its state.
      runs: order id and token of each order that it ran.
      highest_token: the highest token that it has seen.
      old_token_runs: orders that it ran with a token under the highest.
      work_s: how long it takes before its state shows an order.
    """

    checks_fencing: bool
    report: LoadReport
    runs: list[tuple[str, int]] = attrs.Factory(list)
    highest_token: int = 0
    old_token_runs: int = 0
    work_s: float = 0.0


class OrderEngines:
    """Engines that are reached without a network.

    Args:
      timer: the timer service.
      configuration: whose targets there are.

    Attributes:
      engines: the engines by target name.
      delay_s: how long an order takes to arrive.
      lose_answers: whether answers get lost.
      lose_orders: whether orders get lost.
    """

    def __init__(self, timer: TimerService, configuration: Configuration) -> None:
        self._timer = timer
        self.delay_s = 0.0
        self.lose_answers = False
        self.lose_orders = False
        self.engines = {
            name: OrderEngine(target.checks_fencing, LoadReport("boot-1", model="m0"))
            for name, target in configuration.targets.items()
        }

    async def order(self, target: Target, order: Order) -> LoadReport:
        """Run an order, however often it comes.

        It arrives after the delay, also when the caller has given up meanwhile.
        """
        engine = self.engines[target.name]
        lost, answer_lost = self.lose_orders, self.lose_answers
        answer: asyncio.Future[LoadReport] = asyncio.get_running_loop().create_future()

        def arrive() -> None:
            error: errors.TargetError | None = errors.TargetError("no answer")
            if not lost:
                refusal = self._run(engine, order)
                error = error if answer_lost else refusal
            if answer.done():
                return
            if error is None:
                answer.set_result(engine.report)
            else:
                answer.set_exception(error)

        self._timer.call_after(self.delay_s, arrive)
        return await answer

    def _run(
        self, engine: OrderEngine, order: Order
    ) -> errors.TargetRefusedError | None:
        if order.fencing_token < engine.highest_token:
            if engine.checks_fencing:
                return errors.TargetRefusedError("old fencing token")
            engine.old_token_runs += 1
        engine.highest_token = max(engine.highest_token, order.fencing_token)
        engine.runs.append((order.order_id, order.fencing_token))
        self._timer.call_after(engine.work_s, lambda: _apply(engine, order))
        if not engine.work_s:
            _apply(engine, order)
        return None

    async def load(self, target: Target) -> LoadReport:
        """Return an engine's state."""
        await self._timer.sleep(self.delay_s)
        return self.engines[target.name].report

    def runs(self) -> list[tuple[str, int]]:
        """Return all orders that ran anywhere."""
        return [run for engine in self.engines.values() for run in engine.runs]

    def run_twice(self) -> int:
        """Return how many orders ran more than once."""
        ids = [order_id for order_id, _ in self.runs()]
        return len(ids) - len(set(ids))

    def old_token_runs(self) -> int:
        """Return how many orders ran with an old token."""
        return sum(engine.old_token_runs for engine in self.engines.values())


def _apply(engine: OrderEngine, order: Order) -> None:
    named = f"{order.subject}@{order.version}" if order.version else order.subject
    if order.kind == OrderKind.LOAD_MODEL.value:
        engine.report = attrs.evolve(engine.report, model=named)
    elif order.kind == OrderKind.CHANGE_ROLE.value:
        engine.report = attrs.evolve(engine.report, role=order.subject)
    else:
        adapters = (*engine.report.adapters, named)
        engine.report = attrs.evolve(engine.report, adapters=adapters)


def orders_configuration(
    *, fencing: int = 2, plain: int = 2, loads_per_minute: float = 6.0
) -> Configuration:
    """Return one data centre with engines of both kinds."""
    targets = {}
    for kind, count in (("fencing", fencing), ("plain", plain)):
        for number in range(count):
            name = f"{kind}-{number}"
            targets[name] = Target(
                name,
                service="m0",
                url=f"http://{name}:1",
                data_centre="a",
                checks_fencing=kind == "fencing",
            )
    return Configuration(
        1,
        data_centres={"a": DataCentre("a", region="r")},
        targets=targets,
        limits=Limits("default", weight_store_loads_per_minute=loads_per_minute),
    )
