"""Copies the KV cache of a run to another engine, where the run can be resumed.

The run continues while it is copied: prefilling the few tokens that the copy lacks is
faster than copying them.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import attrs

from endivesill import errors, events
from endivesill.forwarding.call import Call
from endivesill.forwarding.events import RUN_COPIED
from endivesill.forwarding.protocol import EngineProtocol
from endivesill.forwarding.target_client import SendOptions, TargetClient
from endivesill.forwarding.targets import Target, TargetTable
from endivesill.http1 import ResponseHead, UpstreamError
from endivesill.timer import TimerService

__all__ = ["CopyRefusedError", "RunCopier", "RunCopy", "StoppedRun"]

# Some thousand tokens take 0.2 s on an idle link; an engine copies its runs one after
# another.
COPY_TIMEOUT_S = 4.0
# Interval at which a copy is brought up to date; well below the time after which
# engines discard an unused copy.
REFRESH_S = 1.5
RELEASE_TIMEOUT_S = 1.0
# Longest wait for a permit where the engine limits its requests; it is about to leave.
PERMIT_TIMEOUT_S = 0.5
# Answers to an order to stop a run which the engine does not have: it has ended, or
# another target answers at the address.
NO_RUN_STATUSES = (404, 421)


class CopyRefusedError(errors.EndivesillError):
    """An engine did not make or release a copy.

    Attributes:
      is_refused: whether the engine's host has refused the connection.
      is_sent: whether the order may have reached the engine.
      is_answered: whether the engine has answered it.
    """

    def __init__(
        self,
        detail: str,
        *,
        is_refused: bool = False,
        is_sent: bool = False,
        is_answered: bool = False,
    ) -> None:
        super().__init__(detail)
        self.is_refused = is_refused
        self.is_sent = is_sent
        self.is_answered = is_answered


@attrs.frozen
class StoppedRun:
    """What is left of a run that its engine does not work on any more.

    Attributes:
      source: the engine.
      destination: the engine that has a copy; None without one.
      handle: the handle of what the source keeps; empty if it keeps nothing.
      was_running: whether the engine still worked on the run.
    """

    source: Target
    destination: Target | None = None
    handle: str = ""
    was_running: bool = True

    @property
    def copy_name(self) -> str:
        """Name of the copy for the engine that resumes from it."""
        return f"{self.source.info.address}/{self.handle}"


class RunCopier:
    """Orders engines to copy and to stop runs.

    Orders that stop nothing wait like requests where an engine wants none or limits
    them. Nothing that an engine says of requests keeps an order to stop a run back: the
    engine would work on, for nobody or beside the engine that goes on with the run.

    Args:
      timer: the timer service.
      client: sends the orders.
      table: the targets; records what engines announce.
      protocol: encodes and decodes the orders.
    """

    def __init__(
        self,
        timer: TimerService,
        client: TargetClient,
        table: TargetTable,
        protocol: EngineProtocol,
    ) -> None:
        self.timer = timer
        self._client = client
        self._table = table
        self._protocol = protocol
        self._charges: set[asyncio.Task[bool]] = set()

    async def copy(self, call: Call, source: Target, destination: Target) -> str:
        """Copy a run and return the copy's handle at the source.

        Args:
          call: the request that runs.
          source: the engine that runs it.
          destination: the engine that receives the copy.

        Raises:
          CopyRefusedError: no copy was made.
        """
        await self._wait_until_accepted(source)
        order = self._protocol.encode_copy_order(
            source.info.address,
            call.info.attempt_id,
            destination.info.address,
            stops_run=False,
        )
        status, body = await self._exchange(source, order, COPY_TIMEOUT_S)
        if status != 200:
            raise CopyRefusedError(f"status {status}")
        return self._protocol.decode_copy_name(body)

    async def stop(
        self,
        call: Call,
        source: Target,
        destination: Target,
        *,
        on_new_connection: bool,
        is_direct: bool,
    ) -> StoppedRun:
        """Stop a run and copy it.

        Args:
          call: the request that runs.
          source: the engine that runs it.
          destination: the engine that receives the copy.
          on_new_connection: whether the open connections to the engine are not used;
            they may have gone silent together with that of the run.
          is_direct: whether the order is not sent through another entry.

        Raises:
          CopyRefusedError: the run may go on.
        """
        order = self._protocol.encode_copy_order(
            source.info.address,
            call.info.attempt_id,
            destination.info.address,
            stops_run=True,
        )
        self._charge(source.info.incarnation)
        status, body = await self._exchange(
            source,
            order,
            COPY_TIMEOUT_S,
            max_idle_s=0.0 if on_new_connection else None,
            is_direct=is_direct,
            stops_run=True,
        )
        if status in NO_RUN_STATUSES:
            return StoppedRun(source, was_running=False)
        # An engine that has stopped the run names what it keeps of it, also where the
        # destination has no room.
        handle = self._protocol.decode_copy_name(body) if status in (200, 503) else ""
        if not handle:
            raise CopyRefusedError(f"status {status}", is_sent=True, is_answered=True)
        return StoppedRun(source, destination if status == 200 else None, handle)

    async def release(self, source: Target, name: str) -> None:
        """Release a copy that is not needed any more.

        Raises:
          CopyRefusedError: the engine did not answer.
        """
        await self._wait_until_accepted(source)
        order = self._protocol.encode_copy_release(source.info.address, name)
        await self._exchange(source, order, RELEASE_TIMEOUT_S)

    async def _wait_until_accepted(self, source: Target) -> None:
        """Wait until an engine may be sent an order that stops nothing.

        Raises:
          CopyRefusedError: it wants no requests, or its limit leaves no room in time.
        """
        if self._table.notices.is_paused(source.info):
            raise CopyRefusedError("the engine wants no requests now")
        incarnation = source.info.incarnation
        if self._is_limited(incarnation) and not await self._table.permits.acquire(
            self.timer, incarnation, PERMIT_TIMEOUT_S
        ):
            raise CopyRefusedError("the engine's limit leaves no room")

    def _is_limited(self, incarnation: str) -> bool:
        # An order takes no slot, so that brittle engines get it without a permit.
        return self._table.permits.limit_per_s(incarnation) is not None

    def _charge(self, incarnation: str) -> None:
        """Let the requests after an order to stop a run make up for it.

        The order does not wait for the permit that it takes.
        """
        if not self._is_limited(incarnation):
            return
        charge = asyncio.ensure_future(
            self._table.permits.acquire(self.timer, incarnation, PERMIT_TIMEOUT_S)
        )
        self._charges.add(charge)
        charge.add_done_callback(self._charges.discard)

    async def _exchange(
        self,
        source: Target,
        order: bytes,
        timeout_s: float,
        *,
        max_idle_s: float | None = None,
        is_direct: bool = False,
        stops_run: bool = False,
    ) -> tuple[int, bytes]:
        is_sent = False

        def note_started() -> None:
            nonlocal is_sent
            is_sent = True

        def note_announcements(head: ResponseHead) -> None:
            response = self._protocol.decode_response(head)
            self._table.note_announcements(
                source, is_leaving=response.is_leaving, pause_s=response.pause_s
            )
            self._table.note_limit(
                source, response.limit_per_s, response.brittle_per_s, may_end=False
            )

        options = SendOptions(
            deadline_s=self.timer.now_s() + timeout_s,
            max_idle_s=max_idle_s,
            is_order=True,
            is_direct=is_direct,
            stops_run=stops_run,
            on_started=note_started,
            on_head=note_announcements,
        )
        exchange = self._client.exchange(source.info, order, options)
        try:
            head, body = await self.timer.wait_for(exchange, timeout_s)
        except (UpstreamError, errors.DeadlineExceededError) as error:
            is_refused = False
            if isinstance(error, UpstreamError):
                is_refused, is_sent = error.is_refused, error.sent
            raise CopyRefusedError(
                str(error), is_refused=is_refused, is_sent=is_sent
            ) from None
        return head.status, body


class RunCopy:
    """A copy of one run at another engine, refreshed every `REFRESH_S`.

    Args:
      copier: orders the copies.
      call: the request that runs.
      source: the engine that runs it.
      destination: receives the copy; its demand is already reserved there.
      on_copied: called after each copy, made or failed.

    Attributes:
      destination: the engine that has the copy.
      name: HOST:PORT/HANDLE of the copy; empty before it is complete.
      has_failed: whether copying has failed; it is not tried again.
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
        self.destination = destination
        self.has_failed = False

    @property
    def name(self) -> str:
        """Name of the copy for the engine that resumes from it."""
        if not self._handle:
            return ""
        return f"{self._source.info.address}/{self._handle}"

    def start(self) -> None:
        """Start copying in the background."""
        self._task = asyncio.ensure_future(self._run())

    def halt(self) -> None:
        """Stop copying and keep the copy; engines refuse a second order meanwhile."""
        if self._task is not None:
            self._task.cancel()

    def close(self, copy_in_use: str = "") -> None:
        """Stop copying and release the copy, unless a run resumes from it.

        Args:
          copy_in_use: name of the copy from which the run resumes; may be empty.
        """
        if self._task is not None:
            self._task.cancel()
            self.destination.release_copy(self._call.demand)
            self._task = None
        if self._handle and self.name != copy_in_use:
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
        except CopyRefusedError as error:
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
        except CopyRefusedError as error:
            # Engines discard unused copies after some seconds.
            events.emit(
                RUN_COPIED,
                request_id=self._call.info.attempt_id,
                source=self._source.info.identity,
                destination=self.destination.info.identity,
                outcome=f"not freed: {error}",
            )
