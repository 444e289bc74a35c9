"""Plain functions for each action of an operator."""

from __future__ import annotations

from endivesill.configuration import Folder, read_folder

__all__ = ["config_check"]


def config_check(folder: str) -> Folder:
    """Read and check an operators' folder.

    Raises:
      FindingsError: with every finding, each with file and line.
    """
    return read_folder(folder)
