"""The relays of an entry: those that run and those kept for a reconnect."""

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
    """Runs relays and gives their grants back.

    When a caller's connection breaks, its generation is kept for a window. The
    cancel after it names the last attempt of this entry, so that the engine
    ignores it if the caller came back through another entry.

    Args:
      timer: the timer service.
      window_s: how long a generation is kept for a reconnect.
      metrics: where delivered tokens are counted.
    """

    def __init__(self, timer: TimerService, window_s: float, metrics: Metrics) -> None:
        self._timer = timer
        self._tokens = metrics.counter("entry_tokens")
        self._window_s = window_s
        self._is_closed = False
        self._running: set[Relay] = set()
        self._kept: dict[str, tuple[Relay, TimerHandle]] = {}

    def running_at(self, target_name: str) -> list[Relay]:
        """Return the relays whose generation is at a target."""
        return [r for r in self._running if r.target.name == target_name]

    def kept_count(self) -> int:
        """Return how many generations are kept for a reconnect."""
        return len(self._kept)

    async def run(
        self,
        relay: Relay,
        open_stream: OpenStream,
        deliver: Deliver,
        first_token_s: float,
    ) -> None:
        """Run a relay to its end; see `Relay.run`.

        Raises:
          TargetError: it broke for good.
        """
        self._running.add(relay)
        first_index = relay.next_index
        try:
            await relay.run(open_stream, deliver, first_token_s)
            relay.finish(Outcome.DONE)
        except asyncio.CancelledError:
            self._leave(relay)
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

    def _leave(self, relay: Relay) -> None:
        """Keep a generation that the caller can name, and cancel any other."""
        is_named = relay.is_kept and relay.next_index > 0
        if is_named and self._window_s and not self._is_closed:
            self._keep(relay)
            return
        self._cancel(relay, Outcome.CANCELLED)

    def _cancel(self, relay: Relay, outcome: Outcome) -> None:
        if not self._is_closed:
            relay.cancel()
        relay.finish(outcome)

    def _keep(self, relay: Relay) -> None:
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
        self._kept[generation_id] = (relay, handle)

    def take(self, generation_id: str) -> Relay | None:
        """Return a kept generation to a caller that came back."""
        relay, handle = self._kept.pop(generation_id, (None, None))
        if handle is not None:
            handle.cancel()
        return relay

    def _expire(self, generation_id: str) -> None:
        relay = self.take(generation_id)
        if relay is not None:
            self._cancel(relay, Outcome.CANCELLED)

    def close(self) -> None:
        """Leave all kept generations to their engines.

        Their callers may come back through another entry; the engines end those
        that nobody comes back for.
        """
        self._is_closed = True
        for generation_id in list(self._kept):
            relay = self.take(generation_id)
            if relay is not None:
                relay.finish(Outcome.CANCELLED)
