"""The orders service: issues orders, or forwards them to the orderer."""

from __future__ import annotations

import asyncio

from endivesill import errors
from endivesill.configuration.model import Target
from endivesill.configuration.source import ConfigurationSource
from endivesill.control.client import ControlClient
from endivesill.kernel import Kernel, Service
from endivesill.membership.view import MembershipView
from endivesill.orders.lease import PROPOSE_TIMEOUT_S, OrdererLease
from endivesill.orders.messages import OrderRecord, OrderRequest
from endivesill.orders.orderer import EngineOrderClient, Orderer
from endivesill.orders.settings import OrderSettings
from endivesill.peers import Message, PeerTransport
from endivesill.targets import EngineAdapter, TargetClient

__all__ = ["ORDER_PATH", "OrderService"]

ORDER_PATH = "/orders/give"
FORWARD_MARGIN_S = 10.0
CHECK_PERIOD_S = 1.0
RETRY_DELAY_S = 1.0


class OrderService(Service):
    """Acquires the leases of the data centres whose orderer this VM should be.

    The preferred orderer of a data centre is the VM that would be the owner of a
    target named after it. The lease decides which VM is the orderer.

    Args:
      kernel: the kernel of the process.
      own_name: the name of this VM.
      instance_id: the id of this process.
      settings: the settings of orders.
      control: the client of the replicated state.
      membership: the view of the VMs of the fleet.
      configuration: the source of the configuration.
      peers: the transport of the peer port.
      engines: the adapter to the engines; None to create one on start.
    """

    def __init__(
        self,
        kernel: Kernel,
        own_name: str,
        instance_id: str,
        settings: OrderSettings,
        control: ControlClient,
        membership: MembershipView,
        configuration: ConfigurationSource,
        peers: PeerTransport,
        engines: EngineOrderClient | None = None,
    ) -> None:
        self._kernel = kernel
        self._holder = f"{own_name}/{instance_id}"
        self._settings = settings
        self._control = control
        self._membership = membership
        self._configuration = configuration
        self._peers = peers
        self._engines = engines
        self._client: TargetClient | None = None
        self._watch_task: asyncio.Task[None] | None = None
        # The tasks of orderers by data centre.
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._leases: dict[str, OrdererLease] = {}
        self._orderers: dict[str, Orderer] = {}
        self._stopping = False
        peers.handle(ORDER_PATH, self._handle_issue)

    async def start(self) -> None:
        """Start to acquire leases in the background."""
        if self._engines is None:
            self._client = TargetClient(self._kernel.timer)
            self._engines = EngineAdapter(self._client, self._kernel.timer)
        self._watch_task = self._kernel.supervise("orders", self._watch)

    async def stop(self) -> None:
        """Stop without releasing the leases; see `hand_over`."""
        self._stopping = True
        tasks = list(self._tasks.values())
        if self._watch_task is not None:
            tasks.append(self._watch_task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for orderer in self._orderers.values():
            await orderer.close()
        if self._client is not None:
            await self._client.close()

    async def hand_over(self) -> None:
        """Release each lease once none of its orders is in progress."""
        self._stopping = True
        for data_centre, lease in self._leases.items():
            orderer = self._orderers.get(data_centre)
            while orderer is not None and not orderer.is_idle():
                await self._kernel.timer.sleep(RETRY_DELAY_S)
            await lease.release()

    def orderer(self, data_centre: str) -> Orderer | None:
        """Return the orderer of a data centre, or None if it is not this VM."""
        lease = self._leases.get(data_centre)
        if lease is None or not lease.remaining_s():
            return None
        return self._orderers.get(data_centre)

    async def issue(self, request: OrderRequest) -> OrderRecord:
        """Issue an order, here or through the VM that is the orderer.

        Raises:
          OrderError: there is no such engine, or the orderer rejected the order.
          UnavailableError: there is no orderer, or it no longer is one.
          OutcomeUnknownError: the orderer did not reply; retry with the same id to
            learn the outcome.
        """
        target = self._configuration.current().targets.get(request.target)
        if target is None:
            raise errors.OrderError(f"no engine {request.target}")
        orderer = self.orderer(target.data_centre)
        if orderer is not None:
            return await orderer.issue(request)
        address = await self._orderer_address(target.data_centre)
        timeout_s = self._settings.read_back_s + FORWARD_MARGIN_S
        try:
            response = await self._peers.call(
                address, ORDER_PATH, request.to_message(), timeout_s
            )
        except errors.PeerUnreachableError as error:
            raise errors.OutcomeUnknownError(str(error)) from None
        if "error" in response:
            if response.get("is_rejected"):
                raise errors.OrderError(response["error"])
            raise errors.UnavailableError(response["error"])
        return OrderRecord.from_message(response)

    async def _orderer_address(self, data_centre: str) -> str:
        lease = await self._control.query(
            "orderer.current", {"data_centre": data_centre}, PROPOSE_TIMEOUT_S
        )
        holder = lease["holder"].partition("/")[0]
        for vm in self._membership.vms():
            if vm.name == holder and lease["holder"] != self._holder:
                return vm.address
        raise errors.UnavailableError(f"nobody gives the orders of {data_centre}")

    async def _handle_issue(self, message: Message) -> Message:
        request = OrderRequest.from_message(message)
        target = self._configuration.current().targets.get(request.target)
        orderer = self.orderer(target.data_centre) if target is not None else None
        if orderer is None:
            return {"error": "this VM does not give the orders"}
        try:
            return (await orderer.issue(request)).to_message()
        except errors.OrderError as error:
            return {"error": str(error), "is_rejected": True}
        except errors.UnavailableError as error:
            return {"error": str(error)}

    async def _watch(self) -> None:
        """Start a task for each data centre whose orderer this VM should be."""
        while not self._stopping:
            for data_centre in self._configuration.current().data_centres:
                task = self._tasks.get(data_centre)
                is_running = task is not None and not task.done()
                if not is_running and self._should_be_orderer(data_centre):
                    self._tasks[data_centre] = asyncio.ensure_future(
                        self._run_orderer(data_centre)
                    )
            await self._kernel.timer.sleep(CHECK_PERIOD_S)

    def _should_be_orderer(self, data_centre: str) -> bool:
        name = f"orderer/{data_centre}"
        pseudo_target = Target(name, service="", url="http://", data_centre=data_centre)
        return self._membership.is_owner(pseudo_target)

    async def _run_orderer(self, data_centre: str) -> None:
        """Acquire the lease of a data centre and keep it while this VM should.

        The lease is then released, once no order is in progress; at once if it is
        granted after the hand-over.
        """
        lease = self._get_or_create_lease(data_centre)
        try:
            if not await lease.acquire():
                return
            if not self._stopping:
                await self._keep_lease(data_centre, lease)
            await lease.release()
        except (errors.UnavailableError, errors.OutcomeUnknownError):
            await self._kernel.timer.sleep(RETRY_DELAY_S)

    async def _keep_lease(self, data_centre: str, lease: OrdererLease) -> None:
        orderer = self._orderers[data_centre]
        renewal = asyncio.ensure_future(lease.renew_until_lost())
        try:
            await orderer.resolve_pending()
            while not renewal.done() and self._should_be_orderer(data_centre):
                await self._kernel.timer.sleep(CHECK_PERIOD_S)
            while not renewal.done() and not orderer.is_idle():
                await self._kernel.timer.sleep(CHECK_PERIOD_S)
        finally:
            renewal.cancel()

    def _get_or_create_lease(self, data_centre: str) -> OrdererLease:
        if data_centre not in self._leases:
            if self._engines is None:
                raise errors.UnavailableError("the order service has not started")
            lease = OrdererLease(
                self._kernel.timer,
                self._control,
                data_centre,
                self._holder,
                self._settings.lease_s,
            )
            self._leases[data_centre] = lease
            self._orderers[data_centre] = Orderer(
                self._kernel.timer,
                self._control,
                lease,
                self._configuration.current,
                self._engines,
                self._settings,
            )
        return self._leases[data_centre]
