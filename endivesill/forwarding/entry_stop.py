"""The planned stop of an entry."""

from __future__ import annotations

import asyncio

from endivesill.forwarding.forwarder import Forwarder
from endivesill.forwarding.proxy_service import ProxyService
from endivesill.http1 import HttpListener, close_listener
from endivesill.timer import TimerService

__all__ = ["stop_serving"]

# How long the load balancer may still open connections after the stop signal.
BALANCER_LAG_S = 2.5
# Fractions of the grace period during which connections are accepted and requests are
# served. The time between them is for the requests of the last connections.
ACCEPTING_FRACTION = 2 / 3
SERVING_FRACTION = 5 / 6
# Fraction of the grace period for sending the last responses and orders to stop runs.
FLUSH_FRACTION = 1 / 16
STOP_POLL_PERIOD_S = 0.05


async def stop_serving(
    timer: TimerService,
    listener: HttpListener,
    forwarder: Forwarder,
    proxy: ProxyService,
    stop_received_s: float,
    grace_s: float,
) -> int:
    """Serve running and new requests until all connections close or time is up.

    Connections are accepted until shortly before the end, since callers may have no
    other entry. Requests that could not end in time are refused, and all that still
    run at the end get a response. Engines are ordered to stop what these gave up.

    Args:
      timer: the timer service.
      listener: the callers' listener.
      forwarder: handles its requests.
      proxy: sends requests of other entries.
      stop_received_s: when the stop signal came.
      grace_s: time from the signal to the end of the process by force.

    Returns:
      How many requests were cut nevertheless.
    """
    listener.closing = True
    balancer_lag_end_s = stop_received_s + BALANCER_LAG_S
    accepting_end_s = stop_received_s + ACCEPTING_FRACTION * grace_s
    serving_end_s = stop_received_s + SERVING_FRACTION * grace_s
    forwarder.stop_deadline.end_s = serving_end_s
    draining = asyncio.ensure_future(proxy.drain(serving_end_s))
    is_accepting = True
    while (now_s := timer.now_s()) < serving_end_s:
        if now_s > balancer_lag_end_s:
            forwarder.stop_deadline.refuses_streams = True
            listener.close_idle()
            if not is_accepting and not listener.connections:
                break
            if now_s > accepting_end_s or not listener.connections:
                listener.stop_accepting()
                is_accepting = False
        forwarder.end_waiting()
        await timer.sleep(STOP_POLL_PERIOD_S)
    forwarder.end_all()
    await draining
    flush_s = FLUSH_FRACTION * grace_s
    cut, _ = await asyncio.gather(
        close_listener(listener, flush_s), forwarder.run_stopper.settle(flush_s)
    )
    return cut
