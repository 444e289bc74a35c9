"""The tree along which the configuration and its lease are distributed.

The live VMs of a data centre form a heap ordered by the hash of their names. Its root
is a member of a second heap, of the roots of all data centres of the region. A parent
always precedes its child in the order of hashes, so that VMs with differing views of
the fleet never wait for each other in a cycle.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from endivesill.membership.view import VmRecord, VmState

__all__ = ["FAN_OUT", "parent_of"]

FAN_OUT = 3

LIVE_STATES = (VmState.ALIVE, VmState.LEAVING)


def parent_of(name: str, vms: Iterable[VmRecord]) -> VmRecord | None:
    """Return the parent of a VM in the distribution tree.

    Args:
      name: the name of the VM.
      vms: that VM's view of the fleet.

    Returns:
      None for a VM that asks the control replicas itself: a root, or a VM that is not
      in the view.
    """
    live = [vm for vm in vms if vm.state in LIVE_STATES or vm.name == name]
    own = next((vm for vm in live if vm.name == name), None)
    if own is None:
        return None
    data_centres: dict[str, list[VmRecord]] = {}
    for vm in live:
        if vm.region == own.region:
            data_centres.setdefault(vm.data_centre, []).append(vm)
    heap = sorted(data_centres[own.data_centre], key=_rank)
    if heap[0].name == name:
        heap = sorted((min(c, key=_rank) for c in data_centres.values()), key=_rank)
    position = next(i for i, vm in enumerate(heap) if vm.name == name)
    return heap[(position - 1) // FAN_OUT] if position else None


def _rank(vm: VmRecord) -> tuple[bytes, str]:
    return hashlib.sha256(vm.name.encode()).digest(), vm.name
