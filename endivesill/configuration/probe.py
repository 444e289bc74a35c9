"""Probes of the control replicas and the lease that a majority confirms.

A replica answers with the index of the newest configuration command in its log, even
if that is not committed. Once a majority has answered that it has none newer than the
copy, no newer one was committed when the probes were sent: the majority of that commit
would share a replica with this one. The lease therefore starts when the oldest of
these probes was sent.
"""

from __future__ import annotations

import asyncio
import hashlib

import attrs

from endivesill import errors
from endivesill.configuration.acknowledgements import PackedRevisions
from endivesill.configuration.copy import ConfigurationCopy
from endivesill.configuration.lease import LEASE_S, PROBE_TIMEOUT_MARGIN_S
from endivesill.configuration.replica import PROBE_PATH, VoterSet
from endivesill.peers import Message, PeerTransport
from endivesill.timer import TimerService

__all__ = ["MajorityProbe"]


@attrs.frozen
class _Response:
    sent_s: float
    newest: int
    voters: VoterSet


class MajorityProbe:
    """Probes the control replicas, with at most one probe in flight per replica.

    Args:
      timer: the timer service.
      transport: the peer transport.
      vm_name: the name of this VM.
      control_addresses: the control VMs of the settings, for the first probes.
      copy: the copy of the configuration that the responses are compared with.
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
        self._responses: dict[str, _Response] = {}
        self._in_flight: dict[str, asyncio.Task[None]] = {}
        self._failed: set[str] = set()
        self._acks_sent: dict[str, PackedRevisions] = {}
        self._probe_ended = asyncio.Event()
        self.newer_revision_address: str | None = None

    def addresses(self) -> tuple[str, ...]:
        """Return the known peer addresses of the control VMs, voters first."""
        known = dict.fromkeys(self._voters.addresses.values())
        return tuple(known | dict.fromkeys(self._control_addresses))

    def lease_start_s(self) -> float | None:
        """Return the start of the lease, or None without a confirming majority.

        It is the time at which the oldest probe of the newest majority of confirming
        responses was sent. A response confirms if it reports nothing newer than the
        copy.
        """
        starts = sorted(
            (
                response.sent_s
                for replica_id, response in self._responses.items()
                if replica_id in self._voters.addresses
                and response.newest <= self._copy.as_of
            ),
            reverse=True,
        )
        if not self._voters.addresses or len(starts) < self._voters.majority:
            return None
        return starts[self._voters.majority - 1]

    async def run_round(self, hold_s: float, acks: PackedRevisions) -> None:
        """Probe until a majority confirms, a replica has a newer revision or all fail.

        With a hold, only a majority is probed, and further replicas when one of it
        fails; without a hold, all replicas are probed.

        Args:
          hold_s: how long the replicas may hold their responses.
          acks: the acknowledgements to report.
        """
        started_s = self._timer.now_s()
        deadline_s = started_s + hold_s + PROBE_TIMEOUT_MARGIN_S
        self.newer_revision_address = None
        probed: set[str] = set()
        while self.newer_revision_address is None:
            self._probe_ended.clear()
            for address in self._addresses_to_probe(probed, may_hold=hold_s > 0):
                if address not in self._in_flight:
                    probed.add(address)
                    self._start_probe(address, hold_s, acks)
            lease_start_s = self.lease_start_s()
            if lease_start_s is not None and lease_start_s >= started_s:
                return
            left_s = deadline_s - self._timer.now_s()
            if left_s <= 0 or not self._in_flight:
                return
            try:
                await self._timer.wait_for(self._probe_ended.wait(), left_s)
            except errors.DeadlineExceededError:
                return

    def _addresses_to_probe(self, probed: set[str], *, may_hold: bool) -> list[str]:
        """Return the control VMs that are still to be probed in this round."""
        unprobed = [a for a in self.addresses() if a not in probed]
        if not may_hold or not self._voters.addresses:
            return unprobed
        usable = len(probed - self._failed)
        unprobed.sort(key=self._priority)
        return unprobed[: max(0, self._voters.majority - usable)]

    def _priority(self, address: str) -> tuple[bool, bool, bytes]:
        """Return a sort key: voters first, failed addresses last among equals.

        The order among these differs between VMs.
        """
        is_voter = address in self._voters.addresses.values()
        shuffle_key = hashlib.sha256(f"{self._vm_name} {address}".encode()).digest()
        return not is_voter, address in self._failed, shuffle_key

    def close(self) -> None:
        """Cancel all probes."""
        for task in self._in_flight.values():
            task.cancel()

    def _start_probe(self, address: str, hold_s: float, acks: PackedRevisions) -> None:
        task = asyncio.ensure_future(self._probe_replica(address, hold_s, acks))
        self._in_flight[address] = task
        task.add_done_callback(lambda _: self._on_probe_done(address))

    def _on_probe_done(self, address: str) -> None:
        self._in_flight.pop(address, None)
        self._probe_ended.set()

    async def _probe_replica(
        self, address: str, hold_s: float, acks: PackedRevisions
    ) -> None:
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
            response = await call_peer(
                self._transport,
                address,
                PROBE_PATH,
                message,
                hold_s + PROBE_TIMEOUT_MARGIN_S,
            )
        except errors.PeerUnreachableError:
            self._failed.add(address)
            return
        self._failed.discard(address)
        self._acks_sent[address] = acks
        if response.get("acks_wanted"):
            self._acks_sent.pop(address)
        if "voters" in response:
            voters = VoterSet(response["voters_index"], response["voters"])
        self._responses[response["id"]] = _Response(sent_s, response["newest"], voters)
        self._apply_response(address, response)

    def _apply_response(self, address: str, response: Message) -> None:
        self._voters = self._newest_voters()
        self._copy.confirm(response["revision"], response["applied"])
        if response["revision"] > self._copy.revision:
            self.newer_revision_address = address

    def _newest_voters(self) -> VoterSet:
        """Return the newest voter set among the recent responses.

        A voter set that was never committed is dropped when the responses that reported
        it expire.
        """
        oldest_s = self._timer.now_s() - 2 * LEASE_S
        recent = [a for a in self._responses.values() if a.sent_s >= oldest_s]
        if not recent:
            return self._voters
        return max(recent, key=lambda response: response.voters.index).voters


async def call_peer(
    transport: PeerTransport,
    address: str,
    path: str,
    message: Message,
    timeout_s: float,
) -> Message:
    """Call a peer; a call to this VM itself bypasses the network.

    Raises:
      PeerUnreachableError: the peer did not answer within the timeout.
    """
    if address == transport.address and path in transport.handlers:
        return await transport.handlers[path](message)
    return await transport.call(address, path, message, timeout_s)
