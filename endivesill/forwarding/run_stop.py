"""Stops the runs that an entry has given up.

Most engines drop a run when its connection closes. Some work on, and none sees the end
of a connection that has gone silent. Engines stop a run for certain only on an order,
which also copies it to another engine.

What is known of the end of a run decides whether its stream may go on at another
engine; see `RunEnding.allows_resume`.
"""

from __future__ import annotations

import asyncio
import collections
import enum

import attrs

from endivesill import errors, events
from endivesill.forwarding.call import Call
from endivesill.forwarding.events import RUN_STOPPED
from endivesill.forwarding.run_copy import CopyRefusedError, RunCopier, StoppedRun
from endivesill.forwarding.target_links import TargetLinks
from endivesill.forwarding.targets import Target, TargetTable

__all__ = ["AbandonedRun", "RunEnding", "RunState", "RunStopper"]

# Time after which engines that drop runs have seen the end of a connection; they have
# no run to copy then. It is a quarter of the time that two engines may work on a run.
CLOSE_LAG_S = 0.1
# The same for a stream that waits for it; routes allow pauses of less than 0.2 s.
MOVE_LAG_S = 0.03
# Pause before the second order to an engine that has not carried out the first, such as
# one that still copies the run; doubled before each further one.
RETRY_DELAY_S = 0.05
MAX_ORDERS = 6
# Pauses between two attempts to reach an engine that could not be connected to.
MIN_REACH_PERIOD_S = 0.5
MAX_REACH_PERIOD_S = 4.0
# Longest wait of a stream for the answer to an order, with a connection that has ended
# and with one that has gone silent. An engine that answers no new connection in this
# time counts as not reached.
BROKEN_WAIT_S = 0.1
SILENT_WAIT_S = 1.0
SETTLE_POLL_PERIOD_S = 0.02


class RunState(enum.Enum):
    """What an entry knows of a run that it has given up."""

    # Nothing yet, or an order got no answer.
    UNKNOWN = "unknown"
    # The engine has refused an order, or cannot be ordered to stop it.
    RUNNING = "running"
    # The engine has stopped it, or has no such run.
    STOPPED = "stopped"
    # The engine has ended.
    ENDED = "engine-ended"
    # The engine cannot be connected to.
    UNREACHED = "unreached"
    # No order can stop it, but its connection has been closed.
    CLOSED = "closed"


@attrs.frozen
class AbandonedRun:
    """A run that an entry has given up.

    Attributes:
      call: the request.
      source: the engine that may work on it.
      destination: the engine that is to receive the copy; None for any.
      is_silent: whether the connection has gone silent.
      is_unreached: whether no connection to the engine can be established.
      was_closed: whether the entry has closed the connection.
      is_proxied: whether the run was sent through another entry.
      resumes: whether another engine is to go on with it.
    """

    call: Call
    source: Target
    destination: Target | None = None
    is_silent: bool = False
    is_unreached: bool = False
    was_closed: bool = False
    is_proxied: bool = False
    resumes: bool = False


