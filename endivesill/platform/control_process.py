"""The control process: a replica of the state and the listener for operators."""

from __future__ import annotations

import asyncio
import json

from endivesill import events
from endivesill.control import ControlReplica, ControlSettings, TimedDisk
from endivesill.control.metrics import replica_metric_lines
from endivesill.fleet.changes import FleetChanges
from endivesill.fleet.model import EngineInfo
from endivesill.fleet.state import evacuations
from endivesill.fleet.sync_service import FleetSyncService
from endivesill.forwarding.leader_placement import LeaderPlacement
from endivesill.http1 import (
    ConnectionLimits,
    HttpListener,
    ResponseHead,
    close_listener,
)
from endivesill.link_peers import LinkPeerTransport
from endivesill.metrics_port import PLACEMENT_PATH, MetricsListener
from endivesill.platform.client import PlatformClient
from endivesill.platform.configuration import decode_configuration, encode_for_entries
from endivesill.platform.engines import decode_notices
from endivesill.platform.health import PlatformHealth
from endivesill.platform.operators import RESPONSE_TIMEOUT_S, OperatorHandler
from endivesill.platform.process import SettingsWatcher
from endivesill.platform.provider import PlatformEngineList
from endivesill.platform.reports import PlatformReports
from endivesill.platform.rollouts import RolloutCalls
from endivesill.platform.settings import NodeSettings
from endivesill.rollouts.entry import OFFER_PATH
from endivesill.rollouts.leader import RolloutLeader
from endivesill.rollouts.orders import RolloutOrders
from endivesill.stop_signal import StopSignal
from endivesill.supervision import supervise
from endivesill.timer import TimerService

__all__ = ["run_control"]

# The round trip between control VMs takes milliseconds; an election must finish
# well before the calls of operators time out.
HEARTBEAT_S = 0.15
ELECTION_TIMEOUT_S = 0.5
# A configuration may reach a megabyte and the disk is small, so the log is
# compacted often.
SNAPSHOT_ENTRIES = 100
TRAILING_ENTRIES = 20
SEGMENT_BYTES = 1_048_576
# Calls are small except for configurations with many routes.
OPERATOR_LIMITS = ConnectionLimits(body_bytes=16_777_216)
# Fraction of the grace period in which the last calls of operators are answered.
LAST_CALLS_FRACTION = 1 / 4
# The same in which a learner takes over the seat, also if the leader changes meanwhile.
LEAVE_FRACTION = 1 / 2


def control_settings(settings: NodeSettings) -> ControlSettings:
    """Return the settings of the control replica.

    An acknowledged change must survive the loss of `tolerated_losses` disks, so
    nothing is accepted while there are fewer voters than twice that number.
    """
    return ControlSettings(
        heartbeat_s=HEARTBEAT_S,
        election_timeout_s=ELECTION_TIMEOUT_S,
        snapshot_entries=SNAPSHOT_ENTRIES,
        trailing_entries=TRAILING_ENTRIES,
        segment_bytes=SEGMENT_BYTES,
        minimum_voters=max(1, 2 * settings.tolerated_losses),
    )


