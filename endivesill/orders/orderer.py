"""Giving orders to engines, each id once.

An order is recorded in the replicated state before it is sent, and it is sent at
most once: where its answer is lost, or its orderer dies, the engine's state is
read back to learn the outcome. A resent or raced order finds the record.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from endivesill import errors, events
from endivesill.configuration.model import Configuration, Target
from endivesill.control.client import ControlClient
from endivesill.orders.events import (
    ORDER_DELAYED,
    ORDER_ENDED,
    ORDER_REPEATED,
    ORDER_SENT,
    ORDER_WITHHELD,
)
from endivesill.orders.lease import PROPOSE_TIMEOUT_S, OrdererLease
from endivesill.orders.messages import (
    OrderRecord,
    OrderRequest,
    OrderState,
    shows_order,
)
from endivesill.orders.settings import OrderSettings
from endivesill.targets.messages import LoadReport, Order
from endivesill.timer import TimerService

__all__ = ["EngineOrders", "Orderer"]

ORDER_TIMEOUT_S = 2.0
SETTLE_MARGIN_S = 1.0
SEND_LEAST_LEASE_S = ORDER_TIMEOUT_S + SETTLE_MARGIN_S
READ_BACK_PERIOD_S = 1.0
REPORT_LAG_S = 2.0


class EngineOrders(Protocol):
    """The part of an engine's adapter that orders need."""

    async def order(self, target: Target, order: Order) -> LoadReport:
        """Give an order and return the state after it."""

    async def load(self, target: Target) -> LoadReport:
        """Return the engine's state."""


