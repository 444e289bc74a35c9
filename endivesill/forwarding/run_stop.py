"""Stops the runs that an entry has given up.

Most engines drop a run when its connection closes. Some work on, and none sees the end
of a connection that has gone silent. Engines stop a run for certain only on an order,
which also copies it to another engine.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine

import attrs

from endivesill import errors, events
from endivesill.forwarding.call import Call
from endivesill.forwarding.events import RUN_STOPPED
from endivesill.forwarding.run_copy import CopyRefusedError, RunCopier, StoppedRun
from endivesill.forwarding.targets import Target, TargetTable

__all__ = ["AbandonedRun", "RunStopper"]

# Time after which engines that drop runs have seen the end of a connection; they have
# no run to copy then. It is a quarter of the time that two engines may work on a run.
CLOSE_LAG_S = 0.1
# Pause before the next order to an engine that has not carried out the one before,
# such as one that still copies the run.
RETRY_DELAY_S = 0.1
MAX_ORDERS = 5
# Longest wait of a stream for what a stopped run leaves; the copy that the run had
# before is used after it. Engines copy a run of some thousand tokens in 0.2 s.
MAX_COPY_WAIT_S = 0.35


@attrs.frozen
class AbandonedRun:
    """A run that an entry has given up.

    Attributes:
      call: the request.
      source: the engine that may work on it.
      destination: the engine that is to receive the copy; None for any.
      is_silent: whether the connection has gone silent.
      is_proxied: whether the run was sent through another entry.
      copy_in_use: name of the copy from which the run resumes; empty if there is none.
    """

    call: Call
    source: Target
    destination: Target | None
    is_silent: bool = False
    is_proxied: bool = False
    copy_in_use: str = ""

    @property
    def resumes(self) -> bool:
        """Whether another engine goes on with the run."""
        return bool(self.copy_in_use)


class RunStopper:
    """Orders engines to stop runs.

    Args:
      copier: sends the orders.
      table: the targets.
    """

    def __init__(self, copier: RunCopier, table: TargetTable) -> None:
        self._copier = copier
        self._table = table
        self._tasks: set[asyncio.Task[StoppedRun | None]] = set()

    def stop_later(self, run: AbandonedRun) -> None:
        """Stop a run whose connection was closed, unless its engine has dropped it."""
        self._start(self._stop_and_release(run, CLOSE_LAG_S))

    async def stop(self, run: AbandonedRun) -> StoppedRun | None:
        """Stop a run and wait for a short time for what it leaves.

        Returns:
          None if the engine has not stopped the run yet; the orders go on then.
        """
        task = self._start(self._stop(run))
        try:
            await self._copier.timer.wait_for(asyncio.wait({task}), MAX_COPY_WAIT_S)
        except errors.DeadlineExceededError:
            self._start(self._release_late(run, task))
            return None
        return task.result()

    def _start(
        self, work: Coroutine[None, None, StoppedRun | None]
    ) -> asyncio.Task[StoppedRun | None]:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _stop_and_release(self, run: AbandonedRun, delay_s: float) -> None:
        await self._copier.timer.sleep(delay_s)
        await self._release(run, await self._stop(run))

    async def _release_late(
        self, run: AbandonedRun, stopping: asyncio.Task[StoppedRun | None]
    ) -> None:
        await self._release(run, await stopping)

    async def _release(self, run: AbandonedRun, stopped: StoppedRun | None) -> None:
        """Release what a stopped run leaves, unless another run resumes from it."""
        if stopped is None or not stopped.handle:
            return
        if stopped.copy_name == run.copy_in_use:
            return
        try:
            await self._copier.release(run.source, stopped.handle)
        except CopyRefusedError as error:
            # Engines discard unused copies after some seconds.
            self._log(run, f"stopped, copy not freed: {error}")

    async def _stop(self, run: AbandonedRun) -> StoppedRun | None:
        """Order the engine to stop a run, to another destination after each refusal."""
        outcome = "no other engine for the copy"
        for destination in self._destinations(run):
            try:
                stopped = await self._copier.stop(
                    run.call,
                    run.source,
                    destination,
                    on_new_connection=run.is_silent or run.resumes,
                    is_direct=not run.is_proxied,
                )
            except CopyRefusedError as error:
                outcome = str(error)
                if error.is_refused:
                    # The engine has ended.
                    break
                await self._copier.timer.sleep(RETRY_DELAY_S)
                continue
            if stopped.was_running:
                self._log(run, "stopped")
            return stopped
        self._log(run, outcome)
        return None

    def _destinations(self, run: AbandonedRun) -> list[Target]:
        """Return where to copy a run to, by order."""
        engine = run.call.service.model_engine
        if engine is None or not engine.has_moves or run.source.is_replaced:
            return []
        service, table = run.call.service.name, self._table
        preferred = [] if run.destination is None else [run.destination]
        ordered = [
            *preferred,
            *table.candidates(service, (run.source,)),
            *table.listed(service),
        ]
        others = list({id(t): t for t in ordered if t is not run.source}.values())
        if not others:
            others = [t for t in table.all_listed() if t is not run.source]
        # An engine stops a run before it tries to reach the destination.
        others = others or [run.source]
        return (others * MAX_ORDERS)[:MAX_ORDERS]

    def _log(self, run: AbandonedRun, outcome: str) -> None:
        events.emit(
            RUN_STOPPED,
            request_id=run.call.info.attempt_id,
            target=run.source.info.identity,
            is_silent=run.is_silent,
            outcome=outcome,
        )
