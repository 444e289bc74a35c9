"""Answers callers' requests: route, place, send, pass the answer on."""

from __future__ import annotations

import asyncio
import random

from endivesill import errors
from endivesill.fleet.model import Organisation, RequestKind, Route
from endivesill.forwarding.attempt import (
    Attempt,
    AttemptError,
    Failure,
    Sender,
)
from endivesill.forwarding.call import Call
from endivesill.forwarding.call_log import CallLog
from endivesill.forwarding.placement import need_of
from endivesill.forwarding.placer import Place, Placer
from endivesill.forwarding.protocol import EngineProtocol, RequestInfo
from endivesill.forwarding.refusals import spread_s, within_time_s
from endivesill.forwarding.retry_budget import RetryBudget
from endivesill.forwarding.route_table import RouteTable, pick_service
from endivesill.forwarding.run_copy import RunCopier
from endivesill.forwarding.streams import StreamBrokenError, StreamRelay
from endivesill.forwarding.targets import Target, TargetTable
from endivesill.forwarding.waiting import Admission, NoRoomError
from endivesill.http1 import (
    ConnectionPool,
    Exchange,
    UpstreamError,
    strip_hop_by_hop,
)
from endivesill.timer import TimerService

__all__ = ["Forwarder"]

# Sendings of one request that targets rejected or that found no connection.
REJECTIONS_LIMIT = 4
# Share of the time left that one attempt of a repeatable request may take while
# there is another target to try; answers the pattern of a target that hangs.
ATTEMPT_TIME_SHARE = 0.4
# Retry-After for a caller whose request found no room: engines give room back
# as generations end, some each second.
RETRY_AFTER_S = 1.0
# Retry-After of an entry that does not know the routes yet.
NO_STATE_RETRY_S = 0.5