class Orderer:
    """Gives the orders of one data centre while it holds the lease.

    Args:
      timer: the timer service.
      control: the replicated state.
      lease: the lease of the data centre.
      configuration: returns the configuration in force.
      engines: the adapter to the engines.
      settings: how long an engine may take.
    """

    def __init__(
        self,
        timer: TimerService,
        control: ControlClient,
        lease: OrdererLease,
        configuration: Callable[[], Configuration],
        engines: EngineOrders,
        settings: OrderSettings,
    ) -> None:
        self._timer = timer
        self._control = control
        self._lease = lease
        self._configuration = configuration
        self._engines = engines
        self._settings = settings
        self._running: dict[str, asyncio.Task[OrderRecord]] = {}
        self._locks: dict[str, asyncio.Lock] = {}

    def is_idle(self) -> bool:
        """Tell whether no order is under way."""
        return not self._running

    async def close(self) -> None:
        """Give up what is under way; the next orderer learns its outcome."""
        tasks = list(self._running.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def issue(self, request: OrderRequest) -> OrderRecord:
        """Give an order, or return the first answer to its id.

        Raises:
          UnavailableError: this VM is not the orderer, or has just stopped being
            it; the same id may be given again.
          OrderError: there is no such engine here, or the id belongs to another
            order.
        """
        self._target(request)
        task = self._running.get(request.order_id)
        if task is None:
            task = asyncio.ensure_future(self._issue(request))
            self._running[request.order_id] = task
            task.add_done_callback(lambda _: self._running.pop(request.order_id))
        record = await asyncio.shield(task)
        if record.request != request:
            raise errors.OrderError(f"order {request.order_id} is another one")
        return record

    async def resolve_pending(self) -> None:
        """Find out what became of the orders of the orderer before."""
        answer = await self._control.query(
            "orders.pending",
            {"data_centre": self._lease.data_centre},
            PROPOSE_TIMEOUT_S,
        )
        records = [OrderRecord.from_message(row) for row in answer["records"]]
        await asyncio.gather(*(self._resolve(record) for record in records))

    def _target(self, request: OrderRequest) -> Target:
        target = self._configuration().targets.get(request.target)
        if target is None or target.data_centre != self._lease.data_centre:
            raise errors.OrderError(
                f"no engine {request.target} in {self._lease.data_centre}"
            )
        return target

    async def _issue(self, request: OrderRequest) -> OrderRecord:
        lock = self._locks.setdefault(request.target, asyncio.Lock())
        async with lock:
            known = await self._put(request)
            if known is not None:
                events.emit(ORDER_REPEATED, order_id=request.order_id)
                if known.state is OrderState.SENT and known.request == request:
                    return await self._resolve(known)
                return known
            return await self._send(request)

    async def _put(self, request: OrderRequest) -> OrderRecord | None:
        """Record an order; return its record if it was there before."""
        while True:
            if self._lease.remaining_s() < SEND_LEAST_LEASE_S:
                raise errors.UnavailableError("this VM does not give the orders")
            limits = self._configuration().limits
            message = {
                **request.to_message(),
                "data_centre": self._lease.data_centre,
                "token": self._lease.token,
                "loads_per_minute": limits.weight_store_loads_per_minute,
            }
            answer = await self._control.propose(
                "orders.put", message, PROPOSE_TIMEOUT_S
            )
            status = answer["status"]
            if status == "known":
                return OrderRecord.from_message(answer["record"])
            if status == "new":
                return None
            if status == "old-token":
                raise errors.UnavailableError("another VM gives the orders")
            events.emit(
                ORDER_DELAYED, order_id=request.order_id, wait_s=answer["wait_s"]
            )
            await self._timer.sleep(answer["wait_s"])

    async def _send(self, request: OrderRequest) -> OrderRecord:
        target = self._target(request)
        # The check and the send stand together: nothing is awaited in between.
        if self._lease.remaining_s() < SEND_LEAST_LEASE_S:
            events.emit(ORDER_WITHHELD, order_id=request.order_id)
            return await self._record(request, OrderState.NOT_SENT)
        token = self._lease.token
        events.emit(
            ORDER_SENT,
            order_id=request.order_id,
            target=target.name,
            order=request.kind.value,
            subject=request.subject,
            version=request.version,
            token=token,
        )
        answered = False
        try:
            report = await self._timer.wait_for(
                self._engines.order(target, request.to_order(token)), ORDER_TIMEOUT_S
            )
            answered = True
            if target.checks_fencing and shows_order(report, request) is not False:
                return await self._record(request, OrderState.DONE)
        except errors.TargetRefusedError:
            return await self._record(request, OrderState.REFUSED)
        except (errors.TargetError, errors.DeadlineExceededError):
            pass
        return await self._record(
            request, await self._read_back(target, request, answered)
        )

    async def _resolve(self, record: OrderRecord) -> OrderRecord:
        """Learn the outcome of an order that was recorded and perhaps sent."""
        target = self._configuration().targets.get(record.request.target)
        state = OrderState.UNSEEN
        if target is not None:
            state = await self._read_back(target, record.request, answered=False)
        return await self._record(record.request, state)

    async def _read_back(
        self, target: Target, request: OrderRequest, answered: bool
    ) -> OrderState:
        """Read an engine's state until it shows an order, or for long enough.

        Args:
          target: the engine.
          request: the order.
          answered: the engine has said that it took the order.
        """
        started_s = self._timer.now_s()
        while True:
            try:
                report = await self._engines.load(target)
                shown = shows_order(report, request)
            except errors.TargetError:
                shown = False
            waited_s = self._timer.now_s() - started_s
            if shown or (shown is None and answered and waited_s >= REPORT_LAG_S):
                return OrderState.DONE
            if waited_s >= self._settings.read_back_s:
                return OrderState.UNSEEN
            await self._timer.sleep(READ_BACK_PERIOD_S)

    async def _record(self, request: OrderRequest, state: OrderState) -> OrderRecord:
        """Record an outcome and return the one that counts.

        Raises:
          UnavailableError: another orderer will find out and record it.
        """
        message = {
            "order_id": request.order_id,
            "token": self._lease.token,
            "state": state.value,
        }
        answer = await self._control.propose("orders.done", message, PROPOSE_TIMEOUT_S)
        if "record" not in answer:
            raise errors.UnavailableError("another VM gives the orders")
        record = OrderRecord.from_message(answer["record"])
        events.emit(ORDER_ENDED, order_id=request.order_id, state=record.state.value)
        return record
