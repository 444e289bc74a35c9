"""Log replication from the leader to one other member."""

from __future__ import annotations

import asyncio
import zlib
from typing import TYPE_CHECKING

from endivesill import errors
from endivesill.control.core import ReplicaCore
from endivesill.control.entries import LogEntry
from endivesill.control.messages import (
    APPEND_PATH,
    CHUNK_PATH,
    AppendRequest,
    AppendResponse,
    ChunkRequest,
    ChunkResponse,
    from_message,
    to_message,
)
from endivesill.control.progress import PeerProgress

if TYPE_CHECKING:
    from endivesill.control.leadership import Leadership

__all__ = ["PeerReplication"]

MAX_IN_FLIGHT_CALLS = 4
COMMIT_NOTICE_DELAY_S = 0.02


class PeerReplication:
    """Sends log entries, snapshots and heartbeats to one member.

    One call at a time is in flight until the logs are known to match; after that
    calls are pipelined, each with the entries appended since the previous one.

    Args:
      core: the leader's shared state.
      leadership: the leadership that this replication belongs to.
      identity: the identity of the member.
      address: the peer address of the member.

    Attributes:
      progress: the member's replication progress.
      task: the task that runs `run`, or None before it is started.
    """

    def __init__(
        self, core: ReplicaCore, leadership: Leadership, identity: str, address: str
    ) -> None:
        self._core = core
        self._leadership = leadership
        self._identity = identity
        self._address = address
        self._next_index = core.log.last_index + 1
        self._in_flight_calls = 0
        self._logs_match = False
        self._last_call_failed = False
        self._heartbeat_due = True
        self._last_sent_s = float("-inf")
        self._last_sent_commit_index = 0
        self._commit_notice_due = False
        self._wakeup = asyncio.Event()
        self.progress = PeerProgress(core.timer.now_s())
        self.task: asyncio.Task[None] | None = None

    def wake(self) -> None:
        """Make `run` check again whether there is something to send."""
        self._wakeup.set()

    def tick(self) -> None:
        """Handle the heartbeat timer; also allows a retry after a failed call."""
        self._last_call_failed = False
        heartbeat_s = self._core.settings.heartbeat_s
        if self._core.timer.now_s() - self._last_sent_s >= heartbeat_s / 2:
            self._heartbeat_due = True
        self.wake()

    def request_heartbeat(self) -> None:
        """Send a heartbeat at once, even if another call was just sent."""
        self._heartbeat_due = True
        self.wake()

    def schedule_commit_notice(self) -> None:
        """Send the commit index soon, unless another request carries it first."""
        if not self._commit_notice_due:
            self._commit_notice_due = True
            self._core.timer.call_after(COMMIT_NOTICE_DELAY_S, self._send_commit_notice)

    def _send_commit_notice(self) -> None:
        self._commit_notice_due = False
        if self._last_sent_commit_index >= self._core.commit_index:
            return
        if self._core.timer.now_s() - self._last_sent_s < COMMIT_NOTICE_DELAY_S:
            # Another call was just sent; the next one may carry the commit index.
            self.schedule_commit_notice()
        else:
            self.request_heartbeat()

    async def run(self) -> None:
        """Send entries, snapshots and heartbeats until cancelled."""
        while True:
            if not self._should_send():
                self._wakeup.clear()
                await self._wakeup.wait()
            elif self._next_index <= self._core.log.base_index:
                await self._send_snapshot()
            else:
                self._send_entries()

    def _should_send(self) -> bool:
        if self._in_flight_calls >= (MAX_IN_FLIGHT_CALLS if self._logs_match else 1):
            return False
        has_entries = self._next_index <= self._core.log.last_index
        return self._heartbeat_due or (has_entries and not self._last_call_failed)

    def _send_entries(self) -> None:
        core = self._core
        entries = self._next_entries()
        previous_index = self._next_index - 1
        request = AppendRequest(
            cluster=core.cluster,
            to=self._identity,
            leader=core.identity,
            address=core.transport.address,
            term=self._leadership.term,
            previous_index=previous_index,
            previous_term=core.log.term_at(previous_index) or 0,
            commit_index=core.commit_index,
            rows=[entry.to_row() for entry in entries],
        )
        if self._logs_match:
            self._next_index += len(entries)
        self._in_flight_calls += 1
        self._heartbeat_due = False
        self._last_sent_s = core.timer.now_s()
        self._last_sent_commit_index = core.commit_index
        self._leadership.run_task(self._send_append(request))

    def _next_entries(self) -> list[LogEntry]:
        """Return the entries of the next request, within its bounds."""
        core = self._core
        last = self._next_index + core.settings.batch_entries - 1
        entries = core.log.entries(self._next_index, min(last, core.log.last_index))
        size_bytes = 0
        for count, entry in enumerate(entries):
            size_bytes += len(entry.body)
            if count and size_bytes > core.settings.batch_bytes:
                return entries[:count]
        return entries

    async def _send_append(self, request: AppendRequest) -> None:
        core = self._core
        sent_s = core.timer.now_s()
        settings = core.settings
        timeout_s = (
            settings.election_timeout_s if request.rows else settings.heartbeat_s
        )
        try:
            message = await core.transport.call(
                self._address, APPEND_PATH, to_message(request), timeout_s
            )
            response = from_message(AppendResponse, message)
        except errors.PeerUnreachableError:
            # Retried at the next heartbeat.
            self._last_call_failed = True
            self._reset_next_index(self.progress.match_index + 1)
            return
        finally:
            self._in_flight_calls -= 1
            self.wake()
        if response.term > core.term:
            core.advance_term(response.term)
            return
        self._handle_response(request, response, sent_s)

    def _handle_response(
        self, request: AppendRequest, response: AppendResponse, sent_s: float
    ) -> None:
        progress = self.progress
        progress.last_contact_s = max(progress.last_contact_s, sent_s)
        if response.success:
            progress.match_index = max(progress.match_index, response.last_index)
            self._next_index = max(self._next_index, progress.match_index + 1)
            self._logs_match = True
        else:
            self._reset_next_index(min(request.previous_index, response.last_index + 1))
        self._leadership.handle_response()

    def _reset_next_index(self, index: int) -> None:
        self._logs_match = False
        self._next_index = max(index, self.progress.match_index + 1)

    async def _send_snapshot(self) -> None:
        core = self._core
        header = core.storage.snapshot_header
        assert header is not None
        text = core.storage.snapshot_text()
        checksum = zlib.crc32(text.encode("ascii"))
        offset = 0
        while True:
            end = offset + core.settings.chunk_bytes
            request = ChunkRequest(
                cluster=core.cluster,
                to=self._identity,
                leader=core.identity,
                address=core.transport.address,
                term=self._leadership.term,
                index=header.index,
                offset=offset,
                size=len(text),
                checksum=checksum,
                text=text[offset:end],
            )
            response = await self._send_chunk(request)
            if response is None:
                await core.timer.sleep(core.settings.heartbeat_s)
                return
            if response.installed:
                self._handle_installed(header.index)
                return
            offset = response.offset

    async def _send_chunk(self, request: ChunkRequest) -> ChunkResponse | None:
        core = self._core
        sent_s = core.timer.now_s()
        self._last_sent_s = sent_s
        timeout_s = 2 * core.settings.election_timeout_s
        try:
            message = await core.transport.call(
                self._address, CHUNK_PATH, to_message(request), timeout_s
            )
            response = from_message(ChunkResponse, message)
        except errors.PeerUnreachableError:
            return None
        if response.term > core.term:
            core.advance_term(response.term)
            return None
        self.progress.last_contact_s = max(self.progress.last_contact_s, sent_s)
        self._leadership.handle_response()
        return response

    def _handle_installed(self, index: int) -> None:
        self.progress.match_index = max(self.progress.match_index, index)
        self._next_index = self.progress.match_index + 1
        self._leadership.handle_response()
