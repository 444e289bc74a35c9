"""Generation ids: any entry finds the engine of a generation by its id.

An id is a random number, a tag of the engine's name and a signature of both and
the organisation under the peer key, which all entries share. So an entry needs
no shared state to find the engine, and no organisation can name another's
generation. The parts are hex digits of fixed lengths.
"""

from __future__ import annotations

import functools
import hashlib
import hmac
import re
import secrets

import attrs

from endivesill import errors
from endivesill.keys import KeyRing

__all__ = ["EventId", "GenerationIds", "parse_event_id", "target_tag"]

NONCE_DIGITS = 20
TAG_DIGITS = 12
SIGNATURE_DIGITS = 16
LARGEST_INDEX_DIGITS = 9

_EVENT_ID = re.compile(
    rf"([0-9a-f]{{{NONCE_DIGITS + TAG_DIGITS + SIGNATURE_DIGITS}}})"
    rf":([0-9]{{1,{LARGEST_INDEX_DIGITS}}})"
)


@functools.lru_cache(maxsize=8192)
def target_tag(name: str) -> str:
    """Return the tag of a target's name in generation ids."""
    return hashlib.sha256(name.encode()).hexdigest()[:TAG_DIGITS]


@attrs.frozen
class EventId:
    """The id of a server-sent event.

    Attributes:
      generation_id: the generation.
      index: the index of the token.
    """

    generation_id: str
    index: int


def parse_event_id(text: str) -> EventId:
    """Return the parts of a `Last-Event-ID` header.

    Raises:
      RequestError: it is not one of ours (400).
    """
    match = _EVENT_ID.fullmatch(text.strip())
    if match is None:
        detail = "is not GENERATION:INDEX of an earlier answer"
        raise errors.RequestError(400, detail, "last-event-id")
    return EventId(match[1], int(match[2]))


class GenerationIds:
    """Makes and checks generation ids.

    Args:
      keys: the peer keys; ids made under any valid key are accepted, so that a
        rotation of the keys breaks no stream.
    """

    def __init__(self, keys: KeyRing) -> None:
        self._keys = keys

    def make(self, target_name: str, organisation_name: str) -> str:
        """Return a new id for a generation at a target."""
        head = secrets.token_hex(NONCE_DIGITS // 2) + target_tag(target_name)
        signature = self._keys.sign(_signed(head, organisation_name)).hex()
        return head + signature[:SIGNATURE_DIGITS]

    def check(self, generation_id: str, organisation_name: str) -> str:
        """Return the tag of a generation's target.

        Raises:
          RequestError: the generation is not the organisation's (404).
        """
        head = generation_id[:-SIGNATURE_DIGITS]
        given = generation_id[-SIGNATURE_DIGITS:]
        message = _signed(head, organisation_name)
        valid = [
            hmac.compare_digest(signature.hex()[:SIGNATURE_DIGITS], given)
            for signature in self._keys.signatures(message)
        ]
        if not any(valid):
            detail = "names no generation of this organisation"
            raise errors.RequestError(404, detail, "last-event-id")
        return head[-TAG_DIGITS:]


def _signed(head: str, organisation_name: str) -> bytes:
    return f"generation\0{head}\0{organisation_name}".encode()
