"""Decodes the engine list; encodes and decodes request and response heads."""

from __future__ import annotations

import json
import math
import re
from typing import Any

import attrs

from endivesill import errors, events
from endivesill.document_reader import Reader
from endivesill.fleet.model import EngineInfo
from endivesill.forwarding.protocol import Dispatch, RequestInfo, ResponseInfo
from endivesill.http1 import Headers, ResponseHead, header_value
from endivesill.http1.head import encode_head, header_values, strip_hop_by_hop
from endivesill.http1.numbers import bounded_integer, bounded_integers, lowest_decimal
from endivesill.json_array import decode_array_document
from endivesill.json_text import parse_document
from endivesill.platform import wire

__all__ = [
    "ListPage",
    "PlatformProtocol",
    "decode_brittle_per_s",
    "decode_leaving",
    "decode_limit_per_s",
    "decode_list_page",
    "decode_notices",
    "decode_pause_s",
]

MS_PER_S = 1_000.0
# Far above what engines have; they keep sums and times in range.
MAX_SLOTS = 65_536
MAX_COLD_MS = 86_400_000
MAX_TOKEN_CHARACTERS = 1_024
SECONDS_PATTERN = re.compile(rb"-?[0-9]{1,18}(\.[0-9]{0,18})?")
IS_DRAINING_BY_STATE = {"ready": False, "draining": True}


@attrs.frozen
class ListPage:
    """One page of the platform's engine list.

    Attributes:
      engines: the entries that could be decoded.
      skipped: the error text of each entry that could not be decoded.
      next_token: page token of the next page; empty on the last page.
    """

    engines: list[EngineInfo]
    skipped: list[str]
    next_token: str


def decode_list_page(body: bytes) -> ListPage:
    """Decode one page; an entry that is invalid does not affect the others.

    Raises:
      DocumentError: the page itself is invalid.
    """
    try:
        fields, engines, skipped = decode_array_document(
            body, "instances", _decode_engine
        )
    except ValueError as error:
        raise errors.DocumentError(f"list of engines: {error}") from None
    token = Reader(fields, "list").text("next", "")
    if len(token) > MAX_TOKEN_CHARACTERS:
        raise errors.DocumentError("list.next: too long")
    return ListPage(engines, skipped, token)


def _decode_engine(entry: Any) -> EngineInfo:
    """Decode an entry; all fields that the platform documents must be valid."""
    reader = Reader(entry, "entry")
    state = reader.text("state")
    if state not in IS_DRAINING_BY_STATE:
        raise errors.DocumentError("entry.state: no known state")
    identity = reader.name("id")
    # A restarted engine keeps its identity; `born` distinguishes its incarnations.
    born = reader.integer("born", minimum=0) if reader.contains("born") else 0
    version = reader.name("version")
    reader.text("stage", "")
    reader.objects("models", ())
    return EngineInfo(
        identity=identity,
        incarnation=f"{identity}@{born}",
        service=reader.name("service"),
        address=reader.ip_address("address"),
        data_centre=reader.name("zone"),
        slots=reader.integer("slots", minimum=1, maximum=MAX_SLOTS),
        is_draining=IS_DRAINING_BY_STATE[state],
        cold_s=reader.number("cold_remaining_ms", minimum=0, maximum=MAX_COLD_MS)
        / MS_PER_S,
        version=version,
    )


def decode_leaving(head: ResponseHead) -> bool:
    """Return whether a response says that its engine is about to leave."""
    return head.header(wire.SERVER_LEAVING).strip() not in (b"", b"0")


def decode_pause_s(head: ResponseHead) -> float | None:
    """Return the pause that an engine asks for with a 503; None without one.

    A value that is no number of seconds, such as a date, gives NaN.
    """
    value = head.header(wire.RETRY_AFTER).strip()
    if head.status != 503 or not value:
        return None
    if not SECONDS_PATTERN.fullmatch(value):
        return math.nan
    return float(value)


def decode_limit_per_s(head: ResponseHead) -> float | None:
    """Return the request rate to which an engine limits all VMs; None without one.

    Of several values the lowest counts. If none is a decimal number, the result is NaN.
    """
    return lowest_decimal(head.headers, wire.SERVER_LIMIT)


def decode_brittle_per_s(head: ResponseHead) -> float | None:
    """Return the rejections a second that a brittle engine bears; else None.

    One that names no decimal number bears none.
    """
    per_s = lowest_decimal(head.headers, wire.SERVER_BRITTLE)
    return 0.0 if per_s is not None and math.isnan(per_s) else per_s


def decode_notices(head: ResponseHead) -> dict[str, Any]:
    """Return what a response to a poll announces; see `FleetSyncService.note_poll`."""
    return {
        "is_leaving": decode_leaving(head),
        "pause_s": decode_pause_s(head),
        "limit_per_s": decode_limit_per_s(head),
        "brittle_per_s": decode_brittle_per_s(head),
    }


