"""Resuming the stream of a generation after a caller reconnects to any entry."""

from __future__ import annotations

import hashlib

from endivesill import errors, events
from endivesill.configuration.model import Organisation, Service, Target
from endivesill.entry.context import EntryContext
from endivesill.entry.events import STREAM_RECONNECTED
from endivesill.entry.http import AsgiRequest, Response
from endivesill.entry.identity import EventId
from endivesill.entry.relay import Relay
from endivesill.entry.streaming import StreamResponse
from endivesill.entry.table import RelayTable
from endivesill.routing import Grant, RouteRequest
from endivesill.targets import EngineStream

__all__ = ["reconnect"]

# How often a generation is followed to the engine that it is said to have moved to.
MAX_MOVES = 4
MAX_PROBED_TARGETS = 8
RETRY_AFTER_S = 1.0
GONE_STATUS = 410


class _GenerationLocator:
    """Finds the engine that holds a generation.

    The engine of the tag in the generation id is tried first. If it has migrated
    the generation, it redirects to the new engine. If that fails, other engines of
    the service are tried in the order of a rendezvous hash.
    """

    def __init__(
        self,
        context: EntryContext,
        origin_target: Target,
        last: EventId,
        attempt_id: str,
    ) -> None:
        self._context = context
        self._origin_target = origin_target
        self._last = last
        self._attempt_id = attempt_id
        self._was_unreachable = False

    async def open(self) -> tuple[Target, EngineStream]:
        """Return the engine and the resumed stream.

        Raises:
          RefusedError: no engine holds the generation, or one was unreachable.
        """
        for target in [self._origin_target, *self._fallback_targets()]:
            found = await self._try_target(target)
            if found is not None:
                return found
        if self._was_unreachable:
            raise errors.RefusedError(
                "generation-unreachable",
                run=errors.RunState.UNKNOWN,
                retry_after_s=RETRY_AFTER_S,
            )
        raise generation_gone_error()

    async def _try_target(
        self, target: Target, moves_left: int = MAX_MOVES
    ) -> tuple[Target, EngineStream] | None:
        try:
            return target, await self._resume(target)
        except errors.TargetGoneError as error:
            index = self._context.index.current()
            moved = index.target_by_url(target.service, error.moved_to)
            if not moved or moved == target or not moves_left:
                return None
            return await self._try_target(moved, moves_left - 1)
        except (errors.TargetError, errors.DeadlineExceededError):
            self._was_unreachable = True
            return None

    async def _resume(self, target: Target) -> EngineStream:
        timeout_s = self._context.settings.reconnect_timeout_s
        resuming = self._context.engines.resume(
            target, self._last.generation_id, self._last.index + 1, self._attempt_id
        )
        return await self._context.timer.wait_for(resuming, timeout_s)

    def _fallback_targets(self) -> list[Target]:
        targets = self._context.index.current().configuration.targets.values()
        others = [
            target
            for target in targets
            if target.service == self._origin_target.service
            and target != self._origin_target
        ]
        others.sort(key=self._rank)
        return others[:MAX_PROBED_TARGETS]

    def _rank(self, target: Target) -> bytes:
        text = f"{self._last.generation_id}\0{target.name}"
        return hashlib.sha256(text.encode()).digest()


async def reconnect(
    context: EntryContext,
    table: RelayTable,
    request: AsgiRequest,
    response: Response,
    organisation: Organisation,
    last: EventId,
) -> None:
    """Stream the tokens that follow the last one the caller received.

    This starts no new work, so it needs neither a lease nor a new grant.

    Raises:
      EndivesillError: the stream could not be started.
    """
    tag = context.ids.check(last.generation_id, organisation.name)
    index = context.index.current()
    origin_target = index.target_by_tag(tag)
    if origin_target is None:
        raise generation_gone_error()
    service = index.configuration.services.get(origin_target.service)
    if service is None:
        raise generation_gone_error()
    relay = _make_relay(
        context, table, service, origin_target, organisation, response, last
    )

    async def open_stream(attempt_id: str) -> EngineStream:
        target, stream = await _GenerationLocator(
            context, origin_target, last, attempt_id
        ).open()
        if target.name != relay.target.name:
            relay.change_target(target)
        return stream

    limits = index.configuration.limits
    with StreamResponse(context, response, limits) as stream:

        async def work() -> None:
            try:
                await table.run(relay, open_stream, stream.deliver, service.deadline_s)
            except errors.EndivesillError as error:
                await stream.fail(error)
                return
            await stream.finish(relay)

        await request.run_while_connected(work())


def _make_relay(
    context: EntryContext,
    table: RelayTable,
    service: Service,
    origin_target: Target,
    organisation: Organisation,
    response: Response,
    last: EventId,
) -> Relay:
    """Create a relay with the retained grant, or a grant unknown to the router."""
    retained = table.take_retained(last.generation_id)
    if retained is not None:
        grant = retained.grant
    else:
        grant = Grant(
            RouteRequest(response.request_id, service, organisation), origin_target
        )
    events.emit(
        STREAM_RECONNECTED,
        request_id=response.request_id,
        generation_id=last.generation_id,
        target=grant.target.name,
        next_index=last.index + 1,
        was_kept=retained is not None,
    )
    return Relay(
        context,
        service,
        grant,
        last.generation_id,
        response.request_id,
        last.index + 1,
    )


def generation_gone_error() -> errors.RefusedError:
    """Return the error for a generation that no engine holds (410)."""
    return errors.RefusedError(
        "generation-gone", run=errors.RunState.UNKNOWN, status=GONE_STATUS
    )
