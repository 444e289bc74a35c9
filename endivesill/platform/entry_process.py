"""The entry process: forwards requests of callers to targets."""

from __future__ import annotations

import asyncio
import math
import random
from typing import Any

from endivesill import errors, events
from endivesill.fleet.entry_peers import EntryPeer
from endivesill.fleet.events import CONFIGURATION_IN_FORCE
from endivesill.fleet.load import EngineLoad
from endivesill.fleet.permit_client import PermitClient
from endivesill.fleet.strain import StrainNotices
from endivesill.fleet.sync_client import FleetSyncClient
from endivesill.forwarding.call_log import CallLog
from endivesill.forwarding.cold_allowance import ColdAllowance
from endivesill.forwarding.entry_network import EntryNetwork
from endivesill.forwarding.entry_stop import stop_serving
from endivesill.forwarding.even_load import EvenLoad
from endivesill.forwarding.forwarder import Forwarder
from endivesill.forwarding.placement import choose_target
from endivesill.forwarding.placement_view import entry_page
from endivesill.forwarding.placer import Placer
from endivesill.forwarding.retry_budget import RetryBudget
from endivesill.forwarding.route_table import RouteTable
from endivesill.forwarding.statistics import Statistics
from endivesill.forwarding.targets import TargetTable
from endivesill.forwarding.waiting import AdmissionQueue
from endivesill.http1 import ConnectionLimits, Exchange, HttpListener
from endivesill.link_peers import LinkPeerTransport
from endivesill.metrics_port import PLACEMENT_PATH, MetricsListener
from endivesill.platform.configuration import decode_configuration
from endivesill.platform.engines import PlatformProtocol
from endivesill.platform.process import SettingsWatcher
from endivesill.platform.settings import NodeSettings
from endivesill.stop_signal import StopSignal
from endivesill.supervision import supervise
from endivesill.timer import TimerService

__all__ = ["EntryProcess"]

# Longest time between two attempts to admit queued requests.
ADMISSION_PERIOD_S = 0.02
# Longest time between two checks whether a stream needs a new backup copy.
REVIEW_PERIOD_S = 0.5


