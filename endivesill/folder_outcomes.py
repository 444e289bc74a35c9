"""What comparing or applying an operators' folder gave."""

from __future__ import annotations

from typing import Any

import attrs

from endivesill.configuration.changes import Change

__all__ = ["ChangeOutcome", "FolderDifference"]


@attrs.frozen
class FolderDifference:
    """The difference between a folder and the fleet's configuration.

    Attributes:
      revision: the fleet's revision that the folder was compared with.
      folder_revision: the newest revision that changed items of the folder.
      change: the items that differ.
      origins: `FILE:LINE` of each value of the changed items, by key and field.
      before: the fleet's documents of the items that differ, by key.
    """

    revision: int
    folder_revision: int
    change: Change
    origins: dict[str, dict[str, str]]
    before: dict[str, dict[str, Any]]


@attrs.frozen
class ChangeOutcome:
    """The outcome of a change.

    Attributes:
      outcome: `accepted` or `unchanged`.
      revision: the revision that contains the change.
      number: the idempotency number of the change; a resend uses the same one.
      in_force: whether no VM can start work under an older revision.
      waiting_for: the VMs that may still start work under an older revision.
      without_lease: the VMs that have not acknowledged the revision but cannot
        start work without a lease.
    """

    outcome: str
    revision: int
    number: str
    in_force: bool
    waiting_for: tuple[str, ...]
    without_lease: tuple[str, ...]
