"""Targets: protocol adapters, their messages, and the token scanner."""

from endivesill.targets.adapter import ADAPTERS, TargetAdapter, adapter, make_adapter
from endivesill.targets.client import TargetClient, TargetRequest, TargetResponse
from endivesill.targets.engine import EngineAdapter, EngineStream
from endivesill.targets.messages import (
    CacheEvent,
    CacheEvents,
    GenerationRequest,
    LoadReport,
    Order,
)
from endivesill.targets.plain import PlainAdapter, PlainCall, PlainResponse
from endivesill.targets.tokens import ScannedBlock, TokenScanner

__all__ = [
    "ADAPTERS",
    "CacheEvent",
    "CacheEvents",
    "EngineAdapter",
    "EngineStream",
    "GenerationRequest",
    "LoadReport",
    "Order",
    "PlainAdapter",
    "PlainResponse",
    "PlainCall",
    "ScannedBlock",
    "TargetAdapter",
    "TargetResponse",
    "TargetClient",
    "TargetRequest",
    "TokenScanner",
    "adapter",
    "make_adapter",
]
