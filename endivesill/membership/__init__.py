"""Fleet membership and the assignment of each target to its owner, a VM."""

from endivesill.membership.datagrams import (
    DatagramTransport,
    MemoryDatagramTransport,
    UdpDatagramTransport,
)
from endivesill.membership.leaving import LeavingTargets
from endivesill.membership.owners import LiveEntry, OwnerTable
from endivesill.membership.service import SwimMembership
from endivesill.membership.settings import MembershipSettings
from endivesill.membership.view import (
    MembershipView,
    StaticMembership,
    VmRecord,
    VmState,
)
from endivesill.membership.vm_list import VmList, VmListReader, make_vm_list, vm_list

__all__ = [
    "DatagramTransport",
    "LeavingTargets",
    "LiveEntry",
    "MembershipSettings",
    "MembershipView",
    "MemoryDatagramTransport",
    "OwnerTable",
    "StaticMembership",
    "SwimMembership",
    "UdpDatagramTransport",
    "VmList",
    "VmListReader",
    "VmRecord",
    "VmState",
    "make_vm_list",
    "vm_list",
]
