"""Orders to engines: who gives them, that each runs once, and what is placed."""

import endivesill.orders.commands  # noqa: F401 - registers the commands
from endivesill.orders.lease import OrdererLease
from endivesill.orders.messages import (
    OrderKind,
    OrderRecord,
    OrderRequest,
    OrderState,
)
from endivesill.orders.orderer import EngineOrders, Orderer
from endivesill.orders.placement import PlacementLoop
from endivesill.orders.plan import ServiceDemand
from endivesill.orders.service import OrderService
from endivesill.orders.settings import OrderSettings

__all__ = [
    "EngineOrders",
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
