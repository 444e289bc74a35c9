"""Reads typed values of JSON and TOML documents; errors name the field."""

from __future__ import annotations

import functools
import ipaddress
from typing import Any

from endivesill import errors
from endivesill.value_checks import MAXIMUM_PORT

__all__ = ["Reader"]

MISSING = object()
# Names are used in headers, log lines and the replicated state.
MAX_NAME_CHARACTERS = 256
# Whole numbers that 64 bits hold, so that all arithmetic with them is in range.
MAX_INTEGER = 2**63 - 1
MAX_SHOWN_CHARACTERS = 60


class Reader:
    """Typed access to the fields of one object.

    The methods raise `DocumentError` if the field has another type, or if it is
    missing and no default is given. A null field counts as missing if there is a
    default.

    Args:
      document: the decoded object.
      location: path of the object in its document, for error texts.

    Raises:
      DocumentError: the document is not an object.
    """

    def __init__(self, document: Any, location: str) -> None:
        if not isinstance(document, dict):
            raise errors.DocumentError(f"{location}: not an object")
        self._document = document
        self._location = location

    def _get(self, name: str, kinds: tuple[type, ...], default: Any) -> Any:
        value = self._document.get(name, MISSING)
        if value is MISSING or (value is None and default is not MISSING):
            if default is MISSING:
                raise errors.DocumentError(f"{self._location}.{name}: missing")
            return default
        if not isinstance(value, kinds) or (
            isinstance(value, bool) and bool not in kinds
        ):
            raise self._error(name, value)
        return value

    def _error(self, name: str, value: Any) -> errors.DocumentError:
        """Return the error for a value; its text is short whatever the value is."""
        shown = type(value).__name__
        if isinstance(value, str):
            shown = ascii(value[:MAX_SHOWN_CHARACTERS])
        elif isinstance(value, float) or (
            isinstance(value, int) and abs(value) <= MAX_INTEGER
        ):
            shown = repr(value)
        return errors.DocumentError(f"{self._location}.{name}: {shown} has no use")

    def text(self, name: str, default: Any = MISSING) -> str:
        """Return a string field."""
        return self._get(name, (str,), default)

    def name(self, name: str) -> str:
        """Return a required name, which is printable and not too long."""
        value = self.text(name)
        if (
            not 0 < len(value) <= MAX_NAME_CHARACTERS
            or not value.isprintable()
            or value != value.strip()
        ):
            raise self._error(name, value)
        return value

    def token(self, name: str) -> str:
        """Return a required name without any space."""
        value = self.name(name)
        if " " in value:
            raise self._error(name, value)
        return value

    def ip_address(self, name: str) -> str:
        """Return a required IPv4 address with a port."""
        value = self.text(name)
        if not _is_ip_address(value):
            raise self._error(name, value)
        return value

    def integer(
        self,
        name: str,
        default: Any = MISSING,
        minimum: int = -MAX_INTEGER,
        maximum: int = MAX_INTEGER,
    ) -> int:
        """Return an integer field within bounds; a boolean is rejected."""
        value = self._get(name, (int,), default)
        if value is not default and not minimum <= value <= maximum:
            raise self._error(name, value)
        return value

    def number(
        self,
        name: str,
        default: Any = MISSING,
        minimum: float = -MAX_INTEGER,
        maximum: float = MAX_INTEGER,
    ) -> float:
        """Return an integer or float field within bounds; a boolean is rejected."""
        value = self._get(name, (int, float), default)
        # NaN is within no bounds.
        if value is not default and not minimum <= value <= maximum:
            raise self._error(name, value)
        return value

    def flag(self, name: str, default: Any = MISSING) -> bool:
        """Return a boolean field."""
        return self._get(name, (bool,), default)

    def texts(self, name: str, default: Any = MISSING) -> list[str]:
        """Return a list of strings, possibly empty."""
        values = self._get(name, (list,), default)
        if not all(isinstance(value, str) for value in values):
            raise errors.DocumentError(f"{self._location}.{name}: not all are strings")
        return values

    def integers(self, name: str, default: Any = MISSING) -> list[int]:
        """Return a non-empty list of integers."""
        values = self._get(name, (list,), default)
        if not values or not all(type(value) is int for value in values):
            raise errors.DocumentError(f"{self._location}.{name}: not whole numbers")
        return values

    def items(self, name: str) -> list[Any]:
        """Return a required list with elements of any type."""
        return self._get(name, (list,), MISSING)

    def objects(self, name: str, default: Any = MISSING) -> list[Reader]:
        """Return a reader for each object of a list."""
        values = self._get(name, (list,), default)
        return [
            Reader(value, f"{self._location}.{name}[{position}]")
            for position, value in enumerate(values)
        ]

    def object(self, name: str) -> Reader:
        """Return a reader for a required object field."""
        return Reader(self._get(name, (dict,), MISSING), f"{self._location}.{name}")

    def object_or_empty(self, name: str) -> Reader:
        """Return a reader for an object field; an empty one for all other values."""
        value = self._document.get(name)
        is_object = isinstance(value, dict)
        return Reader(value if is_object else {}, f"{self._location}.{name}")

    def contains(self, name: str) -> bool:
        """Return whether the field is present, also if it is null."""
        return name in self._document

    def has(self, name: str) -> bool:
        """Return whether the field is present and not null."""
        return self._document.get(name) is not None


# The same addresses are read again and again.
@functools.lru_cache(maxsize=8_192)
def _is_ip_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    is_number = port.isascii() and port.isdigit() and len(port) <= len("65535")
    return is_number and 0 < int(port) <= MAXIMUM_PORT
