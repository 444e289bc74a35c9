"""Connects the home of all places with what the control process knows."""

from __future__ import annotations

import random

from endivesill.control import ControlReplica
from endivesill.fleet.departures import DepartureDetector
from endivesill.fleet.model import EngineInfo, Service
from endivesill.fleet.reports import EngineReports
from endivesill.fleet.state import current_configuration, evacuations
from endivesill.fleet.sync_client import FleetView
from endivesill.fleet.sync_service import FleetSyncService
from endivesill.forwarding.placement_service import PLACE_PATH, PlacementService
from endivesill.forwarding.targets import TargetTable
from endivesill.link_peers import LinkPeerTransport
from endivesill.platform.client import PlatformClient
from endivesill.platform.configuration import decode_configuration
from endivesill.platform.health import PlatformHealth
from endivesill.platform.reports import PlatformReports
from endivesill.platform.settings import NodeSettings
from endivesill.timer import TimerService

__all__ = ["LeaderHome"]

# Waiting requests look for room at least this often.
SERVE_S = 0.02
# Period of the lines on the engines' load while requests wait.
LOAD_LOG_S = 1.0


class LeaderHome:
    """Keeps the home's view of the fleet up to date.

    Args:
      settings: the process's settings.
      timer: the timer service.
      replica: this VM's control replica.
      hub: knows the engines and the loads.
      transport: the peer port.
      client: asks engines for their reports and health.
    """

    def __init__(
        self,
        settings: NodeSettings,
        timer: TimerService,
        replica: ControlReplica,
        hub: FleetSyncService,
        transport: LinkPeerTransport,
        client: PlatformClient,
    ) -> None:
        self._replica = replica
        self._hub = hub
        self._view = FleetView()
        self._services: dict[str, Service] = {}
        # Entries are everywhere, so that no data centre is nearer.
        self._table = TargetTable(timer, self._view, data_centre="")
        bounds = settings.bounds
        self._home = PlacementService(
            timer,
            self._table,
            hub.loads,
            lambda name: self._services.get(name),
            (bounds.cold_factor, bounds.cold_slack),
            hub.leads,
            random.Random(),
        )
        transport.handle(PLACE_PATH, self._home.handle)
        transport.cancel_on_disconnect(PLACE_PATH)
        hub.on_change(self._update)
        self._reports = EngineReports(
            timer, PlatformReports(timer, client), self._model_engines
        )
        self._departures = DepartureDetector(
            timer,
            PlatformHealth(client, self._health_path),
            self._model_engines,
            hub.apply_departures,
        )
        hub.reader.use_departure_sources(self._leaving, self._reports.with_notice)
        timer.call_every(SERVE_S, self._serve)
        timer.call_every(LOAD_LOG_S, self._home.log_load)

    async def run_reports(self) -> None:
        """Read the engines' reports until cancelled."""
        await self._reports.run()

    async def run_checks(self) -> None:
        """Check the engines' health until cancelled."""
        await self._departures.run()

    def metric_lines(self) -> list[str]:
        """Return the metrics' lines on engines and waiting requests."""
        waiting = f"endivesill_waiting_requests {self._home.queue_length()}"
        return [*self._table.metric_lines(), waiting]

    def _leaving(self) -> frozenset[str]:
        return self._reports.leaving() | self._departures.leaving()

    def _health_path(self, service: str) -> str:
        return self._services[service].health_path

    def _model_engines(self) -> list[EngineInfo]:
        if not self._hub.leads():
            return []
        models = {
            name for name, s in self._services.items() if s.model_engine is not None
        }
        return [e for e in self._view.engines.values() if e.service in models]

    def _serve(self) -> None:
        if self._hub.leads():
            self._table.update_reports(
                self._reports.latest, self._reports.unresponsive()
            )
            self._home.update()

    def _update(self) -> None:
        if not self._hub.leads():
            return
        state = current_configuration(self._replica.state)
        if state is not None and state["version"] != self._view.version:
            self._view.version = state["version"]
            self._services = decode_configuration(state["document"]).services
        index, data_centres = evacuations(self._replica.state)
        if index != self._view.evacuation_index:
            self._view.evacuation_index = index
            self._view.evacuated = frozenset(data_centres)
        reading = self._hub.reader.current
        if reading is not None and reading.stamp != self._view.list_stamp:
            self._view.list_stamp = reading.stamp
            self._view.engines = reading.engines
            self._table.update_engines()
        self._home.update()
