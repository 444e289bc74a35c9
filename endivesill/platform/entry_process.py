"""The entry process: forwards callers' requests."""

from __future__ import annotations

import math
import random
from typing import Any

from endivesill import errors, events
from endivesill.fleet.events import CONFIGURATION_IN_FORCE
from endivesill.fleet.load import EngineLoad
from endivesill.fleet.model import Service
from endivesill.fleet.sync_client import FleetSyncClient
from endivesill.forwarding.call_log import CallLog
from endivesill.forwarding.forwarder import Forwarder
from endivesill.forwarding.placement_service import LEADER_COLD_FRACTION
from endivesill.forwarding.placer import Placer
from endivesill.forwarding.retry_budget import RetryBudget
from endivesill.forwarding.route_table import RouteTable
from endivesill.forwarding.statistics import Statistics
from endivesill.forwarding.targets import TargetTable
from endivesill.forwarding.waiting import AdmissionQueue
from endivesill.http1 import ConnectionLimits, ConnectionPool, Exchange, HttpListener
from endivesill.link_peers import LinkPeerTransport
from endivesill.platform.configuration import decode_configuration
from endivesill.platform.engines import PlatformProtocol
from endivesill.platform.metrics_port import MetricsPort
from endivesill.platform.process import SettingsWatch, StopSignal
from endivesill.platform.settings import NodeSettings
from endivesill.supervision import supervise
from endivesill.timer import TimerService

__all__ = ["EntryProcess"]

# A connection to an engine takes a few milliseconds; one that takes longer has
# lost a packet, and another engine is tried.
CONNECT_TIMEOUT_S = 0.3
# Idle connections to engines are closed before the engine might do so.
LONGEST_IDLE_S = 3.0
PRUNE_S = 0.5
# Waiting requests look for room at least this often.
SERVE_S = 0.02
# Part of the rate that cold targets bear for places given without the leader,
# which gives out the other part.
OWN_COLD_SHARE = 1 - LEADER_COLD_FRACTION
# Streams look after their copies at least this often.
REVIEW_S = 0.5
# Without word from the control VMs for this long, callers do better elsewhere.
READY_SILENCE_S = 6.0
# After a stop was asked for: how long the balancer may still send new
# connections, and the share of the grace until which requests are served.
BALANCER_LAG_S = 2.5
SERVING_SHARE = 5 / 6
STOP_POLL_S = 0.05


