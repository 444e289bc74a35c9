"""Copies the memory of a run to another engine, so that it can go on there.

The run is not stopped while it is copied: an engine that goes on from a copy reads
the few tokens that the copy lacks faster than they could be copied.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from endivesill import errors, events
from endivesill.forwarding.call import Call
from endivesill.forwarding.events import RUN_COPIED
from endivesill.forwarding.protocol import EngineProtocol
from endivesill.forwarding.targets import Target
from endivesill.http1 import ConnectionPool, UpstreamError
from endivesill.timer import TimerService

__all__ = ["CopyFailedError", "RunCopy", "RunCopier"]

# A run of some thousand tokens takes a fifth of a second on a free link; runs
# of one engine are copied one after the other.
COPY_TIMEOUT_S = 4.0
# Period in which a copy takes up what the run has made since; well within the
# time for which an engine keeps a copy that nobody asks for.
REFRESH_S = 1.5
RELEASE_TIMEOUT_S = 1.0


class CopyFailedError(errors.EndivesillError):
    """An engine that did not copy a run."""


class RunCopier:
    """Orders engines to copy runs.

    Args:
      timer: the timer service.
      pool: connections to targets.
      protocol: writes and reads the orders.
    """

    def __init__(
        self, timer: TimerService, pool: ConnectionPool, protocol: EngineProtocol
    ) -> None:
        self.timer = timer
        self._pool = pool
        self._protocol = protocol

    async def copy(self, call: Call, source: Target, destination: Target) -> str:
        """Copy a run and return the name of the copy, as the source has it.

        Args:
          call: the request that runs.
          source: where it runs.
          destination: who gets the copy.

        Raises:
          CopyFailedError: there is no copy.
        """
        order = self._protocol.encode_copy_order(
            source.info.address, call.info.attempt_id, destination.info.address
        )
        status, body = await self._exchange(source, order, COPY_TIMEOUT_S)
        if status != 200:
            raise CopyFailedError(f"status {status}")
        return self._protocol.decode_copy_name(body)

    async def release(self, source: Target, name: str) -> None:
        """Free a copy that is not needed any more."""
        order = self._protocol.encode_copy_release(source.info.address, name)
        await self._exchange(source, order, RELEASE_TIMEOUT_S)

    async def _exchange(
        self, source: Target, order: bytes, timeout_s: float
    ) -> tuple[int, bytes]:
        try:
            head, body = await self.timer.wait_for(
                self._pool.exchange(source.info.address, order), timeout_s
            )
        except (UpstreamError, errors.DeadlineExceededError) as error:
            raise CopyFailedError(str(error)) from None
        return head.status, body


class RunCopy:
    """A copy of one run at another engine, kept up to date.

    Args:
      copier: orders the copies.
      call: the request that runs.
      source: where it runs.
      destination: who gets the copy; a place is taken there.
      on_copied: called after each copy.

    Attributes:
      destination: who has the copy.
      name: names the copy; empty before there is one.
      has_failed: whether there will be none.
    """

    def __init__(
        self,
        copier: RunCopier,
        call: Call,
        source: Target,
        destination: Target,
        on_copied: Callable[[], None],
    ) -> None:
        self._on_copied = on_copied
        self._copier = copier
        self._call = call
        self._source = source
        self._task: asyncio.Task[None] | None = None
        self._handle = ""
        self._claimed = False
        self.destination = destination
        self.has_failed = False

    @property
    def name(self) -> str:
        """Names the copy for the engine that goes on from it."""
        if not self._handle:
            return ""
        return f"{self._source.info.address}/{self._handle}"

    def start(self) -> None:
        """Make the copy in the background."""
        self._task = asyncio.ensure_future(self._run())

    def claim(self) -> str:
        """Return the copy's name for the engine that goes on from it."""
        self._claimed = True
        return self.name

    def close(self) -> None:
        """End the copy; one that is not used is freed."""
        if self._task is not None:
            self._task.cancel()
            self.destination.release_copy(self._call.demand)
            self._task = None
        if self._handle and not self._claimed:
            asyncio.ensure_future(self._release())

    async def _run(self) -> None:
        await self._copy()
        while not self.has_failed:
            await self._copier.timer.sleep(REFRESH_S)
            await self._copy()

    async def _copy(self) -> None:
        try:
            self._handle = await self._copier.copy(
                self._call, self._source, self.destination
            )
            outcome = "copied"
        except CopyFailedError as error:
            self.has_failed = True
            outcome = str(error)
        events.emit(
            RUN_COPIED,
            request_id=self._call.info.attempt_id,
            source=self._source.info.identity,
            destination=self.destination.info.identity,
            outcome=outcome,
        )
        self._on_copied()

    async def _release(self) -> None:
        try:
            await self._copier.release(self._source, self._handle)
        except CopyFailedError as error:
            # The engines free it themselves some seconds later.
            events.emit(
                RUN_COPIED,
                request_id=self._call.info.attempt_id,
                source=self._source.info.identity,
                destination=self.destination.info.identity,
                outcome=f"not freed: {error}",
            )
