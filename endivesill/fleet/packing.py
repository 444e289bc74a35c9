"""Compresses configurations for the transfer to entries.

A configuration of 1,000 routes is half a megabyte of repetitive text, and the link of
an entry may carry only half a megabyte per second.
"""

from __future__ import annotations

import base64
import json
import zlib
from collections.abc import Callable
from typing import Any

from endivesill import errors
from endivesill.json_text import parse_json
from endivesill.peers import EncodedValue, Message

__all__ = ["PackedState", "pack_document", "unpack_document"]

# Level 1 is fast, and higher levels save little more.
LEVEL = 1


def pack_document(document: Any) -> str:
    """Return a JSON value as compressed base64 text."""
    data = json.dumps(document, separators=(",", ":")).encode()
    return base64.b64encode(zlib.compress(data, LEVEL)).decode("ascii")


def unpack_document(text: str) -> Any:
    """Return the JSON value of a packed text.

    Raises:
      PeerMessageError: the text is invalid.
    """
    try:
        return parse_json(zlib.decompress(base64.b64decode(text)))
    except (ValueError, zlib.error) as error:
        raise errors.PeerMessageError(f"packed document: {error}") from None


class PackedState:
    """The packed configuration for entries, encoded once a version.

    Args:
      encode_document: returns a document in the form for entries.
    """

    def __init__(self, encode_document: Callable[[Any], Any]) -> None:
        self._encode_document = encode_document
        self._version: int | None = None
        self._encoded = EncodedValue("")

    def encode(self, state: Message) -> EncodedValue:
        """Return `{"version", "packed"}` of the replicated configuration."""
        if self._version != state["version"]:
            self._version = state["version"]
            packed = pack_document(self._encode_document(state["document"]))
            text = json.dumps({"version": state["version"], "packed": packed})
            self._encoded = EncodedValue(text)
        return self._encoded
