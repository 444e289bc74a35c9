"""Runs the placement service on the leader, in the control process."""

from __future__ import annotations

import random
from typing import Any

from endivesill import errors, events
from endivesill.control import ControlReplica
from endivesill.fleet.departures import DepartureDetector
from endivesill.fleet.model import EngineInfo, Service
from endivesill.fleet.reports import EngineReports
from endivesill.fleet.state import current_configuration, evacuations
from endivesill.fleet.sync_client import FleetView
from endivesill.fleet.sync_service import FleetSyncService
from endivesill.forwarding.health import new_fleet_record
from endivesill.forwarding.placement_service import PLACE_PATH, PlacementService
from endivesill.forwarding.targets import TargetTable
from endivesill.http1 import ResponseHead
from endivesill.link_peers import LinkPeerTransport
from endivesill.platform.client import PlatformClient
from endivesill.platform.configuration import decode_configuration
from endivesill.platform.engines import (
    decode_brittle_per_s,
    decode_leaving,
    decode_limit_per_s,
    decode_pause_s,
)
from endivesill.platform.health import PlatformHealth
from endivesill.platform.reports import PlatformReports
from endivesill.platform.settings import NodeSettings
from endivesill.timer import TimerService

__all__ = ["LeaderPlacement"]

# Longest time between two attempts to admit queued requests.
ADMISSION_PERIOD_S = 0.02
# Period of the log lines on engine load while requests are queued.
LOAD_LOG_PERIOD_S = 1.0


class LeaderPlacement:
    """Feeds the placement service with the configuration and the engine list.

    Args:
      settings: the process's settings.
      timer: the timer service.
      replica: this VM's control replica.
      sync_service: provides the engine list and the loads of the entries.
      transport: the peer port.
      client: reads the reports and the health of engines.
    """

    def __init__(
        self,
        settings: NodeSettings,
        timer: TimerService,
        replica: ControlReplica,
        sync_service: FleetSyncService,
        transport: LinkPeerTransport,
        client: PlatformClient,
    ) -> None:
        self._replica = replica
        self._sync_service = sync_service
        self._view = FleetView()
        self._services: dict[str, Service] = {}
        # The entries are in all data centres, so none of them counts as local.
        self._table = TargetTable(timer, self._view, "", new_fleet_record)
        self._table.use_limits(sync_service.limits, sync_service.permits)
        bounds = settings.bounds
        self._placement = PlacementService(
            timer,
            self._table,
            sync_service.loads,
            lambda name: self._services.get(name),
            (bounds.cold_factor, bounds.cold_slack),
            sync_service.leads,
            random.Random(),
        )
        transport.handle(PLACE_PATH, self._placement.handle)
        transport.cancel_on_disconnect(PLACE_PATH)
        sync_service.on_change(self._update)
        sync_service.on_loads(self._admit_waiting)
        sync_service.on_outcomes(self._table.apply_outcomes)
        self._table.on_ejected = lambda target, duration_s: (
            sync_service.publish_ejection(target.info.incarnation, duration_s)
        )
        self._reports = EngineReports(
            timer,
            PlatformReports(timer, client, self._note_response),
            self._polled_engines,
            sync_service.may_poll,
        )
        self._departures = DepartureDetector(
            timer,
            PlatformHealth(client, self._health_path, self._note_response),
            self._polled_engines,
            sync_service.apply_departures,
            sync_service.may_poll,
        )
        sync_service.reader.use_departure_sources(
            self._leaving, self._reports.with_notice, self._departures.is_verified
        )
        timer.call_every(ADMISSION_PERIOD_S, self._update_placement)
        timer.call_every(LOAD_LOG_PERIOD_S, self._placement.log_load)

    async def run_reports(self) -> None:
        """Read the reports of engines until cancelled; only the leader reads any."""
        await self._reports.run()

    async def run_checks(self) -> None:
        """Check the health of engines until cancelled; only the leader checks any."""
        await self._departures.run()

    def metric_lines(self) -> list[str]:
        """Return metric lines for the targets and the number of queued requests."""
        waiting = f"endivesill_waiting_requests {self._placement.queue_length()}"
        return [*self._table.metric_lines(), waiting]

    def _leaving(self) -> frozenset[str]:
        return self._reports.leaving() | self._departures.leaving()

    def _note_response(self, engine: EngineInfo, head: ResponseHead) -> None:
        """Record what an engine announces in its response to a poll."""
        self._sync_service.note_poll(
            engine,
            is_leaving=decode_leaving(head),
            pause_s=decode_pause_s(head),
            limit_per_s=decode_limit_per_s(head),
            brittle_per_s=decode_brittle_per_s(head),
        )

    def _health_path(self, service: str) -> str:
        return self._services[service].health_path

    def _polled_engines(self) -> list[EngineInfo]:
        """Return the model engines that want requests from this VM."""
        is_paused = self._sync_service.reader.notices.is_paused
        return [engine for engine in self._model_engines() if not is_paused(engine)]

    def _model_engines(self) -> list[EngineInfo]:
        if not self._sync_service.leads():
            return []
        model_services = {
            name for name, s in self._services.items() if s.model_engine is not None
        }
        return [e for e in self._view.engines.values() if e.service in model_services]

    def _update_placement(self) -> None:
        if self._sync_service.leads():
            self._table.update_reports(
                self._reports.latest, self._reports.unresponsive()
            )
        self._placement.update()

    def _apply_services(self, document: Any) -> None:
        try:
            self._services = decode_configuration(document).services
        except errors.DocumentError as error:
            # A control VM of an earlier build may have accepted it.
            events.emit(
                events.TASK_FAILED, task="fleet-configuration", error=str(error)
            )

    def _admit_waiting(self) -> None:
        """Place queued requests after a load report; without any, nothing is due."""
        if self._placement.queue_length():
            self._placement.update()

    def _update(self) -> None:
        if not self._sync_service.leads():
            self._departures.note_listed(())
            return
        configuration = current_configuration(self._replica.state)
        if configuration is not None and configuration["version"] != self._view.version:
            self._view.version = configuration["version"]
            self._apply_services(configuration["document"])
        index, data_centres = evacuations(self._replica.state)
        if index != self._view.evacuation_index:
            self._view.evacuation_index = index
            self._view.evacuated = frozenset(data_centres)
        engine_list = self._sync_service.reader.current
        if engine_list is not None and engine_list.stamp != self._view.list_stamp:
            self._view.list_stamp = engine_list.stamp
            self._view.engines = engine_list.engines
            self._table.update_engines()
            self._departures.note_listed(self._model_engines())
        self._placement.update()
