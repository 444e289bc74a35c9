"""Relays of an entry: running ones and those retained for a reconnect."""

from __future__ import annotations

import asyncio

from endivesill import errors, events
from endivesill.entry.events import GENERATION_KEPT
from endivesill.entry.relay import Deliver, OpenStream, Relay
from endivesill.metrics import Metrics
from endivesill.routing import Outcome
from endivesill.timer import TimerHandle, TimerService

__all__ = ["RelayTable"]


class RelayTable:
    """Runs relays and releases their grants.

    When a caller disconnects, its generation is retained for a window and then
    cancelled. The cancellation names the attempts of this entry, so that the engine
    ignores it if the caller has reconnected through another entry.

    Args:
      timer: the timer service.
      window_s: how long a generation is retained for a reconnect.
      metrics: the metrics that count delivered tokens.
    """

    def __init__(self, timer: TimerService, window_s: float, metrics: Metrics) -> None:
        self._timer = timer
        self._tokens = metrics.counter("entry_tokens")
        self._window_s = window_s
        self._is_closed = False
        self._running: set[Relay] = set()
        self._retained: dict[str, tuple[Relay, TimerHandle]] = {}

    def relays_at(self, target_name: str) -> list[Relay]:
        """Return the running relays whose generation is at a target."""
        return [r for r in self._running if r.target.name == target_name]

    def retained_count(self) -> int:
        """Return the number of generations retained for a reconnect."""
        return len(self._retained)

    async def run(
        self,
        relay: Relay,
        open_stream: OpenStream,
        deliver: Deliver,
        first_token_s: float,
    ) -> None:
        """Run a relay to its end and release its grant; see `Relay.run`.

        Raises:
          TargetError: the stream failed and cannot be resumed.
        """
        self._running.add(relay)
        first_index = relay.next_index
        try:
            await relay.run(open_stream, deliver, first_token_s)
            relay.finish(Outcome.DONE)
        except asyncio.CancelledError:
            self._on_caller_gone(relay)
            raise
        except (errors.SupersededError, errors.RefusedError):
            relay.finish(Outcome.CANCELLED)
            raise
        except errors.TargetRefusedError:
            relay.finish(Outcome.NOT_RUN)
            raise
        except BaseException:
            self._cancel(relay, Outcome.FAILED)
            raise
        finally:
            self._tokens.add(relay.next_index - first_index)
            self._running.discard(relay)

    def _on_caller_gone(self, relay: Relay) -> None:
        """Retain a generation whose id the caller has seen; cancel any other."""
        is_resumable = relay.retain_on_disconnect and relay.next_index > 0
        if is_resumable and self._window_s and not self._is_closed:
            self._retain(relay)
            return
        self._cancel(relay, Outcome.CANCELLED)

    def _cancel(self, relay: Relay, outcome: Outcome) -> None:
        if not self._is_closed:
            relay.cancel()
        relay.finish(outcome)

    def _retain(self, relay: Relay) -> None:
        events.emit(
            GENERATION_KEPT,
            request_id=relay.request_id,
            generation_id=relay.generation_id,
            target=relay.target.name,
            next_index=relay.next_index,
        )
        generation_id = relay.generation_id
        handle = self._timer.call_after(
            self._window_s, lambda: self._expire(generation_id)
        )
        self._retained[generation_id] = (relay, handle)

    def take_retained(self, generation_id: str) -> Relay | None:
        """Remove and return a retained relay, or None if there is none."""
        relay, handle = self._retained.pop(generation_id, (None, None))
        if handle is not None:
            handle.cancel()
        return relay

    def _expire(self, generation_id: str) -> None:
        relay = self.take_retained(generation_id)
        if relay is not None:
            self._cancel(relay, Outcome.CANCELLED)

    def close(self) -> None:
        """Release all retained generations without cancelling them.

        Their callers may reconnect through another entry. The engines cancel
        generations to which no caller reconnects.
        """
        self._is_closed = True
        for generation_id in list(self._retained):
            relay = self.take_retained(generation_id)
            if relay is not None:
                relay.finish(Outcome.CANCELLED)
