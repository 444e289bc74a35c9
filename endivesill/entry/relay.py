"""Relay of the tokens of one generation, across resumes and migrations.

The scanner passes each token once and in order: tokens that the engine repeats
after a resume are dropped, and a gap or a token of another generation ends the
attempt.
"""

from __future__ import annotations

import uuid
from collections.abc import Awaitable, Callable

from endivesill import errors, events
from endivesill.configuration.model import Service, Target
from endivesill.entry.context import EntryContext
from endivesill.entry.events import (
    GENERATION_CANCELLED,
    GENERATION_MOVED,
    STREAM_RESUMED,
    STREAM_STALLED,
)
from endivesill.entry.watchdog import WaitTracker
from endivesill.routing import Grant, Outcome
from endivesill.targets import EngineStream, TokenScanner

__all__ = ["Deliver", "OpenStream", "Relay"]

RESUME_TIMEOUT_S = 5.0
MAX_BACKOFF_S = 2.0
MAX_MOVES = 4

Deliver = Callable[["Relay", bytes], Awaitable[None]]
OpenStream = Callable[[str], Awaitable[EngineStream]]


class Relay:
    """Reads a generation from its engine and delivers its tokens.

    Args:
      context: services shared by the modules of the entry.
      service: the service of the generation.
      grant: the grant for the work at the engine.
      generation_id: the id of the generation.
      request_id: the id of the request.
      next_index: the index of the first token that the caller lacks.

    Attributes:
      grant: the current grant; it changes when the generation is migrated.
      attempts: the id of the last attempt known to have reached the engine, and
        of later ones that may have.
      next_index: the index of the first token that has not been delivered.
      retain_on_disconnect: whether the generation is retained for a reconnect
        when the caller disconnects.
    """

    def __init__(
        self,
        context: EntryContext,
        service: Service,
        grant: Grant,
        generation_id: str,
        request_id: str,
        next_index: int = 0,
    ) -> None:
        self._context = context
        self._service = service
        self._scanner = TokenScanner(generation_id, next_index)
        self._stream: EngineStream | None = None
        self._next_grant: Grant | None = None
        self._finished = False
        self._is_first_token_late = False
        self.generation_id = generation_id
        self.request_id = request_id
        self.grant = grant
        self.attempts: list[str] = []
        self.next_index = next_index
        self.retain_on_disconnect = True

    @property
    def target(self) -> Target:
        """The engine that is believed to hold the generation."""
        return self.grant.target

    async def run(
        self, open_stream: OpenStream, deliver: Deliver, first_token_s: float
    ) -> None:
        """Deliver all tokens, resuming the stream when it breaks.

        Args:
          open_stream: opens the first stream, given the id of the attempt.
          deliver: takes this relay and a block of complete events.
          first_token_s: the time limit of the first token.

        Raises:
          TargetError: the stream failed and cannot be resumed; `next_index` is the
            first token that was not delivered.
        """
        with self._context.watchdog.watch(first_token_s, self._on_stall) as engine_wait:
            failures = moves = 0
            while True:
                reached = self._scanner.next_index
                attempt_id, previous = uuid.uuid4().hex, tuple(self.attempts)
                self.attempts.append(attempt_id)
                try:
                    if previous:
                        self._stream = await self._resume(attempt_id, previous)
                    else:
                        self._stream = await open_stream(attempt_id)
                    self.attempts = [attempt_id]
                    await self._forward_tokens(self._stream, deliver, engine_wait)
                    return
                except errors.TargetError as error:
                    if self._stream is None and not previous:
                        raise
                    moved = moves < MAX_MOVES and self._follow_move(error)
                    moves += moved
                    failures = 0 if moved else failures + 1
                    if self._scanner.next_index > reached:
                        failures = 1
                    if not moved and self._is_final(error, failures):
                        raise _as_possibly_run(error) from error
                finally:
                    self._close()
                await self._back_off(failures)

    async def _resume(self, attempt_id: str, previous: tuple[str, ...]) -> EngineStream:
        self._scanner.discard_incomplete()
        events.emit(
            STREAM_RESUMED,
            request_id=self.request_id,
            generation_id=self.generation_id,
            target=self.target.name,
            next_index=self._scanner.next_index,
        )
        resuming = self._context.engines.resume(
            self.target,
            self.generation_id,
            self._scanner.next_index,
            attempt_id,
            previous,
        )
        try:
            return await self._context.timer.wait_for(resuming, RESUME_TIMEOUT_S)
        except errors.DeadlineExceededError:
            raise errors.TargetError("the engine did not resume in time") from None

    async def _forward_tokens(
        self, stream: EngineStream, deliver: Deliver, engine_wait: WaitTracker
    ) -> None:
        scan = self._scanner.scan
        read = stream.read
        stall_limit_s = self._stall_limit_s()
        while not self._scanner.done:
            engine_wait.active = True
            chunk = await read()
            engine_wait.active = False
            engine_wait.steps += 1
            if not chunk:
                raise errors.TargetError("the stream ended before its end event")
            block = scan(chunk)
            if block.tokens:
                engine_wait.limit_s = stall_limit_s
                self.grant.tokens(block.tokens)
                await deliver(self, block.data)
                self.next_index = self._scanner.next_index

    def _stall_limit_s(self) -> float:
        settings = self._context.settings
        gap_s = self._service.gap_target_ms / 1000
        return max(settings.stall_s, settings.stall_gap_factor * gap_s)

    def _on_stall(self) -> None:
        events.emit(
            STREAM_STALLED,
            request_id=self.request_id,
            generation_id=self.generation_id,
            target=self.target.name,
            next_index=self._scanner.next_index,
        )
        self._is_first_token_late = not self._scanner.next_index
        self._close()

    def _is_final(self, error: errors.TargetError, failures: int) -> bool:
        if isinstance(error, (errors.TargetGoneError, errors.SupersededError)):
            return True
        if isinstance(error, errors.TargetRefusedError) and not self.next_index:
            return True
        return (
            self._is_first_token_late
            or failures > self._context.settings.resume_attempts
        )

    async def _back_off(self, failures: int) -> None:
        if failures:
            first_s = self._context.settings.resume_backoff_s
            wait_s = min(first_s * 2 ** (failures - 1), MAX_BACKOFF_S)
            await self._context.timer.sleep(wait_s)

    def _close(self) -> None:
        if self._stream is not None:
            self._stream.close()

    def _follow_move(self, error: errors.TargetError) -> bool:
        """Switch to the engine the generation was migrated to; return whether so."""
        moved_to = ""
        if isinstance(error, errors.TargetGoneError):
            moved_to = error.moved_to
        elif isinstance(error, errors.TargetRefusedError) and self._next_grant:
            moved_to = self._next_grant.target.url
        if not moved_to:
            return False
        index = self._context.index.current()
        target = index.target_by_url(self._service.name, moved_to)
        if target is None:
            return False
        self.change_target(target)
        return True

    def change_target(self, target: Target) -> None:
        """Switch to another engine, which now holds the generation."""
        events.emit(
            GENERATION_MOVED,
            request_id=self.request_id,
            generation_id=self.generation_id,
            source=self.target.name,
            target=target.name,
        )
        grant, self._next_grant = self._next_grant, None
        if grant is None or grant.target.name != target.name:
            if grant is not None:
                grant.finished(Outcome.NOT_RUN)
            grant = Grant(self.grant.request, target)
        self.grant.finished(Outcome.DONE)
        self.grant = grant

    async def move(self, grant: Grant) -> None:
        """Migrate the generation to another engine.

        If the engine does not reply, the migration may have happened. The new grant
        is then kept, to be used if the engine becomes unreachable.

        Args:
          grant: the grant for the work at the other engine.

        Raises:
          TargetError: the engine declined; the generation stays where it is.
        """
        self._next_grant = grant
        try:
            await self._context.engines.move(
                self.target, self.generation_id, grant.target
            )
        except (errors.TargetStatusError, errors.TargetRefusedError):
            if self._next_grant is grant:
                self._next_grant = None
                grant.finished(Outcome.NOT_RUN)
            raise
        except errors.TargetError:
            return

    def finish(self, outcome: Outcome) -> None:
        """Release the grants; further calls have no effect."""
        if self._finished:
            return
        self._finished = True
        self.grant.finished(outcome)
        if self._next_grant is not None:
            self._next_grant.finished(Outcome.NOT_RUN)

    def cancel(self) -> None:
        """Cancel the generation at its engine, in the background.

        The engine ignores the cancellation if an attempt that is not in `attempts`
        has taken the generation over.
        """
        events.emit(
            GENERATION_CANCELLED,
            request_id=self.request_id,
            generation_id=self.generation_id,
            target=self.target.name,
        )
        self._context.background.spawn(
            self._context.engines.cancel(
                self.target, self.generation_id, tuple(self.attempts)
            )
        )


def _as_possibly_run(error: errors.TargetError) -> errors.TargetError:
    """Replace a refusal, which implies that nothing has run, by a plain error."""
    if isinstance(error, errors.TargetRefusedError):
        return errors.TargetError(str(error))
    return error
