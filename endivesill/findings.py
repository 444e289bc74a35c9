"""Findings: what is wrong with files that a person wrote, with their places."""

from __future__ import annotations

import attrs

__all__ = ["Finding"]


@attrs.frozen(order=True)
class Finding:
    """One thing that is wrong.

    Attributes:
      file: the file's name as the person gave it.
      line: the line, from 1; 0 where there is none.
      text: what is wrong, in one line.
    """

    file: str
    line: int
    text: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.text}"
