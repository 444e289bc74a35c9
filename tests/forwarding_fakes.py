"""Engines, routes and target tables for the tests of forwarding."""

from __future__ import annotations

import attrs

from endivesill.fleet.model import (
    EngineInfo,
    ModelEngineSpec,
    RequestKind,
    Route,
    Service,
    WeightedService,
)
from endivesill.fleet.sync_client import FleetView
from endivesill.forwarding.targets import TargetTable

MEMORY = ModelEngineSpec(
    slots=24,
    capacity_tokens=34_000,
    event_tokens=4,
    has_backups=True,
    has_moves=True,
)
MODEL = Service("llm", "/health", 200, 1.0, 40.0, MEMORY)
PLAIN = Service("app", "/health", 100, 0.0, 0.0, None)


def engine(name: str, service: str = "llm", **changes) -> EngineInfo:
    """Return an engine in data centre `a`."""
    info = EngineInfo(
        identity=name,
        incarnation=f"{name}@1",
        service=service,
        address=f"10.0.0.1:{1000 + len(name)}",
        data_centre="a",
        slots=24 if service == "llm" else 6,
        is_draining=False,
        cold_s=0.0,
    )
    return attrs.evolve(info, **changes)


def route(kind: RequestKind = RequestKind.UNSAFE, **changes) -> Route:
    """Return a route to the model service if streaming, else to the plain one."""
    service = "llm" if kind is RequestKind.STREAMING else "app"
    found = Route(
        name="r",
        host="x.example",
        path_prefix="/p/",
        kind=kind,
        timeout_s=5.0,
        target_latency_s=1.0,
        priority=1,
        weighted_services=(WeightedService(service, 1.0),),
        max_attempts=2 if kind is RequestKind.SAFE else 1,
        is_public=True,
        gap_target_s=0.2,
    )
    return attrs.evolve(found, **changes)


def make_table(timer, *engines: EngineInfo) -> TargetTable:
    """Return a target table with these engines."""
    view = FleetView()
    table = TargetTable(timer, view, "a")
    set_engines(table, view, *engines)
    return table


def set_engines(table: TargetTable, view: FleetView, *engines: EngineInfo) -> None:
    """Replace the engine list of a target table."""
    view.engines = {info.incarnation: info for info in engines}
    table._view = view
    table.update_engines()
