"""Decodes the operators' configuration."""

from __future__ import annotations

from typing import Any

from endivesill import errors
from endivesill.fleet.model import (
    FleetConfiguration,
    ModelEngineSpec,
    Organisation,
    RequestKind,
    Route,
    Service,
    WeightedService,
)
from endivesill.platform.decode import Reader

__all__ = ["decode_configuration"]

MS_PER_S = 1_000.0
# In force where a configuration leaves a limit out.
HEADER_BYTES = 16_384
BODY_BYTES = 4_194_304
HEADER_TIMEOUT_MS = 3_000.0
IDLE_TIMEOUT_MS = 15_000.0
# Requests that an engine runs at once where its sheet does not say.
ENGINE_SLOTS = 1
# Used for a service that does not name its own.
HEALTH_PATH = "/health"


def decode_configuration(document: Any) -> FleetConfiguration:
    """Return the configuration of a document.

    Raises:
      DocumentError: it cannot be in force; the text names the place.
    """
    reader = Reader(document, "state")
    services = {
        service.name: service for service in map(_service, reader.objects("services"))
    }
    routes = tuple(_route(item, services) for item in reader.objects("routes"))
    _check_places(routes)
    organisations = tuple(map(_organisation, reader.objects("tenants", [])))
    _check_keys(organisations)
    limits = Reader(document.get("limits") or {}, "state.limits")
    return FleetConfiguration(
        version=reader.integer("version"),
        routes=routes,
        services=services,
        organisations=organisations,
        header_bytes=limits.integer("max_header_bytes", HEADER_BYTES),
        body_bytes=limits.integer("max_body_bytes", BODY_BYTES),
        header_timeout_s=limits.number("header_timeout_ms", HEADER_TIMEOUT_MS)
        / MS_PER_S,
        idle_timeout_s=limits.number("idle_timeout_ms", IDLE_TIMEOUT_MS) / MS_PER_S,
    )


def _service(reader: Reader) -> Service:
    return Service(
        name=reader.text("name"),
        health_path=reader.text("health_path", HEALTH_PATH),
        max_connections=reader.integer("max_connections", 0),
        cold_start_s=reader.number("cold_start_s", 0.0),
        cold_requests_per_s=reader.number("cold_per_s", 0.0),
        model_engine=_memory(reader.object("engine")) if reader.has("engine") else None,
    )


def _memory(reader: Reader) -> ModelEngineSpec:
    return ModelEngineSpec(
        slots=reader.integer("slots", ENGINE_SLOTS),
        capacity_tokens=reader.integer("kv_capacity_tokens", 0),
        event_tokens=reader.integer("stride", 1),
        has_backups=reader.flag("backups", False),
        has_moves=reader.flag("moves", False),
    )


def _route(reader: Reader, services: dict[str, Service]) -> Route:
    name = reader.text("name")
    timeout_ms = reader.number("timeout_ms")
    if timeout_ms <= 0:
        raise errors.DocumentError(f"route {name}: timeout_ms is not over 0")
    kind = reader.text("kind")
    if kind not in {item.value for item in RequestKind}:
        raise errors.DocumentError(f"route {name}: no kind {kind!r}")
    return Route(
        name=name,
        host=reader.text("host").lower(),
        path_prefix=reader.text("path_prefix"),
        kind=RequestKind(kind),
        timeout_s=timeout_ms / MS_PER_S,
        target_latency_s=reader.number("target_latency_ms", timeout_ms) / MS_PER_S,
        priority=reader.integer("priority", 0),
        weighted_services=_shares(reader, name, services),
        max_attempts=reader.integer("max_attempts", 1),
        is_public=reader.flag("public", False),
        gap_target_s=reader.number("gap_target_ms", 0.0) / MS_PER_S,
    )


def _shares(
    reader: Reader, route: str, services: dict[str, Service]
) -> tuple[WeightedService, ...]:
    if reader.has("traffic_split"):
        items = reader.objects("traffic_split")
        shares = tuple(
            WeightedService(item.text("service"), item.number("weight"))
            for item in items
        )
    else:
        shares = (WeightedService(reader.text("service"), 1.0),)
    for share in shares:
        if share.service not in services:
            raise errors.DocumentError(f"route {route}: no service {share.service!r}")
    if any(share.weight < 0 for share in shares) or not any(s.weight for s in shares):
        raise errors.DocumentError(f"route {route}: the weights add up to 0")
    return shares


def _organisation(reader: Reader) -> Organisation:
    return Organisation(
        name=reader.text("name"),
        keys=tuple(reader.texts("api_keys", [])),
        priority=reader.integer("priority", None),
    )


def _check_places(routes: tuple[Route, ...]) -> None:
    places = set()
    for route in routes:
        place = (route.host, route.path_prefix)
        if place in places:
            raise errors.DocumentError(f"route {route.name}: the place is taken")
        places.add(place)


def _check_keys(organisations: tuple[Organisation, ...]) -> None:
    holders: dict[str, str] = {}
    for organisation in organisations:
        for key in organisation.keys:
            holder = holders.setdefault(key, organisation.name)
            if holder != organisation.name:
                raise errors.DocumentError(
                    f"tenants {holder} and {organisation.name} share a key"
                )
