"""Settings of the entry."""

from __future__ import annotations

import attrs

from endivesill import schema
from endivesill.settings import settings_section

__all__ = ["EntrySettings"]


@settings_section("entry")
@attrs.frozen
class EntrySettings:
    """Stream recovery and idempotency keys at the entry."""

    stall_s: float = schema.field(
        "stall timeout of a stream before it is resumed on a new connection",
        default=2.0,
        minimum=0.05,
        maximum=600,
    )
    stall_gap_factor: float = schema.field(
        "stall timeout in gap targets of the service; the larger timeout applies",
        default=8.0,
        minimum=2,
        maximum=1000,
    )
    resume_attempts: int = schema.field(
        "attempts to resume a broken stream before it fails",
        default=5,
        minimum=1,
        maximum=100,
    )
    resume_backoff_s: float = schema.field(
        "first backoff before a stream is resumed; it doubles each time",
        default=0.1,
        minimum=0.001,
        maximum=60,
    )
    resume_window_s: float = schema.field(
        "how long a generation is retained after its caller disconnects",
        default=15.0,
        minimum=0,
        maximum=3600,
    )
    reconnect_timeout_s: float = schema.field(
        "timeout of an engine when a caller reconnects to a stream",
        default=2.0,
        minimum=0.05,
        maximum=60,
    )
    ledger_shards: int = schema.field(
        "shards of the idempotency key ledger; the same at all entries",
        default=1,
        minimum=1,
        maximum=1024,
    )
    ledger_timeout_s: float = schema.field(
        "timeout of the control state for a claim of an idempotency key",
        default=2.0,
        minimum=0.1,
        maximum=60,
    )
    stored_answer_bytes: int = schema.field(
        "largest response stored for an idempotency key",
        default=16_384,
        minimum=0,
        maximum=1_048_576,
    )
    stored_answers_bytes: int = schema.field(
        "limit on all stored responses together; the oldest are dropped first",
        default=33_554_432,
        minimum=0,
        maximum=1 << 30,
    )
    claim_margin_s: float = schema.field(
        "margin added to a claim's duration; also how long its outcome is retried",
        default=5.0,
        minimum=0.1,
        maximum=600,
    )
