"""What operators and the platform say of routes, services and engines."""

from __future__ import annotations

import enum

import attrs

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
    """What may be repeated of a route's requests."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self is RequestKind.SAFE


@attrs.frozen
class WeightedService:
    """One service of a route and its weight among the others."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """Where requests of a host and path prefix go.

    Attributes:
      name: its name.
      host: the host, in lower case.
      path_prefix: begins and ends with a slash.
      kind: what may be repeated.
      timeout_s: longest time that a request may be under way.
      target_latency_s: time within which an answer is on time.
      priority: 0 is the most urgent.
      weighted_services: the services that share the requests.
      max_attempts: how many targets one request may be sent to.
      is_public: whether requests need no key.
      gap_target_s: longest pause between two events that is on time.
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
    """What the model engines of a service have.

    Attributes:
      slots: requests that run at once.
      capacity_tokens: memory for prompts and outputs.
      event_tokens: output tokens of one event.
      has_backups: whether an engine copies its runs to another one.
      has_moves: whether a run can be moved on request.
    """

    slots: int
    capacity_tokens: int
    event_tokens: int
    has_backups: bool
    has_moves: bool


@attrs.frozen
class Service:
    """A group of like targets.

    Attributes:
      name: its name.
      health_path: where a target tells whether it takes work.
      max_connections: connections that one target accepts from all callers.
      cold_start_s: how long a target is cold after a start.
      cold_requests_per_s: what a cold target bears.
      model_engine: what its model engines have; None for a plain service.
    """

    name: str
    health_path: str
    max_connections: int
    cold_start_s: float
    cold_requests_per_s: float
    model_engine: ModelEngineSpec | None


@attrs.frozen
class Organisation:
    """Who sends requests.

    Attributes:
      name: its name.
      keys: its API keys.
      priority: overrides the route's; None if it has none.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None


@attrs.frozen
class FleetConfiguration:
    """One version of everything that operators have decided.

    Attributes:
      version: higher ones replace lower ones.
      routes: all routes.
      services: services by name.
      organisations: all organisations; empty if requests need no key.
      header_bytes: bound of a request's head.
      body_bytes: bound of a request's body.
      header_timeout_s: bound of the time in which a head must come.
      idle_timeout_s: how long an idle caller's connection stays open.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    organisations: tuple[Organisation, ...]
    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@attrs.frozen
class EngineInfo:
    """A target as the platform's list has it.

    Attributes:
      identity: its name, which it checks on requests that expect it.
      incarnation: names one start of it; an identity may be started again.
      service: the service it belongs to.
      address: its HOST:PORT; may belong to another target later.
      data_centre: where it runs.
      slots: requests that run at once.
      is_draining: whether it is about to leave.
      cold_s: how long it stays cold from when the list was read.
      has_notice: whether it knows when it will end; one that drains without
        notice goes on until its requests have ended.
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
