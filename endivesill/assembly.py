"""Wiring of the services of a VM according to its roles.

Services start in the order in which they are added here and stop in reverse order.
The callers' port thus opens after the services that it depends on and closes before
them.
"""

from __future__ import annotations

from endivesill.configuration.control_replica import ControlReplicaView
from endivesill.configuration.model import Target
from endivesill.configuration.named import NamedConfigurationSource
from endivesill.configuration.replica import ReplicaEndpoint
from endivesill.configuration.store import ConfigurationFile
from endivesill.configuration.watcher import ConfigurationWatcher
from endivesill.control import ControlClient
from endivesill.control.disk import FileDisk
from endivesill.control.remote import RemoteControlClient
from endivesill.control.replica import ControlReplica
from endivesill.control.settings import ControlSettings
from endivesill.control.voters import VoterOperations
from endivesill.drain import DrainService
from endivesill.entry.budget import SharedRetryBudget
from endivesill.entry.service import EntryService
from endivesill.entry.settings import EntrySettings
from endivesill.http_peers import HttpPeerTransport
from endivesill.kernel import Kernel, Service
from endivesill.keys import KeyFileWatcher, KeyRing
from endivesill.membership.datagrams import UdpDatagramTransport
from endivesill.membership.leaving import LeavingTargets
from endivesill.membership.service import SwimMembership
from endivesill.membership.settings import MembershipSettings
from endivesill.membership.view import VmState
from endivesill.membership.vm_list_watch import VmListWatch
from endivesill.metrics import Metrics
from endivesill.operators import (
    ConfigurationProgress,
    OperatorApplication,
    OperatorPort,
)
from endivesill.orders.service import OrderService
from endivesill.orders.settings import OrderSettings
from endivesill.peer_port import PeerPort
from endivesill.routing import Backoff, CreditClient, CreditServer, PrefixIndex, Router
from endivesill.settings import Settings
from endivesill.targets import EngineAdapter, LoadReport, TargetClient
from endivesill.targets.monitor import TargetMonitor
from endivesill.timer import TimerService
from endivesill.tls import TlsSettings, client_context, server_options

__all__ = ["build_kernel"]


class MonitorSink:
    """Forwards the results of target polls to the services that use them.

    Args:
      credit_server: allocates credit by the load of the targets.
      leaving: tracks the targets that are leaving.
    """

    def __init__(self, credit_server: CreditServer, leaving: LeavingTargets) -> None:
        self._credit_server = credit_server
        self._leaving = leaving

    def observe_load(self, target: Target, report: LoadReport) -> None:
        """Forward a load report and the departure that it announces."""
        self._leaving.apply_load_report(
            target.name, report.boot_id, report.leaving_in_s
        )
        self._credit_server.observe_load(target, report)

    def observe_silence(self, target: Target) -> None:
        """Forward that a target does not respond to polls."""
        self._credit_server.observe_silence(target)

    def observe_cache_cleared(self, target: Target) -> None:
        """Forward that a target has cleared its prefix cache."""
        self._credit_server.observe_cache_cleared(target)


class MonitorService(Service):
    """Polls the targets that this VM owns.

    Args:
      kernel: the process's kernel.
      credit_server: allocates credit by the results of the polls.
      prefixes: the index of cached prefixes.
      configuration: the source of the configuration.
      membership: decides which VM owns which target.
    """

    def __init__(
        self,
        kernel: Kernel,
        credit_server: CreditServer,
        prefixes: PrefixIndex,
        configuration: NamedConfigurationSource,
        membership: SwimMembership,
    ) -> None:
        self._kernel = kernel
        self._credit_server = credit_server
        self._prefixes = prefixes
        self._configuration = configuration
        self._membership = membership
        self._client: TargetClient | None = None
        self._monitor: TargetMonitor | None = None

    async def start(self) -> None:
        """Start polling."""
        timer = self._kernel.timer
        self._client = TargetClient(timer)
        self._monitor = TargetMonitor(
            timer,
            self._configuration.current,
            EngineAdapter(self._client, timer),
            self._membership.is_owner,
            MonitorSink(self._credit_server, self._membership.leaving_targets),
            self._prefixes,
        )
        await self._monitor.start()

    async def stop(self) -> None:
        """Stop polling."""
        if self._monitor is not None:
            await self._monitor.stop()
        if self._client is not None:
            await self._client.close()


def build_kernel(settings: Settings, timer: TimerService) -> Kernel:
    """Create the services for the VM's roles and add them to a kernel.

    Raises:
      FindingsError: the key file or a TLS file is invalid.
      StorageError: another process uses the data folder.
    """
    kernel = Kernel(timer)
    vm = settings.vm
    keys = KeyRing.from_file(vm.key_file)
    metrics = Metrics()
    tls = settings.section(TlsSettings)
    transport = HttpPeerTransport(
        vm.peer_address, keys, tls.scheme, client_context(tls)
    )
    source = NamedConfigurationSource(kernel)
    kernel.add("peer-port", PeerPort(timer, transport, **server_options(tls)))
    datagrams = UdpDatagramTransport(vm.peer_address, keys.valid_keys())
    keys.subscribe(lambda: datagrams.replace_keys(keys.valid_keys()))
    membership = SwimMembership(
        kernel,
        vm,
        settings.section(MembershipSettings),
        transport,
        datagrams,
        source,
    )
    kernel.add("membership", membership)
    control = _add_control(kernel, settings, transport)
    watcher = ConfigurationWatcher(
        kernel,
        transport,
        membership,
        vm.name,
        vm.control_addresses,
        ConfigurationFile(vm.data_folder) if vm.data_folder else None,
    )
    kernel.add("configuration", watcher)
    drain = _add_drain(kernel, settings, source, membership, control)
    if "entry" in vm.roles:
        _add_entry(kernel, settings, keys, metrics, transport, source, membership)
    _add_orders(kernel, settings, membership, source, transport, drain)
    kernel.add("vm-list", _vm_list_watch(kernel, settings, membership, source, drain))
    kernel.add("key-file", KeyFileWatcher(timer, keys, vm.key_file))
    _add_operators(kernel, settings, keys, metrics, transport, membership)
    return kernel


