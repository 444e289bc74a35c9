"""Handling of callers' requests: routing, placement, retries and the response."""

from __future__ import annotations

import asyncio
import random

from endivesill import errors
from endivesill.fleet.crash_exchange import CrashExchange
from endivesill.fleet.model import Organisation, RequestKind, Route
from endivesill.forwarding.attempt import Attempt, AttemptError, Failure, Sender
from endivesill.forwarding.call import Call, hopeless_reason, priority_of
from endivesill.forwarding.call_log import CallLog
from endivesill.forwarding.crash_causes import crash_causes
from endivesill.forwarding.crash_guard import BLOCKED, CrashGuard
from endivesill.forwarding.initial_sync import InitialSync
from endivesill.forwarding.placement import estimate_demand
from endivesill.forwarding.placer import Placement, Placer
from endivesill.forwarding.plain_sender import PlainSender
from endivesill.forwarding.protocol import EngineProtocol, RequestInfo
from endivesill.forwarding.refusals import cap_retry_after_s, jittered_s
from endivesill.forwarding.retry_budget import RetryBudget
from endivesill.forwarding.retry_policy import RetryPolicy
from endivesill.forwarding.route_table import RouteTable, pick_service
from endivesill.forwarding.run_copy import RunCopier
from endivesill.forwarding.run_stop import RunStopper
from endivesill.forwarding.running_calls import CallEndedError, RunningCalls
from endivesill.forwarding.stop_deadline import StopDeadline
from endivesill.forwarding.streams import StreamBrokenError, StreamRelay
from endivesill.forwarding.target_client import TargetClient
from endivesill.forwarding.targets import Target, TargetTable
from endivesill.forwarding.version_log import VersionLog
from endivesill.forwarding.waiting import AdmissionQueue, NoRoomError
from endivesill.http1 import Exchange, UpstreamError, strip_hop_by_hop
from endivesill.timer import TimerService

__all__ = ["Forwarder"]

# Default Retry-After; engines release capacity each second as generations end.
RETRY_AFTER_S = 1.0
# Reason of a refusal by a process that stops; other entries can serve at once.
STOPPING = "stopping"
# Retry-After of an entry that has no configuration yet.
NO_CONFIGURATION_RETRY_AFTER_S = 0.5


