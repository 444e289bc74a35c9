"""Messages between the VMs' membership services, and their JSON on the wire.

A datagram is a JSON list, so that no field names are sent. A VM's state goes in
full while it is well, and without its places when it is suspect or gone: whoever
hears that knows the VM already.
"""

from __future__ import annotations

import enum
import hashlib
import json
from typing import Any

import attrs

from endivesill import errors
from endivesill.membership.view import VmRecord, VmState

__all__ = [
    "Datagram",
    "DatagramKind",
    "Health",
    "Phase",
    "TargetNotice",
    "Update",
    "VmUpdate",
    "decode_datagram",
    "decode_update",
    "encode_datagram",
    "encode_update",
]

CHECKSUM_BYTES = 4

_ROLE_LETTERS = {"entry": "e", "control": "c"}
_LETTER_ROLES = {letter: role for role, letter in _ROLE_LETTERS.items()}


class Phase(enum.IntEnum):
    """What a VM says of itself."""

    JOINING = 0
    ALIVE = 1
    LEAVING = 2


class Health(enum.IntEnum):
    """What other VMs have found."""

    OK = 0
    SUSPECT = 1
    GONE = 2


_PHASES = tuple(Phase)
_HEALTHS = tuple(Health)
_PHASE_STATES = {
    Phase.JOINING: VmState.JOINING,
    Phase.ALIVE: VmState.ALIVE,
    Phase.LEAVING: VmState.LEAVING,
}


@attrs.frozen
class VmUpdate:
    """A VM's state at one incarnation.

    Attributes:
      name: the VM's name.
      instance_id: the process's own id.
      incarnation: raised by the VM itself, to announce or to refute.
      phase: what the VM says of itself.
      health: what others have found at this incarnation.
      address: its peer address; empty in the short form.
      data_centre: its data centre.
      region: its region.
      roles: its roles.
    """

    name: str
    instance_id: str
    incarnation: int
    phase: Phase
    health: Health
    address: str = ""
    data_centre: str = ""
    region: str = ""
    roles: tuple[str, ...] = ()

    def rank(self) -> tuple[int, int, str]:
        """Return what decides between two updates of one name: the higher wins."""
        return self.incarnation, int(self.health), self.instance_id

    def key(self) -> str:
        """Return the key under which a newer update replaces this one."""
        return f"v/{self.name}"

    def checksum(self) -> int:
        """Return what this update adds to the digest; nothing if it is gone."""
        if self.health is Health.GONE:
            return 0
        return _checksum(
            "v", self.name, self.instance_id, self.incarnation, self.phase, self.health
        )

    def is_live(self) -> bool:
        """Tell whether the VM may hold homes: alive or not yet given up."""
        return self.phase is Phase.ALIVE and self.health is not Health.GONE

    def record(self) -> VmRecord:
        """Return what other services see."""
        state = _PHASE_STATES[self.phase]
        if self.health is Health.SUSPECT:
            state = VmState.SUSPECT
        elif self.health is Health.GONE:
            state = VmState.GONE
        return VmRecord(
            self.name,
            self.instance_id,
            self.address,
            self.data_centre,
            self.region,
            self.roles,
            state,
        )


@attrs.frozen
class TargetNotice:
    """What is known of a target's own word that it leaves.

    Attributes:
      target: the target's name.
      sequence: raised with each boot of the target that was seen.
      boot_id: the boot that the notice is of.
      leaving: whether that boot leaves.
      notice_s: seconds until it goes, when this was sent; None if not known.
    """

    target: str
    sequence: int
    boot_id: str
    leaving: bool
    notice_s: float | None = None

    def rank(self) -> tuple[int, str, bool]:
        """Return what decides between two notices of one target."""
        return self.sequence, self.boot_id, self.leaving

    def key(self) -> str:
        """Return the key under which a newer notice replaces this one."""
        return f"t/{self.target}"

    def checksum(self) -> int:
        """Return what this notice adds to the digest."""
        return _checksum("t", self.target, self.sequence, self.boot_id, self.leaving)