class EntryProcess:
    """One entry.

    Args:
      settings: the process's settings.
      timer: the timer service.
    """

    def __init__(self, settings: NodeSettings, timer: TimerService) -> None:
        self._settings = settings
        self._timer = timer
        self._stopping = False
        random_source = random.Random()
        bounds = settings.bounds
        transport = LinkPeerTransport(timer, settings.peer_address)
        self._follower = FleetSyncClient(
            timer,
            transport,
            settings.seed_peers,
            self._own_loads,
            self._note_news,
        )
        view = self._follower.view
        self._table = TargetTable(timer, view, settings.data_centre)
        self._admission = AdmissionQueue(
            timer,
            self._table,
            self._cold_allowance,
            lambda request, target: target.reserve(request.demand),
            random_source,
        )
        placer = Placer(timer, self._table, self._admission, self._follower, transport)
        self._statistics = Statistics()
        self._pool = ConnectionPool(timer, CONNECT_TIMEOUT_S, LONGEST_IDLE_S)
        budget = RetryBudget(
            timer,
            bounds.retry_ratio,
            bounds.retry_slack,
            bounds.retry_window_s,
            lambda: view.lease.share_at(timer.now_s()),
        )
        self._forwarder = Forwarder(
            timer,
            self._table,
            self._admission,
            placer,
            budget,
            self._pool,
            PlatformProtocol(),
            CallLog(timer, self._statistics, self._silence_s),
            random_source,
        )
        self._front = HttpListener(
            timer, settings.front_address, self._forwarder.handle
        )
        self._ready = HttpListener(timer, settings.ready_address, self._answer_ready)
        self._metrics = MetricsPort(timer, settings, self._metric_lines)

    async def run(self) -> None:
        """Serve until the process is told to stop."""
        stop = StopSignal(self._settings, self._timer)
        SettingsWatch(self._timer, lambda s: self._follower.use_seeds(s.seed_peers))
        await self._ready.start()
        await self._front.start()
        await self._metrics.start()
        task = supervise(self._timer, "fleet-follower", self._follower.run)
        self._timer.call_every(PRUNE_S, self._pool.prune)
        self._timer.call_every(REVIEW_S, self._table.notify)
        self._timer.call_every(SERVE_S, self._admission.admit_waiting)
        events.emit(events.PROCESS_STARTED, vm=self._settings.vm, role="entry")
        await stop.wait()
        await self._drain(stop.since_s)
        await self._follower.deregister()
        task.cancel()
        await self._front.stop()
        events.emit(events.PROCESS_STOPPED, vm=self._settings.vm)

    def _metric_lines(self) -> list[str]:
        view = self._follower.view
        now_s = self._timer.now_s()
        age_s = self._silence_s()
        gauges = {
            "ready": int(self.is_ready()),
            "active_requests": self._front.active,
            "waiting_requests": self._admission.queue_length(),
            "caller_connections": len(self._front.connections),
            "target_connects_total": self._pool.connects,
            "state_version": view.version or 0,
            "engines_listed": len(view.engines),
            "allowance_share": round(view.lease.share_at(now_s), 4),
            "knowledge_age_seconds": "+Inf" if math.isinf(age_s) else round(age_s, 3),
        }
        lines = [f"endivesill_{name} {value}" for name, value in gauges.items()]
        return lines + self._table.metric_lines() + self._statistics.lines()

    # What the fleet says.

    def _own_loads(self) -> dict[str, EngineLoad]:
        return self._table.own_loads()

    def _cold_allowance(self, service: Service) -> float:
        bounds = self._settings.bounds
        share = self._follower.view.lease.share_at(self._timer.now_s())
        rate = bounds.cold_factor * service.cold_requests_per_s + bounds.cold_slack
        return OWN_COLD_SHARE * share * rate

    def _note_news(self, news: set[str]) -> None:
        view = self._follower.view
        if "state" in news:
            self._use_configuration(view.document)
        if "engines" in news:
            self._table.update_engines()
        self._table.update_loads(view.remote_loads)
        if news - {"loads"}:
            self._admission.admit_waiting()
            self._table.notify()

    def _use_configuration(self, document: Any) -> None:
        try:
            state = decode_configuration(document)
        except errors.DocumentError as error:
            # The control VMs accept nothing that they cannot decode.
            events.emit(
                events.TASK_FAILED, task="fleet-configuration", error=str(error)
            )
            return
        self._forwarder.routes = RouteTable(state)
        self._front.limits = ConnectionLimits(
            state.header_bytes,
            state.body_bytes,
            state.header_timeout_s,
            state.idle_timeout_s,
        )
        events.emit(
            CONFIGURATION_IN_FORCE, version=state.version, routes=len(state.routes)
        )

    # Readiness and stop.

    def _silence_s(self) -> float:
        """Return how long ago all that is known was the newest."""
        return self._timer.now_s() - self._follower.view.confirmed_at_s

    def is_ready(self) -> bool:
        """Tell whether callers should be sent here."""
        view = self._follower.view
        return (
            not self._stopping
            and self._forwarder.routes is not None
            and bool(view.engines)
            and self._silence_s() < READY_SILENCE_S
        )

    async def _answer_ready(self, exchange: Exchange) -> None:
        exchange.respond(200 if self.is_ready() else 503, [])

    async def _drain(self, since_s: float) -> None:
        """Finish what is under way, and what still comes meanwhile."""
        self._stopping = True
        self._front.closing = True
        grace_s = self._settings.bounds.grace_s
        events.emit(
            events.PROCESS_STOPPING, vm=self._settings.vm, active=self._front.active
        )
        lag_end_s = since_s + BALANCER_LAG_S
        end_s = since_s + SERVING_SHARE * grace_s
        while (now_s := self._timer.now_s()) < end_s:
            if now_s > lag_end_s:
                self._forwarder.refuse_streams = True
                self._front.close_idle()
                if not self._front.connections:
                    return
            await self._timer.sleep(STOP_POLL_S)
