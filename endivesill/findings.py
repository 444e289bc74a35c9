"""Findings: validation errors in settings and configuration files."""

from __future__ import annotations

import attrs

__all__ = ["Finding"]


@attrs.frozen(order=True)
class Finding:
    """One validation error.

    Attributes:
      file: the file name as the user gave it.
      line: the line number, from 1; 0 if the finding concerns the whole file.
      text: a description of the error, in one line.
    """

    file: str
    line: int
    text: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.text}"
