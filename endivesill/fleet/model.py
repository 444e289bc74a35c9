"""Data model of routes, services, organisations and engines."""

from __future__ import annotations

import enum

import attrs

from endivesill.peers import Message

__all__ = [
    "FleetConfiguration",
    "EngineInfo",
    "ModelEngineSpec",
    "Organisation",
    "RequestKind",
    "Route",
    "Service",
    "WeightedService",
]


class RequestKind(enum.Enum):
    """How the requests of a route may be retried."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self is RequestKind.SAFE


@attrs.frozen
class WeightedService:
    """A service of a route and its weight in the traffic split."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """Routing rule for one host and path prefix.

    Attributes:
      name: unique name.
      host: the host, in lower case.
      path_prefix: begins and ends with a slash.
      kind: how requests may be retried.
      timeout_s: longest duration of a request.
      target_latency_s: target for the start of a response.
      priority: 0 is the most urgent.
      weighted_services: the services that requests are split among.
      max_attempts: how many targets may run one request.
      is_public: whether requests need no API key.
      gap_target_s: target for the longest gap between two events.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    timeout_s: float
    target_latency_s: float
    priority: int
    weighted_services: tuple[WeightedService, ...]
    max_attempts: int
    is_public: bool
    gap_target_s: float


@attrs.frozen
class ModelEngineSpec:
    """Properties of the model engines of a service.

    Attributes:
      slots: requests that run concurrently.
      capacity_tokens: size of the KV cache; infinite if it is not known.
      event_tokens: output tokens per event.
      has_backups: whether engines copy their runs to another engine as they go.
      has_moves: whether engines copy a run on request.
    """

    slots: int
    capacity_tokens: float
    event_tokens: int
    has_backups: bool
    has_moves: bool


@attrs.frozen
class Service:
    """A group of interchangeable targets.

    Attributes:
      name: unique name.
      health_path: path of the health check.
      max_connections: connections that one target accepts from all callers.
      cold_start_s: how long a target is cold after its start.
      cold_requests_per_s: request rate that a cold target sustains.
      model_engine: properties of its model engines; None for a plain service.
    """

    name: str
    health_path: str
    max_connections: int
    cold_start_s: float
    cold_requests_per_s: float
    model_engine: ModelEngineSpec | None


@attrs.frozen
class Organisation:
    """An organisation that sends requests.

    Attributes:
      name: unique name.
      keys: its API keys; it may have none.
      priority: overrides that of the route; None for no override.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None


@attrs.frozen
class FleetConfiguration:
    """One version of the operators' configuration.

    Attributes:
      version: increases with each change.
      routes: all routes.
      services: services by name.
      organisations: all organisations; there may be none.
      header_bytes: limit for the head of a request.
      body_bytes: limit for the body of a request.
      header_timeout_s: limit for the time until a head is complete.
      idle_timeout_s: how long idle connections of callers stay open.
      needs_keys: whether requests to routes that are not public need the API key of an
        organisation, also if no organisation has one.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    organisations: tuple[Organisation, ...]
    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float
    needs_keys: bool = True


@attrs.frozen
class EngineInfo:
    """A target in the platform's list.

    Attributes:
      identity: its name; it rejects requests that expect another one.
      incarnation: identifies one start, since an identity may be started again.
      service: the service that it belongs to.
      address: its HOST:PORT, which may later be reused by another target.
      data_centre: where it runs.
      slots: requests that run concurrently.
      is_draining: whether it is about to leave.
      cold_s: remaining cold time when the list was read.
      has_notice: whether its shutdown time is set; a target that drains without notice
        waits for its requests.
      version: version of its software; known to the leader only.
    """

    identity: str
    incarnation: str
    service: str
    address: str
    data_centre: str
    slots: int
    is_draining: bool
    cold_s: float
    has_notice: bool = False
    version: str = ""

    def to_row(self) -> Message:
        """Return it as JSON for entries; those of earlier builds know no version."""
        row = attrs.asdict(self)
        del row["version"]
        return row
