"""Decodes JSON from outside with a single kind of error."""

from __future__ import annotations

import json
import math
from typing import Any, NoReturn

__all__ = ["STRICT", "check_nesting", "parse_document", "parse_json"]

# Objects and arrays in each other. Far above what documents need, and far below what
# Python's recursion limit allows for values inside further ones.
MAX_NESTING = 64


def parse_json(data: bytes | str) -> Any:
    """Return the value of a JSON text.

    Raises:
      ValueError: the text is no JSON, or it is nested too deeply.
    """
    try:
        return json.loads(data)
    except RecursionError:
        raise ValueError("JSON that is nested too deeply") from None


def parse_document(data: bytes) -> Any:
    """Return the value of a JSON text from outside.

    Raises:
      ValueError: the text is no JSON by RFC 8259, has a number that is not finite or a
        string that is no Unicode text, or is nested too deeply.
    """
    try:
        value = json.loads(data.decode("utf-8"), **STRICT)
    except RecursionError:
        raise ValueError("JSON that is nested too deeply") from None
    _check_text(value, data)
    return value


def _finite_float(text: str) -> float:
    number = float(text)
    if not math.isfinite(number):
        raise ValueError("a number that is too large")
    return number


def _reject_constant(name: str) -> NoReturn:
    raise ValueError(f"{name} is no JSON")


# Arguments of the decoder that make it reject what is no JSON by RFC 8259.
STRICT: dict[str, Any] = {
    "parse_float": _finite_float,
    "parse_constant": _reject_constant,
}


def check_nesting(value: Any) -> None:
    """Check that a value can be stored and passed on inside further documents.

    Raises:
      ValueError: it is nested more than `MAX_NESTING` deep.
    """
    level = [value]
    for _ in range(MAX_NESTING):
        containers = [item for item in level if isinstance(item, dict | list)]
        if not containers:
            return
        level = [
            inner
            for item in containers
            for inner in (item.values() if isinstance(item, dict) else item)
        ]
    raise ValueError(f"JSON that is nested more than {MAX_NESTING} deep")


def _check_text(value: Any, data: bytes) -> None:
    """Raise ValueError if a string has a surrogate without its pair."""
    if b"\\ud" in data or b"\\uD" in data:
        json.dumps(value, ensure_ascii=False).encode()
