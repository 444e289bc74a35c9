"""The planned end of a listener, which answers the requests that it has read."""

from __future__ import annotations

from endivesill.http1.listener import HttpListener

__all__ = ["close_listener"]

POLL_PERIOD_S = 0.05


async def close_listener(listener: HttpListener, max_wait_s: float) -> int:
    """Stop a listener once its requests are answered, or after a time.

    It accepts no connection meanwhile, closes the idle ones, and announces the close
    in its responses.

    Returns:
      How many requests were cut.
    """
    listener.closing = True
    listener.stop_accepting()
    end_s = listener.timer.now_s() + max_wait_s
    listener.close_idle()
    while listener.connections and listener.timer.now_s() < end_s:
        await listener.timer.sleep(POLL_PERIOD_S)
        listener.close_idle()
    cut = listener.active_exchanges
    await listener.stop()
    return cut
