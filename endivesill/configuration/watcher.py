"""The configuration and its lease on a VM, and their distribution to its children.

A task runs one round after the other, in which it asks the control replicas or the
parent in the distribution tree. Requests of children that arrived before a round began
are answered with its result. A lease passed on to a child therefore never outlasts the
lease that it is derived from.
"""

from __future__ import annotations

import asyncio

import attrs

from endivesill import errors, events
from endivesill.configuration.acknowledgements import (
    Acknowledgements,
    PackedRevisions,
    pack_revisions,
)
from endivesill.configuration.changes import Change
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
    ACKNOWLEDGEMENT_RETENTION_S,
    CHILD_WAIT_S,
    DIRECT_PROBE_RESERVE_S,
    DIRECT_PROBE_THRESHOLD_S,
    LEASE_S,
    MAX_HOLD_S,
    PARENT_BYPASS_S,
    RETRY_DELAY_S,
)
from endivesill.configuration.model import Configuration
from endivesill.configuration.probe import MajorityProbe, call_peer
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
    """A child's request that waits for its response."""

    vm: str
    revision: int
    future: asyncio.Future[Message]


class ConfigurationWatcher(ConfigurationSource):
    """Maintains the configuration in force on this VM and its lease.

    Args:
      kernel: the process's kernel.
      transport: the peer transport; handlers are registered at
        `/configuration/watch...`.
      membership: the view of the fleet, for the position in the distribution tree.
      vm_name: the name of this VM.
      control_addresses: the peer addresses of the control VMs.
      file: the file of the copy on disk; None keeps no copy.
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
        self._child_acks = Acknowledgements(kernel.timer, ACKNOWLEDGEMENT_RETENTION_S)
        self._acks_sent: tuple[str, PackedRevisions] | None = None
        self._lease_start_s = float("-inf")
        self._logged_lease = False
        self._revised = False
        self._stopped = False
        self._parent_bypassed_until_s = 0.0
        self._waiting: list[_Child] = []
        self._expected_children: set[str] = set()
        self._child_arrived = asyncio.Event()
        self._save_task: asyncio.Task[None] | None = None
        self._write: asyncio.Future[None] | None = None
        self._saved_revision = 0
        self._task: asyncio.Task[None] | None = None
        transport.handle(WATCH_PATH, self._handle_watch)
        transport.handle(WATCH_DELTA_PATH, self._handle_delta)
        transport.handle(WATCH_PAGE_PATH, self._handle_page)

    def current(self) -> Configuration:
        """Return the configuration in force; see the base class."""
        return self._copy.configuration

    def holds_lease(self) -> bool:
        """Return whether new work may start now; see the base class."""
        return self._lease_left_s() > 0

    def _lease_left_s(self) -> float:
        return self._lease_start_s + LEASE_S - self._timer.now_s()

    def control_addresses(self) -> tuple[str, ...]:
        """Return the known peer addresses of the control VMs."""
        return self._probe.addresses()

    async def start(self) -> None:
        """Load the copy on disk and start the rounds."""
        if self._file is not None and self._file.load(self._copy):
            self._put_in_force()
        self._task = self._kernel.supervise("configuration-watcher", self._run)

    async def stop(self) -> None:
        """Stop the rounds, answer waiting children and save the copy."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        self._probe.close()
        self._stopped = True
        self._answer_children(self._waiting, lease=False)
        await self._save_on_stop()

    async def _run(self) -> None:
        while True:
            await self._wait_for_children()
            children, self._waiting = self._waiting, []
            self._expected_children = {child.vm for child in children}
            revision = self._copy.revision
            started_s = self._timer.now_s()
            try:
                lease_start_s = await self._renew()
            finally:
                confirmed = self._lease_start_s >= started_s
                self._answer_children(children, lease=confirmed)
            self._revised = self._copy.revision > revision
            if self._revised:
                self._answer_outdated_children()
            self._log_lease_change()
            if lease_start_s is None and not self._revised:
                await self._timer.sleep(RETRY_DELAY_S)

    async def _wait_for_children(self) -> None:
        """Wait until the children of the last round have sent their next requests."""
        deadline_s = self._timer.now_s() + CHILD_WAIT_S
        while self._expected_children - {child.vm for child in self._waiting}:
            left_s = deadline_s - self._timer.now_s()
            if left_s <= 0:
                return
            self._child_arrived.clear()
            try:
                await self._timer.wait_for(self._child_arrived.wait(), left_s)
            except errors.DeadlineExceededError:
                return

    async def _renew(self) -> float | None:
        """Request newer revisions and the lease once.

        Returns:
          The start of the lease if it was renewed, or None.
        """
        parent = self._parent_address()
        if parent is None:
            return await self._renew_from_replicas()
        return await self._renew_from_parent(parent)

    def _parent_address(self) -> str | None:
        now_s = self._timer.now_s()
        if now_s < self._parent_bypassed_until_s:
            return None
        if self._lease_left_s() < DIRECT_PROBE_THRESHOLD_S:
            return None
        parent = parent_of(self._vm_name, self._membership.vms())
        return None if parent is None else parent.address

    async def _renew_from_replicas(self) -> float | None:
        can_hold = not self._revised and self._lease_left_s() > DIRECT_PROBE_THRESHOLD_S
        hold_s = MAX_HOLD_S if can_hold else 0.0
        started_s = self._timer.now_s()
        await self._probe.run_round(hold_s, self._acks())
        newer_revision_address = self._probe.newer_revision_address
        if newer_revision_address is not None:
            await self._fetch(newer_revision_address, DELTA_PATH, PAGE_PATH)
        lease_start_s = self._probe.lease_start_s()
        if lease_start_s is None:
            return None
        self._extend_lease(lease_start_s)
        return lease_start_s if lease_start_s >= started_s else None

    async def _renew_from_parent(self, parent: str) -> float | None:
        acks = self._acks()
        message: Message = {
            "vm": self._vm_name,
            "revision": self._copy.revision,
        }
        if self._acks_sent != (parent, acks):
            message["acks"] = acks
        sent_s = self._timer.now_s()
        timeout_s = self._lease_left_s() - DIRECT_PROBE_RESERVE_S
        try:
            response = await call_peer(
                self._transport, parent, WATCH_PATH, message, timeout_s
            )
        except errors.PeerUnreachableError as error:
            events.emit(UPSTREAM_FAILED, upstream=parent, error=str(error))
            self._parent_bypassed_until_s = self._timer.now_s() + PARENT_BYPASS_S
            return None
        self._acks_sent = None if response.get("acks_wanted") else (parent, acks)
        if "delta" in response:
            self._apply(response["delta"])
        self._copy.confirm(response["revision"], response["as_of"])
        if response["revision"] > self._copy.revision:
            await self._fetch(parent, WATCH_DELTA_PATH, WATCH_PAGE_PATH)
        if not response["lease"] or self._copy.as_of < response["as_of"]:
            return None
        self._extend_lease(sent_s)
        return sent_s

    def _extend_lease(self, start_s: float) -> None:
        self._lease_start_s = max(self._lease_start_s, start_s)

    def _log_lease_change(self) -> None:
        holds = self.holds_lease()
        if holds != self._logged_lease:
            kind = LEASE_GAINED if holds else LEASE_LOST
            events.emit(kind, revision=self._copy.revision)
        self._logged_lease = holds

    async def _fetch(self, address: str, delta_path: str, page_path: str) -> None:
        """Fetch a newer revision from a VM: a delta, or a full copy if necessary."""
        try:
            message = {"since": self._copy.revision}
            delta = await call_peer(
                self._transport, address, delta_path, message, FETCH_TIMEOUT_S
            )
            if delta.get("full") or not self._apply(delta):
                await self._fetch_copy(address, delta_path, page_path)
        except (errors.PeerUnreachableError, errors.PeerMessageError) as error:
            events.emit(UPSTREAM_FAILED, upstream=address, error=str(error))

    async def _fetch_copy(self, address: str, delta_path: str, page_path: str) -> None:
        """Fetch all pages, then the delta from the revision of the first page."""
        documents = {}
        revision = None
        after = ""
        while True:
            page = await call_peer(
                self._transport, address, page_path, {"after": after}, FETCH_TIMEOUT_S
            )
            if revision is None:
                revision = page["revision"]
            documents.update(unpack_documents(page["packed"]))
            after = page["last"]
            if not after:
                break
        delta = await call_peer(
            self._transport, address, delta_path, {"since": revision}, FETCH_TIMEOUT_S
        )
        if delta.get("full"):
            return
        change = Change.from_message(delta)
        documents.update(change.changed)
        for key in change.removed:
            documents.pop(key, None)
        before = self._copy.revision
        is_intact = self._copy.replace(
            delta["revision"], delta["as_of"], documents, delta["digest"]
        )
        if not is_intact:
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
        if self._file is not None and self._save_task is None:
            self._save_task = asyncio.ensure_future(self._save_later(self._file))

    async def _save_later(self, file: ConfigurationFile) -> None:
        while self._saved_revision < self._copy.revision:
            await self._timer.sleep(SAVE_DELAY_S)
            snapshot = self._copy.snapshot()
            self._write = asyncio.ensure_future(asyncio.to_thread(file.save, snapshot))
            await asyncio.wait([self._write])
            self._on_saved(snapshot.revision)
        self._save_task = None

    def _on_saved(self, revision: int) -> None:
        self._saved_revision = revision
        error = self._write.exception() if self._write else None
        if error is not None:
            events.emit(COPY_NOT_KEPT, revision=revision, error=str(error))

    async def _save_on_stop(self) -> None:
        """Save the newest revision after a running write has ended."""
        if self._file is None or self._save_task is None:
            return
        self._save_task.cancel()
        if self._write is not None:
            await asyncio.wait([self._write])
        try:
            self._file.save(self._copy.snapshot())
        except OSError as error:
            events.emit(COPY_NOT_KEPT, revision=self._copy.revision, error=str(error))

    def _acks(self) -> PackedRevisions:
        revisions = self._child_acks.revisions()
        revisions[self._vm_name] = self._copy.revision
        return pack_revisions(revisions)

    async def _handle_watch(self, message: Message) -> Message:
        if self._stopped:
            return self._stopped_response()
        has_acks = self._child_acks.report(message["vm"], message.get("acks"))
        future: asyncio.Future[Message] = asyncio.get_running_loop().create_future()
        child = _Child(message["vm"], message["revision"], future)
        self._waiting.append(child)
        self._child_arrived.set()
        response = await future
        if not has_acks:
            response["acks_wanted"] = True
        return response

    def _stopped_response(self) -> Message:
        """Return a response without a lease and without a newer revision."""
        return {"lease": False, "revision": 0, "as_of": 0}

    def _answer_children(self, children: list[_Child], *, lease: bool) -> None:
        for child in children:
            if not child.future.done():
                child.future.set_result(self._child_response(child, lease))

    def _answer_outdated_children(self) -> None:
        """Answer at once waiting children that have an older revision.

        They arrived too late for the round and get no lease.
        """
        revision = self._copy.revision
        outdated = [child for child in self._waiting if child.revision < revision]
        self._waiting = [c for c in self._waiting if c.revision >= revision]
        self._answer_children(outdated, lease=False)

    def _child_response(self, child: _Child, lease: bool) -> Message:
        response: Message = {
            "lease": lease,
            "revision": self._copy.revision,
            "as_of": self._copy.as_of,
        }
        if child.revision < self._copy.revision:
            delta = self._copy.delta_since(child.revision)
            if delta is not None:
                response["delta"] = delta
        return response

    async def _handle_delta(self, message: Message) -> Message:
        return self._copy.delta_since(message["since"]) or {"full": True}

    async def _handle_page(self, message: Message) -> Message:
        return self._copy.page(message["after"])
