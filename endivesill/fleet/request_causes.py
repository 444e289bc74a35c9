"""Text of the causes that stand for whole requests, and not for parts of prompts."""

from __future__ import annotations

__all__ = ["REQUEST_PREFIX", "request_cause", "request_of"]

# Parts of prompts contain no colon, so that none can stand for a request.
REQUEST_PREFIX = "request:"
# Between the digest of a request without its query and that with it.
QUERY_SEPARATOR = "."


def request_cause(digest: str, query_digest: str = "") -> str:
    """Return the cause that stands for a request.

    Args:
      digest: digest of the request without its query.
      query_digest: digest of the request with its query; empty for any query.
    """
    if not query_digest:
        return REQUEST_PREFIX + digest
    return f"{REQUEST_PREFIX}{digest}{QUERY_SEPARATOR}{query_digest}"


def request_of(cause: str) -> str:
    """Return the cause of the same request without its query; empty for a part."""
    if not cause.startswith(REQUEST_PREFIX):
        return ""
    return cause.partition(QUERY_SEPARATOR)[0]