async def run_control(settings: NodeSettings, timer: TimerService) -> None:
    """Run a control process until SIGTERM or SIGINT."""
    stop = StopSignal(timer)
    SettingsWatcher(timer, lambda changed: replica.use_seeds(changed.seed_peers))
    transport = LinkPeerTransport(timer, settings.peer_address, settings.memory_bytes)
    disk = TimedDisk(settings.data_folder, timer)
    replica = ControlReplica(
        timer,
        transport,
        disk,
        settings.seed_peers,
        control_settings(settings),
        may_create_cluster=settings.is_first_start,
        desired_voters=2 * settings.tolerated_losses + 1,
    )
    client = PlatformClient(timer)
    source = PlatformEngineList(
        client, settings.engine_list_address, settings.engine_list_calls_per_s
    )
    sync_service = FleetSyncService(
        timer, replica, transport, source, encode_for_entries
    )
    bounds = settings.bounds

    def note_response(engine: EngineInfo, head: ResponseHead) -> None:
        sync_service.note_poll(engine, **decode_notices(head))

    placement = LeaderPlacement(
        timer,
        sync_service,
        transport,
        (bounds.cold_factor, bounds.cold_slack),
        PlatformReports(timer, client, note_response),
        PlatformHealth(client, lambda name: placement.health_path(name), note_response),
        lambda document: decode_configuration(document).services,
    )
    changes = FleetChanges(replica, RESPONSE_TIMEOUT_S)
    orders = RolloutOrders(replica, transport, RESPONSE_TIMEOUT_S)
    rollouts, rollout_calls = None, None
    if bounds.exposure is not None:
        rollouts = RolloutLeader(
            timer,
            replica,
            bounds.exposure,
            placement.versioned_engines,
            placement.publish_rollouts,
            sync_service.confirm_leadership,
        )
        transport.handle(OFFER_PATH, rollouts.handle_offer)
        sync_service.rollouts = rollouts
        placement.use_versions(rollouts)
        rollout_calls = RolloutCalls(orders, changes)
    operators = OperatorHandler(timer, changes, settings.control_address, rollout_calls)
    budget = settings.caller_budget(timer)
    listener = HttpListener(
        timer, settings.control_address, operators.handle, OPERATOR_LIMITS, budget
    )
    replica.subscribe_applied(
        lambda applied: listener.opening_stamp.note(applied.index)
    )
    metrics = MetricsListener(
        timer,
        settings.ip,
        lambda: [
            *_metric_lines(replica, sync_service, source, placement, disk),
            *(rollouts.metric_lines() if rollouts is not None else ()),
            *budget.metric_lines(),
        ],
        {PLACEMENT_PATH: placement.view},
    )
    await replica.start()
    await transport.start()
    await listener.start()
    await metrics.start()
    tasks = [
        supervise(timer, "fleet-hub", sync_service.run),
        supervise(timer, "engine-reports", placement.run_reports),
        supervise(timer, "engine-checks", placement.run_checks),
    ]
    if rollouts is not None:
        tasks.append(supervise(timer, "rollouts", rollouts.run))
    events.emit(
        events.PROCESS_STARTED,
        vm=settings.vm,
        identity=replica.identity,
        role="control",
    )
    await stop.wait()
    listener.closing = True
    active = listener.active_exchanges
    events.emit(events.PROCESS_STOPPING, vm=settings.vm, active=active)
    await replica.transfer_leadership()
    max_wait_s = LAST_CALLS_FRACTION * settings.bounds.grace_s
    _, cut = await asyncio.gather(
        replica.leave(LEAVE_FRACTION * settings.bounds.grace_s),
        close_listener(listener, max_wait_s),
    )
    for task in tasks:
        task.cancel()
    await replica.halt()
    await transport.close()
    events.emit(events.PROCESS_STOPPED, vm=settings.vm, cut=cut)
    await asyncio.sleep(0)


def _metric_lines(
    replica: ControlReplica,
    sync_service: FleetSyncService,
    source: PlatformEngineList,
    placement: LeaderPlacement,
    disk: TimedDisk,
) -> list[str]:
    engine_list = sync_service.reader.current
    return [
        *replica_metric_lines(replica),
        f"endivesill_blocked_crash_causes {len(sync_service.crashes.evidence.blocks)}",
        f"endivesill_list_number {engine_list.number if engine_list else 0}",
        f"endivesill_list_entries_skipped {source.skipped_entries}",
        *(
            f"endivesill_evacuated{{data_centre={json.dumps(name)}}} 1"
            for name in evacuations(replica.state)[1]
        ),
        *placement.metric_lines(),
        *disk.sync_durations.lines("endivesill_control_sync_seconds"),
    ]
