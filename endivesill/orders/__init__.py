"""Orders to engines: one orderer per data centre, at-most-once orders, placement.

The orderer is the VM that holds the lease of a data centre. It alone issues orders
to the engines there.
"""

import endivesill.orders.commands  # noqa: F401 - registers the commands
from endivesill.orders.lease import OrdererLease
from endivesill.orders.messages import (
    OrderKind,
    OrderRecord,
    OrderRequest,
    OrderState,
)
from endivesill.orders.orderer import EngineOrderClient, Orderer
from endivesill.orders.placement import PlacementLoop
from endivesill.orders.plan import ServiceDemand
from endivesill.orders.service import OrderService
from endivesill.orders.settings import OrderSettings

__all__ = [
    "EngineOrderClient",
    "OrderKind",
    "OrderRecord",
    "OrderRequest",
    "OrderService",
    "OrderSettings",
    "OrderState",
    "Orderer",
    "OrdererLease",
    "PlacementLoop",
    "ServiceDemand",
]
