"""Whether a request may be sent to another target."""

from __future__ import annotations

from endivesill.forwarding.attempt import AttemptError
from endivesill.forwarding.call import Call
from endivesill.forwarding.retry_budget import RetryBudget
from endivesill.forwarding.stop_deadline import StopDeadline
from endivesill.forwarding.targets import TargetTable
from endivesill.timer import TimerService

__all__ = ["RetryPolicy"]

# Attempts of one request that targets rejected or that found no connection.
MAX_REJECTIONS = 4


class RetryPolicy:
    """Decides about retries, within the budget of the service.

    Args:
      timer: the timer service.
      table: the targets.
      budget: limits retries.
      stop_deadline: when this process ends its requests.
    """

    def __init__(
        self,
        timer: TimerService,
        table: TargetTable,
        budget: RetryBudget,
        stop_deadline: StopDeadline,
    ) -> None:
        self._timer = timer
        self._table = table
        self._budget = budget
        self._stop_deadline = stop_deadline

    def may_rerun(self, call: Call) -> bool:
        """Return whether a request that has run may run again at another target.

        Takes one retry from the budget if so.
        """
        return (
            call.is_idempotent
            and not call.is_suspect
            and call.runs < call.route.max_attempts
            and self._timer.now_s() < call.deadline_s
            and self._stop_deadline.leaves_time_for(call)
            and len(self._table.candidates(call.service.name, call.excluded)) > 1
            and self._budget.try_acquire(call.service.name)
        )

    def may_hedge(self, call: Call) -> bool:
        """Return whether a request that runs may run at another target as well.

        Takes one retry from the budget if so.
        """
        return call.runs + 1 < call.route.max_attempts and self.may_rerun(call)

    def may_resend(self, call: Call, error: AttemptError, rejections: int) -> bool:
        """Return whether a request without a response may be sent again.

        Takes one retry from the budget where the target has seen the request.
        """
        failure = error.failure
        if failure.not_run:
            call.may_have_run = call.runs > 0
            if rejections > MAX_REJECTIONS or self._timer.now_s() >= call.deadline_s:
                return False
            # Its caller's end has not cancelled it as long as it might have run.
            if call.exchange.disconnected.is_set():
                return False
            return not failure.reached_target or self._budget.try_acquire(
                call.service.name
            )
        call.runs += 1
        return self.may_rerun(call)
