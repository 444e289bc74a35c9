"""Which VMs of the fleet may be stopped next, and the reasons against the others."""

from __future__ import annotations

from collections.abc import Collection, Iterable

import attrs

from endivesill.membership.view import VmRecord, VmState

__all__ = ["VmStatus", "fleet_status"]


@attrs.frozen
class VmStatus:
    """The status of one VM.

    Attributes:
      vm: the VM.
      draining: whether it is leaving the fleet or marked as leaving by operators.
      voter: whether it is a voter of the control group.
      may_go: whether it may be stopped now.
      reasons: why it may not be stopped; empty if it may.
    """

    vm: VmRecord
    draining: bool
    voter: bool
    may_go: bool
    reasons: tuple[str, ...]


def fleet_status(
    vms: Iterable[VmRecord], voters: Collection[str], draining: Collection[str] = ()
) -> list[VmStatus]:
    """Return the status of each VM, ordered by name.

    Args:
      vms: the VMs of the membership view.
      voters: the names of the control group's voters.
      draining: the names of the VMs that operators have marked as leaving.
    """
    records = sorted(vms, key=lambda vm: vm.name)
    leaving = {vm.name for vm in records if vm.state is VmState.LEAVING}
    leaving |= {vm.name for vm in records if vm.name in draining} & {
        vm.name for vm in records if vm.state is not VmState.GONE
    }
    return [_status(vm, records, frozenset(voters), leaving) for vm in records]


def _status(
    vm: VmRecord, records: list[VmRecord], voters: frozenset[str], leaving: set[str]
) -> VmStatus:
    reasons = []
    if vm.state is not VmState.ALIVE:
        reasons.append(f"it is {vm.state.value}")
    elif vm.name in leaving:
        reasons.append("it is draining")
    others_leaving = sorted(leaving - {vm.name})
    if others_leaving:
        reasons.append(f"{', '.join(others_leaving)} is on its way out")
    alive = {r.name for r in records if r.state is VmState.ALIVE} - leaving - {vm.name}
    joining = [r.name for r in records if r.state is VmState.JOINING]
    if joining:
        reasons.append(f"{', '.join(joining)} has not joined yet")
    quorum = len(voters) // 2 + 1
    if vm.name in voters and len(voters & alive) < quorum:
        reasons.append(f"the control group would lose its quorum of {quorum}")
    if "entry" in vm.roles and not _has_other_entry(vm, records, alive):
        reasons.append(f"it is the last entry of {vm.data_centre}")
    return VmStatus(
        vm, vm.name in leaving, vm.name in voters, not reasons, tuple(reasons)
    )


def _has_other_entry(vm: VmRecord, records: list[VmRecord], alive: set[str]) -> bool:
    return any(
        other.name in alive
        and other.data_centre == vm.data_centre
        and "entry" in other.roles
        for other in records
    )