class RunEnding:
    """The end of one run that was given up.

    Args:
      copier: sends the orders.
      table: the targets.
      links: the targets that this entry reaches.
      run: the run.

    Attributes:
      run: the run.
      state: what is known of it.
      stopped: what its engine has left of it; None unless it has stopped it.
    """

    def __init__(
        self,
        copier: RunCopier,
        table: TargetTable,
        links: TargetLinks,
        run: AbandonedRun,
    ) -> None:
        self._copier = copier
        self._timer = copier.timer
        self._table = table
        self._links = links
        self.run = run
        self.state = RunState.UNREACHED if run.is_unreached else RunState.UNKNOWN
        self.stopped: StoppedRun | None = None
        self._orders = 0
        # Open connections may have gone silent together with that of the run.
        self._uses_new_connection = run.is_silent or run.resumes
        self._copy_in_use = ""
        self._is_superseded = False
        self._settled = asyncio.Event()
        self._concluded = asyncio.Event()

    @property
    def is_settled(self) -> bool:
        """Whether the run has stopped, has ended, or cannot be reached for now."""
        return self._settled.is_set()

    async def allows_resume(self) -> bool:
        """Return whether another engine may go on with the run.

        It may once the engine before has stopped, has ended or cannot be reached. While
        that engine is known to work on the run, this waits for the orders that follow.
        """
        wait_s = SILENT_WAIT_S if self.run.is_silent else BROKEN_WAIT_S
        try:
            await self._timer.wait_for(self._settled.wait(), wait_s)
        except errors.DeadlineExceededError:
            while self.state is RunState.RUNNING and not self.is_settled:
                await self._timer.sleep(SETTLE_POLL_PERIOD_S)
        return self.state is not RunState.RUNNING

    def conclude(self, copy_in_use: str = "") -> None:
        """Release what the run leaves once it has stopped.

        Args:
          copy_in_use: name of the copy that is kept, as another run resumes from it.
        """
        self._copy_in_use = copy_in_use
        self._concluded.set()

    def supersede(self) -> None:
        """Send no more orders, as the engine takes the same run up again."""
        self._is_superseded = True

    async def end(self, delay_s: float) -> None:
        """Stop the run and release what it leaves.

        Args:
          delay_s: time in which its engine may drop it by itself.
        """
        try:
            await self._timer.sleep(delay_s)
            await self._stop()
        finally:
            self._settled.set()
        await self._concluded.wait()
        await self._release()

    def _settle(self, state: RunState) -> None:
        self.state = state
        self._settled.set()

    async def _stop(self) -> None:
        """Order the engine to stop the run until that is settled."""
        source = self.run.source
        if self.state is RunState.UNREACHED:
            self._settled.set()
            if not await self._is_reached_again():
                return
        destinations = self._destinations()
        if not destinations:
            silent = self.run.is_silent
            self._settle(RunState.RUNNING if silent else RunState.CLOSED)
            self._log("no order can stop it")
            return
        outcome = ""
        while self._orders < MAX_ORDERS:
            if self._is_superseded:
                return
            if source.is_replaced:
                self._settle(RunState.ENDED)
                self._log("another target has its address")
                return
            destination = destinations[self._orders % len(destinations)]
            try:
                self.stopped = await self._order(destination)
            except CopyRefusedError as error:
                outcome = str(error)
                if not await self._may_order_again(error):
                    return
                continue
            self._settle(RunState.STOPPED)
            if self.stopped.was_running:
                self._log("stopped")
            return
        if self.state is RunState.UNKNOWN:
            self._settle(RunState.UNREACHED)
        self._log(outcome)

    async def _order(self, destination: Target) -> StoppedRun:
        self._orders += 1
        is_unreached = self.state is RunState.UNREACHED
        return await self._copier.stop(
            self.run.call,
            self.run.source,
            destination,
            on_new_connection=self._uses_new_connection,
            is_direct=not (self.run.is_proxied or is_unreached),
        )

    async def _may_order_again(self, error: CopyRefusedError) -> bool:
        """Record why an order has failed; return once the next one may be sent.

        Returns:
          False if none is needed any more.
        """
        info = self.run.source.info
        if error.is_refused and not self._links.is_network_suspect(info):
            self._settle(RunState.ENDED)
            self._log(str(error))
            return False
        if not error.is_sent:
            self._settle(RunState.UNREACHED)
            if await self._is_reached_again():
                return True
            self._log(str(error))
            return False
        if error.is_answered:
            self.state = RunState.RUNNING
        else:
            if not self.is_settled:
                self.state = RunState.UNKNOWN
            self._uses_new_connection = not self._uses_new_connection
        if self._orders < MAX_ORDERS:
            await self._timer.sleep(RETRY_DELAY_S * 2 ** (self._orders - 1))
        return True

    async def _is_reached_again(self) -> bool:
        """Wait until an engine may be reached again, by this entry or another one.

        Returns:
          False if it has left or takes the run up again, or if the caller's time is
          over, so that engines end the run by themselves.
        """
        source, info = self.run.source, self.run.source.info
        period_s = MIN_REACH_PERIOD_S
        while True:
            await self._timer.sleep(period_s)
            if not source.listed or source.is_replaced or self._is_superseded:
                return False
            if self._timer.now_s() >= self.run.call.caller_deadline_s:
                return False
            if (
                not self._links.is_lost(info)
                or self.run.is_proxied
                or self._links.is_network_suspect(info)
            ):
                return True
            period_s = min(MAX_REACH_PERIOD_S, 2 * period_s)

    def _destinations(self) -> list[Target]:
        """Return where the run may be copied to, in the order to try them."""
        run, table = self.run, self._table
        engine = run.call.service.model_engine
        if engine is None or not engine.has_moves:
            return []
        service = run.call.service.name
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
        return others or [run.source]

    async def _release(self) -> None:
        """Release what the stopped run leaves, unless another run resumes from it."""
        stopped = self.stopped
        if stopped is None or not stopped.handle:
            return
        if stopped.copy_name == self._copy_in_use:
            return
        try:
            await self._copier.release(self.run.source, stopped.handle)
        except CopyRefusedError as error:
            # Engines discard unused copies after some seconds.
            self._log(f"stopped, copy not freed: {error}")

    def _log(self, outcome: str) -> None:
        events.emit(
            RUN_STOPPED,
            request_id=self.run.call.info.attempt_id,
            target=self.run.source.info.identity,
            is_silent=self.run.is_silent,
            state=self.state.value,
            orders=self._orders,
            outcome=outcome,
        )


