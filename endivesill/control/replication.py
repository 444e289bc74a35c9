"""Replication from the leader to one replica, in a task of its own."""

from __future__ import annotations

import asyncio
import zlib
from typing import TYPE_CHECKING

from endivesill import errors
from endivesill.control.core import ReplicaCore
from endivesill.control.messages import (
    APPEND_PATH,
    CHUNK_PATH,
    AppendAnswer,
    AppendRequest,
    ChunkAnswer,
    ChunkRequest,
    from_message,
    to_message,
)
from endivesill.control.progress import Progress

if TYPE_CHECKING:
    from endivesill.control.leadership import Leadership

__all__ = ["PeerReplication"]

WINDOW_CALLS = 4
COMMIT_NOTICE_S = 0.02


class PeerReplication:
    """Sends one replica what it lacks.

    Until the logs agree there is one call at a time; then up to a window of
    calls is under way, each with all entries that have come meanwhile.

    Args:
      core: the replica's shared state.
      leadership: the term that this belongs to.
      identity: the other replica.
      address: its peer address.

    Attributes:
      progress: what is known of the replica.
      task: the task that runs `run`.
    """

    def __init__(
        self, core: ReplicaCore, leadership: Leadership, identity: str, address: str
    ) -> None:
        self._core = core
        self._leadership = leadership
        self._identity = identity
        self._address = address
        self._next_index = core.log.last_index + 1
        self._calls = 0
        self._agreed = False
        self._failed = False
        self._heartbeat_due = True
        self._sent_s = float("-inf")
        self._sent_commit_index = 0
        self._notice_due = False
        self._woken = asyncio.Event()
        self.progress = Progress(core.timer.now_s())
        self.task: asyncio.Task[None] | None = None

    def wake(self) -> None:
        """Look whether there is something to send."""
        self._woken.set()

    def tick(self) -> None:
        """Note that a heartbeat's time has come."""
        self._failed = False
        heartbeat_s = self._core.settings.heartbeat_s
        if self._core.timer.now_s() - self._sent_s >= heartbeat_s / 2:
            self._heartbeat_due = True
        self.wake()

    def request_heartbeat(self) -> None:
        """Send a heartbeat now."""
        self._heartbeat_due = True
        self.wake()

    def note_commit(self) -> None:
        """Tell the replica of a commit soon, unless entries carry it anyway."""
        if not self._notice_due:
            self._notice_due = True
            self._core.timer.call_after(COMMIT_NOTICE_S, self._send_notice)

    def _send_notice(self) -> None:
        self._notice_due = False
        if self._sent_commit_index >= self._core.commit_index:
            return
        if self._core.timer.now_s() - self._sent_s < COMMIT_NOTICE_S:
            # Calls are frequent; one of the next will tell.
            self.note_commit()
        else:
            self.request_heartbeat()

    async def run(self) -> None:
        """Replicate until the task is cancelled."""
        while True:
            if not self._must_send():
                self._woken.clear()
                await self._woken.wait()
            elif self._next_index <= self._core.log.base_index:
                await self._send_snapshot()
            else:
                self._send_entries()

    def _must_send(self) -> bool:
        if self._calls >= (WINDOW_CALLS if self._agreed else 1):
            return False
        has_entries = self._next_index <= self._core.log.last_index
        return self._heartbeat_due or (has_entries and not self._failed)

    def _send_entries(self) -> None:
        core = self._core
        last = self._next_index + core.settings.batch_entries - 1
        entries = core.log.entries(self._next_index, min(last, core.log.last_index))
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
        if self._agreed:
            self._next_index += len(entries)
        self._calls += 1
        self._heartbeat_due = False
        self._sent_s = core.timer.now_s()
        self._sent_commit_index = core.commit_index
        self._leadership.run_task(self._exchange(request))

    async def _exchange(self, request: AppendRequest) -> None:
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
            answer = from_message(AppendAnswer, message)
        except errors.PeerUnreachableError:
            # The next heartbeat tries again.
            self._failed = True
            self._go_back(self.progress.match_index + 1)
            return
        finally:
            self._calls -= 1
            self.wake()
        if answer.term > core.term:
            core.note_term(answer.term)
            return
        self._take_answer(request, answer, sent_s)

    def _take_answer(
        self, request: AppendRequest, answer: AppendAnswer, sent_s: float
    ) -> None:
        progress = self.progress
        progress.answered_s = max(progress.answered_s, sent_s)
        if answer.success:
            progress.match_index = max(progress.match_index, answer.last_index)
            self._next_index = max(self._next_index, progress.match_index + 1)
            self._agreed = True
        else:
            self._go_back(min(request.previous_index, answer.last_index + 1))
        self._leadership.note_answer()

    def _go_back(self, index: int) -> None:
        self._agreed = False
        self._next_index = max(index, self.progress.match_index + 1)

    async def _send_snapshot(self) -> None:
        core = self._core
        head = core.storage.head
        assert head is not None
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
                index=head.index,
                offset=offset,
                size=len(text),
                checksum=checksum,
                text=text[offset:end],
            )
            answer = await self._send_chunk(request)
            if answer is None:
                await core.timer.sleep(core.settings.heartbeat_s)
                return
            if answer.installed:
                self._note_installed(head.index)
                return
            offset = answer.offset

    async def _send_chunk(self, request: ChunkRequest) -> ChunkAnswer | None:
        core = self._core
        sent_s = core.timer.now_s()
        self._sent_s = sent_s
        timeout_s = 2 * core.settings.election_timeout_s
        try:
            message = await core.transport.call(
                self._address, CHUNK_PATH, to_message(request), timeout_s
            )
            answer = from_message(ChunkAnswer, message)
        except errors.PeerUnreachableError:
            return None
        if answer.term > core.term:
            core.note_term(answer.term)
            return None
        self.progress.answered_s = max(self.progress.answered_s, sent_s)
        self._leadership.note_answer()
        return answer

    def _note_installed(self, index: int) -> None:
        self.progress.match_index = max(self.progress.match_index, index)
        self._next_index = self.progress.match_index + 1
        self._leadership.note_answer()
