"""The configuration: typed items by kind and name, with a revision.

An item, such as a service or a target, is an attrs object. The control log and the
deltas carry its document, a JSON object with the key `kind/name`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any, TypeVar

import attrs

from endivesill import schema

__all__ = [
    "ITEM_KINDS",
    "CallPattern",
    "Configuration",
    "DataCentre",
    "Limits",
    "Organisation",
    "Service",
    "Target",
    "Vm",
    "configuration_from_documents",
    "document_findings",
    "item_from_document",
    "item_kind",
    "item_to_document",
    "reference_findings",
]

T = TypeVar("T")

ITEM_KINDS: dict[str, type] = {}


def item_kind(name: str) -> Callable[[type[T]], type[T]]:
    """Register an attrs class as the kind of the sections `[name NAME]`."""

    def register(kind: type[T]) -> type[T]:
        ITEM_KINDS[name] = kind
        return kind

    return register


@attrs.frozen
class CallPattern:
    """Calls by method and path prefix, such as `POST /bookings`."""

    method: str
    path_prefix: str

    def matches(self, method: str, path: str) -> bool:
        """Return whether a call matches the pattern.

        The prefix matches whole path segments only.
        """
        if self.method not in ("*", method):
            return False
        prefix = self.path_prefix.rstrip("/")
        return path == prefix or path.startswith(prefix + "/")


def _check_calls(calls: tuple[str, ...]) -> str | None:
    for call in calls:
        method, _, path = call.partition(":")
        if not method or not path.startswith("/"):
            return f"{call!r} is not METHOD:/PATH"
    return None


def _check_path(path: str) -> str | None:
    if path and not path.startswith("/"):
        return f"{path!r} does not begin with /"
    return None


def _check_url(url: str) -> str | None:
    if not url.startswith(("http://", "https://")):
        return f"{url!r} does not begin with http:// or https://"
    return None


def _check_hash(text: str) -> str | None:
    if len(text) != 64 or any(c not in "0123456789abcdef" for c in text):
        return "is not a SHA-256 in hex"
    return None


@item_kind("data-centre")
@attrs.frozen
class DataCentre:
    """A data centre; one that is taken out of service gets no new work."""

    name: str
    region: str = schema.field("region of the data centre")
    taken_out: bool = schema.field("gets no new work", default=False)


@item_kind("vm")
@attrs.frozen
class Vm:
    """A VM of the system itself."""

    name: str
    data_centre: str = schema.field("data centre that the VM is in")
    leaving: bool = schema.field("the VM is to leave the fleet", default=False)


@item_kind("service")
@attrs.frozen
class Service:
    """A service for callers: a model (protocol `engine`) or a plain service."""

    name: str
    protocol: str = schema.field("protocol of its targets", choices=("engine", "plain"))
    path_prefix: str = schema.field(
        "callers' path prefix of a plain service", default="", check=_check_path
    )
    deadline_s: float = schema.field(
        "longest wait for the first byte", default=30.0, minimum=0.1, maximum=3600
    )
    gap_target_ms: float = schema.field(
        "p95 objective for the time between tokens",
        default=71.0,
        minimum=1,
        maximum=10_000,
    )
    first_token_target_ms: float = schema.field(
        "p95 objective for the time to the first token",
        default=880.0,
        minimum=1,
        maximum=600_000,
    )
    priority: int = schema.field(
        "priority at the engines and in the queue; 0 is first",
        default=1,
        minimum=0,
        maximum=9,
    )
    queue_limit: int = schema.field(
        "largest number of requests queued at one entry",
        default=200,
        minimum=0,
        maximum=100_000,
    )
    prior_output_tokens: int = schema.field(
        "expected output length while none has been observed",
        default=300,
        minimum=1,
        maximum=1_000_000,
    )
    non_repeatable: tuple[str, ...] = schema.field(
        "calls that run at most once, as METHOD:/PATH words; * is any method",
        default=(),
        check=_check_calls,
    )
    routing_policy: str = schema.field("name of the routing policy", default="credit")

    def is_repeatable(self, method: str, path: str) -> bool:
        """Return whether a call may be retried after an unknown outcome."""
        patterns = (word.partition(":") for word in self.non_repeatable)
        return not any(
            CallPattern(verb, prefix).matches(method, path)
            for verb, _, prefix in patterns
        )


@item_kind("target")
@attrs.frozen
class Target:
    """A back end: a model engine or an instance of a plain service."""

    name: str
    service: str = schema.field("service that the target belongs to")
    url: str = schema.field("base address of the target", check=_check_url)
    data_centre: str = schema.field("data centre that the target is in")
    leaving: bool = schema.field("gets no new work", default=False)
    checks_fencing: bool = schema.field(
        "the target refuses orders with an outdated fencing token", default=False
    )
    cold_slots: int = schema.field(
        "concurrent requests that it can run during a cold start", default=2, minimum=1
    )
    maximum_slots: int = schema.field(
        "concurrent requests that it can run when warm", default=64, minimum=1
    )
    memory_tokens: int = schema.field(
        "capacity of its KV cache in tokens; 0 for a plain service",
        default=0,
        minimum=0,
    )


@item_kind("organisation")
@attrs.frozen
class Organisation:
    """A customer's organisation, identified by the hash of its API key."""

    name: str
    key_sha256: str = schema.field("SHA-256 of its API key, in hex", check=_check_hash)
    weight: float = schema.field(
        "weight in fair queuing", default=1.0, minimum=0.01, maximum=1000
    )
    maximum_requests: int = schema.field(
        "concurrent requests at one entry", default=200, minimum=1, maximum=100_000
    )


