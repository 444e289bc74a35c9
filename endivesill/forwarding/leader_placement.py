"""Runs the placement service on the leader of the control VMs."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from typing import Any

from endivesill import errors, events
from endivesill.fleet.departures import DepartureDetector, HealthSource
from endivesill.fleet.events import ENGINE_UNEVEN
from endivesill.fleet.model import EngineInfo, Service
from endivesill.fleet.reports import EngineReports, ReportSource
from endivesill.fleet.state import current_configuration, evacuations
from endivesill.fleet.strain import STRAIN_PATH, StrainedEngines
from endivesill.fleet.sync_client import FleetView
from endivesill.fleet.sync_service import FleetSyncService
from endivesill.forwarding.health import new_fleet_record
from endivesill.forwarding.placement_service import PLACE_PATH, PlacementService
from endivesill.forwarding.targets import Target, TargetTable
from endivesill.link_peers import LinkPeerTransport
from endivesill.rollouts.model import VersionedEngine
from endivesill.rollouts.versions import TargetVersions
from endivesill.timer import TimerService

__all__ = ["LeaderPlacement"]

# Longest time between two attempts to admit queued requests.
ADMISSION_PERIOD_S = 0.02
# Period of the log lines on engine load while requests are queued.
LOAD_LOG_PERIOD_S = 1.0
# Interval between two looks at the pauses in streams.
UNEVEN_PERIOD_S = 0.5
# An engine that has just started is slow for about this long.
WARM_UP_S = 2.0


class LeaderPlacement:
    """Feeds the placement service with the configuration and the engine list.

    Args:
      timer: the timer service.
      sync_service: provides the state, the engine list and the loads of the entries.
      transport: the peer port.
      cold_bounds: factor and slack applied to the request rate of cold targets.
      reports: reads the load reports of engines.
      health: checks the health of engines.
      decode_services: returns the services of a configuration document, or raises
        `DocumentError`.
    """

    def __init__(
        self,
        timer: TimerService,
        sync_service: FleetSyncService,
        transport: LinkPeerTransport,
        cold_bounds: tuple[float, float],
        reports: ReportSource,
        health: HealthSource,
        decode_services: Callable[[Any], dict[str, Service]],
    ) -> None:
        self._timer = timer
        self._decode_services = decode_services
        self._sync_service = sync_service
        self._view = FleetView()
        self._services: dict[str, Service] = {}
        # The entries are in all data centres, so none of them counts as local.
        self._table = TargetTable(timer, self._view, "", new_fleet_record)
        self._table.use_limits(sync_service.limits, sync_service.permits)
        self._placement = PlacementService(
            timer,
            self._table,
            sync_service.loads,
            lambda name: self._services.get(name),
            cold_bounds,
            sync_service.leads,
            random.Random(),
        )
        transport.handle(PLACE_PATH, self._placement.handle)
        transport.cancel_on_disconnect(PLACE_PATH)
        self._strained = StrainedEngines(timer)
        self._strained_targets: list[Target] = []
        transport.handle(STRAIN_PATH, self._strained.handle)
        sync_service.on_change(self._update)
        sync_service.on_loads(self._admit_waiting)
        sync_service.on_outcomes(self._table.apply_outcomes)
        self._table.on_ejected = lambda target, duration_s: (
            sync_service.publish_ejection(target.info.incarnation, duration_s)
        )
        self._reports = EngineReports(
            timer,
            reports,
            self._polled_engines,
            sync_service.may_poll,
        )
        self._departures = DepartureDetector(
            timer,
            health,
            self._polled_engines,
            sync_service.apply_departures,
            sync_service.may_poll,
        )
        sync_service.reader.use_departure_sources(
            self._leaving, self._reports.with_notice, self._departures.is_verified
        )
        # When this VM first listed each engine.
        self._listed_since_s: dict[str, float] = {}
        self._on_engines: Callable[[], None] = lambda: None
        timer.call_every(ADMISSION_PERIOD_S, self._update_placement)
        timer.call_every(LOAD_LOG_PERIOD_S, self._placement.log_load)
        timer.call_every(UNEVEN_PERIOD_S, self._update_pauses)

    async def run_reports(self) -> None:
        """Read the reports of engines until cancelled; only the leader reads any."""
        await self._reports.run()

    async def run_checks(self) -> None:
        """Check the health of engines until cancelled; only the leader checks any."""
        await self._departures.run()

    def metric_lines(self) -> list[str]:
        """Return metric lines for the targets and the number of queued requests."""
        waiting = f"endivesill_waiting_requests {self._placement.queue_length()}"
        uneven = sum(
            _is_uneven(target)
            for service in self._services
            for target in self._table.listed(service)
        )
        return [
            *self._table.metric_lines(),
            waiting,
            f"endivesill_engines_uneven {uneven}",
            f"endivesill_engines_strained {len(self._strained_targets)}",
            f"endivesill_strain_notices_total {self._strained.notices}",
        ]

    def view(self, fields: Mapping[str, str]) -> Any:
        """Explain where a generation would be placed now."""
        return self._placement.view(fields)

    def use_versions(self, versions: TargetVersions) -> None:
        """Set what says which engines a roll-out keeps from ordinary requests."""
        self._table.versions = versions
        self._on_engines = versions.refresh

    def publish_rollouts(self) -> None:
        """Tell the entries of a changed roll-out, and place by it."""
        self._sync_service.notify_entries()
        self._placement.update()

    def versioned_engines(self, service: str) -> list[VersionedEngine]:
        """Return the engines of a service with their versions."""
        now_s = self._timer.now_s()
        return [
            VersionedEngine(
                incarnation=target.info.incarnation,
                version=target.info.version,
                slots=target.info.slots,
                is_usable=self._table.accepts_requests(target),
                is_warm=self._is_warm(target.info, now_s),
                requests=target.total_requests,
            )
            for target in self._table.listed(service)
        ]

    def _is_warm(self, engine: EngineInfo, now_s: float) -> bool:
        since_s = self._listed_since_s.get(engine.incarnation, now_s)
        return engine.cold_s <= 0 and now_s - since_s >= WARM_UP_S

    def _leaving(self) -> frozenset[str]:
        return self._reports.leaving() | self._departures.leaving()

    def health_path(self, service: str) -> str:
        """Return the path of a service's health check."""
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
        self._update_strain()
        if self._sync_service.leads():
            self._table.update_reports(
                self._reports.latest, self._reports.unresponsive()
            )
        self._placement.update()

    def _update_strain(self) -> None:
        for target in self._strained_targets:
            target.is_strained = False
        self._strained_targets = self._table.find_all(self._strained.current())
        for target in self._strained_targets:
            target.is_strained = True

    def _apply_services(self, document: Any) -> None:
        try:
            self._services = self._decode_services(document)
        except errors.DocumentError as error:
            # A control VM of an earlier build may have accepted it.
            events.emit(
                events.TASK_FAILED, task="fleet-configuration", error=str(error)
            )

    def _admit_waiting(self) -> None:
        """Place queued requests after a load report; without any, nothing is due."""
        if self._placement.queue_length():
            self._placement.update()

    def _update_pauses(self) -> None:
        """Tell the placement what is expected of the pauses at each engine."""
        if not self._sync_service.leads():
            return
        rates = self._sync_service.pauses
        rates.retain(self._view.engines)
        for service in self._services:
            targets = self._table.listed(service)
            expected = rates.expect(target.info.incarnation for target in targets)
            for target in targets:
                was_uneven = _is_uneven(target)
                target.pauses = expected.get(target.info.incarnation)
                if target.pauses is not None and _is_uneven(target) != was_uneven:
                    events.emit(
                        ENGINE_UNEVEN,
                        target=target.info.identity,
                        service=service,
                        usual_pause=target.pauses.usual_bucket,
                        usual_pause_of_peers=target.pauses.peer_bucket,
                    )

    def _update(self) -> None:
        if not self._sync_service.leads():
            self._departures.note_listed(())
            return
        configuration = current_configuration(self._sync_service.state)
        if configuration is not None and configuration["version"] != self._view.version:
            self._view.version = configuration["version"]
            self._apply_services(configuration["document"])
        index, data_centres = evacuations(self._sync_service.state)
        if index != self._view.evacuation_index:
            self._view.evacuation_index = index
            self._view.evacuated = frozenset(data_centres)
        engine_list = self._sync_service.reader.current
        if engine_list is not None and engine_list.stamp != self._view.list_stamp:
            self._view.list_stamp = engine_list.stamp
            self._view.engines = engine_list.engines
            self._table.update_engines()
            now_s = self._timer.now_s()
            self._listed_since_s = {
                key: self._listed_since_s.get(key, now_s) for key in self._view.engines
            }
            # Entries learn of new engines and of their version in one reply.
            self._on_engines()
            self._departures.note_listed(self._model_engines())
        self._placement.update()


def _is_uneven(target: Target) -> bool:
    """Return whether a target is clearly slower than the median of its service."""
    pauses = target.pauses
    return pauses is not None and pauses.usual_bucket > pauses.peer_bucket + 1
