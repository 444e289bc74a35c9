"""The desired state and the start of a small deployment with model engines."""

from __future__ import annotations

import asyncio
from typing import Any

from fleet_2 import READY_PORT, CannotRunError, Fleet, Record, call

HOST, PATH, KEY = "ficu95.example", "/lohu930/", "xd9dnn2ctnfzs989anu6"


def document() -> dict[str, Any]:
    """Return the first desired state."""
    return {
        "version": 1,
        "routes": [
            {
                "name": "r-x5pa2yh",
                "host": HOST,
                "path_prefix": PATH,
                "kind": "streaming",
                "timeout_ms": 39000,
                "target_latency_ms": 1800,
                "priority": 1,
                "service": "plan-llm",
                "max_attempts": 1,
                "public": False,
                "session_affinity": True,
                "stream_resumption": False,
                "gap_target_ms": 180,
            }
        ],
        "services": [
            {
                "name": "plan-llm",
                "health_path": "/health",
                "max_connections": 242,
                "protocol": "h1",
                "tls": False,
                "cold_start_s": 1.0,
                "cold_per_s": 40.0,
                "engine": {
                    "slots": 24,
                    "kv_capacity_tokens": 34325,
                    "kv_token_bytes": 35136,
                    "link_mbps": 5100.0,
                    "moves": True,
                    "backups": True,
                    "stride": 4,
                    "most": 12,
                    "pin_ms": 4000.0,
                    "hold_ms": 2000.0,
                    "handle_s": 5.0,
                    "models": [{"name": "m"}],
                },
            }
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "huka270", "api_keys": [KEY], "priority": 1}],
    }


async def wait_ready(record: Record, fleet: Fleet) -> None:
    """Wait until all fronts say that they are ready."""
    for front in fleet.fronts():
        for _ in range(100):
            try:
                status, _, _ = await call(
                    f"{front.ip}:{READY_PORT}", "GET", "/readiness"
                )
            except (OSError, EOFError, TimeoutError):
                status = 0
            if status == 200:
                break
            await asyncio.sleep(0.1)
        else:
            raise CannotRunError(f"{front.name} does not get ready")
    record.note("all fronts are ready")


def plain_document() -> dict[str, Any]:
    """Return a desired state with a plain service alone."""
    service = "ledger-app"
    state = document()
    state["routes"] = [
        {
            "name": "r-pule",
            "host": HOST,
            "path_prefix": "/pule252/",
            "kind": "unsafe",
            "timeout_ms": 600,
            "target_latency_ms": 125,
            "priority": 2,
            "service": service,
            "max_attempts": 1,
            "public": False,
            "session_affinity": False,
            "stream_resumption": False,
        }
    ]
    state["services"] = [
        {
            "name": service,
            "health_path": "/health",
            "max_connections": 100,
            "protocol": "h1",
            "tls": False,
            "cold_start_s": 0.0,
            "cold_per_s": 0.0,
        }
    ]
    return state
