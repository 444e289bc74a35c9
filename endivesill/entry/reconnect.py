"""Callers that come back for the rest of a generation, through any entry."""

from __future__ import annotations

import hashlib

from endivesill import errors, events
from endivesill.configuration.model import Organisation, Service, Target
from endivesill.entry.context import EntryContext
from endivesill.entry.events import STREAM_RECONNECTED
from endivesill.entry.http import Answer, AsgiRequest
from endivesill.entry.identity import EventId
from endivesill.entry.relay import Relay
from endivesill.entry.streaming import StreamAnswer
from endivesill.entry.table import RelayTable
from endivesill.routing import Grant, RouteRequest
from endivesill.targets import EngineStream

__all__ = ["reconnect"]

PROBED_TARGETS = 8
RETRY_AFTER_S = 1.0
GONE_STATUS = 410


class _Search:
    """Finds the engine that holds a generation.

    It is the engine of the generation's tag, unless that one has moved the
    generation on: then it names the other engine, or is gone itself, and the
    service's engines are asked in the order of a rendezvous hash.
    """

    def __init__(
        self, context: EntryContext, home: Target, last: EventId, attempt_id: str
    ) -> None:
        self._context = context
        self._home = home
        self._last = last
        self._attempt_id = attempt_id
        self._was_unreachable = False

    async def open(self) -> tuple[Target, EngineStream]:
        """Return the engine and the resumed stream.

        Raises:
          RefusedError: no engine holds it, or one could not be asked.
        """
        for target in [self._home, *self._others()]:
            found = await self._ask(target)
            if found is not None:
                return found
        if self._was_unreachable:
            raise errors.RefusedError(
                "generation-unreachable",
                run=errors.RunState.UNKNOWN,
                retry_after_s=RETRY_AFTER_S,
            )
        raise generation_gone()

    async def _ask(self, target: Target) -> tuple[Target, EngineStream] | None:
        try:
            return target, await self._resume(target)
        except errors.TargetGoneError as error:
            index = self._context.index.current()
            moved = index.target_by_url(target.service, error.moved_to)
            return await self._ask(moved) if moved and moved != target else None
        except (errors.TargetError, errors.DeadlineExceededError):
            self._was_unreachable = True
            return None

    async def _resume(self, target: Target) -> EngineStream:
        timeout_s = self._context.settings.reconnect_timeout_s
        resuming = self._context.engines.resume(
            target, self._last.generation_id, self._last.index + 1, self._attempt_id
        )
        return await self._context.timer.wait_for(resuming, timeout_s)

    def _others(self) -> list[Target]:
        targets = self._context.index.current().configuration.targets.values()
        others = [
            target
            for target in targets
            if target.service == self._home.service and target != self._home
        ]
        others.sort(key=self._rank)
        return others[:PROBED_TARGETS]

    def _rank(self, target: Target) -> bytes:
        text = f"{self._last.generation_id}\0{target.name}"
        return hashlib.sha256(text.encode()).digest()


async def reconnect(
    context: EntryContext,
    table: RelayTable,
    request: AsgiRequest,
    answer: Answer,
    organisation: Organisation,
    last: EventId,
) -> None:
    """Answer with the tokens after the last one that a caller has.

    This is no new work: it needs neither a lease nor a place at the engine.

    Raises:
      EndivesillError: it did not begin.
    """
    tag = context.ids.check(last.generation_id, organisation.name)
    index = context.index.current()
    home = index.target_by_tag(tag)
    if home is None:
        raise generation_gone()
    service = index.configuration.services.get(home.service)
    if service is None:
        raise generation_gone()
    relay = _relay(context, table, service, home, organisation, answer, last)

    async def open_stream(attempt_id: str) -> EngineStream:
        target, stream = await _Search(context, home, last, attempt_id).open()
        if target.name != relay.target.name:
            relay.change_target(target)
        return stream

    limits = index.configuration.limits
    with StreamAnswer(context, answer, limits) as stream:

        async def work() -> None:
            try:
                await table.run(relay, open_stream, stream.deliver, service.deadline_s)
            except errors.EndivesillError as error:
                await stream.fail(error)
                return
            await stream.finish(relay)

        await request.run_while_connected(work())


def _relay(
    context: EntryContext,
    table: RelayTable,
    service: Service,
    home: Target,
    organisation: Organisation,
    answer: Answer,
    last: EventId,
) -> Relay:
    """Return a relay with the kept grant, or one that counts nothing."""
    kept = table.take(last.generation_id)
    if kept is not None:
        grant = kept.grant
    else:
        grant = Grant(RouteRequest(answer.request_id, service, organisation), home)
    events.emit(
        STREAM_RECONNECTED,
        request_id=answer.request_id,
        generation_id=last.generation_id,
        target=grant.target.name,
        next_index=last.index + 1,
        was_kept=kept is not None,
    )
    return Relay(
        context,
        service,
        grant,
        last.generation_id,
        answer.request_id,
        last.index + 1,
    )


def generation_gone() -> errors.RefusedError:
    """Return the error of a generation that no engine holds."""
    return errors.RefusedError(
        "generation-gone", run=errors.RunState.UNKNOWN, status=GONE_STATUS
    )
