"""The control process: a replica of the state and the operators' port."""

from __future__ import annotations

import asyncio

from endivesill import events
from endivesill.control import ControlReplica, ControlSettings, TimedDisk
from endivesill.fleet.sync_service import FleetSyncService
from endivesill.http1 import ConnectionLimits, HttpListener
from endivesill.link_peers import LinkPeerTransport
from endivesill.platform.client import PlatformClient
from endivesill.platform.leader_home import LeaderHome
from endivesill.platform.metrics_port import MetricsPort
from endivesill.platform.operators import OperatorPort
from endivesill.platform.process import SettingsWatch, StopSignal
from endivesill.platform.provider import PlatformList
from endivesill.platform.settings import NodeSettings
from endivesill.supervision import supervise
from endivesill.timer import TimerService

__all__ = ["run_control"]

# Control VMs are milliseconds apart; an election must end well before the
# operators' orders time out.
HEARTBEAT_S = 0.15
ELECTION_TIMEOUT_S = 0.5
# A configuration may be as large as a megabyte and the disk is small, so that
# the log is cut often.
SNAPSHOT_ENTRIES = 100
TRAILING_ENTRIES = 20
SEGMENT_BYTES = 1_048_576
# Orders are small but for configurations of many routes.
OPERATOR_LIMITS = ConnectionLimits(body_bytes=16_777_216)


def control_settings(settings: NodeSettings) -> ControlSettings:
    """Return the settings of the replica.

    An acknowledged change must survive the loss of `tolerated_losses` disks, so
    nothing is accepted by fewer voters than twice that.
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
    """Run a control process until it is told to stop."""
    stop = StopSignal(settings, timer)
    # The seeds matter only until the replica has a state; a change is logged.
    SettingsWatch(timer, lambda changed: None)
    transport = LinkPeerTransport(timer, settings.peer_address)
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
    hub = FleetSyncService(
        timer,
        replica,
        transport,
        PlatformList(client, settings.list_address, settings.list_calls_per_s),
    )
    home = LeaderHome(settings, timer, replica, hub, transport, client)
    operators = OperatorPort(timer, replica)
    listener = HttpListener(
        timer, settings.control_address, operators.handle, OPERATOR_LIMITS
    )
    metrics = MetricsPort(timer, settings, lambda: _lines(replica, hub, home, disk))
    await replica.start()
    await transport.start()
    await listener.start()
    await metrics.start()
    tasks = [
        supervise(timer, "fleet-hub", hub.run),
        supervise(timer, "engine-reports", home.run_reports),
        supervise(timer, "engine-checks", home.run_checks),
    ]
    events.emit(
        events.PROCESS_STARTED,
        vm=settings.vm,
        identity=replica.identity,
        role="control",
    )
    await stop.wait()
    events.emit(events.PROCESS_STOPPING, vm=settings.vm)
    await replica.transfer_leadership()
    listener.closing = True
    await listener.stop()
    for task in tasks:
        task.cancel()
    await replica.halt()
    await transport.close()
    events.emit(events.PROCESS_STOPPED, vm=settings.vm)
    await asyncio.sleep(0)


def _lines(
    replica: ControlReplica, hub: FleetSyncService, home: LeaderHome, disk: TimedDisk
) -> list[str]:
    core = replica.core
    lag = core.commit_index - replica.applied_index
    reading = hub.reader.current
    return [
        f"endivesill_control_term {core.term}",
        f"endivesill_control_leads {int(replica.is_leader)}",
        f"endivesill_control_voters {len(core.voter_set.voters)}",
        f"endivesill_control_commit_index {core.commit_index}",
        f"endivesill_control_apply_lag {lag}",
        f"endivesill_control_last_index {core.log.last_index}",
        f"endivesill_control_synced_index {core.log.synced_index}",
        f"endivesill_control_disk_failed {int(core.log.last_error is not None)}",
        f"endivesill_list_number {reading.number if reading else 0}",
        *home.metric_lines(),
        *disk.sync_durations.lines("endivesill_control_sync_seconds"),
    ]
