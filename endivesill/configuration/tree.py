"""The tree that the configuration and its lease are passed along.

The live VMs of a data centre form a heap in the order of their rendezvous hash;
the first of each data centre forms one with the others of its region. A parent
always has a higher hash than its child, so that VMs with differing views of the
fleet never wait for each other in a circle.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from endivesill.membership.view import VmRecord, VmState

__all__ = ["FAN_OUT", "parent_of"]

FAN_OUT = 3

LIVE_STATES = (VmState.ALIVE, VmState.LEAVING)


def parent_of(name: str, vms: Iterable[VmRecord]) -> VmRecord | None:
    """Return the VM that a VM asks for the configuration.

    Args:
      name: the asking VM.
      vms: the fleet as the asking VM knows it.

    Returns:
      None for a VM that asks the control replicas itself.
    """
    live = [vm for vm in vms if vm.state in LIVE_STATES or vm.name == name]
    own = next((vm for vm in live if vm.name == name), None)
    if own is None:
        return None
    centres: dict[str, list[VmRecord]] = {}
    for vm in live:
        if vm.region == own.region:
            centres.setdefault(vm.data_centre, []).append(vm)
    heap = sorted(centres[own.data_centre], key=_rank)
    if heap[0].name == name:
        heap = sorted((min(c, key=_rank) for c in centres.values()), key=_rank)
    position = next(i for i, vm in enumerate(heap) if vm.name == name)
    return heap[(position - 1) // FAN_OUT] if position else None


def _rank(vm: VmRecord) -> tuple[bytes, str]:
    return hashlib.sha256(vm.name.encode()).digest(), vm.name
