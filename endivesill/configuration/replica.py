"""What a control replica tells the VMs about the configuration.

Each replica answers by itself, from its own log and state: a majority of such
answers is what the configuration lease rests on.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import attrs

from endivesill.configuration.acknowledgements import (
    Acknowledgements,
    pack_revisions,
)
from endivesill.configuration.copy import PAGE_ITEMS, pack_documents, page_of
from endivesill.configuration.lease import ACKNOWLEDGEMENT_KEPT_S, HOLD_S
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
    "ReplicaPort",
    "VoterSet",
]

PROBE_PATH = "/configuration/probe"
DELTA_PATH = "/configuration/delta"
PAGE_PATH = "/configuration/page"
ACKNOWLEDGED_PATH = "/configuration/acknowledged"


@attrs.frozen
class VoterSet:
    """The voting replicas, as of an index of the log.

    Attributes:
      index: the log index of the newest voter change that was appended.
      addresses: the peer address of each voter by replica identity.
    """

    index: int = -1
    addresses: dict[str, str] = attrs.Factory(dict)

    @property
    def majority(self) -> int:
        """How many voters are a majority."""
        return len(self.addresses) // 2 + 1


class ConfigurationReplica:
    """Base of the views of a control replica.

    Attributes:
      replica_id: the replica's identity, another one after a lost disk.
    """

    replica_id: str

    def newest_index(self) -> int:
        """Return the index of the newest configuration command in the log.

        It counts commands that are not committed yet.
        """
        raise NotImplementedError

    def applied_index(self) -> int:
        """Return the index up to which the state holds all commands."""
        raise NotImplementedError

    def state(self) -> State:
        """Return the replicated state."""
        raise NotImplementedError

    def voters(self) -> VoterSet:
        """Return the newest voter set in the log, committed or not."""
        raise NotImplementedError

    def subscribe_applied(self, listener: Callable[[], None]) -> None:
        """Call a listener whenever commands have been applied."""
        raise NotImplementedError


class MemoryReplica(ConfigurationReplica):
    """A replica for tests and benches, whose log is driven by hand.

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
        """Append a command, which is not applied yet."""
        self._log.append((command, message, context))

    def apply_all(self) -> Message:
        """Apply what was appended; return the last result."""
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


class ReplicaPort(Service):
    """Answers the VMs' questions at a control replica.

    Args:
      timer: the timer service.
      transport: the peer transport; its paths `/configuration/...` are taken.
      replica: the replica.
    """

    def __init__(
        self,
        timer: TimerService,
        transport: PeerTransport,
        replica: ConfigurationReplica,
    ) -> None:
        self._timer = timer
        self._replica = replica
        self._acknowledgements = Acknowledgements(timer, ACKNOWLEDGEMENT_KEPT_S)
        self._held: dict[asyncio.Future[None], int] = {}
        transport.handle(PROBE_PATH, self._probe)
        transport.handle(DELTA_PATH, self._delta)
        transport.handle(PAGE_PATH, self._page)
        transport.handle(ACKNOWLEDGED_PATH, self._acknowledged)
        replica.subscribe_applied(self._release)

    async def stop(self) -> None:
        """Answer everyone that is held."""
        for future in list(self._held):
            _finish(future)

    def _store(self) -> ConfigurationState:
        return ConfigurationState.readable(self._replica.state())

    def _newest(self) -> int:
        return max(self._replica.newest_index(), self._store().last_index)

    async def _probe(self, message: Message) -> Message:
        """Answer with the newest index; held while there is nothing newer."""
        known = self._acknowledgements.report(message["vm"], message.get("acks"))
        hold_s = min(float(message.get("hold_s", 0.0)), HOLD_S)
        if hold_s > 0 and self._store().last_index <= message["as_of"]:
            await self._hold(message["as_of"], hold_s)
        voters = self._replica.voters()
        answer = {
            "id": self._replica.replica_id,
            "newest": self._newest(),
            "applied": self._replica.applied_index(),
            "revision": self._store().revision,
        }
        if voters.index != message.get("voters_index"):
            answer["voters"] = voters.addresses
            answer["voters_index"] = voters.index
        if not known:
            answer["acks_wanted"] = True
        return answer

    async def _hold(self, as_of: int, hold_s: float) -> None:
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._held[future] = as_of
        handle = self._timer.call_after(hold_s, lambda: _finish(future))
        try:
            await future
        finally:
            handle.cancel()
            del self._held[future]

    def _release(self) -> None:
        newest = self._store().last_index
        for future, as_of in list(self._held.items()):
            if as_of < newest:
                _finish(future)

    async def _delta(self, message: Message) -> Message:
        store = self._store()
        keys = store.keys_since(message["since"])
        if keys is None:
            return {"full": True}
        changed = dict(store.effective_documents(keys))
        return {
            "revision": store.revision,
            "as_of": self._replica.applied_index(),
            "digest": store.digest,
            "changed": changed,
            "removed": [key for key in keys if key not in changed],
        }

    async def _page(self, message: Message) -> Message:
        store = self._store()
        keys = page_of(store.documents, message["after"])
        return {
            "revision": store.revision,
            "packed": pack_documents(dict(store.effective_documents(keys))),
            "last": keys[-1] if len(keys) == PAGE_ITEMS else "",
        }

    async def _acknowledged(self, message: Message) -> Message:
        return {"acks": pack_revisions(self._acknowledgements.revisions())}


def _finish(future: asyncio.Future[None]) -> None:
    if not future.done():
        future.set_result(None)
