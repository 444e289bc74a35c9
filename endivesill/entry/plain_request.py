"""Parsing and validation of calls to plain services."""

from __future__ import annotations

import posixpath

import attrs

from endivesill import errors
from endivesill.configuration.model import Organisation, Service
from endivesill.entry.http import AsgiRequest
from endivesill.targets.plain import end_to_end_headers

__all__ = ["IDEMPOTENCY_KEY_HEADER", "PlainRequest", "parse_plain_request"]

IDEMPOTENCY_KEY_HEADER = "idempotency-key"
STRIPPED_HEADERS = (b"authorization", b"content-length", b"x-attempt-id")


@attrs.frozen
class PlainRequest:
    """A validated call to a plain service.

    Attributes:
      service: the service that matches the path.
      organisation: the organisation of the caller.
      method: the HTTP method.
      path: the path and query to send to the target.
      headers: the end-to-end headers without those in `STRIPPED_HEADERS`.
      body: the complete body.
      repeatable: whether the call may be retried after an unknown outcome.
      key: the idempotency key; None if absent or if the call is repeatable.
    """

    service: Service
    organisation: Organisation
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    repeatable: bool
    key: str | None


def parse_plain_request(
    request: AsgiRequest, service: Service, organisation: Organisation, body: bytes
) -> PlainRequest:
    """Convert an HTTP request into a call to a service.

    Raises:
      RequestError: the service's path prefix is percent-encoded (400).
    """
    prefix = service.path_prefix.rstrip("/")
    raw_path = request.raw_path.decode("ascii")
    if not raw_path.startswith(prefix):
        raise errors.RequestError(400, "the prefix is written with escapes", "path")
    path = raw_path[len(prefix) :] or "/"
    repeatable = _is_repeatable(service, request.method, request.path[len(prefix) :])
    if request.query:
        path += "?" + request.query.decode("ascii")
    headers = end_to_end_headers(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in request.raw_headers
        if name not in STRIPPED_HEADERS
    )
    key = None if repeatable else request.header(IDEMPOTENCY_KEY_HEADER)
    return PlainRequest(
        service, organisation, request.method, path, headers, body, repeatable, key
    )


def _is_repeatable(service: Service, method: str, path: str) -> bool:
    """Return whether a call is repeatable under both its raw and normalised path."""
    normal = posixpath.normpath("/" + path.lstrip("/"))
    return all(service.is_repeatable(method, form) for form in (path, normal))
