"""Settings of the entry."""

from __future__ import annotations

import attrs

from endivesill import schema
from endivesill.settings import settings_section

__all__ = ["EntrySettings"]


@settings_section("entry")
@attrs.frozen
class EntrySettings:
    """How the entry treats streams and idempotency keys."""

    stall_s: float = schema.field(
        "longest silence of a stream before it is resumed on a new connection",
        default=2.0,
        minimum=0.05,
        maximum=600,
    )
    stall_gap_factor: float = schema.field(
        "the same in gap targets of the service; the larger bound holds",
        default=8.0,
        minimum=2,
        maximum=1000,
    )
    resume_attempts: int = schema.field(
        "tries to reach a stream's engine again before the stream is given up",
        default=5,
        minimum=1,
        maximum=100,
    )
    resume_backoff_s: float = schema.field(
        "first wait before a stream is resumed; it doubles",
        default=0.1,
        minimum=0.001,
        maximum=60,
    )
    resume_window_s: float = schema.field(
        "how long an engine keeps a generation whose caller's connection broke",
        default=15.0,
        minimum=0,
        maximum=3600,
    )
    reconnect_timeout_s: float = schema.field(
        "longest wait for an engine when a caller comes back for a stream",
        default=2.0,
        minimum=0.05,
        maximum=60,
    )
    ledger_shards: int = schema.field(
        "shards of the idempotency keys; the same at all entries",
        default=1,
        minimum=1,
        maximum=1024,
    )
    ledger_timeout_s: float = schema.field(
        "longest wait for the control state to claim an idempotency key",
        default=2.0,
        minimum=0.1,
        maximum=60,
    )
    stored_answer_bytes: int = schema.field(
        "largest answer kept for an idempotency key",
        default=16_384,
        minimum=0,
        maximum=1_048_576,
    )
    stored_answers_bytes: int = schema.field(
        "all answers kept for idempotency keys; the oldest give theirs up",
        default=33_554_432,
        minimum=0,
        maximum=1 << 30,
    )
    claim_margin_s: float = schema.field(
        "how long a claim outlives its service's deadline",
        default=5.0,
        minimum=0.1,
        maximum=600,
    )