def _add_control(
    kernel: Kernel, settings: Settings, transport: HttpPeerTransport
) -> ControlClient:
    vm = settings.vm
    control: ControlClient
    if "control" in vm.roles:
        replica = ControlReplica(
            kernel.timer,
            transport,
            FileDisk(vm.data_folder),
            vm.control_addresses,
            settings.section(ControlSettings),
        )
        view = ControlReplicaView(replica)
        port = ReplicaEndpoint(kernel.timer, transport, view)
        control = replica
        kernel.add("control", control)
        kernel.add("configuration-port", port)
    else:
        control = RemoteControlClient(kernel.timer, transport, vm.control_addresses)
        kernel.add("control", control)
    return control


def _add_drain(
    kernel: Kernel,
    settings: Settings,
    source: NamedConfigurationSource,
    membership: SwimMembership,
    control: ControlClient,
) -> DrainService:
    def running() -> int:
        if not kernel.has("entry"):
            return 0
        return kernel.find("entry", EntryService).running

    vm = settings.vm
    drain = DrainService(kernel, vm.name, vm.balancer_lag_s, running, source)
    drain.add_hand_over("homes", membership.leave)
    if isinstance(control, ControlReplica):
        replica = control

        async def transfer_leadership() -> None:
            await replica.transfer_leadership()

        drain.add_hand_over("leadership", transfer_leadership)
    kernel.add("drain", drain)
    return drain


def _add_entry(
    kernel: Kernel,
    settings: Settings,
    keys: KeyRing,
    metrics: Metrics,
    transport: HttpPeerTransport,
    source: NamedConfigurationSource,
    membership: SwimMembership,
) -> None:
    timer = kernel.timer
    instance_id = membership.own_record.instance_id
    credit_server = CreditServer(
        timer, source.current, instance_id, membership, transport, source
    )
    credit_client = CreditClient(
        timer, source.current, instance_id, credit_server, membership, transport
    )
    prefixes = PrefixIndex()
    router = Router(
        timer,
        source.current,
        source=source,
        credit_client=credit_client,
        prefixes=prefixes,
        is_leaving=membership.leaving_targets.is_leaving,
        entry_name=settings.vm.name,
        data_centre=settings.vm.data_centre,
        metrics=metrics,
    )
    kernel.add(
        "monitor", MonitorService(kernel, credit_server, prefixes, source, membership)
    )
    kernel.add("wallet", credit_client)
    kernel.add("router", router)
    drain = kernel.find("drain", DrainService)
    tls = settings.section(TlsSettings)
    entry = EntryService(
        kernel,
        settings.vm.caller_address,
        source,
        keys,
        instance_id,
        settings=settings.section(EntrySettings),
        budget=SharedRetryBudget(router.retries, Backoff()),
        is_draining=lambda: not drain.is_ready(),
        accepts=drain.accepts,
        is_gone=lambda owner: _is_gone(membership, owner),
        metrics=metrics,
        **(server_options(tls) if tls.callers else {}),
    )
    kernel.add("entry", entry)
    leaving = membership.leaving_targets

    def move_generations(target_name: str) -> None:
        if leaving.is_leaving(target_name):
            entry.target_leaving(target_name)

    leaving.subscribe(move_generations)


def _add_orders(
    kernel: Kernel,
    settings: Settings,
    membership: SwimMembership,
    source: NamedConfigurationSource,
    transport: HttpPeerTransport,
    drain: DrainService,
) -> None:
    orders = OrderService(
        kernel,
        settings.vm.name,
        membership.own_record.instance_id,
        settings.section(OrderSettings),
        kernel.find("control", ControlClient),
        membership,
        source,
        transport,
    )
    kernel.add("orders", orders)
    drain.add_hand_over("orders", orders.hand_over)


def _add_operators(
    kernel: Kernel,
    settings: Settings,
    keys: KeyRing,
    metrics: Metrics,
    transport: HttpPeerTransport,
    membership: SwimMembership,
) -> None:
    vm = settings.vm
    watcher = kernel.find("configuration", ConfigurationWatcher)
    client = RemoteControlClient(kernel.timer, transport, vm.control_addresses)
    application = OperatorApplication(
        timer=kernel.timer,
        vm=vm,
        keys=keys,
        metrics=metrics,
        control=kernel.find("control", ControlClient),
        voters=VoterOperations(client),
        membership=membership,
        configuration=watcher,
        progress=ConfigurationProgress(
            transport, membership, watcher.control_addresses
        ),
        drain=kernel.find("drain", DrainService),
    )
    options = server_options(settings.section(TlsSettings))
    kernel.add("operators", OperatorPort(application, **options))


def _is_gone(membership: SwimMembership, instance_id: str) -> bool:
    """Return whether membership knows that a VM instance is gone.

    An unknown instance does not count as gone, since this VM may have joined only
    recently.
    """
    return any(
        vm.instance_id == instance_id and vm.state is VmState.GONE
        for vm in membership.vms()
    )


def _vm_list_watch(
    kernel: Kernel,
    settings: Settings,
    membership: SwimMembership,
    source: NamedConfigurationSource,
    drain: DrainService,
) -> VmListWatch:
    return VmListWatch(
        kernel,
        settings.vm.name,
        settings.section(MembershipSettings),
        membership,
        source,
        lambda: drain.begin("VM list"),
    )