class EntryProcess:
    """One entry: the front listener with routing and admission behind it.

    Args:
      settings: the process's settings.
      timer: the timer service.
      has_even_load: whether plain targets are chosen by how old their loads are.
    """

    def __init__(
        self,
        settings: NodeSettings,
        timer: TimerService,
        *,
        has_even_load: bool = False,
    ) -> None:
        self._settings = settings
        self._timer = timer
        self._stopping = False
        random_source = random.Random()
        bounds = settings.bounds
        transport = LinkPeerTransport(
            timer, settings.peer_address, settings.memory_bytes
        )
        self._sync_client = FleetSyncClient(
            timer,
            transport,
            settings.seed_peers,
            self._own_loads,
            self._apply_updates,
            lambda: self._table.unlisted_departures(),
        )
        view = self._sync_client.view
        self._table = TargetTable(timer, view, settings.data_centre)
        self._table.outcomes = self._sync_client.outcomes
        self._table.pauses = self._sync_client.pauses
        self._table.versions = self._sync_client.rollouts
        choose = choose_target
        self._even_load = EvenLoad(timer) if has_even_load else None
        if self._even_load is not None:
            choose = self._even_load.choose
            self._table.on_loads = self._even_load.note_loads
            self._table.on_run = self._even_load.note_run
        self._strain = StrainNotices(timer, transport, lambda: self._sync_client.leader)
        self._table.on_strain = self._strain.note
        permits = PermitClient(timer, transport, self._sync_client)
        self._table.use_limits(self._sync_client.limits, permits)
        self._table.on_limit = self._report_engines
        self._table.on_broken = self._report_engines
        self._table.on_leaving = lambda engine: self._report_engines()
        self._admission = AdmissionQueue(
            timer,
            self._table,
            ColdAllowance(
                timer, view, bounds.cold_factor, bounds.cold_slack
            ).requests_per_s,
            lambda request, target: target.reserve(request.demand),
            random_source,
            on_abandoned=lambda request, target: target.release(request.demand),
            choose=choose,
        )
        permits.on_change = self._admission.admit_waiting
        placer = Placer(
            timer, self._table, self._admission, self._sync_client, transport
        )
        self._statistics = Statistics()
        protocol = PlatformProtocol()
        own = EntryPeer(settings.peer_address, settings.data_centre, settings.region)
        self._network = EntryNetwork(
            timer,
            own,
            self._table,
            protocol,
            self._sync_client,
            random_source,
        )
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
            self._network.client,
            protocol,
            self._sync_client.crashes,
            CallLog(timer, self._statistics, self._view_age_s),
            random_source,
        )
        self._budget = settings.caller_budget(timer)
        self._front = HttpListener(
            timer,
            settings.front_address,
            self._forwarder.handle,
            budget=self._budget,
        )
        self._readiness = HttpListener(
            timer, settings.readiness_address, self._handle_readiness
        )
        page = entry_page(
            timer, self._table, lambda: self._forwarder.routes, self._even_load
        )
        self._metrics = MetricsListener(
            timer, settings.ip, self._metric_lines, {PLACEMENT_PATH: page}
        )

    async def run(self) -> None:
        """Serve until a stop signal, then drain."""
        stop = StopSignal(self._timer)
        SettingsWatcher(
            self._timer, lambda s: self._sync_client.use_seeds(s.seed_peers)
        )
        await self._readiness.start()
        await self._network.start()
        await self._front.start()
        await self._metrics.start()
        task = supervise(self._timer, "fleet-follower", self._sync_client.run)
        self._timer.call_every(REVIEW_PERIOD_S, self._table.notify)
        self._timer.call_every(ADMISSION_PERIOD_S, self._admission.admit_waiting)
        events.emit(events.PROCESS_STARTED, vm=self._settings.vm, role="entry")
        await stop.wait()
        cut = await self._drain(stop.received_s)
        await self._sync_client.deregister()
        task.cancel()
        events.emit(events.PROCESS_STOPPED, vm=self._settings.vm, cut=cut)

    def _metric_lines(self) -> list[str]:
        view = self._sync_client.view
        now_s = self._timer.now_s()
        age_s = self._view_age_s()
        gauges = {
            "ready": int(self.is_ready()),
            "active_requests": self._front.active_exchanges,
            "waiting_requests": self._admission.queue_length(),
            "caller_connections": len(self._front.connections),
            "state_version": view.version or 0,
            "engines_listed": len(view.engines),
            "blocked_crash_causes": len(self._sync_client.crashes.evidence.blocks),
            "allowance_share": round(view.lease.share_at(now_s), 4),
            **self._network.gauges(),
            "knowledge_age_seconds": "+Inf" if math.isinf(age_s) else round(age_s, 3),
        }
        lines = [f"endivesill_{name} {value}" for name, value in gauges.items()]
        lines += self._sync_client.rollouts.metric_lines()
        lines += self._budget.metric_lines()
        if self._even_load is not None:
            lines += self._even_load.metric_lines()
        lines += self._forwarder.run_stopper.metric_lines()
        return lines + self._table.metric_lines() + self._statistics.lines()

    # Updates of the fleet view.

    def _own_loads(self) -> dict[str, EngineLoad]:
        return self._table.own_loads()

    def _report_engines(self) -> None:
        asyncio.ensure_future(self._sync_client.report_engines())

    def _apply_updates(self, updates: set[str]) -> None:
        view = self._sync_client.view
        if "state" in updates:
            self._apply_configuration(view.document)
        if "engines" in updates:
            self._table.update_engines()
            self._network.update(view.engines)
            self._strain.retain(view.engines)
        if "ejections" in updates:
            self._table.apply_ejections(view.ejections)
        self._table.update_loads(view.remote_loads)
        if updates - {"loads"}:
            self._admission.admit_waiting()
            self._table.notify()

    def _apply_configuration(self, document: Any) -> None:
        try:
            configuration = decode_configuration(document)
        except errors.DocumentError as error:
            # Not expected: the control VMs reject documents that they cannot decode.
            events.emit(
                events.TASK_FAILED, task="fleet-configuration", error=str(error)
            )
            return
        self._forwarder.routes = RouteTable(configuration)
        self._front.limits = ConnectionLimits(
            configuration.header_bytes,
            configuration.body_bytes,
            configuration.header_timeout_s,
            configuration.idle_timeout_s,
        )
        events.emit(
            CONFIGURATION_IN_FORCE,
            version=configuration.version,
            routes=len(configuration.routes),
        )

    # Readiness and drain.

    def _view_age_s(self) -> float:
        return self._sync_client.view.age_s(self._timer.now_s())

    def is_ready(self) -> bool:
        """Return whether the load balancer should send callers to this entry."""
        is_configured = self._forwarder.routes is not None
        is_usable = self._sync_client.view.is_usable(self._timer.now_s())
        return is_configured and is_usable and not self._stopping

    async def _handle_readiness(self, exchange: Exchange) -> None:
        exchange.respond(200 if self.is_ready() else 503, [])

    async def _drain(self, stop_received_s: float) -> int:
        """Stop serving; return how many requests were cut."""
        self._stopping = True
        events.emit(
            events.PROCESS_STOPPING,
            vm=self._settings.vm,
            active=self._front.active_exchanges,
        )
        return await stop_serving(
            self._timer,
            self._front,
            self._forwarder,
            self._network.service,
            stop_received_s,
            self._settings.bounds.grace_s,
        )
