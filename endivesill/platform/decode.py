"""Reads single values of the platform's JSON, with the place in each error."""

from __future__ import annotations

from typing import Any

from endivesill import errors

__all__ = ["Reader"]

MISSING = object()


class Reader:
    """An object of the platform's JSON.

    Args:
      document: the object.
      place: where it stands, for errors.

    Raises:
      DocumentError: it is no object.
    """

    def __init__(self, document: Any, place: str) -> None:
        if not isinstance(document, dict):
            raise errors.DocumentError(f"{place}: not an object")
        self._document = document
        self._place = place

    def _get(self, name: str, kinds: tuple[type, ...], default: Any) -> Any:
        value = self._document.get(name, MISSING)
        if value is MISSING or (value is None and default is not MISSING):
            if default is MISSING:
                raise errors.DocumentError(f"{self._place}.{name}: missing")
            return default
        if not isinstance(value, kinds) or (
            isinstance(value, bool) and bool not in kinds
        ):
            raise errors.DocumentError(f"{self._place}.{name}: {value!r} has no use")
        return value

    def text(self, name: str, default: Any = MISSING) -> str:
        """Return a string."""
        return self._get(name, (str,), default)

    def integer(self, name: str, default: Any = MISSING) -> int:
        """Return a whole number."""
        return self._get(name, (int,), default)

    def number(self, name: str, default: Any = MISSING) -> float:
        """Return a number."""
        return self._get(name, (int, float), default)

    def flag(self, name: str, default: Any = MISSING) -> bool:
        """Return a boolean."""
        return self._get(name, (bool,), default)

    def texts(self, name: str, default: Any = MISSING) -> list[str]:
        """Return a list of strings."""
        values = self._get(name, (list,), default)
        if not all(isinstance(value, str) for value in values):
            raise errors.DocumentError(f"{self._place}.{name}: not all are strings")
        return values

    def integers(self, name: str, default: Any = MISSING) -> list[int]:
        """Return a list of whole numbers, not empty."""
        values = self._get(name, (list,), default)
        if not values or not all(type(value) is int for value in values):
            raise errors.DocumentError(f"{self._place}.{name}: not whole numbers")
        return values

    def items(self, name: str) -> list[Any]:
        """Return a list of anything."""
        return self._get(name, (list,), MISSING)

    def objects(self, name: str, default: Any = MISSING) -> list[Reader]:
        """Return a list of objects."""
        values = self._get(name, (list,), default)
        return [
            Reader(value, f"{self._place}.{name}[{position}]")
            for position, value in enumerate(values)
        ]

    def object(self, name: str) -> Reader:
        """Return an object."""
        return Reader(self._get(name, (dict,), MISSING), f"{self._place}.{name}")

    def has(self, name: str) -> bool:
        """Tell whether there is a value other than null."""
        return self._document.get(name) is not None
