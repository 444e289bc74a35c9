"""Attempts of one request: routing, retries and what is known of their execution."""

from __future__ import annotations

from endivesill import errors, events
from endivesill.configuration.model import Organisation, Service
from endivesill.entry.context import EntryContext
from endivesill.entry.events import REQUEST_RETRIED
from endivesill.routing import Grant, RouteRequest

__all__ = ["Attempts"]

DEADLINE_STATUS = 504
RETRY_AFTER_S = 1.0


class Attempts:
    """Acquires grants and decides whether a failed attempt is retried.

    Args:
      context: services shared by the modules of the entry.
      service: the service of the request.
      organisation: the organisation of the caller.
      request_id: the id of the request.

    Attributes:
      deadline_s: deadline of the first response byte, on the timer's clock.
      run: UNKNOWN once any attempt may have run, else NOT_RUN.
    """

    def __init__(
        self,
        context: EntryContext,
        service: Service,
        organisation: Organisation,
        request_id: str,
    ) -> None:
        self._context = context
        self._service = service
        self._organisation = organisation
        self._request_id = request_id
        self._excluded: set[str] = set()
        self._failures = 0
        self.deadline_s = context.timer.now_s() + service.deadline_s
        self.run = errors.RunState.NOT_RUN

    async def acquire(
        self,
        prompt_tokens: int = 0,
        prefix: tuple[str, ...] = (),
        maximum_output_tokens: int = 0,
    ) -> Grant:
        """Return a grant for the next attempt.

        Raises:
          RefusedError: no grant; its `run` also covers earlier attempts.
        """
        route = RouteRequest(
            request_id=self._request_id,
            service=self._service,
            organisation=self._organisation,
            prompt_tokens=prompt_tokens,
            prefix=prefix,
            maximum_output_tokens=maximum_output_tokens,
            priority=self._service.priority,
            deadline_s=self.deadline_s,
            excluded=frozenset(self._excluded),
        )
        try:
            self._context.check_lease()
            return await self._context.router.acquire(route)
        except errors.RefusedError as error:
            if error.run is errors.RunState.NOT_RUN:
                error.run = self.run
            raise

    def final_error(self, error: errors.TargetError) -> errors.EndivesillError:
        """Return the error for the caller when a failed attempt is not retried."""
        self._update_run_state(error)
        if self.run is errors.RunState.UNKNOWN:
            return errors.TargetError(str(error))
        return errors.RefusedError(_refusal_reason(error), retry_after_s=RETRY_AFTER_S)

    async def back_off(self, grant: Grant, error: errors.TargetError) -> None:
        """Sleep for the backoff before the next attempt.

        Raises:
          EndivesillError: the deadline or the retry budget allows no retry.
        """
        self._update_run_state(error)
        self._failures += 1
        wait_s = self._context.budget.retry_after_s(
            self._service.name, self._organisation.name, self._failures
        )
        if self._context.timer.now_s() + (wait_s or 0.0) >= self.deadline_s:
            raise errors.RefusedError(
                "deadline", run=self.run, status=DEADLINE_STATUS
            ) from error
        if wait_s is None:
            raise self.final_error(error) from error
        if not isinstance(error, errors.GrantExpiredError):
            self._excluded.add(grant.target.name)
        events.emit(
            REQUEST_RETRIED,
            request_id=self._request_id,
            target=grant.target.name,
            error=str(error),
            wait_s=wait_s,
        )
        await self._context.timer.sleep(wait_s)

    def succeeded(self) -> None:
        """Credit the retry budget with an answered request."""
        self._context.budget.succeeded(self._service.name, self._organisation.name)

    def _update_run_state(self, error: errors.TargetError) -> None:
        if error.run is errors.RunState.UNKNOWN:
            self.run = errors.RunState.UNKNOWN


def _refusal_reason(error: errors.TargetError) -> str:
    if isinstance(error, errors.GrantExpiredError):
        return "grant-expired"
    if isinstance(error, errors.TargetUnreachableError):
        return "target-unreachable"
    return "target-refused"
