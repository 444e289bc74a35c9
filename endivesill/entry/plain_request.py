"""Check of a caller's call to a plain service."""

from __future__ import annotations

import posixpath

import attrs

from endivesill import errors
from endivesill.configuration.model import Organisation, Service
from endivesill.entry.http import AsgiRequest
from endivesill.targets.plain import end_to_end_headers

__all__ = ["KEY_HEADER", "PlainRequest", "parse_plain_request"]

KEY_HEADER = "idempotency-key"
PRIVATE_HEADERS = (b"authorization", b"content-length", b"x-attempt-id")


@attrs.frozen
class PlainRequest:
    """A caller's checked call to a plain service.

    Attributes:
      service: the service of its path.
      organisation: who calls.
      method: the HTTP method.
      path: path and query for the target.
      headers: the end-to-end headers without the caller's key.
      body: the whole body.
      repeatable: whether it may be sent again after an unknown outcome.
      key: its idempotency key; None if it has none or needs none.
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
    """Return the call that a request makes.

    Raises:
      RequestError: the path's prefix is written with escapes (400).
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
        if name not in PRIVATE_HEADERS
    )
    key = None if repeatable else request.header(KEY_HEADER)
    return PlainRequest(
        service, organisation, request.method, path, headers, body, repeatable, key
    )


def _is_repeatable(service: Service, method: str, path: str) -> bool:
    """Tell whether a call may be repeated, however its path is written."""
    normal = posixpath.normpath("/" + path.lstrip("/"))
    return all(service.is_repeatable(method, form) for form in (path, normal))
