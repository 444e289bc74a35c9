"""The configuration and its lease on one VM, and what it passes on to others.

One task asks round after round: the control replicas, or the parent in the
distribution tree. Questions of children that arrived before a round began share
it, so that a lease passed on never outlasts the one that it rests on.
"""

from __future__ import annotations

import asyncio

import attrs

from endivesill import errors, events
from endivesill.configuration.acknowledgements import (
    Acknowledgements,
    Packed,
    pack_revisions,
)
from endivesill.configuration.copy import ConfigurationCopy, unpack_documents
from endivesill.configuration.events import (
    CONFIGURATION_IN_FORCE,
    COPY_DAMAGED,
    COPY_FETCHED,
    COPY_NOT_KEPT,
    LEASE_GAINED,
    LEASE_LOST,
    UPSTREAM_FAILED,
)
from endivesill.configuration.lease import (
    ACKNOWLEDGEMENT_KEPT_S,
    DIRECT_BELOW_S,
    DIRECT_RESERVE_S,
    GATHER_S,
    HOLD_S,
    LEASE_S,
    PARENT_RETRY_S,
    RETRY_S,
)
from endivesill.configuration.model import Configuration
from endivesill.configuration.probe import MajorityProbe, call
from endivesill.configuration.replica import DELTA_PATH, PAGE_PATH
from endivesill.configuration.source import ConfigurationSource
from endivesill.configuration.store import ConfigurationFile
from endivesill.configuration.tree import parent_of
from endivesill.kernel import Kernel
from endivesill.membership.view import MembershipView
from endivesill.peers import Message, PeerTransport

__all__ = ["WATCH_PATH", "ConfigurationWatcher"]

WATCH_PATH = "/configuration/watch"
WATCH_DELTA_PATH = "/configuration/watch/delta"
WATCH_PAGE_PATH = "/configuration/watch/page"

FETCH_TIMEOUT_S = 2.0
SAVE_DELAY_S = 2.0


@attrs.frozen(eq=False)
class _Child:
    """A child's question that waits for its answer."""

    vm: str
    revision: int
    future: asyncio.Future[Message]


