"""Exchange of crash reports between entries and control VMs.

An entry sends a new report to all control VMs at once. Beside that, each sync request
and its reply carry what the other side has not seen, also if the control VM does not
lead. No VM decides for the others: each finds the blocked causes from the reports. The
leader stores those that block a cause, so that a restart of all VMs keeps the block.
"""

from __future__ import annotations

import asyncio
import uuid
from collections.abc import Callable
from typing import Any

from endivesill import errors, events
from endivesill.control import ControlReplica
from endivesill.fleet.crash_evidence import CrashEvidence, Row
from endivesill.fleet.crash_verdict import (
    Block,
)
from endivesill.fleet.events import CRASHES_UNREPORTED, CRASHES_UNSTORED
from endivesill.fleet.state import STORE_CRASHES, stored_crashes
from endivesill.peers import Message, PeerTransport
from endivesill.timer import TimerService

__all__ = ["CRASHES_PATH", "CrashExchange", "CrashService"]

CRASHES_PATH = "/fleet/crashes"
REPORT_TIMEOUT_S = 0.5
STORE_TIMEOUT_S = 1.0
EXPIRY_PERIOD_S = 60.0


class CrashService:
    """A control VM's side of the exchange.

    Args:
      timer: the timer service.
      transport: the peer port.
      replica: this VM's control replica.

    Attributes:
      evidence: the reports.
    """

    def __init__(
        self,
        timer: TimerService,
        transport: PeerTransport,
        replica: ControlReplica,
    ) -> None:
        self._replica = replica
        self._loaded_index = -1
        self._store_lock = asyncio.Lock()
        # The number of the evidence starts anew with the process.
        self._start_id = uuid.uuid4().hex[:12]
        self.evidence = CrashEvidence(timer)
        timer.call_every(EXPIRY_PERIOD_S, self.evidence.expire)
        transport.handle(CRASHES_PATH, self._handle)

    def _leads(self) -> bool:
        return self._replica.core.leadership is not None

    def load(self) -> None:
        """Merge the stored reports if they have changed."""
        index, rows = stored_crashes(self._replica.state)
        if index > self._loaded_index:
            self._loaded_index = index
            self.evidence.merge(rows)

    async def store(self) -> None:
        """Store the reports that block a cause, if they are news; for the leader."""
        async with self._store_lock:
            _, stored = stored_crashes(self._replica.state)
            rows = self.evidence.blocking_rows()
            if not self._leads() or _without_age(rows) == _without_age(stored):
                return
            try:
                await self._replica.propose(
                    STORE_CRASHES, {"rows": rows}, STORE_TIMEOUT_S
                )
            except errors.EndivesillError as error:
                # Done again with the next report, or after the next read of the list.
                events.emit(CRASHES_UNSTORED, reason=str(error))

    def record(self, message: Message) -> None:
        """Merge the reports in an entry's message."""
        if message.get("crashes"):
            self.evidence.merge(message["crashes"])

    def has_updates(self, message: Message) -> bool:
        """Return whether the sender of a sync request lacks a report."""
        return self.evidence.number > 0 and self._is_behind(message)

    def _is_behind(self, message: Message) -> bool:
        """Return whether the sender's stamp is old.

        Entries of earlier versions send no stamp and get no reports.
        """
        stamp = self._stamp()
        return message.get("crashes_stamp", stamp) != stamp

    def reply_fields(self, message: Message) -> Message:
        """Return the part of a reply to a sync request."""
        if not self._is_behind(message):
            return {}
        known_id, known_number = message["crashes_stamp"] or (None, 0)
        since = known_number if known_id == self._start_id else 0
        return {"crashes": self.evidence.rows(since), "crashes_stamp": self._stamp()}

    def _stamp(self) -> list[Any]:
        return [self._start_id, self.evidence.number]

    async def _handle(self, message: Message) -> Message:
        """Merge reports and store those that block a cause, or decide about a trial.

        Args:
          message: `{"crashes"}` with rows of `CrashEvidence`, and for a trial
            `"trial"` with the causes of the block.

        Returns:
          `{"granted"}`: whether the trial may take place.
        """
        self.record(message)
        await self.store()
        causes = frozenset(message.get("trial", ()))
        block = next((b for b in self.evidence.blocks if b.causes == causes), None)
        is_granted = (
            block is not None and self._leads() and self.evidence.try_trial(block)
        )
        return {"granted": is_granted}


