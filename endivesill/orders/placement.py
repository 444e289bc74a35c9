"""The placement loop: moves models and roles when demand has shifted for a while."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping

from endivesill import errors, events
from endivesill.configuration.model import Configuration
from endivesill.orders.events import (
    PLACEMENT_DECIDED,
    PLACEMENT_FAILED,
    PLACEMENT_HELD,
)
from endivesill.orders.messages import (
    OrderKind,
    OrderRecord,
    OrderRequest,
    OrderState,
)
from endivesill.orders.plan import (
    Decision,
    PlacedEngine,
    ServiceDemand,
    plan_move,
    plan_role,
)
from endivesill.orders.settings import OrderSettings
from endivesill.targets.messages import LoadReport
from endivesill.timer import TimerService

__all__ = ["PlacementLoop"]

IDLE_POLL_S = 1.0
IDLE_REPORTS = 3

Demands = Callable[[], Mapping[str, ServiceDemand]]
Reports = Callable[[], Mapping[str, LoadReport]]
Give = Callable[[OrderRequest], Awaitable[OrderRecord]]
Withhold = Callable[[str, bool], Awaitable[None]]


class PlacementLoop:
    """Decides for one data centre, at the VM that gives its orders.

    Args:
      timer: the timer service.
      data_centre: the data centre.
      configuration: returns the configuration in force.
      demands: returns the demand by service.
      reports: returns the newest load report by target.
      give: gives an order.
      withhold: keeps new work from a target, or lets it have some again.
      token: returns the orderer's fencing token; 0 while this VM is not it.
      settings: how long a shift must last.
    """

    def __init__(
        self,
        timer: TimerService,
        data_centre: str,
        configuration: Callable[[], Configuration],
        demands: Demands,
        reports: Reports,
        give: Give,
        withhold: Withhold,
        token: Callable[[], int],
        settings: OrderSettings,
    ) -> None:
        self._timer = timer
        self._data_centre = data_centre
        self._configuration = configuration
        self._demands = demands
        self._reports = reports
        self._give = give
        self._withhold = withhold
        self._token = token
        self._settings = settings
        self._motives_since_s: dict[tuple[str, str], float] = {}
        self._last_move_s = float("-inf")
        self._orders_given = 0

    async def run(self) -> None:
        """Decide for ever."""
        while True:
            await self._timer.sleep(self._settings.placement_period_s)
            if self._token():
                await self.step()
            else:
                self._motives_since_s.clear()

    async def step(self) -> Decision | None:
        """Decide once; return what was carried out."""
        engines = self._engines()
        demands = self._demands()
        wanted = [plan_move(engines, demands), plan_role(engines, demands)]
        decisions = [decision for decision in wanted if decision is not None]
        decision = self._ripe(decisions)
        if decision is None:
            return None
        events.emit(
            PLACEMENT_DECIDED,
            data_centre=self._data_centre,
            target=decision.target,
            order=decision.kind.value,
            subject=decision.subject,
            reason=decision.reason,
        )
        self._last_move_s = self._timer.now_s()
        self._motives_since_s.clear()
        await self._carry_out(decision, self._token())
        self._last_move_s = self._timer.now_s()
        return decision

    def _engines(self) -> list[PlacedEngine]:
        """Return the engines that may be moved, by what they report."""
        configuration = self._configuration()
        engines = []
        for name, report in sorted(self._reports().items()):
            target = configuration.targets.get(name)
            if target is None or target.data_centre != self._data_centre:
                continue
            if report.leaving_in_s is not None:
                continue
            if configuration.takes_new_work(target):
                service = report.model.partition("@")[0] or target.service
                engines.append(PlacedEngine(name, service, report.role, report.running))
        return engines

    def _ripe(self, decisions: list[Decision]) -> Decision | None:
        """Return a decision whose motive has lasted for long enough."""
        now_s = self._timer.now_s()
        motives = {decision.motive() for decision in decisions}
        since_s = self._motives_since_s
        for motive in since_s.keys() - motives:
            del since_s[motive]
        for decision in decisions:
            if decision.motive() not in since_s:
                since_s[decision.motive()] = now_s
                events.emit(
                    PLACEMENT_HELD,
                    data_centre=self._data_centre,
                    target=decision.target,
                    reason=decision.reason,
                    hold_s=self._settings.placement_hold_s,
                )
        if now_s - self._last_move_s < self._settings.placement_pause_s:
            return None
        for decision in decisions:
            if now_s - since_s[decision.motive()] >= self._settings.placement_hold_s:
                return decision
        return None

    async def _carry_out(self, decision: Decision, token: int) -> None:
        if decision.kind is OrderKind.CHANGE_ROLE:
            await self._order(decision, token)
            return
        await self._withhold(decision.target, True)
        try:
            if await self._is_idle_in_time(decision.target):
                await self._order(decision, token)
            else:
                self._failed(decision, "the engine did not become idle")
        finally:
            await self._withhold(decision.target, False)

    async def _is_idle_in_time(self, target: str) -> bool:
        """Wait until nothing runs on an engine, by several reports in a row."""
        deadline_s = self._timer.now_s() + self._settings.drain_limit_s
        idle_reports = 0
        while idle_reports < IDLE_REPORTS:
            if self._timer.now_s() >= deadline_s:
                return False
            await self._timer.sleep(IDLE_POLL_S)
            report = self._reports().get(target)
            is_idle = report is not None and not report.running + report.waiting
            idle_reports = idle_reports + 1 if is_idle else 0
        return True

    async def _order(self, decision: Decision, token: int) -> None:
        if self._token() != token:
            self._failed(decision, "another VM gives the orders")
            return
        self._orders_given += 1
        order_id = f"{self._data_centre}-{token}-{self._orders_given}"
        request = OrderRequest(
            order_id,
            decision.target,
            decision.kind,
            decision.subject,
            decision.version,
        )
        try:
            record = await self._give(request)
        except errors.EndivesillError as error:
            self._failed(decision, str(error))
            return
        if record.state is not OrderState.DONE:
            self._failed(decision, f"the order is {record.state.value}")

    def _failed(self, decision: Decision, detail: str) -> None:
        events.emit(
            PLACEMENT_FAILED,
            data_centre=self._data_centre,
            target=decision.target,
            detail=detail,
        )
