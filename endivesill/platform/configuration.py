"""Decodes and validates the configuration documents that operators send."""

from __future__ import annotations

import math
from typing import Any

from endivesill import errors
from endivesill.document_reader import Reader
from endivesill.fleet.configuration_checks import check_configuration
from endivesill.fleet.model import (
    FleetConfiguration,
    ModelEngineSpec,
    Organisation,
    RequestKind,
    Route,
    Service,
    WeightedService,
)

__all__ = ["check_new_document", "decode_configuration", "encode_for_entries"]

MS_PER_S = 1_000.0
# Limits that apply where a configuration omits them.
DEFAULT_MAX_HEADER_BYTES = 16_384
DEFAULT_MAX_BODY_BYTES = 4_194_304
DEFAULT_HEADER_TIMEOUT_MS = 3_000.0
DEFAULT_IDLE_TIMEOUT_MS = 15_000.0
# Concurrent requests of an engine whose specification does not state them.
DEFAULT_ENGINE_SLOTS = 1
# Health check path of a service that does not set one.
DEFAULT_HEALTH_PATH = "/health"
# Stands for an empty list in what entries receive.
PLACEHOLDER_TENANT = {"name": "none", "api_keys": []}


def decode_configuration(document: Any) -> FleetConfiguration:
    """Return the configuration that a JSON document describes.

    Raises:
      DocumentError: the document is invalid; the text names the field.
    """
    reader = Reader(document, "state")
    services = {
        service.name: service
        for service in map(_decode_service, reader.objects("services"))
    }
    # What earlier builds have accepted stays readable; see `check_new_document`.
    limits = reader.object_or_empty("limits")
    configuration = FleetConfiguration(
        version=reader.integer("version"),
        routes=tuple(map(_decode_route, reader.objects("routes"))),
        services=services,
        organisations=tuple(map(_decode_organisation, reader.objects("tenants", []))),
        header_bytes=limits.integer("max_header_bytes", DEFAULT_MAX_HEADER_BYTES),
        body_bytes=limits.integer("max_body_bytes", DEFAULT_MAX_BODY_BYTES),
        header_timeout_s=limits.number("header_timeout_ms", DEFAULT_HEADER_TIMEOUT_MS)
        / MS_PER_S,
        idle_timeout_s=limits.number("idle_timeout_ms", DEFAULT_IDLE_TIMEOUT_MS)
        / MS_PER_S,
        # The field itself makes keys necessary, whatever it contains.
        needs_keys=reader.contains("tenants"),
    )
    check_configuration(configuration)
    return configuration


def check_new_document(document: dict[str, Any]) -> None:
    """Check a document for faults that earlier builds have accepted.

    Raises:
      DocumentError: a route names an unknown service beside its traffic split, or the
        limits are no object.
    """
    reader = Reader(document, "state")
    if reader.has("limits"):
        reader.object("limits")
    services = {service.text("name") for service in reader.objects("services")}
    for route in reader.objects("routes"):
        if route.has("service") and route.text("service") not in services:
            raise errors.DocumentError(f"route {route.text('name')}: unknown service")


def encode_for_entries(document: dict[str, Any]) -> dict[str, Any]:
    """Return a document with which entries of earlier builds need the same keys.

    They take an empty list of organisations for none, and the empty key for that of
    callers without a key.
    """
    if "tenants" not in document:
        return document
    tenants = [
        {**tenant, "api_keys": [key for key in tenant.get("api_keys") or [] if key]}
        for tenant in document["tenants"] or [PLACEHOLDER_TENANT]
    ]
    return {**document, "tenants": tenants}


def _decode_service(reader: Reader) -> Service:
    return Service(
        name=reader.text("name"),
        health_path=reader.text("health_path", DEFAULT_HEALTH_PATH),
        max_connections=reader.integer("max_connections", 0),
        cold_start_s=reader.number("cold_start_s", 0.0),
        cold_requests_per_s=reader.number("cold_per_s", 0.0),
        model_engine=_decode_engine_spec(reader.object("engine"))
        if reader.has("engine")
        else None,
    )


def _decode_engine_spec(reader: Reader) -> ModelEngineSpec:
    return ModelEngineSpec(
        slots=reader.integer("slots", DEFAULT_ENGINE_SLOTS),
        capacity_tokens=reader.integer("kv_capacity_tokens", math.inf),
        event_tokens=reader.integer("stride", 1),
        has_backups=reader.flag("backups", False),
        has_moves=reader.flag("moves", False),
    )


def _decode_route(reader: Reader) -> Route:
    name = reader.text("name")
    timeout_ms = reader.number("timeout_ms")
    target_latency_ms = reader.number("target_latency_ms", timeout_ms)
    if target_latency_ms <= 0:
        # No response can be on time, so it says as much as no target.
        target_latency_ms = timeout_ms
    kind = reader.text("kind")
    if kind not in {item.value for item in RequestKind}:
        raise errors.DocumentError(f"route {name}: no kind {kind!r}")
    return Route(
        name=name,
        host=reader.text("host").lower(),
        path_prefix=reader.text("path_prefix"),
        kind=RequestKind(kind),
        timeout_s=timeout_ms / MS_PER_S,
        target_latency_s=target_latency_ms / MS_PER_S,
        priority=reader.integer("priority", 0),
        weighted_services=_decode_weighted_services(reader),
        max_attempts=reader.integer("max_attempts", 1),
        is_public=reader.flag("public", False),
        gap_target_s=reader.number("gap_target_ms", 0.0) / MS_PER_S,
    )


def _decode_weighted_services(reader: Reader) -> tuple[WeightedService, ...]:
    if not reader.has("traffic_split"):
        return (WeightedService(reader.text("service"), 1.0),)
    return tuple(
        WeightedService(item.text("service"), item.number("weight"))
        for item in reader.objects("traffic_split")
    )


def _decode_organisation(reader: Reader) -> Organisation:
    return Organisation(
        name=reader.text("name"),
        keys=tuple(reader.texts("api_keys", [])),
        priority=reader.integer("priority", None),
    )
