"""Decodes JSON documents with an array whose elements do not affect each other."""

from __future__ import annotations

import json
import re
from collections.abc import Callable
from typing import Any, TypeVar

from endivesill import errors
from endivesill.json_text import STRICT, parse_document

__all__ = ["decode_array_document"]

# Length of one element of a damaged array.
MAX_ELEMENT_CHARACTERS = 65_536
# Places in a damaged array at which decoding an element may fail; bounds the work.
MAX_FAILED_STARTS = 1_024
# The last bracket after which only fields with simple values may follow.
ARRAY_END = re.compile(
    r'\]\s*(,\s*"[^"\\]*"\s*:\s*([\w.+-]+|"([^"\\]|\\.)*")\s*)*\}\s*\Z', re.DOTALL
)
SEPARATOR = re.compile(r"[ \t\r\n]*(,|\Z)[ \t\r\n]*")
NEXT_OBJECT = re.compile(r",[ \t\r\n]*(?=\{)")

DECODER = json.JSONDecoder(**STRICT)

T = TypeVar("T")


def decode_array_document(
    data: bytes, field: str, decode: Callable[[Any], T]
) -> tuple[dict[str, Any], list[T], list[str]]:
    """Decode an object with an array of objects, also where elements are no JSON.

    Args:
      data: the document.
      field: name of the field with the array.
      decode: returns the result for the value of an element, or raises DocumentError.

    Returns:
      The other fields, the results, and why each other element was skipped.

    Raises:
      ValueError: the document itself is invalid.
    """
    try:
        document = parse_document(data)
    except ValueError:
        return _decode_damaged(data, field, decode)
    if not isinstance(document, dict) or not isinstance(document.get(field), list):
        raise ValueError(f"no object with the array {field}")
    results: list[T] = []
    reasons: list[str] = []
    for value in document.pop(field):
        try:
            results.append(decode(value))
        except errors.DocumentError as error:
            reasons.append(str(error))
    return document, results, reasons


def _decode_damaged(
    data: bytes, field: str, decode: Callable[[Any], T]
) -> tuple[dict[str, Any], list[T], list[str]]:
    text = data.decode("utf-8", "surrogateescape")
    start = re.search(rf'"{field}"\s*:\s*\[', text)
    end = ARRAY_END.search(text, start.end()) if start else None
    if start is None or end is None:
        raise ValueError(f"no JSON, and no array {field}")
    rest = text[: start.end()] + text[end.start() :]
    document = parse_document(rest.encode("utf-8", "replace"))
    if not isinstance(document, dict) or document.pop(field, None) != []:
        raise ValueError(f"no object with the array {field}")
    return document, *_decode_elements(text[start.end() : end.start()], decode)


def _decode_elements(
    text: str, decode: Callable[[Any], T]
) -> tuple[list[T], list[str]]:
    """Decode the elements of a damaged array one by one.

    What looks like the end of an element that cannot be decoded may belong to its
    neighbours, so that each object after a comma is tried.
    """
    results: list[T] = []
    reasons: list[str] = []
    position = len(text) - len(text.lstrip())
    while position < len(text):
        try:
            result, position = _decode_element(text, position, decode)
        except (ValueError, errors.DocumentError) as error:
            reasons.append(str(error))
            if len(reasons) > MAX_FAILED_STARTS:
                raise ValueError("too many unreadable elements") from None
            following = NEXT_OBJECT.search(text, position)
            position = following.end() if following else len(text)
        else:
            results.append(result)
    return results, reasons


def _decode_element(
    text: str, position: int, decode: Callable[[Any], T]
) -> tuple[T, int]:
    """Decode the element at a position; return its result and the next position."""
    # Sliced, so that a string without an end is not searched to the end of the text.
    window = text[position : position + MAX_ELEMENT_CHARACTERS]
    try:
        value, length = DECODER.raw_decode(window)
    except RecursionError:
        raise ValueError("JSON that is nested too deeply") from None
    separator = SEPARATOR.match(text, position + length)
    if separator is None:
        raise ValueError("no comma after an element")
    return decode(value), separator.end()
