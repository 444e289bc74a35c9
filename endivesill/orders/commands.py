"""Replicated state of orders: orderer leases, order records and load rate limits.

The state holds no expiry time of a lease. The holder measures the lease on its own
clock, from before it sent the request. Another VM may take the lease over only if
the renewal count is still the one that it read a full lease earlier by its own
clock. So clocks of different VMs are never compared.
"""

from __future__ import annotations

from typing import Any

from endivesill.control.commands import CommandContext, State, command, query
from endivesill.orders.messages import LOAD_KINDS, OrderKind, OrderState
from endivesill.peers import Message

__all__ = ["MAX_RECORDS"]

MAX_RECORDS = 5000
LOAD_BURST = 1.0
SECONDS_PER_MINUTE = 60.0
LEASES = "orderers"
RECORDS = "orders"
RATES = "weight-loads"

_NO_LEASE = {"holder": "", "token": 0, "renewals": 0}


def _lease(state: State, data_centre: str) -> dict[str, Any]:
    return state.section(LEASES).get(data_centre, dict(_NO_LEASE))


@query("orderer.current")
def orderer_current(state: State, message: Message) -> Message:
    """Return the orderer lease of `data_centre`: holder, token and renewals."""
    return dict(_lease(state, message["data_centre"]))


@command("orderer.acquire")
def orderer_acquire(state: State, message: Message, context: CommandContext) -> Message:
    """Grant a lease that is free or unchanged since the given token and renewals."""
    lease = _lease(state, message["data_centre"])
    seen = (message["seen_token"], message["seen_renewals"])
    if lease["holder"] and (lease["token"], lease["renewals"]) != seen:
        return {"granted": False}
    state.section(LEASES)[message["data_centre"]] = {
        "holder": message["holder"],
        "token": context.index,
        "renewals": 0,
    }
    return {"granted": True, "token": context.index}


@command("orderer.renew")
def orderer_renew(state: State, message: Message, context: CommandContext) -> Message:
    """Renew the lease if it still has the given token."""
    lease = _lease(state, message["data_centre"])
    if not lease["holder"] or lease["token"] != message["token"]:
        return {"granted": False}
    lease["renewals"] += 1
    return {"granted": True}


@command("orderer.release")
def orderer_release(state: State, message: Message, context: CommandContext) -> Message:
    """Release the lease if it still has the given token."""
    lease = _lease(state, message["data_centre"])
    if lease["token"] == message["token"]:
        lease["holder"] = ""
    return {}


@command("orders.put")
def orders_put(state: State, message: Message, context: CommandContext) -> Message:
    """Record an order before it is sent.

    Returns:
      `status`: `new` (the order may be sent, once), `known` (with the existing
      `record`), `old-token` (the lease is lost) or `wait` (rate limited, with
      `wait_s`).
    """
    records = state.section(RECORDS)
    record = records.get(message["order_id"])
    if record is not None:
        return {"status": "known", "record": dict(record)}
    data_centre = message["data_centre"]
    lease = _lease(state, data_centre)
    if not lease["holder"] or lease["token"] != message["token"]:
        return {"status": "old-token"}
    if OrderKind(message["kind"]) in LOAD_KINDS:
        wait_s = _take_load_token(
            state, data_centre, message["loads_per_minute"], context
        )
        if wait_s > 0:
            return {"status": "wait", "wait_s": wait_s}
    fields = ("order_id", "target", "kind", "subject", "version", "token")
    record = {name: message[name] for name in (*fields, "data_centre")}
    records[message["order_id"]] = {**record, "state": OrderState.SENT.value}
    _evict_finished(records)
    return {"status": "new"}


def _take_load_token(
    state: State, data_centre: str, loads_per_minute: float, context: CommandContext
) -> float:
    """Take one load from the token bucket; return the time to wait, or 0."""
    rate = loads_per_minute / SECONDS_PER_MINUTE
    buckets = state.section(RATES)
    new_bucket = {"loads": LOAD_BURST, "time_s": context.time_s}
    bucket = buckets.setdefault(data_centre, new_bucket)
    elapsed_s = max(0.0, context.time_s - bucket["time_s"])
    bucket["loads"] = min(LOAD_BURST, bucket["loads"] + elapsed_s * rate)
    bucket["time_s"] = max(bucket["time_s"], context.time_s)
    if bucket["loads"] < LOAD_BURST - 1e-9:
        return (LOAD_BURST - bucket["loads"]) / rate
    bucket["loads"] -= LOAD_BURST
    return 0.0


def _evict_finished(records: dict[str, Any]) -> None:
    """Evict the oldest finished orders beyond the limit."""
    excess = len(records) - MAX_RECORDS
    if excess <= 0:
        return
    finished_ids = [
        order_id
        for order_id, record in records.items()
        if record["state"] != OrderState.SENT.value
    ]
    for order_id in finished_ids[:excess]:
        del records[order_id]


@command("orders.done")
def orders_done(state: State, message: Message, context: CommandContext) -> Message:
    """Record the outcome of an order; only the first outcome counts.

    Returns:
      `record`, or nothing if the order is unknown or the token is stale.
    """
    record = state.section(RECORDS).get(message["order_id"])
    if record is None:
        return {}
    lease = _lease(state, record["data_centre"])
    if lease["token"] != message["token"]:
        return {}
    if record["state"] == OrderState.SENT.value:
        record["state"] = message["state"]
    return {"record": dict(record)}


@query("orders.pending")
def orders_pending(state: State, message: Message) -> Message:
    """Return the orders of `data_centre` that have no recorded outcome."""
    records = [
        dict(record)
        for record in state.section(RECORDS).values()
        if record["data_centre"] == message["data_centre"]
        and record["state"] == OrderState.SENT.value
    ]
    return {"records": records}