class Forwarder:
    """Handles the requests that arrive on the callers' port.

    Args:
      timer: the timer service.
      table: the targets.
      admission: places requests locally.
      placer: places requests.
      budget: limits retries.
      client: sends requests to targets.
      protocol: decodes and encodes heads.
      crashes: exchanges reports of crashes.
      log: logs each decision.
      random_source: chooses among weighted services and draws jitter.

    Attributes:
      stop_deadline: when this process ends its requests.
      run_stopper: ends the runs that were given up.
    """

    def __init__(
        self,
        timer: TimerService,
        table: TargetTable,
        admission: AdmissionQueue,
        placer: Placer,
        budget: RetryBudget,
        client: TargetClient,
        protocol: EngineProtocol,
        crashes: CrashExchange,
        log: CallLog,
        random_source: random.Random,
    ) -> None:
        self._timer = timer
        self._table = table
        self._admission = admission
        self._placer = placer
        self._budget = budget
        self.stop_deadline = StopDeadline(timer)
        self._retries = RetryPolicy(timer, table, budget, self.stop_deadline)
        self._client = client
        self._protocol = protocol
        self._log = log
        self._random = random_source
        self._sender = Sender(timer, client, table, protocol)
        self._copier = RunCopier(timer, client, table, protocol)
        self.run_stopper = RunStopper(self._copier, table, client.links)
        self._plain = PlainSender(
            timer,
            self._sender,
            table,
            self._retries,
            self.run_stopper,
            self._place_again,
            self._record_failure,
        )
        self._routes: RouteTable | None = None
        self._initial_sync = InitialSync(timer, table)
        self._running = RunningCalls(timer)
        self._guard = CrashGuard(timer, crashes, client, self._running)
        table.watchers.add(self._guard.review)
        self._versions = VersionLog(table)

    @property
    def routes(self) -> RouteTable | None:
        """The routes of the configuration in force; None before there is one."""
        return self._routes

    @routes.setter
    def routes(self, routes: RouteTable | None) -> None:
        self._routes = routes
        if routes is not None:
            self._initial_sync.note_configuration()
        self._log.version = routes.configuration.version if routes else None

    async def handle(self, exchange: Exchange) -> None:
        """Handle one request until its response is complete."""
        info = self._protocol.decode_request(exchange.headers)
        await self._initial_sync.wait(info.remaining_s, self.stop_deadline)
        if self.routes is None:
            self._refuse(
                exchange, info, 503, "no configuration", NO_CONFIGURATION_RETRY_AFTER_S
            )
            return
        host = exchange.header(b"host").decode("latin-1").lower()
        path = exchange.target.partition(b"?")[0].decode("latin-1")
        route = self.routes.find(host.partition(":")[0], path)
        if route is None:
            self._refuse(exchange, info, 404, "no route", None)
            return
        organisation = None
        if self.routes.needs_keys and not route.is_public:
            organisation = self.routes.organisation_of(info.key)
            if organisation is None:
                self._refuse(exchange, info, 401, "unknown key", None)
                return
        call = self._call(exchange, info, route, organisation)
        if not self.stop_deadline.leaves_time_for(call):
            self._refuse(exchange, info, 503, STOPPING, 0.0, call)
            return
        reason = hopeless_reason(call, self._timer.now_s())
        if reason is not None:
            self._finish_failed(call, 503, reason)
            return
        retry_after_s = await self._guard.check(call)
        if retry_after_s is not None:
            self._finish_failed(call, 503, BLOCKED, retry_after_s)
            return
        await self._serve_with_deadline(call)

    def _call(
        self,
        exchange: Exchange,
        info: RequestInfo,
        route: Route,
        organisation: Organisation | None,
    ) -> Call:
        assert self.routes is not None
        service = self.routes.configuration.services[pick_service(route, self._random)]
        received_s = exchange.received_s
        caller_remaining_s = (
            info.remaining_s if info.remaining_s is not None else route.timeout_s
        )
        name = organisation.name if organisation is not None else ""
        return Call(
            exchange=exchange,
            info=info,
            route=route,
            service=service,
            organisation=organisation,
            priority=priority_of(route, organisation),
            demand=estimate_demand(info, service, route.gap_target_s),
            received_s=received_s,
            deadline_s=received_s + min(caller_remaining_s, route.timeout_s),
            caller_deadline_s=received_s + caller_remaining_s,
            causes=crash_causes(info, exchange, name),
        )

    def end_waiting(self) -> None:
        """Refuse the requests that wait and can no longer end before the stop."""
        self._running.end(
            lambda call: not (call.sends or self.stop_deadline.leaves_time_for(call)),
            STOPPING,
        )

    def end_all(self) -> None:
        """Respond to all requests that are running, because this process stops."""
        self._running.end(lambda call: True, STOPPING)

    async def _serve_with_deadline(self, call: Call) -> None:
        """Serve a request until its deadline or until its caller disconnects."""
        if call.exchange.disconnected.is_set():
            self._log.ended(call, "caller-gone", "before it was placed")
            call.exchange.abort()
            return
        try:
            await self._running.serve(call, self._serve(call))
        except errors.DeadlineExceededError:
            self._finish_failed(call, 504, "timeout")
        except CallEndedError as error:
            self._finish_failed(call, 502, error.reason, error.retry_after_s)
        except asyncio.CancelledError:
            self._log.ended(call, "caller-gone", "")
            raise

    async def _serve(self, call: Call) -> None:
        self._budget.note_request(call.service.name)
        self._versions.note_request(call)
        rejections = 0
        while True:
            try:
                placement = await self._place(call)
            except NoRoomError as error:
                self._finish_failed(call, 502, error.reason, error.retry_after_s)
                return
            target = placement.target
            self._log.placed(call, placement)
            try:
                if call.route.kind is RequestKind.STREAMING:
                    await self._forward_stream(call, placement)
                    return
                if await self._forward_plain(call, target):
                    return
            except AttemptError as error:
                self._record_failure(call, target, error)
                rejections += 1
                if not self._retries.may_resend(call, error, rejections):
                    self._finish_failed(call, 502, str(error))
                    return
            call.excluded.append(target)

    async def _place(self, call: Call) -> Placement:
        """Return a placement that can be used before this process stops.

        Raises:
          NoRoomError: no target had capacity in time.
        """
        placement = await self._placer.place(call)
        if not self.stop_deadline.leaves_time_for(call):
            placement.release(call.demand)
            raise NoRoomError(STOPPING, 0.0)
        return placement

    async def _place_again(self, call: Call) -> Target:
        """Place a request that runs at another target.

        Raises:
          NoRoomError: no target had capacity in time.
        """
        placement = await self._place(call)
        self._log.placed(call, placement)
        return placement.target

    # Plain requests.

    async def _forward_plain(self, call: Call, target: Target) -> bool:
        """Send a request once; return False if it is to be tried elsewhere."""
        response = await self._plain.read_response(call, target)
        attempt, body, succeeded = response.attempt, response.body, response.succeeded
        if response.overtaken is not None:
            self._table.note_outcome(response.overtaken, succeeded=False)
            self._versions.note_failed(call, response.overtaken)
            self._log.attempt_failed(call, response.overtaken, "overtaken")
        target = attempt.target
        self._table.note_outcome(target, succeeded=succeeded)
        if succeeded:
            self._table.on_run(call.service.name, response.run_s)
            self._versions.note_start(call, target, response.run_s)
        else:
            self._versions.note_failed(call, target)
        call.runs += 1
        if not succeeded and self._retries.may_rerun(call):
            self._log.attempt_failed(call, target, f"status {attempt.response.status}")
            return False
        self._forward_response(call, attempt, body)
        self._guard.note_complete(call, attempt)
        return True

    def _forward_response(self, call: Call, attempt: Attempt, body: bytes) -> None:
        status = attempt.response.status
        call.exchange.respond(status, strip_hop_by_hop(attempt.head.headers), body)
        self._log.ended(call, "answered", "", status=status, size_bytes=len(body))

    # Streams.

    async def _forward_stream(self, call: Call, placement: Placement) -> None:
        target = placement.target
        relay = StreamRelay(
            self._timer,
            self._sender,
            self._table,
            self._placer,
            self._copier,
            self.run_stopper,
            self._guard,
            self._versions,
            call,
        )
        try:
            attempt = await relay.run(placement)
        except StreamBrokenError as error:
            self._table.note_outcome(relay.target or target, succeeded=False)
            self._versions.note_failed(call, relay.target or target)
            self._finish_failed(call, 502, str(error), events=relay.progress.events)
            return
        if attempt is None:
            self._table.note_outcome(relay.target or target, succeeded=True)
            self._log.ended(
                call,
                "answered",
                "",
                status=200,
                events=relay.progress.events,
                first_event_s=round(relay.progress.first_event_s - call.received_s, 4),
                longest_gap_s=round(relay.progress.longest_gap_s, 4),
                resumes=relay.resumes,
            )
            return
        try:
            body = await attempt.body.read_all()
        except UpstreamError as error:
            self._finish_failed(call, 502, str(error))
            return
        finally:
            attempt.body.release()
        succeeded = attempt.response.status < 500
        self._table.note_outcome(target, succeeded=succeeded)
        if not succeeded:
            self._versions.note_failed(call, target)
        self._forward_response(call, attempt, body)

    # Ends.

    def _record_failure(self, call: Call, target: Target, error: AttemptError) -> None:
        failure = error.failure
        if failure is Failure.NO_CONNECTION:
            # Where the own network is the cause, the target is as good as others.
            if not self._client.links.is_network_suspect(target.info):
                self._table.note_no_connection(target, str(error))
            self._client.close_idle(target.info)
        elif failure is Failure.WRONG_TARGET:
            self._table.note_replaced(target)
            self._client.close_idle(target.info)
        elif failure.says_of_target:
            self._table.note_outcome(target, succeeded=False)
            if not failure.not_run:
                self._versions.note_failed(call, target)
            if failure is Failure.BROKEN:
                self._table.note_broken(target)
                self._guard.note_broken(call, target)
        self._log.attempt_failed(call, target, str(error))

    def _finish_failed(
        self,
        call: Call,
        status: int,
        reason: str,
        retry_after_s: float | None = None,
        **fields: int,
    ) -> None:
        """End a request that has no response to forward.

        It is refused if no target ran it, ended with an unknown outcome if one may
        have, and broken off if its stream has begun.
        """
        exchange = call.exchange
        if exchange.head_sent:
            self._log.ended(call, "broken", reason, **fields)
            exchange.on_disconnect = None
            exchange.abort()
        elif call.may_have_run:
            exchange.respond(status, [])
            self._log.ended(call, "unknown", reason, status=status)
        else:
            if retry_after_s is None:
                retry_after_s = jittered_s(RETRY_AFTER_S, self._random.random())
            retry_after_s = cap_retry_after_s(
                retry_after_s, call.deadline_s - self._timer.now_s()
            )
            self._refuse(exchange, call.info, 503, reason, retry_after_s, call)

    def _refuse(
        self,
        exchange: Exchange,
        info: RequestInfo,
        status: int,
        reason: str,
        retry_after_s: float | None,
        call: Call | None = None,
    ) -> None:
        exchange.respond(status, self._protocol.refusal_headers(retry_after_s))
        queue_length = self._admission.queue_length()
        self._log.refused(info, status, reason, retry_after_s, queue_length, call)
