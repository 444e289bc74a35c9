"""The placement loop: reassigns models and roles when a demand shift persists."""

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
MIN_IDLE_REPORTS = 3

GetDemands = Callable[[], Mapping[str, ServiceDemand]]
GetReports = Callable[[], Mapping[str, LoadReport]]
IssueOrder = Callable[[OrderRequest], Awaitable[OrderRecord]]
WithholdNewWork = Callable[[str, bool], Awaitable[None]]


class PlacementLoop:
    """Decides on placement in one data centre, on the VM that is its orderer.

    Args:
      timer: the timer service.
      data_centre: the name of the data centre.
      configuration: returns the configuration in force.
      demands: returns the demand by service.
      reports: returns the latest load report by target.
      issue_order: issues an order.
      withhold_new_work: stops (True) or resumes (False) new work at a target.
      token: returns the orderer's fencing token; 0 while this VM is not orderer.
      settings: the settings of placement.
    """

    def __init__(
        self,
        timer: TimerService,
        data_centre: str,
        configuration: Callable[[], Configuration],
        demands: GetDemands,
        reports: GetReports,
        issue_order: IssueOrder,
        withhold_new_work: WithholdNewWork,
        token: Callable[[], int],
        settings: OrderSettings,
    ) -> None:
        self._timer = timer
        self._data_centre = data_centre
        self._configuration = configuration
        self._demands = demands
        self._reports = reports
        self._issue_order = issue_order
        self._withhold_new_work = withhold_new_work
        self._token = token
        self._settings = settings
        self._triggered_since_s: dict[tuple[str, str], float] = {}
        self._last_move_s = float("-inf")
        self._issued_orders = 0

    async def run(self) -> None:
        """Run placement decisions periodically until cancelled."""
        while True:
            await self._timer.sleep(self._settings.placement_period_s)
            if self._token():
                await self.step()
            else:
                self._triggered_since_s.clear()

    async def step(self) -> Decision | None:
        """Make one decision and execute it; return it, or None if there is none."""
        engines = self._engines()
        demands = self._demands()
        proposed = [plan_move(engines, demands), plan_role(engines, demands)]
        decisions = [decision for decision in proposed if decision is not None]
        decision = self._select_due(decisions)
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
        self._triggered_since_s.clear()
        await self._execute(decision, self._token())
        self._last_move_s = self._timer.now_s()
        return decision

    def _engines(self) -> list[PlacedEngine]:
        """Return the engines that may be reassigned, as their reports show them."""
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

    def _select_due(self, decisions: list[Decision]) -> Decision | None:
        """Return a decision whose trigger has persisted for the hold time, or None.

        There is none during the pause after the previous move.
        """
        now_s = self._timer.now_s()
        triggers = {decision.trigger() for decision in decisions}
        since_s = self._triggered_since_s
        for trigger in since_s.keys() - triggers:
            del since_s[trigger]
        for decision in decisions:
            if decision.trigger() not in since_s:
                since_s[decision.trigger()] = now_s
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
            if now_s - since_s[decision.trigger()] >= self._settings.placement_hold_s:
                return decision
        return None

    async def _execute(self, decision: Decision, token: int) -> None:
        if decision.kind is OrderKind.CHANGE_ROLE:
            await self._issue(decision, token)
            return
        await self._withhold_new_work(decision.target, True)
        try:
            if await self._wait_until_idle(decision.target):
                await self._issue(decision, token)
            else:
                self._log_failure(
                    decision, "the engine did not become idle within the drain limit"
                )
        finally:
            await self._withhold_new_work(decision.target, False)

    async def _wait_until_idle(self, target: str) -> bool:
        """Wait until an engine reports idle several times in a row.

        Returns:
          False if it did not become idle within the drain limit.
        """
        deadline_s = self._timer.now_s() + self._settings.drain_limit_s
        idle_reports = 0
        while idle_reports < MIN_IDLE_REPORTS:
            if self._timer.now_s() >= deadline_s:
                return False
            await self._timer.sleep(IDLE_POLL_S)
            report = self._reports().get(target)
            is_idle = report is not None and not report.running + report.waiting
            idle_reports = idle_reports + 1 if is_idle else 0
        return True

    async def _issue(self, decision: Decision, token: int) -> None:
        if self._token() != token:
            self._log_failure(decision, "the orderer lease was lost")
            return
        self._issued_orders += 1
        order_id = f"{self._data_centre}-{token}-{self._issued_orders}"
        request = OrderRequest(
            order_id,
            decision.target,
            decision.kind,
            decision.subject,
            decision.version,
        )
        try:
            record = await self._issue_order(request)
        except errors.EndivesillError as error:
            self._log_failure(decision, str(error))
            return
        if record.state is not OrderState.DONE:
            self._log_failure(decision, f"the order ended as {record.state.value}")

    def _log_failure(self, decision: Decision, detail: str) -> None:
        events.emit(
            PLACEMENT_FAILED,
            data_centre=self._data_centre,
            target=decision.target,
            detail=detail,
        )