Update = VmUpdate | TargetNotice


class DatagramKind(enum.Enum):
    """The kinds of datagrams.

    PING asks `subject` for an ACK; PING_REQUEST asks a third VM to ping
    `subject`; GOSSIP only carries updates.
    """

    PING = "p"
    ACK = "a"
    PING_REQUEST = "r"
    GOSSIP = "g"


@attrs.frozen
class Datagram:
    """One datagram.

    Attributes:
      kind: what it is for.
      sequence: joins an ACK to what it answers.
      sender: name of the VM that sent it; of an ACK, the VM that is well.
      subject: name of the VM that is to answer, or the empty string.
      digest: checksum of all that the sender knows.
      updates: news that travel with it.
    """

    kind: DatagramKind
    sequence: int
    sender: str
    subject: str = ""
    digest: int = 0
    updates: tuple[Update, ...] = ()


def _checksum(*parts: Any) -> int:
    # A CRC is linear: equal changes of two VMs would cancel out in the digest.
    text = "|".join(str(part) for part in parts)
    digest = hashlib.blake2b(text.encode(), digest_size=CHECKSUM_BYTES).digest()
    return int.from_bytes(digest, "big")


def encode_update(update: Update, *, full: bool = False) -> list[Any]:
    """Return an update as a JSON list.

    Args:
      update: the update.
      full: with the VM's places, whatever its health.
    """
    if isinstance(update, TargetNotice):
        row = [update.target, update.sequence, update.boot_id, int(update.leaving)]
        if update.notice_s is None:
            return ["t", *row]
        return ["t", *row, round(update.notice_s, 2)]
    state = update.phase + len(_PHASES) * update.health
    row = ["v", update.name, update.instance_id, update.incarnation, state]
    if full or update.health is Health.OK:
        roles = "".join(_ROLE_LETTERS[role] for role in update.roles)
        row += [update.address, update.data_centre, update.region, roles]
    return row


def decode_update(row: list[Any]) -> Update:
    """Return the update of a JSON list.

    Raises:
      PeerMessageError: it is no update.
    """
    try:
        if row[0] == "t":
            notice_s = float(row[5]) if len(row) > 5 else None
            return TargetNotice(
                str(row[1]), int(row[2]), str(row[3]), bool(row[4]), notice_s
            )
        health, phase = divmod(int(row[4]), len(_PHASES))
        address, data_centre, region, letters = row[5:9] or ("", "", "", "")
        return VmUpdate(
            str(row[1]),
            str(row[2]),
            int(row[3]),
            _PHASES[phase],
            _HEALTHS[health],
            str(address),
            str(data_centre),
            str(region),
            tuple(_LETTER_ROLES[letter] for letter in letters),
        )
    except (IndexError, KeyError, TypeError, ValueError) as error:
        raise errors.PeerMessageError(f"no update: {error!r}") from None


def encode_datagram(datagram: Datagram) -> bytes:
    """Return a datagram's JSON."""
    row: list[Any] = [
        datagram.kind.value,
        datagram.sequence,
        datagram.sender,
        datagram.subject,
        datagram.digest,
    ]
    row += [encode_update(update) for update in datagram.updates]
    return json.dumps(row, separators=(",", ":")).encode()


def decode_datagram(data: bytes) -> Datagram:
    """Return the datagram of its JSON.

    Raises:
      PeerMessageError: it is no datagram.
    """
    try:
        kind, sequence, sender, subject, digest, *updates = json.loads(data)
        return Datagram(
            DatagramKind(kind),
            int(sequence),
            str(sender),
            str(subject),
            int(digest),
            tuple(decode_update(row) for row in updates),
        )
    except (TypeError, ValueError) as error:
        raise errors.PeerMessageError(f"no datagram: {error!r}") from None
