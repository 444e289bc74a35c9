"""Which entries can send requests to targets that another entry does not reach.

Entries tell the leader their address and the targets to which they have lost the link.
The leader names each entry a few others, nearest first, that have lost as few of the
same links as possible. An entry keeps them while no leader answers.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

import attrs

from endivesill.peers import Message
from endivesill.timer import TimerService

__all__ = ["EntryDirectory", "EntryPeer", "EntryPeers"]

# Entries named to one entry: the nearer half from its own data centre, if it has them.
PEER_COUNT = 8
# Entries of one data centre that are looked at for that, so that the leader's cost does
# not grow with the fleet.
SAMPLE_SIZE = 16
# Age from which an entry that has not synchronised is not named; as long as a lease.
MAX_SILENCE_S = 4.0
# Time after which an entry asks for other peers. The addresses are those of VMs, which
# stay the same when processes start again.
REFRESH_S = 30.0
# The same while there are fewer of them, as after an election, when the leader does not
# know all entries yet, and while this entry has lost links.
FEW_REFRESH_S = 3.0
# Shortest time between two requests of one entry for peers.
MIN_REQUEST_PERIOD_S = 1.0
# Longest list of lost targets in a message; of more, `MANY` says so.
MAX_LOST_TARGETS = 64
MANY = "*"
# Lost links up to which an entry counts as sound. Some targets may be down for all.
MAX_SOUND_LOST = 2


@attrs.frozen
class EntryPeer:
    """Where an entry listens for other entries.

    Attributes:
      address: HOST:PORT.
      data_centre: its data centre.
      region: region of the data centre; may be empty.
    """

    address: str
    data_centre: str
    region: str


@attrs.define
class _Row:
    """What the leader knows of an entry.

    Attributes:
      entry_id: identifies its start.
      peer: where it listens.
      lost: incarnations that it does not reach, or `MANY`.
      seen_s: when it last synchronised.
    """

    entry_id: str
    peer: EntryPeer
    lost: frozenset[str]
    seen_s: float

    @property
    def is_sound(self) -> bool:
        """Whether the entry reaches most targets, as far as it has reported."""
        return len(self.lost) <= MAX_SOUND_LOST and MANY not in self.lost

    def overlap(self, other: _Row) -> float:
        """Return how many of the targets that another entry has lost it lacks too."""
        if MANY in self.lost:
            return float("inf")
        if MANY in other.lost:
            return len(self.lost)
        return len(self.lost & other.lost)


class _Sample:
    """A set of addresses that is drawn from in constant time."""

    def __init__(self) -> None:
        self._addresses: list[str] = []
        self._positions: dict[str, int] = {}

    def add(self, address: str) -> None:
        if address not in self._positions:
            self._positions[address] = len(self._addresses)
            self._addresses.append(address)

    def discard(self, address: str) -> None:
        position = self._positions.pop(address, None)
        if position is None:
            return
        last = self._addresses.pop()
        if last != address:
            self._addresses[position] = last
            self._positions[last] = position

    def draw(self, random_source: random.Random, count: int) -> list[str]:
        size = min(count, len(self._addresses))
        return random_source.sample(self._addresses, size)


class _Addresses:
    """Addresses of the entries of one data centre, by what they reach."""

    def __init__(self) -> None:
        self._sound = _Sample()
        self._impaired = _Sample()

    def put(self, address: str, *, is_sound: bool) -> None:
        self.remove(address)
        (self._sound if is_sound else self._impaired).add(address)

    def remove(self, address: str) -> None:
        self._sound.discard(address)
        self._impaired.discard(address)

    def draw(self, random_source: random.Random, count: int) -> list[str]:
        drawn = self._sound.draw(random_source, count)
        return drawn + self._impaired.draw(random_source, count - len(drawn))


class EntryDirectory:
    """The leader's list of entries.

    Args:
      timer: the timer service.
      random_source: chooses among equally good entries.
    """

    def __init__(self, timer: TimerService, random_source: random.Random) -> None:
        self._timer = timer
        self._random = random_source
        self._rows: dict[str, _Row] = {}
        self._addresses: dict[str, str] = {}
        # By data centre; entries that are gone are dropped when they are drawn.
        self._by_data_centre: dict[str, _Addresses] = {}

    def record(self, message: Message) -> None:
        """Record what an entry's message says of itself.

        Args:
          message: `{"entry", "reach"}`, where `"reach"` may be absent and has
            `"address"`, `"data_centre"`, `"region"` and the incarnations in `"lost"`.
        """
        now_s = self._timer.now_s()
        entry_id = message["entry"]
        reach = message.get("reach")
        if reach is None:
            row = self._row_of(entry_id)
            if row is not None:
                row.seen_s = now_s
            return
        peer = EntryPeer(reach["address"], reach["data_centre"], reach["region"])
        known = self._rows.get(peer.address)
        if known is not None and known.entry_id != entry_id:
            self._addresses.pop(known.entry_id, None)
        row = _Row(entry_id, peer, frozenset(reach["lost"]), now_s)
        self._rows[peer.address] = row
        self._addresses[entry_id] = peer.address
        addresses = self._by_data_centre.get(peer.data_centre)
        if addresses is None:
            addresses = self._by_data_centre[peer.data_centre] = _Addresses()
        addresses.put(peer.address, is_sound=row.is_sound)

    def remove(self, entry_id: str) -> None:
        """Remove an entry that stops."""
        address = self._addresses.pop(entry_id, None)
        if address is not None:
            self._rows.pop(address, None)

    def reply_fields(self, message: Message) -> Message:
        """Return the part of a reply to an entry's message.

        Returns:
          `{"introduce"}` if its address is not known; `{"peers"}` if it asks for them,
          with address, data centre and region of each.
        """
        row = self._row_of(message["entry"])
        if row is None:
            return {"introduce": True}
        if not message.get("peers_wanted"):
            return {}
        return {"peers": [attrs.astuple(peer) for peer in self._choose(row)]}

    def _row_of(self, entry_id: str) -> _Row | None:
        return self._rows.get(self._addresses.get(entry_id, ""))

    def _choose(self, asker: _Row) -> list[EntryPeer]:
        """Return entries that may send for another one, the nearest first.

        Requests stay in the region of the entry, since routes and organisations may be
        bound to it.
        """
        own = asker.peer.data_centre
        near = self._draw(own, asker)
        far = [
            row
            for data_centre in self._by_data_centre
            if data_centre != own
            for row in self._draw(data_centre, asker)
            if row.peer.region == asker.peer.region
        ]
        self._random.shuffle(far)
        for rows in (near, far):
            rows.sort(key=lambda row: row.overlap(asker))
        chosen: list[_Row] = []
        for is_sound in (True, False):
            chosen += _pick(
                [row for row in near if row.is_sound is is_sound],
                [row for row in far if row.is_sound is is_sound],
                PEER_COUNT - len(chosen),
            )
        return [row.peer for row in chosen]

    def _draw(self, data_centre: str, asker: _Row) -> list[_Row]:
        """Return some entries of a data centre, without the one that asks.

        Sound ones come first: where most entries have lost their links, a sample of all
        would hold few of the others, or none.
        """
        drawn = self._by_data_centre[data_centre].draw(self._random, SAMPLE_SIZE)
        oldest_s = self._timer.now_s() - MAX_SILENCE_S
        rows = []
        for address in drawn:
            row = self._rows.get(address)
            if row is None or row.seen_s < oldest_s:
                self._drop(data_centre, address)
            elif row is not asker:
                rows.append(row)
        return rows

    def _drop(self, data_centre: str, address: str) -> None:
        self._by_data_centre[data_centre].remove(address)
        row = self._rows.pop(address, None)
        if row is not None:
            self._addresses.pop(row.entry_id, None)


def _pick(near: list[_Row], far: list[_Row], count: int) -> list[_Row]:
    """Return some rows, half of them near ones if there are enough of both."""
    chosen = near[: max(count // 2, count - len(far))]
    return chosen + far[: count - len(chosen)]


class EntryPeers:
    """An entry's side: what it tells the leader, and the peers that it is named.

    Args:
      timer: the timer service.

    Attributes:
      own: where this entry listens; None if it sends nothing for others.
      peers: the entries that may send its requests.
      on_peers: called when they have changed.
    """

    def __init__(self, timer: TimerService) -> None:
        self._timer = timer
        self.own: EntryPeer | None = None
        self.peers: list[EntryPeer] = []
        self.on_peers: Callable[[], None] = lambda: None
        self._lost: list[str] = []
        # Counts changes of what is reported, and what the leader has of it.
        self._number = 0
        self._reported: tuple[str | None, int] = (None, 0)
        self._next_request_s = float("-inf")
        self._last_request_s = float("-inf")

    def set_lost(self, incarnations: Iterable[str]) -> bool:
        """Set the targets to which this entry has lost its link; return if changed."""
        lost = sorted(incarnations)
        lost = [MANY] if len(lost) > MAX_LOST_TARGETS else lost
        if lost == self._lost:
            return False
        if len(lost) > len(self._lost):
            self.request_peers()
        self._lost = lost
        self._number += 1
        return True

    def request_peers(self) -> bool:
        """Ask for other peers with the next message; return if that may be now."""
        earliest_s = self._last_request_s + MIN_REQUEST_PERIOD_S
        self._next_request_s = min(self._next_request_s, earliest_s)
        return self._next_request_s <= self._timer.now_s()

    def request_fields(self, address: str) -> Message:
        """Return the part of a message to a control VM."""
        if self.own is None:
            return {}
        fields: Message = {"entry_number": self._number}
        if self._reported != (address, self._number):
            fields["reach"] = {**attrs.asdict(self.own), "lost": self._lost}
        now_s = self._timer.now_s()
        if now_s >= self._next_request_s:
            self._last_request_s = now_s
            self._next_request_s = now_s + MIN_REQUEST_PERIOD_S
            fields["peers_wanted"] = True
        return fields

    def apply_reply(self, address: str, request: Message, reply: Message) -> None:
        """Apply the leader's reply to a message."""
        if reply.get("introduce"):
            self._reported = (None, 0)
        elif "reach" in request:
            self._reported = (address, request["entry_number"])
        if not reply.get("peers"):
            return
        is_few = len(reply["peers"]) < PEER_COUNT
        is_impaired = len(self._lost) > MAX_SOUND_LOST or MANY in self._lost
        refresh_s = FEW_REFRESH_S if is_few or is_impaired else REFRESH_S
        self._next_request_s = self._timer.now_s() + refresh_s
        self.peers = [EntryPeer(*row) for row in reply["peers"]]
        self.on_peers()
