"""The service of a control replica that distributes the configuration to VMs.

Each replica answers from its own log and state, without coordination. The
configuration lease requires the responses of a majority.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import attrs

from endivesill.configuration.acknowledgements import (
    Acknowledgements,
    pack_revisions,
)
from endivesill.configuration.copy import PAGE_ITEMS, pack_documents, page_keys
from endivesill.configuration.lease import ACKNOWLEDGEMENT_RETENTION_S, MAX_HOLD_S
from endivesill.configuration.state import ConfigurationState
from endivesill.control.commands import CommandContext, State, run_command
from endivesill.kernel import Service
from endivesill.peers import Message, PeerTransport
from endivesill.timer import TimerService

__all__ = [
    "ACKNOWLEDGED_PATH",
    "DELTA_PATH",
    "PAGE_PATH",
    "PROBE_PATH",
    "ConfigurationReplica",
    "MemoryReplica",
    "ReplicaEndpoint",
    "VoterSet",
]

PROBE_PATH = "/configuration/probe"
DELTA_PATH = "/configuration/delta"
PAGE_PATH = "/configuration/page"
ACKNOWLEDGED_PATH = "/configuration/acknowledged"


@attrs.frozen
class VoterSet:
    """The voting replicas at an index of the log.

    Attributes:
      index: the log index of the newest voter change in the log.
      addresses: the peer address of each voter by replica identity.
    """

    index: int = -1
    addresses: dict[str, str] = attrs.Factory(dict)

    @property
    def majority(self) -> int:
        """The number of voters that make a majority."""
        return len(self.addresses) // 2 + 1


class ConfigurationReplica:
    """Base class of the views of a control replica.

    Attributes:
      replica_id: the replica's identity, which changes if its disk is lost.
    """

    replica_id: str

    def newest_index(self) -> int:
        """Return the index of the newest configuration command in the log.

        Commands that are not committed yet are included.
        """
        raise NotImplementedError

    def applied_index(self) -> int:
        """Return the log index up to which commands are applied to the state."""
        raise NotImplementedError

    def state(self) -> State:
        """Return the replicated state."""
        raise NotImplementedError

    def voters(self) -> VoterSet:
        """Return the newest voter set in the log, even if it is not committed."""
        raise NotImplementedError

    def subscribe_applied(self, listener: Callable[[], None]) -> None:
        """Call a listener each time commands have been applied."""
        raise NotImplementedError


class MemoryReplica(ConfigurationReplica):
    """A replica for tests and benchmarks, whose log is controlled by the caller.

    Args:
      replica_id: its identity.
      voters: the voter set that it reports.
    """

    def __init__(self, replica_id: str, voters: VoterSet) -> None:
        self.replica_id = replica_id
        self.voter_set = voters
        self._state = State()
        self._log: list[tuple[str, Message, CommandContext]] = []
        self._applied = 0
        self._listeners: list[Callable[[], None]] = []

    def append(self, command: str, message: Message, context: CommandContext) -> None:
        """Append a command without applying it."""
        self._log.append((command, message, context))

    def apply_all(self) -> Message:
        """Apply all appended commands and return the last result."""
        result: Message = {}
        for command, message, context in self._log[self._applied :]:
            result = run_command(self._state, command, message, context)
        self._applied = len(self._log)
        for listener in self._listeners:
            listener()
        return result

    def newest_index(self) -> int:
        """See the base class."""
        return len(self._log)

    def applied_index(self) -> int:
        """See the base class."""
        return self._applied

    def state(self) -> State:
        """See the base class."""
        return self._state

    def voters(self) -> VoterSet:
        """See the base class."""
        return self.voter_set

    def subscribe_applied(self, listener: Callable[[], None]) -> None:
        """See the base class."""
        self._listeners.append(listener)


class ReplicaEndpoint(Service):
    """Answers the probes and fetches of VMs at a control replica.

    Args:
      timer: the timer service.
      transport: the peer transport; handlers are registered at `/configuration/...`.
      replica: the view of the replica.
    """

    def __init__(
        self,
        timer: TimerService,
        transport: PeerTransport,
        replica: ConfigurationReplica,
    ) -> None:
        self._timer = timer
        self._replica = replica
        self._acknowledgements = Acknowledgements(timer, ACKNOWLEDGEMENT_RETENTION_S)
        self._waiters: dict[asyncio.Future[None], int] = {}
        transport.handle(PROBE_PATH, self._handle_probe)
        transport.handle(DELTA_PATH, self._handle_delta)
        transport.handle(PAGE_PATH, self._handle_page)
        transport.handle(ACKNOWLEDGED_PATH, self._handle_acknowledged)
        replica.subscribe_applied(self._wake_waiters)

    async def stop(self) -> None:
        """Answer all held probes."""
        for future in list(self._waiters):
            _wake(future)

    def _current_state(self) -> ConfigurationState:
        return ConfigurationState.readable(self._replica.state())

    def _newest_index(self) -> int:
        return max(self._replica.newest_index(), self._current_state().last_index)

    async def _handle_probe(self, message: Message) -> Message:
        """Answer a probe; hold it (long poll) while there is no newer revision."""
        has_acks = self._acknowledgements.report(message["vm"], message.get("acks"))
        hold_s = min(float(message.get("hold_s", 0.0)), MAX_HOLD_S)
        if hold_s > 0 and self._current_state().last_index <= message["as_of"]:
            await self._wait_for_newer(message["as_of"], hold_s)
        voters = self._replica.voters()
        response = {
            "id": self._replica.replica_id,
            "newest": self._newest_index(),
            "applied": self._replica.applied_index(),
            "revision": self._current_state().revision,
        }
        if voters.index != message.get("voters_index"):
            response["voters"] = voters.addresses
            response["voters_index"] = voters.index
        if not has_acks:
            response["acks_wanted"] = True
        return response

    async def _wait_for_newer(self, as_of: int, hold_s: float) -> None:
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters[future] = as_of
        handle = self._timer.call_after(hold_s, lambda: _wake(future))
        try:
            await future
        finally:
            handle.cancel()
            del self._waiters[future]

    def _wake_waiters(self) -> None:
        newest = self._current_state().last_index
        for future, as_of in list(self._waiters.items()):
            if as_of < newest:
                _wake(future)

    async def _handle_delta(self, message: Message) -> Message:
        configuration = self._current_state()
        keys = configuration.keys_since(message["since"])
        if keys is None:
            return {"full": True}
        changed = dict(configuration.effective_documents(keys))
        return {
            "revision": configuration.revision,
            "as_of": self._replica.applied_index(),
            "digest": configuration.digest,
            "changed": changed,
            "removed": [key for key in keys if key not in changed],
        }

    async def _handle_page(self, message: Message) -> Message:
        configuration = self._current_state()
        keys = page_keys(configuration.documents, message["after"])
        return {
            "revision": configuration.revision,
            "packed": pack_documents(dict(configuration.effective_documents(keys))),
            "last": keys[-1] if len(keys) == PAGE_ITEMS else "",
        }

    async def _handle_acknowledged(self, message: Message) -> Message:
        return {"acks": pack_revisions(self._acknowledgements.revisions())}


def _wake(future: asyncio.Future[None]) -> None:
    if not future.done():
        future.set_result(None)
