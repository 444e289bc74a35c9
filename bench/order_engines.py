"""Fake engines that record the orders they execute, for tests and benchmarks."""

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
    """The state of one engine and the orders that it has executed.

    Attributes:
      checks_fencing: whether it refuses orders with a stale fencing token.
      report: its current load report.
      runs: order id and fencing token of each execution.
      highest_token: the highest fencing token that it has received.
      stale_token_runs: number of executions with a token below the highest.
      apply_delay_s: time from an execution until the report shows its effect.
    """

    checks_fencing: bool
    report: LoadReport
    runs: list[tuple[str, int]] = attrs.Factory(list)
    highest_token: int = 0
    stale_token_runs: int = 0
    apply_delay_s: float = 0.0


class OrderEngines:
    """Sends orders to fake engines without a network.

    Args:
      timer: the timer service.
      configuration: each of its targets gets an engine.

    Attributes:
      engines: the engines by target name.
      delay_s: time until a request reaches its engine.
      lose_responses: whether responses to orders are lost.
      lose_orders: whether orders are lost.
    """

    def __init__(self, timer: TimerService, configuration: Configuration) -> None:
        self._timer = timer
        self.delay_s = 0.0
        self.lose_responses = False
        self.lose_orders = False
        self.engines = {
            name: OrderEngine(target.checks_fencing, LoadReport("boot-1", model="m0"))
            for name, target in configuration.targets.items()
        }

    async def order(self, target: Target, order: Order) -> LoadReport:
        """Execute an order; a duplicate is executed again.

        The order arrives after `delay_s` even if the sender has been cancelled
        meanwhile.

        Raises:
          TargetError: the order or its response was lost.
          TargetRefusedError: the fencing token is stale.
        """
        engine = self.engines[target.name]
        is_order_lost, is_response_lost = self.lose_orders, self.lose_responses
        response: asyncio.Future[LoadReport] = (
            asyncio.get_running_loop().create_future()
        )

        def arrive() -> None:
            error: errors.TargetError | None = errors.TargetError("no answer")
            if not is_order_lost:
                refusal = self._run(engine, order)
                error = error if is_response_lost else refusal
            if response.done():
                return
            if error is None:
                response.set_result(engine.report)
            else:
                response.set_exception(error)

        self._timer.call_after(self.delay_s, arrive)
        return await response

    def _run(
        self, engine: OrderEngine, order: Order
    ) -> errors.TargetRefusedError | None:
        if order.fencing_token < engine.highest_token:
            if engine.checks_fencing:
                return errors.TargetRefusedError("old fencing token")
            engine.stale_token_runs += 1
        engine.highest_token = max(engine.highest_token, order.fencing_token)
        engine.runs.append((order.order_id, order.fencing_token))
        if engine.apply_delay_s:
            self._timer.call_after(engine.apply_delay_s, lambda: _apply(engine, order))
        else:
            _apply(engine, order)
        return None

    async def load(self, target: Target) -> LoadReport:
        """Return the current load report of an engine after `delay_s`."""
        await self._timer.sleep(self.delay_s)
        return self.engines[target.name].report

    def runs(self) -> list[tuple[str, int]]:
        """Return order id and fencing token of all executions at all engines."""
        return [run for engine in self.engines.values() for run in engine.runs]

    def duplicate_runs(self) -> int:
        """Return the number of executions beyond the first of each order."""
        order_ids = [order_id for order_id, _ in self.runs()]
        return len(order_ids) - len(set(order_ids))

    def stale_token_runs(self) -> int:
        """Return the number of executions with a stale fencing token."""
        return sum(engine.stale_token_runs for engine in self.engines.values())


def _apply(engine: OrderEngine, order: Order) -> None:
    full_name = f"{order.subject}@{order.version}" if order.version else order.subject
    if order.kind == OrderKind.LOAD_MODEL.value:
        engine.report = attrs.evolve(engine.report, model=full_name)
    elif order.kind == OrderKind.CHANGE_ROLE.value:
        engine.report = attrs.evolve(engine.report, role=order.subject)
    else:
        adapters = (*engine.report.adapters, full_name)
        engine.report = attrs.evolve(engine.report, adapters=adapters)


def orders_configuration(
    *, fencing: int = 2, plain: int = 2, loads_per_minute: float = 6.0
) -> Configuration:
    """Return a configuration of one data centre.

    Args:
      fencing: number of engines that check fencing tokens.
      plain: number of engines that also execute orders with stale tokens.
      loads_per_minute: rate limit of model loads from the weight store.
    """
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
