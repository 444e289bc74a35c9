"""Numbers in header fields."""

from __future__ import annotations

import math
import re

from endivesill.http1.head import Headers, header_values

__all__ = ["lowest_decimal"]

# Digits beyond these would only make a number larger than any that bounds something.
DECIMAL_PATTERN = re.compile(rb"[0-9]{1,64}(\.[0-9]{0,64})?")


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
