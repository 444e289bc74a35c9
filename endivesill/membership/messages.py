"""Messages between the membership services and their JSON encoding.

A datagram is a JSON list without field names, to keep it small. The update of a
healthy VM is sent in full. That of a suspect or gone VM is sent without address,
data centre, region and roles, which the receivers already have.
"""

from __future__ import annotations

import enum
import hashlib
import json
import math
from typing import Any

import attrs

from endivesill import errors
from endivesill.json_text import parse_json
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
    """The phase that a VM announces of itself."""

    JOINING = 0
    ALIVE = 1
    LEAVING = 2


class Health(enum.IntEnum):
    """The health of a VM as detected by other VMs."""

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
      instance_id: the id of the VM's process.
      incarnation: incremented by the VM itself to announce a phase or to refute.
      phase: the phase that the VM announces.
      health: its health at this incarnation, as detected by other VMs.
      address: its peer address as HOST:PORT; empty in the short form.
      data_centre: its data centre; empty in the short form.
      region: its region; empty in the short form.
      roles: its roles; empty in the short form.
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
        """Return the precedence among updates of one VM; the highest one wins."""
        return self.incarnation, int(self.health), self.instance_id

    def key(self) -> str:
        """Return the key that all updates of this VM share."""
        return f"v/{self.name}"

    def checksum(self) -> int:
        """Return the contribution to the state digest; 0 for a gone VM."""
        if self.health is Health.GONE:
            return 0
        return _checksum(
            "v", self.name, self.instance_id, self.incarnation, self.phase, self.health
        )

    def is_live(self) -> bool:
        """Return whether the VM can own targets: in phase ALIVE and not gone."""
        return self.phase is Phase.ALIVE and self.health is not Health.GONE

    def record(self) -> VmRecord:
        """Return the record that other services use."""
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
    """Whether a target is leaving, according to its load reports.

    Attributes:
      target: the target's name.
      sequence: incremented with each new boot of the target.
      boot_id: the boot that the notice applies to.
      leaving: whether that boot is leaving.
      notice_s: seconds from sending until the departure; None if not known.
    """

    target: str
    sequence: int
    boot_id: str
    leaving: bool
    notice_s: float | None = None

    def rank(self) -> tuple[int, str, bool]:
        """Return the precedence among notices of one target; the highest wins."""
        return self.sequence, self.boot_id, self.leaving

    def key(self) -> str:
        """Return the key that all notices of this target share."""
        return f"t/{self.target}"

    def checksum(self) -> int:
        """Return the contribution to the state digest."""
        return _checksum("t", self.target, self.sequence, self.boot_id, self.leaving)


Update = VmUpdate | TargetNotice


class DatagramKind(enum.Enum):
    """The kinds of datagrams.

    PING asks `subject` for an ACK. PING_REQUEST asks the receiver to ping `subject`
    and pass its ACK back. GOSSIP only carries updates.
    """

    PING = "p"
    ACK = "a"
    PING_REQUEST = "r"
    GOSSIP = "g"


@attrs.frozen
class Datagram:
    """One datagram.

    Attributes:
      kind: its kind.
      sequence: number that matches an ACK to its PING or PING_REQUEST.
      sender: name of the sending VM; for an ACK, of the VM that answered the probe.
      subject: name of the probed VM, or the empty string.
      digest: checksum of the sender's gossip state.
      updates: the piggybacked updates.
    """

    kind: DatagramKind
    sequence: int
    sender: str
    subject: str = ""
    digest: int = 0
    updates: tuple[Update, ...] = ()


def _checksum(*parts: Any) -> int:
    # Not a CRC: it is linear, so that equal changes of two VMs would cancel out when
    # their checksums are combined by XOR.
    text = "|".join(str(part) for part in parts)
    digest = hashlib.blake2b(text.encode(), digest_size=CHECKSUM_BYTES).digest()
    return int.from_bytes(digest, "big")


def encode_update(update: Update, *, full: bool = False) -> list[Any]:
    """Return an update as a JSON list.

    Args:
      update: the update.
      full: whether to include address, data centre, region and roles of a VM that
        is suspect or gone too.
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
    """Return the update encoded by a JSON list.

    Raises:
      PeerMessageError: the list is not a valid update.
    """
    try:
        if not isinstance(row, list):
            raise TypeError("no list")
        if row[0] == "t":
            return _decode_notice(row)
        if row[0] != "v":
            raise ValueError(f"no update of kind {row[0]!r}")
        state = _integer(row[4])
        if state < 0:
            raise ValueError(f"no state {state}")
        health, phase = divmod(state, len(_PHASES))
        address, data_centre, region, letters = row[5:9] or ("", "", "", "")
        return VmUpdate(
            _text(row[1]),
            _text(row[2]),
            _integer(row[3]),
            _PHASES[phase],
            _HEALTHS[health],
            _text(address),
            _text(data_centre),
            _text(region),
            tuple(_LETTER_ROLES[letter] for letter in letters),
        )
    except (IndexError, KeyError, TypeError, ValueError) as error:
        raise errors.PeerMessageError(f"invalid update: {error!r}") from None


def _decode_notice(row: list[Any]) -> TargetNotice:
    notice_s = float(row[5]) if len(row) > 5 else None
    if notice_s is not None and not math.isfinite(notice_s):
        raise ValueError(f"no duration: {notice_s}")
    return TargetNotice(
        _text(row[1]), _integer(row[2]), _text(row[3]), bool(row[4]), notice_s
    )


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f"no text: {value!r}")
    return value


def _integer(value: Any) -> int:
    if type(value) is not int:
        raise TypeError(f"no integer: {value!r}")
    return value


def encode_datagram(datagram: Datagram) -> bytes:
    """Return a datagram as UTF-8 encoded JSON."""
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
    """Return the datagram encoded by JSON.

    Raises:
      PeerMessageError: the data are not a valid datagram.
    """
    try:
        kind, sequence, sender, subject, digest, *updates = parse_json(data)
        return Datagram(
            DatagramKind(kind),
            _integer(sequence),
            _text(sender),
            _text(subject),
            _integer(digest),
            tuple(decode_update(row) for row in updates),
        )
    except (TypeError, ValueError) as error:
        raise errors.PeerMessageError(f"invalid datagram: {error!r}") from None
