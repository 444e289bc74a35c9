"""At-most-once delivery of orders to engines.

An order is recorded in the replicated state before it is sent, and it is sent at
most once. If its response is lost or the orderer fails, the engine's load reports
are read to determine the outcome. A repeated or concurrent request with the same id
finds the record.
"""

from __future__ import annotations

import asyncio
import weakref
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
    is_order_applied,
)
from endivesill.orders.settings import OrderSettings
from endivesill.targets.messages import LoadReport, Order
from endivesill.timer import TimerService

__all__ = ["EngineOrderClient", "Orderer"]

ORDER_TIMEOUT_S = 2.0
OUTCOME_RECORD_MARGIN_S = 1.0
MIN_LEASE_TO_SEND_S = ORDER_TIMEOUT_S + OUTCOME_RECORD_MARGIN_S
READ_BACK_PERIOD_S = 1.0
REPORT_LAG_S = 2.0


class EngineOrderClient(Protocol):
    """The part of an engine adapter that orders need."""

    async def order(self, target: Target, order: Order) -> LoadReport:
        """Send an order and return the engine's report after it."""

    async def load(self, target: Target) -> LoadReport:
        """Return the current report of an engine."""


class Orderer:
    """Issues the orders of one data centre while this VM holds the lease.

    Args:
      timer: the timer service.
      control: the client of the replicated state.
      lease: the orderer lease of the data centre.
      configuration: returns the configuration in force.
      engines: the adapter to the engines.
      settings: the settings; `read_back_s` limits how long an engine may take.
    """

    def __init__(
        self,
        timer: TimerService,
        control: ControlClient,
        lease: OrdererLease,
        configuration: Callable[[], Configuration],
        engines: EngineOrderClient,
        settings: OrderSettings,
    ) -> None:
        self._timer = timer
        self._control = control
        self._lease = lease
        self._configuration = configuration
        self._engines = engines
        self._settings = settings
        self._running: dict[str, asyncio.Task[OrderRecord]] = {}
        # A lock by target, as long as an order of the target is in progress.
        self._locks: weakref.WeakValueDictionary[str, asyncio.Lock] = (
            weakref.WeakValueDictionary()
        )

    def is_idle(self) -> bool:
        """Return whether no order is in progress."""
        return not self._running

    async def close(self) -> None:
        """Cancel orders in progress; the next orderer resolves their outcomes."""
        tasks = list(self._running.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def issue(self, request: OrderRequest) -> OrderRecord:
        """Issue an order, or return the record if its id was issued before.

        Raises:
          UnavailableError: this VM is not, or no longer, the orderer; the request
            may be retried with the same id.
          OrderError: the data centre has no such engine, or the id belongs to a
            different order.
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
        """Resolve the outcomes of orders that a previous orderer left pending."""
        response = await self._control.query(
            "orders.pending",
            {"data_centre": self._lease.data_centre},
            PROPOSE_TIMEOUT_S,
        )
        records = [OrderRecord.from_message(row) for row in response["records"]]
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
            existing = await self._record_request(request)
            if existing is not None:
                events.emit(ORDER_REPEATED, order_id=request.order_id)
                if existing.state is OrderState.SENT and existing.request == request:
                    return await self._resolve(existing)
                return existing
            return await self._send(request)

    async def _record_request(self, request: OrderRequest) -> OrderRecord | None:
        """Record an order; return its record if it already existed."""
        while True:
            if self._lease.remaining_s() < MIN_LEASE_TO_SEND_S:
                raise errors.UnavailableError("this VM does not give the orders")
            limits = self._configuration().limits
            message = {
                **request.to_message(),
                "data_centre": self._lease.data_centre,
                "token": self._lease.token,
                "loads_per_minute": limits.weight_store_loads_per_minute,
            }
            response = await self._control.propose(
                "orders.put", message, PROPOSE_TIMEOUT_S
            )
            status = response["status"]
            if status == "known":
                return OrderRecord.from_message(response["record"])
            if status == "new":
                return None
            if status == "old-token":
                raise errors.UnavailableError("another VM gives the orders")
            events.emit(
                ORDER_DELAYED, order_id=request.order_id, wait_s=response["wait_s"]
            )
            await self._timer.sleep(response["wait_s"])

    async def _send(self, request: OrderRequest) -> OrderRecord:
        target = self._target(request)
        # Nothing may be awaited between this check and the send, so that the lease
        # is still valid when the order is sent.
        if self._lease.remaining_s() < MIN_LEASE_TO_SEND_S:
            events.emit(ORDER_WITHHELD, order_id=request.order_id)
            return await self._record_outcome(request, OrderState.NOT_SENT)
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
        acknowledged = False
        try:
            report = await self._timer.wait_for(
                self._engines.order(target, request.to_order(token)), ORDER_TIMEOUT_S
            )
            acknowledged = True
            if target.checks_fencing and is_order_applied(report, request) is not False:
                return await self._record_outcome(request, OrderState.DONE)
        except errors.TargetRefusedError:
            return await self._record_outcome(request, OrderState.REFUSED)
        except (errors.TargetError, errors.DeadlineExceededError):
            pass
        return await self._record_outcome(
            request, await self._read_back(target, request, acknowledged)
        )

    async def _resolve(self, record: OrderRecord) -> OrderRecord:
        """Determine the outcome of an order that was recorded and perhaps sent."""
        target = self._configuration().targets.get(record.request.target)
        state = OrderState.UNSEEN
        if target is not None:
            state = await self._read_back(target, record.request, acknowledged=False)
        return await self._record_outcome(record.request, state)

    async def _read_back(
        self, target: Target, request: OrderRequest, acknowledged: bool
    ) -> OrderState:
        """Poll an engine's reports until one shows the order as applied.

        After `read_back_s` without such a report, the order counts as UNSEEN.

        Args:
          target: the engine.
          request: the order.
          acknowledged: whether the engine has acknowledged the order.
        """
        started_s = self._timer.now_s()
        while True:
            try:
                report = await self._engines.load(target)
                applied = is_order_applied(report, request)
            except errors.TargetError:
                applied = False
            waited_s = self._timer.now_s() - started_s
            if applied or (
                applied is None and acknowledged and waited_s >= REPORT_LAG_S
            ):
                return OrderState.DONE
            if waited_s >= self._settings.read_back_s:
                return OrderState.UNSEEN
            await self._timer.sleep(READ_BACK_PERIOD_S)

    async def _record_outcome(
        self, request: OrderRequest, state: OrderState
    ) -> OrderRecord:
        """Record an outcome; return the record with the first recorded outcome.

        Raises:
          UnavailableError: another VM is the orderer now and resolves the order.
        """
        message = {
            "order_id": request.order_id,
            "token": self._lease.token,
            "state": state.value,
        }
        response = await self._control.propose(
            "orders.done", message, PROPOSE_TIMEOUT_S
        )
        if "record" not in response:
            raise errors.UnavailableError("another VM gives the orders")
        record = OrderRecord.from_message(response["record"])
        events.emit(ORDER_ENDED, order_id=request.order_id, state=record.state.value)
        return record
