"""The leader's answers to entries that request permits to send."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from endivesill.fleet.permits import LeaderPermits
from endivesill.peers import Message, PeerTransport
from endivesill.timer import TimerService

__all__ = ["PERMITS_PATH", "PermitService"]

PERMITS_PATH = "/fleet/permits"
# Permits of one engine that an entry may request at a time.
MAX_REQUESTED = 256
PRUNE_PERIOD_S = 60.0


class PermitService:
    """Grants permits while this VM leads.

    Args:
      timer: the timer service.
      transport: the peer port.
      permits: the permits of all entries.
      confirm_leadership: returns whether a quorum confirms that this VM leads.
      record: called with each request before it is answered.
    """

    def __init__(
        self,
        timer: TimerService,
        transport: PeerTransport,
        permits: LeaderPermits,
        confirm_leadership: Callable[[], Awaitable[bool]],
        record: Callable[[Message], None],
    ) -> None:
        self._permits = permits
        self._confirm_leadership = confirm_leadership
        self._record = record
        timer.call_every(PRUNE_PERIOD_S, permits.prune)
        transport.handle(PERMITS_PATH, self._handle)

    async def _handle(self, message: Message) -> Message:
        """Grant permits.

        Args:
          message: `{"entry", "loads", "grants_seen", "wanted", "limits"}`: the entry
            and its load, the permits that it wants by incarnation, and rows of
            `EngineLimits` that this VM may lack.

        Returns:
          `{"granted", "wait_s", "entries", "number"}`: the permits granted and the
          expected time until the next one, by incarnation, how many entries wait for
          some, and the number of a grant of slots; `{"leader": None}` from a VM that
          does not lead.
        """
        if not await self._confirm_leadership():
            return {"leader": None}
        self._record(message)
        granted: dict[str, int] = {}
        wait_s: dict[str, float] = {}
        entries = 1
        for incarnation, count in message["wanted"].items():
            granted[incarnation], wait = self._permits.grant(
                message["entry"], incarnation, min(count, MAX_REQUESTED)
            )
            wait_s[incarnation] = round(wait, 4)
            entries = max(entries, self._permits.waiting_entries(incarnation))
        return {
            "granted": granted,
            "wait_s": wait_s,
            "entries": entries,
            "number": self._permits.take_number(message["entry"]),
        }
