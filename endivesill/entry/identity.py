"""Generation ids, from which any entry finds the engine of a generation.

An id consists of a nonce, a tag derived from the engine's name, and a signature of
both and the organisation under the peer key, which all entries share. So an entry
finds the engine without shared state, and an organisation cannot access another's
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
MAX_INDEX_DIGITS = 9

_EVENT_ID = re.compile(
    rf"([0-9a-f]{{{NONCE_DIGITS + TAG_DIGITS + SIGNATURE_DIGITS}}})"
    rf":([0-9]{{1,{MAX_INDEX_DIGITS}}})"
)


@functools.lru_cache(maxsize=8192)
def target_tag(name: str) -> str:
    """Return the tag that stands for a target in generation ids."""
    return hashlib.sha256(name.encode()).hexdigest()[:TAG_DIGITS]


@attrs.frozen
class EventId:
    """The id of a server-sent event.

    Attributes:
      generation_id: the id of the generation.
      index: the index of the token, from 0.
    """

    generation_id: str
    index: int


def parse_event_id(text: str) -> EventId:
    """Parse a `Last-Event-ID` header.

    Raises:
      RequestError: the header is not an id of a generation event (400).
    """
    match = _EVENT_ID.fullmatch(text.strip())
    if match is None:
        detail = "is not GENERATION:INDEX of an earlier answer"
        raise errors.RequestError(400, detail, "last-event-id")
    return EventId(match[1], int(match[2]))


class GenerationIds:
    """Creates and verifies generation ids.

    Args:
      keys: the peer keys; ids signed with any valid key are accepted, so that a
        key rotation does not break streams.
    """

    def __init__(self, keys: KeyRing) -> None:
        self._keys = keys

    def make(self, target_name: str, organisation_name: str) -> str:
        """Create an id for a new generation at a target."""
        unsigned_id = secrets.token_hex(NONCE_DIGITS // 2) + target_tag(target_name)
        signature = self._keys.sign(
            _signed_message(unsigned_id, organisation_name)
        ).hex()
        return unsigned_id + signature[:SIGNATURE_DIGITS]

    def check(self, generation_id: str, organisation_name: str) -> str:
        """Verify a generation id and return the tag of its target.

        Raises:
          RequestError: the id was not issued to the organisation (404).
        """
        unsigned_id = generation_id[:-SIGNATURE_DIGITS]
        given_signature = generation_id[-SIGNATURE_DIGITS:]
        message = _signed_message(unsigned_id, organisation_name)
        valid = [
            hmac.compare_digest(signature.hex()[:SIGNATURE_DIGITS], given_signature)
            for signature in self._keys.signatures(message)
        ]
        if not any(valid):
            detail = "names no generation of this organisation"
            raise errors.RequestError(404, detail, "last-event-id")
        return unsigned_id[-TAG_DIGITS:]


def _signed_message(unsigned_id: str, organisation_name: str) -> bytes:
    return f"generation\0{unsigned_id}\0{organisation_name}".encode()
