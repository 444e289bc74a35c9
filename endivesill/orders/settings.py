"""The `[orders]` section of the process settings."""

from __future__ import annotations

import attrs

from endivesill import schema
from endivesill.settings import settings_section

__all__ = ["OrderSettings"]


@settings_section("orders")
@attrs.frozen
class OrderSettings:
    """Timing of the orderer lease, of orders and of placement."""

    lease_s: float = schema.field(
        "duration of the orderer lease without a renewal; equal on all VMs",
        default=10.0,
        minimum=5.0,
        maximum=600,
    )
    read_back_s: float = schema.field(
        "how long an engine may take to report an order as applied",
        default=120.0,
        minimum=1,
        maximum=3600,
    )
    placement_period_s: float = schema.field(
        "time between placement decisions", default=5.0, minimum=0.1, maximum=3600
    )
    placement_hold_s: float = schema.field(
        "how long a shift of demand must persist before an engine is reassigned",
        default=60.0,
        minimum=0,
        maximum=86_400,
    )
    placement_pause_s: float = schema.field(
        "minimum time between two placement changes in a data centre",
        default=60.0,
        minimum=0,
        maximum=86_400,
    )
    drain_limit_s: float = schema.field(
        "how long an engine may take to become idle before a model change",
        default=900.0,
        minimum=1,
        maximum=86_400,
    )
