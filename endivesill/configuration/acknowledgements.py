"""Collection of the revision in force on each VM, up the distribution tree."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from endivesill.timer import TimerService

__all__ = ["Acknowledgements", "pack_revisions", "unpack_revisions"]

PackedRevisions = dict[str, list[str]]


def pack_revisions(revisions: Mapping[str, int]) -> PackedRevisions:
    """Return a compact form of revisions by VM: lists of VMs by revision."""
    packed: PackedRevisions = {}
    for vm, revision in sorted(revisions.items()):
        packed.setdefault(str(revision), []).append(vm)
    return packed


def unpack_revisions(packed: PackedRevisions) -> dict[str, int]:
    """Return the revisions by VM from the form made by `pack_revisions`."""
    return {vm: int(revision) for revision, vms in packed.items() for vm in vms}


@attrs.define
class _Branch:
    reported_s: float
    revisions: dict[str, int]


class Acknowledgements:
    """The revisions last reported by the branches of the distribution tree.

    A branch is a child VM with the VMs below it. A report without revisions repeats
    the previous ones.

    Args:
      timer: the timer service.
      retention_s: how long the last report of a branch is kept.
    """

    def __init__(self, timer: TimerService, retention_s: float) -> None:
        self._timer = timer
        self._retention_s = retention_s
        self._branches: dict[str, _Branch] = {}

    def report(self, branch: str, packed: PackedRevisions | None) -> bool:
        """Record a report of a branch.

        Returns:
          False if the report has no revisions and none are known; the branch then
          has to send them.
        """
        self._expire()
        known = self._branches.get(branch)
        if packed is not None:
            revisions = unpack_revisions(packed)
        elif known is not None:
            revisions = known.revisions
        else:
            return False
        self._branches[branch] = _Branch(self._timer.now_s(), revisions)
        return True

    def revisions(self) -> dict[str, int]:
        """Return the highest revision that each VM has acknowledged."""
        self._expire()
        merged: dict[str, int] = {}
        for branch in self._branches.values():
            for vm, revision in branch.revisions.items():
                merged[vm] = max(revision, merged.get(vm, 0))
        return merged

    def _expire(self) -> None:
        oldest_s = self._timer.now_s() - self._retention_s
        for name, branch in list(self._branches.items()):
            if branch.reported_s < oldest_s:
                del self._branches[name]
