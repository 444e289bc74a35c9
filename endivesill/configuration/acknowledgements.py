"""Which VM has which revision in force, gathered up the distribution tree."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from endivesill.timer import TimerService

__all__ = ["Acknowledgements", "pack_revisions", "unpack_revisions"]

Packed = dict[str, list[str]]


def pack_revisions(revisions: Mapping[str, int]) -> Packed:
    """Return revisions by VM as VMs by revision, which is shorter."""
    packed: Packed = {}
    for vm, revision in sorted(revisions.items()):
        packed.setdefault(str(revision), []).append(vm)
    return packed


def unpack_revisions(packed: Packed) -> dict[str, int]:
    """Return the revisions by VM that `pack_revisions` packed."""
    return {vm: int(revision) for revision, vms in packed.items() for vm in vms}


@attrs.define
class _Branch:
    seen_s: float
    revisions: dict[str, int]


class Acknowledgements:
    """The revisions that branches of the tree have reported last.

    A branch that sends no revisions has the ones that it sent before.

    Args:
      timer: the timer service.
      kept_s: how long a branch is kept that reports no more.
    """

    def __init__(self, timer: TimerService, kept_s: float) -> None:
        self._timer = timer
        self._kept_s = kept_s
        self._branches: dict[str, _Branch] = {}

    def report(self, branch: str, packed: Packed | None) -> bool:
        """Take a branch's report.

        Returns:
          False if the branch has to send its revisions, as none are known.
        """
        self._forget()
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
        """Return the newest revision that each VM has acknowledged."""
        self._forget()
        merged: dict[str, int] = {}
        for branch in self._branches.values():
            for vm, revision in branch.revisions.items():
                merged[vm] = max(revision, merged.get(vm, 0))
        return merged

    def _forget(self) -> None:
        oldest_s = self._timer.now_s() - self._kept_s
        for name, branch in list(self._branches.items()):
            if branch.seen_s < oldest_s:
                del self._branches[name]
