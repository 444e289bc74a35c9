"""Questions to all control replicas, and the lease that a majority confirms.

A replica's answer says the newest configuration command in its log, committed
or not. Once a majority has answered that it has none newer than the copy, no
newer one can have been committed when the questions were sent: its majority
would share a replica with this one. The lease counts from the sending.
"""

from __future__ import annotations

import asyncio
import hashlib

import attrs

from endivesill import errors
from endivesill.configuration.acknowledgements import Packed
from endivesill.configuration.copy import ConfigurationCopy
from endivesill.configuration.lease import LEASE_S, PROBE_MARGIN_S
from endivesill.configuration.replica import PROBE_PATH, VoterSet
from endivesill.peers import Message, PeerTransport
from endivesill.timer import TimerService

__all__ = ["MajorityProbe"]


@attrs.frozen
class _Answer:
    sent_s: float
    newest: int
    voters: VoterSet


class MajorityProbe:
    """Asks the control replicas; it never has two questions at one replica.

    Args:
      timer: the timer service.
      transport: the peer transport.
      vm_name: the asking VM.
      control_addresses: the control VMs of the settings, for the first question.
      copy: the copy that the answers are compared with.
    """

    def __init__(
        self,
        timer: TimerService,
        transport: PeerTransport,
        vm_name: str,
        control_addresses: tuple[str, ...],
        copy: ConfigurationCopy,
    ) -> None:
        self._timer = timer
        self._transport = transport
        self._vm_name = vm_name
        self._control_addresses = control_addresses
        self._copy = copy
        self._voters = VoterSet()
        self._answers: dict[str, _Answer] = {}
        self._busy: dict[str, asyncio.Task[None]] = {}
        self._failed: set[str] = set()
        self._acks_sent: dict[str, Packed] = {}
        self._changed = asyncio.Event()
        self.newer_address: str | None = None

    def addresses(self) -> tuple[str, ...]:
        """Return the peer addresses of the control VMs, as far as known."""
        known = dict.fromkeys(self._voters.addresses.values())
        return tuple(known | dict.fromkeys(self._control_addresses))

    def lease_start_s(self) -> float | None:
        """Return since when a majority confirms the copy, or None.

        It is the sending time of the oldest question among the newest majority
        of the answers that know of nothing newer than the copy.
        """
        starts = sorted(
            (
                answer.sent_s
                for replica_id, answer in self._answers.items()
                if replica_id in self._voters.addresses
                and answer.newest <= self._copy.as_of
            ),
            reverse=True,
        )
        if not self._voters.addresses or len(starts) < self._voters.majority:
            return None
        return starts[self._voters.majority - 1]

    async def ask(self, hold_s: float, acks: Packed) -> None:
        """Ask until a majority confirms, a replica has news, or all have failed.

        A question that may be held goes to a majority only, and to the others
        once one of these has failed; a question without a hold goes to all.

        Args:
          hold_s: how long the replicas may hold the question.
          acks: the acknowledgements to report.
        """
        started_s = self._timer.now_s()
        deadline_s = started_s + hold_s + PROBE_MARGIN_S
        self.newer_address = None
        asked: set[str] = set()
        while self.newer_address is None:
            self._changed.clear()
            for address in self._wanted(asked, held=hold_s > 0):
                if address not in self._busy:
                    asked.add(address)
                    self._start(address, hold_s, acks)
            lease_start_s = self.lease_start_s()
            if lease_start_s is not None and lease_start_s >= started_s:
                return
            left_s = deadline_s - self._timer.now_s()
            if left_s <= 0 or not self._busy:
                return
            try:
                await self._timer.wait_for(self._changed.wait(), left_s)
            except errors.DeadlineExceededError:
                return

    def _wanted(self, asked: set[str], *, held: bool) -> list[str]:
        """Return the control VMs that are still to be asked in a round."""
        waiting = [a for a in self.addresses() if a not in asked]
        if not held or not self._voters.addresses:
            return waiting
        useful = len(asked - self._failed)
        waiting.sort(key=self._preference)
        return waiting[: max(0, self._voters.majority - useful)]

    def _preference(self, address: str) -> tuple[bool, bool, bytes]:
        """Rank voters that answer first; each VM has an order of its own."""
        is_voter = address in self._voters.addresses.values()
        place = hashlib.sha256(f"{self._vm_name} {address}".encode()).digest()
        return not is_voter, address in self._failed, place

    def close(self) -> None:
        """Give up all questions."""
        for task in self._busy.values():
            task.cancel()

    def _start(self, address: str, hold_s: float, acks: Packed) -> None:
        task = asyncio.ensure_future(self._ask_one(address, hold_s, acks))
        self._busy[address] = task
        task.add_done_callback(lambda _: self._finished(address))

    def _finished(self, address: str) -> None:
        self._busy.pop(address, None)
        self._changed.set()

    async def _ask_one(self, address: str, hold_s: float, acks: Packed) -> None:
        voters = self._voters
        message: Message = {
            "vm": self._vm_name,
            "as_of": self._copy.as_of,
            "hold_s": hold_s,
            "voters_index": voters.index,
        }
        if self._acks_sent.get(address) != acks:
            message["acks"] = acks
        sent_s = self._timer.now_s()
        try:
            answer = await call(
                self._transport, address, PROBE_PATH, message, hold_s + PROBE_MARGIN_S
            )
        except errors.PeerUnreachableError:
            self._failed.add(address)
            return
        self._failed.discard(address)
        self._acks_sent[address] = acks
        if answer.get("acks_wanted"):
            self._acks_sent.pop(address)
        if "voters" in answer:
            voters = VoterSet(answer["voters_index"], answer["voters"])
        self._answers[answer["id"]] = _Answer(sent_s, answer["newest"], voters)
        self._take(address, answer)

    def _take(self, address: str, answer: Message) -> None:
        self._voters = self._newest_voters()
        self._copy.confirm(answer["revision"], answer["applied"])
        if answer["revision"] > self._copy.revision:
            self.newer_address = address

    def _newest_voters(self) -> VoterSet:
        """Return the newest voters among the answers that can give a lease.

        A voter change that was never committed is forgotten with the answers
        that named it.
        """
        oldest_s = self._timer.now_s() - 2 * LEASE_S
        recent = [a for a in self._answers.values() if a.sent_s >= oldest_s]
        if not recent:
            return self._voters
        return max(recent, key=lambda answer: answer.voters.index).voters


async def call(
    transport: PeerTransport,
    address: str,
    path: str,
    message: Message,
    timeout_s: float,
) -> Message:
    """Call a peer; a VM that is its own peer needs no network.

    Raises:
      PeerUnreachableError: no answer in time.
    """
    if address == transport.address and path in transport.handlers:
        return await transport.handlers[path](message)
    return await transport.call(address, path, message, timeout_s)
