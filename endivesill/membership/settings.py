"""The `[membership]` section of the process settings."""

from __future__ import annotations

import math

import attrs

from endivesill import schema
from endivesill.settings import settings_section

__all__ = ["MembershipSettings"]

MINIMUM_SUSPICION_PERIODS = 2.5
SUSPICION_PERIODS_PER_DECADE = 2.0


@settings_section("membership")
@attrs.frozen
class MembershipSettings:
    """Failure detection, gossip between data centres, joining and the VM list."""

    probe_period_s: float = schema.field(
        "time between probes of VMs in the local data centre",
        default=0.3,
        minimum=0.05,
        maximum=60,
    )
    probe_timeout_s: float = schema.field(
        "wait for an answer before other VMs are asked to probe",
        default=0.1,
        minimum=0.01,
        maximum=30,
    )
    digest_period_s: float = schema.field(
        "time between a delegate's probes of other data centres",
        default=0.5,
        minimum=0.05,
        maximum=60,
    )
    digest_timeout_s: float = schema.field(
        "wait for an answer from another data centre",
        default=0.25,
        minimum=0.01,
        maximum=30,
    )
    delegates: int = schema.field(
        "VMs of a data centre that gossip with other data centres",
        default=3,
        minimum=1,
        maximum=10,
    )
    helpers: int = schema.field(
        "VMs that are asked to probe a VM that did not answer",
        default=3,
        minimum=1,
        maximum=10,
    )
    gone_retry_s: float = schema.field(
        "time between attempts to reach a VM that is gone",
        default=3.0,
        minimum=0.1,
        maximum=3600,
    )
    gone_kept_s: float = schema.field(
        "how long a VM that is gone is kept in the member table",
        default=21_600.0,
        minimum=10,
        maximum=604_800,
    )
    join_alone_s: float = schema.field(
        "how long to try to join other VMs before continuing alone",
        default=5.0,
        minimum=0,
        maximum=600,
    )
    vm_list: str = schema.field("kind of the platform's VM list", default="none")
    vm_list_file: str = schema.field("file of the VM list", default="")
    vm_list_period_s: float = schema.field(
        "time between reads of the VM list", default=1.0, minimum=0.1, maximum=3600
    )

    vm_list_lag_s: float = schema.field(
        "longest time by which the VM list may be out of date",
        default=60.0,
        minimum=0,
        maximum=3600,
    )

    def suspicion_s(self, vms: int) -> float:
        """Return how long a suspect VM has to refute, in seconds.

        Args:
          vms: the number of VMs in its data centre.
        """
        decades = math.log10(max(1, vms))
        periods = max(MINIMUM_SUSPICION_PERIODS, SUSPICION_PERIODS_PER_DECADE * decades)
        return periods * self.probe_period_s
