"""Decodes JSON from outside with a single kind of error."""

from __future__ import annotations

import json
from typing import Any

__all__ = ["parse_json"]


def parse_json(data: bytes | str) -> Any:
    """Return the value of a JSON text.

    Raises:
      ValueError: the text is no JSON, or it is nested too deeply.
    """
    try:
        return json.loads(data)
    except RecursionError:
        raise ValueError("JSON that is nested too deeply") from None
