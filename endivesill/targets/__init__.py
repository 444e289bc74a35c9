"""Targets: protocol adapters, their messages, and the token scanner."""

from endivesill.targets.adapter import ADAPTERS, TargetAdapter, adapter, make_adapter
from endivesill.targets.client import TargetAnswer, TargetClient, TargetRequest
from endivesill.targets.engine import EngineAdapter, EngineStream
from endivesill.targets.messages import (
    CacheEvent,
    CacheEvents,
    GenerationRequest,
    LoadReport,
    Order,
)
from endivesill.targets.plain import PlainAdapter, PlainAnswer, PlainCall
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
    "PlainAnswer",
    "PlainCall",
    "ScannedBlock",
    "TargetAdapter",
    "TargetAnswer",
    "TargetClient",
    "TargetRequest",
    "TokenScanner",
    "adapter",
    "make_adapter",
]
