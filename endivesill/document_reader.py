"""Reads typed values of JSON and TOML documents; errors name the field."""

from __future__ import annotations

from typing import Any

from endivesill import errors

__all__ = ["Reader"]

MISSING = object()


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
            raise errors.DocumentError(f"{self._location}.{name}: {value!r} has no use")
        return value

    def text(self, name: str, default: Any = MISSING) -> str:
        """Return a string field."""
        return self._get(name, (str,), default)

    def integer(self, name: str, default: Any = MISSING) -> int:
        """Return an integer field; a boolean is rejected."""
        return self._get(name, (int,), default)

    def number(self, name: str, default: Any = MISSING) -> float:
        """Return an integer or float field; a boolean is rejected."""
        return self._get(name, (int, float), default)

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

    def has(self, name: str) -> bool:
        """Return whether the field is present and not null."""
        return self._document.get(name) is not None
