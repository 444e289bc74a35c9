"""Numbers in header fields."""

from __future__ import annotations

import math
import re

from endivesill.http1.head import Headers, header_values

__all__ = ["LARGEST_INTEGER", "bounded_integer", "bounded_integers", "lowest_decimal"]

# Digits beyond these would only make a number larger than any that bounds something.
DECIMAL_PATTERN = re.compile(rb"[0-9]{1,64}(\.[0-9]{0,64})?")
# Larger ones count as this one, so that sums and products with them are exact, and so
# that nobody gets more by a number that cannot be computed with.
MAX_INTEGER_DIGITS = 15
LARGEST_INTEGER = 10**MAX_INTEGER_DIGITS


def bounded_integer(digits: bytes) -> int:
    """Return the number with some decimal digits, `LARGEST_INTEGER` at most."""
    significant = digits.lstrip(b"0")
    if len(significant) > MAX_INTEGER_DIGITS:
        return LARGEST_INTEGER
    return int(significant or b"0")


def bounded_integers(value: bytes) -> list[int]:
    """Return the numbers of a list with commas; empty if one part is no number."""
    parts = [part.strip() for part in value.split(b",")]
    is_valid = all(part.isdigit() for part in parts)
    return list(map(bounded_integer, parts)) if is_valid else []


def lowest_decimal(headers: Headers, name: bytes) -> float | None:
    """Return the lowest of the decimal numbers in the values of a field.

    Args:
      headers: the headers of a message.
      name: the field, in lower case; a value may be a list with commas.

    Returns:
      None without the field, NaN if none of its values is a decimal number.
    """
    values = [
        value.strip()
        for field in header_values(headers, name)
        for value in field.split(b",")
    ]
    if not values:
        return None
    numbers = [float(value) for value in values if DECIMAL_PATTERN.fullmatch(value)]
    return min(numbers, default=math.nan)