class ConfigurationWatcher(ConfigurationSource):
    """Keeps the configuration in force on this VM, and its lease.

    Args:
      kernel: the process's kernel.
      transport: the peer transport; its paths `/configuration/watch...` are
        taken.
      membership: the fleet, for the place in the distribution tree.
      vm_name: this VM.
      control_addresses: the peer addresses of the control VMs.
      file: where the copy is kept on disk, or None.
    """

    def __init__(
        self,
        kernel: Kernel,
        transport: PeerTransport,
        membership: MembershipView,
        vm_name: str,
        control_addresses: tuple[str, ...],
        file: ConfigurationFile | None = None,
    ) -> None:
        super().__init__()
        self._kernel = kernel
        self._timer = kernel.timer
        self._transport = transport
        self._membership = membership
        self._vm_name = vm_name
        self._file = file
        self._copy = ConfigurationCopy()
        self._probe = MajorityProbe(
            kernel.timer, transport, vm_name, control_addresses, self._copy
        )
        self._acknowledgements = Acknowledgements(kernel.timer, ACKNOWLEDGEMENT_KEPT_S)
        self._acks_sent: tuple[str, Packed] | None = None
        self._lease_start_s = float("-inf")
        self._lease_seen = False
        self._has_news = False
        self._stopped = False
        self._direct_until_s = 0.0
        self._arrived: list[_Child] = []
        self._expected: set[str] = set()
        self._gathered = asyncio.Event()
        self._saver: asyncio.Task[None] | None = None
        self._write: asyncio.Future[None] | None = None
        self._saved_revision = 0
        self._task: asyncio.Task[None] | None = None
        transport.handle(WATCH_PATH, self._answer_watch)
        transport.handle(WATCH_DELTA_PATH, self._answer_delta)
        transport.handle(WATCH_PAGE_PATH, self._answer_page)

    def current(self) -> Configuration:
        """Return the configuration in force; see the base class."""
        return self._copy.configuration

    def holds_lease(self) -> bool:
        """Tell whether new work may start now; see the base class."""
        return self._lease_left_s() > 0

    def _lease_left_s(self) -> float:
        return self._lease_start_s + LEASE_S - self._timer.now_s()

    def control_addresses(self) -> tuple[str, ...]:
        """Return the peer addresses of the control VMs, as far as known."""
        return self._probe.addresses()

    async def start(self) -> None:
        """Load the copy on disk and begin to ask."""
        if self._file is not None and self._file.load(self._copy):
            self._put_in_force()
        self._task = self._kernel.supervise("configuration-watcher", self._run)

    async def stop(self) -> None:
        """Ask no more."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        self._probe.close()
        self._stopped = True
        self._answer_children(self._arrived, lease=False)
        await self._save_last()

    async def _run(self) -> None:
        while True:
            await self._gather()
            children, self._arrived = self._arrived, []
            self._expected = {child.vm for child in children}
            revision = self._copy.revision
            started_s = self._timer.now_s()
            try:
                lease_start_s = await self._ask()
            finally:
                confirmed = self._lease_start_s >= started_s
                self._answer_children(children, lease=confirmed)
            self._has_news = self._copy.revision > revision
            if self._has_news:
                self._answer_outdated_children()
            self._note_lease()
            if lease_start_s is None and not self._has_news:
                await self._timer.sleep(RETRY_S)

    async def _gather(self) -> None:
        """Wait until the children of the last round have asked again."""
        deadline_s = self._timer.now_s() + GATHER_S
        while self._expected - {child.vm for child in self._arrived}:
            left_s = deadline_s - self._timer.now_s()
            if left_s <= 0:
                return
            self._gathered.clear()
            try:
                await self._timer.wait_for(self._gathered.wait(), left_s)
            except errors.DeadlineExceededError:
                return

    async def _ask(self) -> float | None:
        """Ask for news and the lease once; return the lease's start if renewed."""
        parent = self._parent_address()
        if parent is None:
            return await self._ask_replicas()
        return await self._ask_parent(parent)

    def _parent_address(self) -> str | None:
        now_s = self._timer.now_s()
        if now_s < self._direct_until_s:
            return None
        if self._lease_left_s() < DIRECT_BELOW_S:
            return None
        parent = parent_of(self._vm_name, self._membership.vms())
        return None if parent is None else parent.address

    async def _ask_replicas(self) -> float | None:
        can_hold = not self._has_news and self._lease_left_s() > DIRECT_BELOW_S
        hold_s = HOLD_S if can_hold else 0.0
        started_s = self._timer.now_s()
        await self._probe.ask(hold_s, self._acks())
        newer_address = self._probe.newer_address
        if newer_address is not None:
            await self._fetch(newer_address, DELTA_PATH, PAGE_PATH)
        lease_start_s = self._probe.lease_start_s()
        if lease_start_s is None:
            return None
        self._extend_lease(lease_start_s)
        return lease_start_s if lease_start_s >= started_s else None

    async def _ask_parent(self, parent: str) -> float | None:
        acks = self._acks()
        message: Message = {
            "vm": self._vm_name,
            "revision": self._copy.revision,
        }
        if self._acks_sent != (parent, acks):
            message["acks"] = acks
        sent_s = self._timer.now_s()
        timeout_s = self._lease_left_s() - DIRECT_RESERVE_S
        try:
            answer = await call(self._transport, parent, WATCH_PATH, message, timeout_s)
        except errors.PeerUnreachableError as error:
            events.emit(UPSTREAM_FAILED, upstream=parent, error=str(error))
            self._direct_until_s = self._timer.now_s() + PARENT_RETRY_S
            return None
        self._acks_sent = None if answer.get("acks_wanted") else (parent, acks)
        if "delta" in answer:
            self._apply(answer["delta"])
        self._copy.confirm(answer["revision"], answer["as_of"])
        if answer["revision"] > self._copy.revision:
            await self._fetch(parent, WATCH_DELTA_PATH, WATCH_PAGE_PATH)
        if not answer["lease"] or self._copy.as_of < answer["as_of"]:
            return None
        self._extend_lease(sent_s)
        return sent_s

    def _extend_lease(self, start_s: float) -> None:
        self._lease_start_s = max(self._lease_start_s, start_s)

    def _note_lease(self) -> None:
        holds = self.holds_lease()
        if holds != self._lease_seen:
            kind = LEASE_GAINED if holds else LEASE_LOST
            events.emit(kind, revision=self._copy.revision)
        self._lease_seen = holds

    async def _fetch(self, address: str, delta_path: str, page_path: str) -> None:
        """Get what is newer from a VM: a delta, or a full copy if need be."""
        try:
            message = {"since": self._copy.revision}
            delta = await call(
                self._transport, address, delta_path, message, FETCH_TIMEOUT_S
            )
            if delta.get("full") or not self._apply(delta):
                await self._fetch_copy(address, delta_path, page_path)
        except errors.PeerUnreachableError as error:
            events.emit(UPSTREAM_FAILED, upstream=address, error=str(error))

    async def _fetch_copy(self, address: str, delta_path: str, page_path: str) -> None:
        """Fetch all pages, then the delta of what changed meanwhile."""
        documents = {}
        revision = None
        after = ""
        while True:
            page = await call(
                self._transport, address, page_path, {"after": after}, FETCH_TIMEOUT_S
            )
            if revision is None:
                revision = page["revision"]
            documents.update(unpack_documents(page["packed"]))
            after = page["last"]
            if not after:
                break
        delta = await call(
            self._transport, address, delta_path, {"since": revision}, FETCH_TIMEOUT_S
        )
        if delta.get("full"):
            return
        documents.update(delta["changed"])
        for key in delta["removed"]:
            documents.pop(key, None)
        before = self._copy.revision
        whole = self._copy.replace(
            delta["revision"], delta["as_of"], documents, delta["digest"]
        )
        if not whole:
            events.emit(COPY_DAMAGED, revision=delta["revision"], upstream=address)
        elif self._copy.revision > before:
            events.emit(COPY_FETCHED, revision=self._copy.revision, upstream=address)
            self._put_in_force()

    def _apply(self, delta: Message) -> bool:
        before = self._copy.revision
        if not self._copy.apply(delta):
            events.emit(COPY_DAMAGED, revision=delta["revision"], upstream="")
            return False
        if self._copy.revision > before:
            self._put_in_force()
        return True

    def _put_in_force(self) -> None:
        events.emit(CONFIGURATION_IN_FORCE, revision=self._copy.revision)
        self._notify(self._copy.configuration)
        if self._file is not None and self._saver is None:
            self._saver = asyncio.ensure_future(self._save_later(self._file))

    async def _save_later(self, file: ConfigurationFile) -> None:
        while self._saved_revision < self._copy.revision:
            await self._timer.sleep(SAVE_DELAY_S)
            snapshot = self._copy.snapshot()
            self._write = asyncio.ensure_future(asyncio.to_thread(file.save, snapshot))
            await asyncio.wait([self._write])
            self._note_saved(snapshot.revision)
        self._saver = None

    def _note_saved(self, revision: int) -> None:
        self._saved_revision = revision
        error = self._write.exception() if self._write else None
        if error is not None:
            events.emit(COPY_NOT_KEPT, revision=revision, error=str(error))

    async def _save_last(self) -> None:
        """Keep the newest revision; a write that runs has to end first."""
        if self._file is None or self._saver is None:
            return
        self._saver.cancel()
        if self._write is not None:
            await asyncio.wait([self._write])
        try:
            self._file.save(self._copy.snapshot())
        except OSError as error:
            events.emit(COPY_NOT_KEPT, revision=self._copy.revision, error=str(error))

    def _acks(self) -> Packed:
        revisions = self._acknowledgements.revisions()
        revisions[self._vm_name] = self._copy.revision
        return pack_revisions(revisions)

    async def _answer_watch(self, message: Message) -> Message:
        if self._stopped:
            return self._refusal()
        known = self._acknowledgements.report(message["vm"], message.get("acks"))
        future: asyncio.Future[Message] = asyncio.get_running_loop().create_future()
        child = _Child(message["vm"], message["revision"], future)
        self._arrived.append(child)
        self._gathered.set()
        answer = await future
        if not known:
            answer["acks_wanted"] = True
        return answer

    def _refusal(self) -> Message:
        """Return an answer with no lease and no news."""
        return {"lease": False, "revision": 0, "as_of": 0}

    def _answer_children(self, children: list[_Child], *, lease: bool) -> None:
        for child in children:
            if not child.future.done():
                child.future.set_result(self._child_answer(child, lease))

    def _answer_outdated_children(self) -> None:
        """Pass news on at once to children that came too late for the round."""
        revision = self._copy.revision
        outdated = [child for child in self._arrived if child.revision < revision]
        self._arrived = [c for c in self._arrived if c.revision >= revision]
        self._answer_children(outdated, lease=False)

    def _child_answer(self, child: _Child, lease: bool) -> Message:
        answer: Message = {
            "lease": lease,
            "revision": self._copy.revision,
            "as_of": self._copy.as_of,
        }
        if child.revision < self._copy.revision:
            delta = self._copy.delta_since(child.revision)
            if delta is not None:
                answer["delta"] = delta
        return answer

    async def _answer_delta(self, message: Message) -> Message:
        return self._copy.delta_since(message["since"]) or {"full": True}

    async def _answer_page(self, message: Message) -> Message:
        return self._copy.page(message["after"])