def _without_age(rows: list[Row]) -> list[Row]:
    return sorted([name, *rest] for name, _, *rest in rows)


class CrashExchange:
    """An entry's side of the exchange.

    Args:
      timer: the timer service.
      transport: calls the control VMs.
      control_addresses: returns the peer addresses of the control VMs.
      leader: returns the peer address of the leader; None while unknown.

    Attributes:
      evidence: the reports.
    """

    def __init__(
        self,
        timer: TimerService,
        transport: PeerTransport,
        control_addresses: Callable[[], list[str]],
        leader: Callable[[], str | None],
    ) -> None:
        self._transport = transport
        self._leader = leader
        self._control_addresses = control_addresses
        # By address: the last stamp, and the number of the evidence last sent.
        self._stamps: dict[str, list[Any]] = {}
        self._sent_numbers: dict[str, int] = {}
        # By address: whether there is news since the report that is being sent, and the
        # number of the evidence that the last one had which was confirmed.
        self._has_news: dict[str, bool] = {}
        self._confirmed_numbers: dict[str, int] = {}
        self.evidence = CrashEvidence(timer)
        timer.call_every(EXPIRY_PERIOD_S, self.evidence.expire)

    def request_fields(self, address: str) -> Message:
        """Return the part of a sync request to a control VM."""
        fields: Message = {"crashes_stamp": self._stamps.get(address)}
        sent_number = self._sent_numbers.get(address, 0)
        if sent_number != self.evidence.number:
            fields["crashes"] = self.evidence.rows(sent_number)
            fields["crashes_number"] = self.evidence.number
        return fields

    def apply_reply(self, address: str, request: Message, reply: Message) -> None:
        """Apply a control VM's reply to a sync request."""
        if "crashes_number" in request:
            self._sent_numbers[address] = request["crashes_number"]
        stamp = reply.get("crashes_stamp")
        if stamp is None:
            return
        known = self._stamps.get(address)
        if known is None or known[0] != stamp[0]:
            # The control VM has restarted, and may lack earlier reports.
            self._sent_numbers.pop(address, None)
        self._stamps[address] = stamp
        self.evidence.merge(reply["crashes"])

    def forget(self, address: str) -> None:
        """Expect nothing of a control VM that did not reply."""
        self._stamps.pop(address, None)
        self._sent_numbers.pop(address, None)

    async def report(self) -> None:
        """Send the reports to all control VMs at once."""
        addresses = self._control_addresses()
        await asyncio.gather(*(self._report_to(address) for address in addresses))

    async def _report_to(self, address: str) -> None:
        """Send the reports, and again if there is news meanwhile."""
        is_sending = address in self._has_news
        self._has_news[address] = True
        if is_sending:
            return
        try:
            while self._has_news[address]:
                self._has_news[address] = False
                await self._send_news(address)
        finally:
            del self._has_news[address]

    async def _send_news(self, address: str) -> None:
        """Send the reports that have changed since the last confirmed message.

        A control VM that has restarted meanwhile gets the others with a sync request.
        """
        number = self.evidence.number
        since = self._confirmed_numbers.get(address, 0)
        if await self._send(address, {"crashes": self.evidence.rows(since)}):
            self._confirmed_numbers[address] = number

    async def _send(self, address: str, message: Message) -> Message:
        """Return the reply; empty without one."""
        try:
            return await self._transport.call(
                address, CRASHES_PATH, message, REPORT_TIMEOUT_S
            )
        except errors.PeerUnreachableError as error:
            # The next sync request to that VM has the reports.
            events.emit(CRASHES_UNREPORTED, address=address, reason=str(error))
            return {}

    async def request_trial(self, block: Block) -> bool:
        """Return whether the leader lets one request through a block."""
        leader = self._leader()
        if leader is None:
            return False
        message = {"crashes": self.evidence.rows(), "trial": sorted(block.causes)}
        reply = await self._send(leader, message)
        return bool(reply.get("granted"))
