"""Membership: which VMs are there, and which is the home of a target."""

from endivesill.membership.view import (
    MembershipView,
    StaticMembership,
    VmRecord,
    VmState,
)

__all__ = ["MembershipView", "StaticMembership", "VmRecord", "VmState"]