class Forwarder:
    """Serves the callers' port.

    Args:
      timer: the timer service.
      table: the targets.
      admission: places requests here.
      placer: gets requests their places.
      budget: the budget of repeats.
      pool: connections to targets.
      protocol: reads and writes heads.
      log: notes each decision.
      random_source: picks among services and spreads returns.

    Attributes:
      refuse_streams: whether new generations are refused because this process
        ends before they would.
    """

    def __init__(
        self,
        timer: TimerService,
        table: TargetTable,
        admission: Admission,
        placer: Placer,
        budget: RetryBudget,
        pool: ConnectionPool,
        protocol: EngineProtocol,
        log: CallLog,
        random_source: random.Random,
    ) -> None:
        self._timer = timer
        self._table = table
        self._admission = admission
        self._placer = placer
        self._budget = budget
        self._pool = pool
        self._protocol = protocol
        self._log = log
        self._random = random_source
        self._sender = Sender(timer, pool, table, protocol)
        self._copier = RunCopier(timer, pool, protocol)
        self._routes: RouteTable | None = None
        self.refuse_streams = False

    @property
    def routes(self) -> RouteTable | None:
        """The configuration in force; None before there is one."""
        return self._routes

    @routes.setter
    def routes(self, routes: RouteTable | None) -> None:
        self._routes = routes
        self._log.version = routes.state.version if routes else None

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        info = self._protocol.decode_request(exchange.headers)
        if self.routes is None:
            self._refuse(exchange, info, 503, "no configuration", NO_STATE_RETRY_S)
            return
        host = exchange.header(b"host").decode("latin-1").lower()
        path = exchange.target.partition(b"?")[0].decode("latin-1")
        route = self.routes.find(host.partition(":")[0], path)
        if route is None:
            self._refuse(exchange, info, 404, "no route", None)
            return
        organisation = None
        if self.routes.needs_keys and not route.is_public:
            organisation = self.routes.holder(info.key)
            if organisation is None:
                self._refuse(exchange, info, 401, "unknown key", None)
                return
        if self.refuse_streams and route.kind is RequestKind.STREAMING:
            self._refuse(exchange, info, 503, "stopping", 0.0)
            return
        await self._serve_bounded(self._call(exchange, info, route, organisation))

    def _call(
        self,
        exchange: Exchange,
        info: RequestInfo,
        route: Route,
        organisation: Organisation | None,
    ) -> Call:
        assert self.routes is not None
        service = self.routes.state.services[pick_service(route, self._random)]
        received_s = exchange.received_s
        caller_s = info.deadline_s if info.deadline_s is not None else route.timeout_s
        priority = route.priority
        if organisation is not None and organisation.priority is not None:
            priority = organisation.priority
        return Call(
            exchange=exchange,
            info=info,
            route=route,
            service=service,
            organisation=organisation.name if organisation else "",
            priority=priority,
            need=need_of(info, service),
            received_s=received_s,
            end_s=received_s + min(caller_s, route.timeout_s),
            caller_end_s=received_s + caller_s,
        )

    async def _serve_bounded(self, call: Call) -> None:
        """Serve a request until its time is over or its caller has left."""
        exchange = call.exchange
        task = asyncio.current_task()
        assert task is not None
        if exchange.disconnected.is_set():
            self._log.ended(call, "caller-gone", "before it was placed")
            exchange.abort()
            return

        def leave() -> None:
            # A call that may not be repeated and has begun is left to finish.
            if call.route.kind is not RequestKind.UNSAFE or not call.may_have_run:
                task.cancel()

        exchange.on_disconnect = leave
        try:
            left_s = call.end_s - self._timer.now_s()
            await self._timer.wait_for(self._serve(call), left_s)
        except errors.DeadlineExceededError:
            self._give_up(call, 504, "timeout")
        except asyncio.CancelledError:
            self._log.ended(call, "caller-gone", "")
            raise
        finally:
            exchange.on_disconnect = None

    async def _serve(self, call: Call) -> None:
        self._budget.note_request(call.service.name)
        rejections = 0
        while True:
            try:
                place = await self._placer.place(call)
            except NoRoomError as error:
                self._give_up(call, 502, error.reason, error.retry_after_s)
                return
            target = place.target
            self._log.placed(call, place)
            try:
                if call.route.kind is RequestKind.STREAMING:
                    await self._stream(call, place)
                    return
                if await self._plain(call, target):
                    return
            except AttemptError as error:
                self._note_failure(call, target, error)
                rejections += 1
                if not self._may_repeat(call, error, rejections):
                    self._give_up(call, 502, str(error))
                    return
            call.excluded.append(target)

    # Plain requests.

    async def _plain(self, call: Call, target: Target) -> bool:
        """Send a request once; return whether the caller has its answer."""
        try:
            attempt, body = await self._whole_answer(call, target)
        finally:
            target.give_back(call.need)
        good = attempt.answer.status < 500
        self._table.note_outcome(target, good=good)
        call.runs += 1
        if not good and self._may_run_again(call):
            self._log.attempt_failed(call, target, f"status {attempt.answer.status}")
            return False
        self._pass_on(call, attempt, body)
        return True

    async def _whole_answer(self, call: Call, target: Target) -> tuple[Attempt, bytes]:
        """Return a target's whole answer.

        Raises:
          AttemptError: there is none.
        """

        async def exchange() -> tuple[Attempt, bytes]:
            attempt = await self._sender.send(call, target)
            try:
                return attempt, await attempt.connection.read_all()
            except UpstreamError as error:
                raise AttemptError(Failure.BROKEN, str(error)) from None
            finally:
                self._pool.release(attempt.connection)

        left_s = call.end_s - self._timer.now_s()
        if call.is_idempotent and call.runs + 1 < call.route.max_attempts:
            left_s *= ATTEMPT_TIME_SHARE
        overdue = self._timer.call_after(
            call.route.target_latency_s, lambda: self._table.note_overdue(target)
        )
        try:
            return await self._timer.wait_for(exchange(), left_s)
        except errors.DeadlineExceededError:
            raise AttemptError(Failure.BROKEN, "no answer in time") from None
        finally:
            overdue.cancel()

    def _may_run_again(self, call: Call) -> bool:
        """Tell whether a request that has run may run once more, elsewhere."""
        return (
            call.is_idempotent
            and call.runs < call.route.max_attempts
            and self._timer.now_s() < call.end_s
            and len(self._table.candidates(call.service.name, call.excluded)) > 1
            and self._budget.take(call.service.name)
        )

    def _may_repeat(self, call: Call, error: AttemptError, rejections: int) -> bool:
        """Tell whether a request without an answer may be sent once more."""
        failure = error.failure
        if failure.not_run:
            call.may_have_run = call.runs > 0
            if rejections > REJECTIONS_LIMIT or self._timer.now_s() >= call.end_s:
                return False
            return not failure.arrived or self._budget.take(call.service.name)
        call.runs += 1
        return self._may_run_again(call)

    def _pass_on(self, call: Call, attempt: Attempt, body: bytes) -> None:
        status = attempt.answer.status
        headers = strip_hop_by_hop(attempt.head.headers)
        call.exchange.respond(status, headers, body)
        self._log.ended(call, "answered", "", status=status, size_bytes=len(body))

    # Streams.

    async def _stream(self, call: Call, place: Place) -> None:
        target = place.target
        relay = StreamRelay(
            self._timer,
            self._sender,
            self._pool,
            self._table,
            self._placer,
            self._copier,
            call,
        )
        try:
            attempt = await relay.run(place)
        except StreamBrokenError as error:
            self._table.note_outcome(target, good=False)
            self._give_up(call, 502, str(error), events=relay.events)
            return
        if attempt is None:
            self._table.note_outcome(target, good=True)
            self._log.ended(
                call,
                "answered",
                "",
                status=200,
                events=relay.events,
                first_event_s=round(relay.first_event_s - call.received_s, 4),
                longest_gap_s=round(relay.longest_gap_s, 4),
                resumes=relay.resumes,
            )
            return
        try:
            body = await attempt.connection.read_all()
        except UpstreamError as error:
            self._give_up(call, 502, str(error))
            return
        finally:
            self._pool.release(attempt.connection)
        self._table.note_outcome(target, good=attempt.answer.status < 500)
        self._pass_on(call, attempt, body)

    # Ends.

    def _note_failure(self, call: Call, target: Target, error: AttemptError) -> None:
        failure = error.failure
        if failure is Failure.NO_CONNECTION:
            self._table.note_no_connection(target, str(error))
            self._pool.close_idle(target.info.address)
        elif failure is Failure.WRONG_TARGET:
            self._table.note_replaced(target)
            self._pool.close_idle(target.info.address)
        elif failure is not Failure.TARGET_LEFT:
            self._table.note_outcome(target, good=False)
        self._log.attempt_failed(call, target, str(error))

    def _give_up(
        self,
        call: Call,
        status: int,
        reason: str,
        after_s: float | None = None,
        **fields: int,
    ) -> None:
        """Give a request its final answer: not run, unknown, or a broken stream."""
        exchange = call.exchange
        if exchange.head_sent:
            self._log.ended(call, "broken", reason, **fields)
            exchange.on_disconnect = None
            exchange.abort()
        elif call.may_have_run:
            exchange.respond(status, [])
            self._log.ended(call, "unknown", reason, status=status)
        else:
            if after_s is None:
                after_s = spread_s(RETRY_AFTER_S, self._random.random())
            after_s = within_time_s(after_s, call.end_s - self._timer.now_s())
            self._refuse(exchange, call.info, 503, reason, after_s, call)

    def _refuse(
        self,
        exchange: Exchange,
        info: RequestInfo,
        status: int,
        reason: str,
        after_s: float | None,
        call: Call | None = None,
    ) -> None:
        exchange.respond(status, self._protocol.refusal_headers(after_s))
        waiting = self._admission.waiting()
        self._log.refused(info, status, reason, after_s, waiting, call)