@item_kind("limits")
@attrs.frozen
class Limits:
    """Limits on requests of callers; a single item named `default`."""

    name: str
    body_bytes: int = schema.field(
        "largest request body", default=1_048_576, minimum=1024, maximum=1 << 30
    )
    header_bytes: int = schema.field(
        "largest request header block", default=16_384, minimum=1024, maximum=65_536
    )
    slow_sender_s: float = schema.field(
        "longest time for a request body", default=10.0, minimum=0.1, maximum=600
    )
    slow_reader_s: float = schema.field(
        "longest time that a caller may leave response data unread",
        default=30.0,
        minimum=0.1,
        maximum=3600,
    )
    idempotency_age_s: float = schema.field(
        "how long answers for idempotency keys are kept",
        default=86_400.0,
        minimum=60,
        maximum=2_592_000,
    )
    idempotency_entries: int = schema.field(
        "how many idempotency keys are kept", default=100_000, minimum=100
    )
    weight_store_loads_per_minute: float = schema.field(
        "weight loads that a data centre may start per minute",
        default=6.0,
        minimum=0.1,
        maximum=10_000,
    )


@attrs.frozen
class Configuration:
    """All items at one revision."""

    revision: int = 0
    data_centres: dict[str, DataCentre] = attrs.Factory(dict)
    vms: dict[str, Vm] = attrs.Factory(dict)
    services: dict[str, Service] = attrs.Factory(dict)
    targets: dict[str, Target] = attrs.Factory(dict)
    organisations: dict[str, Organisation] = attrs.Factory(dict)
    limits: Limits = attrs.Factory(lambda: Limits("default"))

    def takes_new_work(self, target: Target) -> bool:
        """Return whether the configuration allows new work for a target."""
        data_centre = self.data_centres.get(target.data_centre)
        if target.leaving or data_centre is None:
            return False
        return not data_centre.taken_out

    def with_changes(
        self,
        revision: int,
        changed: dict[str, dict[str, Any]],
        removed: Iterable[str],
    ) -> Configuration:
        """Return the configuration after a change; this one is not modified.

        Args:
          revision: the revision after the change.
          changed: the documents of new and changed items by key.
          removed: the keys of removed items.
        """
        collections: dict[str, dict[str, Any]] = {}
        limits = self.limits
        for key, document in [*((k, None) for k in removed), *changed.items()]:
            kind, _, name = key.partition("/")
            if kind == "limits":
                default_limits = Limits("default") if document is None else None
                limits = default_limits or item_from_document(key, document or {})
                continue
            field = _COLLECTIONS.get(kind)
            if field is None:
                continue
            collection = collections.get(field)
            if collection is None:
                collection = collections[field] = dict(getattr(self, field))
            if document is None:
                collection.pop(name, None)
            else:
                collection[name] = item_from_document(key, document)
        return attrs.evolve(self, revision=revision, limits=limits, **collections)


# The kinds of items that an item refers to in its fields, by its own kind.
REFERENCES: dict[str, tuple[str, ...]] = {
    "target": ("service", "data-centre"),
    "vm": ("data-centre",),
}

_COLLECTIONS = {
    "data-centre": "data_centres",
    "vm": "vms",
    "service": "services",
    "target": "targets",
    "organisation": "organisations",
}


def item_to_document(item: Any) -> dict[str, Any]:
    """Return an item's document, without its name and values equal to the default."""
    document = {}
    for attribute in attrs.fields(type(item)):
        value = getattr(item, attribute.name)
        if attribute.name == "name" or value == attribute.default:
            continue
        document[attribute.name] = list(value) if isinstance(value, tuple) else value
    return document


def item_from_document(key: str, document: dict[str, Any]) -> Any:
    """Return the item of a key and document; unknown fields are ignored."""
    kind_name, _, name = key.partition("/")
    kind = ITEM_KINDS[kind_name]
    known = {a.name for a in attrs.fields(kind)}
    values = {
        field: tuple(value) if isinstance(value, list) else value
        for field, value in document.items()
        if field in known
    }
    return kind(name=name, **values)


def configuration_from_documents(
    revision: int, documents: dict[str, dict[str, Any]]
) -> Configuration:
    """Build the typed configuration from documents by key."""
    return Configuration().with_changes(revision, documents, ())


def document_findings(key: str, document: dict[str, Any]) -> list[str]:
    """Return what is wrong within one document."""
    kind_name, _, name = key.partition("/")
    kind = ITEM_KINDS.get(kind_name)
    if kind is None or not name:
        return [f"{key} is not of a known kind"]
    if kind is Limits and name != "default":
        return ["the limits are one item named default"]
    return schema.check_values(kind, document)


def reference_findings(
    key: str, document: dict[str, Any], exists: Callable[[str], bool]
) -> list[str]:
    """Return the dangling references of an item and missing required fields.

    Args:
      key: the item's key.
      document: its document.
      exists: returns whether there is an item with a key.
    """
    kind, _, name = key.partition("/")
    findings = []
    for referenced in REFERENCES.get(kind, ()):
        value = document.get(referenced.replace("-", "_"))
        if value is not None and not exists(f"{referenced}/{value}"):
            label = referenced.replace("-", " ")
            findings.append(f"{kind} {name}: no {label} {value}")
    if kind == "service" and document.get("protocol") == "plain":
        findings.extend(_plain_service_findings(name, document))
    return findings


def _plain_service_findings(name: str, document: dict[str, Any]) -> list[str]:
    if document.get("path_prefix"):
        return []
    return [f"service {name}: a plain service needs path_prefix"]
