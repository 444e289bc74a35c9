"""Packs a configuration for its way to the entries.

A configuration of a thousand routes is half a megabyte of much the same text, and
an entry's link may carry half a megabyte a second.
"""

from __future__ import annotations

import base64
import json
import zlib
from typing import Any

from endivesill import errors

__all__ = ["pack_document", "unpack_document"]

# Fast, and most of what a higher level gives.
LEVEL = 1


def pack_document(document: Any) -> str:
    """Return a JSON value as short text."""
    data = json.dumps(document, separators=(",", ":")).encode()
    return base64.b64encode(zlib.compress(data, LEVEL)).decode("ascii")


def unpack_document(text: str) -> Any:
    """Return the JSON value of a packed text.

    Raises:
      PeerMessageError: the text cannot be read.
    """
    try:
        return json.loads(zlib.decompress(base64.b64decode(text)))
    except (ValueError, zlib.error) as error:
        raise errors.PeerMessageError(f"packed document: {error}") from None