class PlatformProtocol:
    """Encodes and decodes the platform's request and response headers."""

    def decode_request(self, headers: Headers) -> RequestInfo:
        """Return the properties that routing needs; invalid values count as absent."""
        counts = bounded_integers(header_value(headers, wire.TOKEN_COUNTS))
        length_hint = bounded_integers(header_value(headers, wire.LENGTH_HINT))
        deadline_ms = bounded_integers(header_value(headers, wire.DEADLINE))
        last_event_id = bounded_integers(header_value(headers, wire.LAST_EVENT_ID))
        keys = [key.decode("latin-1") for key in header_values(headers, wire.API_KEY)]
        return RequestInfo(
            attempt_id=header_value(headers, wire.ATTEMPT_ID).decode("latin-1"),
            remaining_s=deadline_ms[0] / MS_PER_S if deadline_ms else None,
            key=keys[0] if len(keys) == 1 and keys[0] else None,
            prompt_tokens=counts[0] if counts else 0,
            maximum_output_tokens=counts[1] if len(counts) > 1 else 0,
            expected_output_tokens=length_hint[0] if length_hint else 0,
            prefix=_parse_prefix(header_value(headers, wire.PROMPT_PREFIX)),
            expects_version=bool(header_values(headers, wire.EXPECTED_VERSION)),
            last_event_id=last_event_id[0] if len(last_event_id) == 1 else None,
        )

    def encode_request(
        self, method: str, target: bytes, headers: Headers, dispatch: Dispatch
    ) -> bytes:
        """Return the request head for an engine, with the system headers replaced."""
        header_lines = [
            (name, value)
            for name, value in strip_hop_by_hop(headers)
            if name.lower() not in wire.SYSTEM_HEADERS
            and not (dispatch.resume_from and name.lower() == wire.LAST_EVENT_ID)
        ]
        header_lines += _dispatch_headers(dispatch)
        if dispatch.body_bytes or method not in ("GET", "HEAD", "DELETE"):
            header_lines.append((b"Content-Length", b"%d" % dispatch.body_bytes))
        return encode_head(method.encode() + b" " + target + b" HTTP/1.1", header_lines)

    def response_attempt_id(self, head: ResponseHead) -> str:
        """Return the attempt id that a response names; empty if it names none."""
        return head.header(wire.ATTEMPT_ID).decode("latin-1")

    def decode_response(self, head: ResponseHead) -> ResponseInfo:
        """Return the response properties that routing needs."""
        status = head.status
        return ResponseInfo(
            status=status,
            not_run=status == 421 or bool(head.header(wire.NOT_EXECUTED)),
            wrong_target=status == 421,
            is_sealed=bool(head.header(wire.RESPONSE_SEAL)),
            is_leaving=decode_leaving(head),
            pause_s=decode_pause_s(head),
            limit_per_s=decode_limit_per_s(head),
            brittle_per_s=decode_brittle_per_s(head),
        )

    def encode_copy_order(
        self, source: str, attempt_id: str, destination: str, *, stops_run: bool
    ) -> bytes:
        """Return the request that makes an engine copy a run to another engine."""
        # `target` is the address of the engine that receives the copy. Without
        # `last` the run continues during the copy.
        order: dict[str, Any] = {"id": attempt_id, "target": destination}
        if stops_run:
            order["last"] = True
        body = json.dumps(order).encode()
        headers = [
            (b"Host", source.encode()),
            (b"Content-Type", b"application/json"),
            (b"Content-Length", b"%d" % len(body)),
        ]
        return encode_head(b"POST " + wire.KV_MOVE_PATH + b" HTTP/1.1", headers) + body

    def decode_copy_name(self, body: bytes) -> str:
        """Return the handle of a copy; empty if the response has none."""
        try:
            # Sent on in a header and in a path.
            return Reader(parse_document(body), "copy").token("handle")
        except (ValueError, errors.DocumentError) as error:
            events.emit(events.TASK_FAILED, task="decode-copy", error=str(error))
            return ""

    def encode_copy_release(self, source: str, name: str) -> bytes:
        """Return the request that releases a copy."""
        request_line = b"DELETE " + wire.KV_HANDLE_PREFIX + name.encode() + b" HTTP/1.1"
        return encode_head(request_line, [(b"Host", source.encode())])

    def refusal_headers(self, retry_after_s: float | None) -> Headers:
        """Return the headers of a refusal: Retry-After, or none without a time."""
        if retry_after_s is None:
            return []
        return [(wire.RETRY_AFTER.title(), b"%.2f" % retry_after_s)]


def _parse_prefix(value: bytes) -> tuple[tuple[str, int], ...]:
    parts: list[tuple[str, int]] = []
    for item in value.split(b","):
        identity, _, tokens = item.strip().partition(b":")
        if not tokens.isdigit():
            return tuple(parts)
        parts.append((identity.decode("latin-1"), bounded_integer(tokens)))
    return tuple(parts)


def _dispatch_headers(dispatch: Dispatch) -> Headers:
    header_lines: Headers = [
        (wire.DEADLINE, b"%d" % int(dispatch.remaining_s * MS_PER_S)),
        (wire.EXPECTED_INSTANCE, dispatch.identity.encode()),
    ]
    if dispatch.organisation is not None:
        header_lines.append((wire.ORGANISATION, dispatch.organisation.encode()))
    if dispatch.urgency is not None:
        header_lines.append((wire.URGENCY, b"%d" % dispatch.urgency))
    if dispatch.backup_address:
        header_lines.append((wire.KV_BACKUP, dispatch.backup_address.encode()))
    if dispatch.resume_from:
        header_lines.append((wire.KV_FROM, dispatch.resume_from.encode()))
        header_lines.append((wire.LAST_EVENT_ID, dispatch.last_event_id.encode()))
    # The platform documents header names in title case.
    return [(name.title(), value) for name, value in header_lines]