class RunStopper:
    """Ends the runs that an entry has given up.

    Args:
      copier: sends the orders.
      table: the targets.
      links: the targets that this entry reaches.
    """

    def __init__(
        self, copier: RunCopier, table: TargetTable, links: TargetLinks
    ) -> None:
        self._copier = copier
        self._table = table
        self._links = links
        self._endings: dict[asyncio.Task[None], RunEnding] = {}
        self._ended: collections.Counter[RunState] = collections.Counter()

    def begin(self, run: AbandonedRun) -> RunEnding:
        """Begin to end a run; the caller calls `RunEnding.conclude` later."""
        delay_s = CLOSE_LAG_S
        if run.resumes:
            delay_s = MOVE_LAG_S if run.was_closed else 0.0
        ending = RunEnding(self._copier, self._table, self._links, run)
        task = asyncio.ensure_future(ending.end(delay_s))
        self._endings[task] = ending
        task.add_done_callback(self._note_done)
        return ending

    def supersede(self, call: Call, target: Target) -> None:
        """Stop no earlier run of a call at an engine where it is resumed now.

        Both have the same id, so that an order would stop the resumed run.
        """
        for ending in self._endings.values():
            if ending.run.call is call and ending.run.source is target:
                ending.supersede()

    def _note_done(self, task: asyncio.Task[None]) -> None:
        self._ended[self._endings.pop(task).state] += 1

    async def settle(self, max_wait_s: float) -> None:
        """Wait until the runs have ended or cannot be reached, up to a time."""
        timer = self._copier.timer
        end_s = timer.now_s() + max_wait_s
        while timer.now_s() < end_s and not all(
            ending.is_settled for ending in self._endings.values()
        ):
            await timer.sleep(SETTLE_POLL_PERIOD_S)

    def metric_lines(self) -> list[str]:
        """Return how many runs are being ended, and how others ended, as metrics."""
        lines = [f"endivesill_ending_runs {len(self._endings)}"]
        return lines + [
            f'endivesill_ended_runs_total{{state="{state.value}"}} {self._ended[state]}'
            for state in RunState
        ]
