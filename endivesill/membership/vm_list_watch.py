"""Reading the platform's VM list and taking what it adds."""

from __future__ import annotations

from collections.abc import Callable

from endivesill import errors, events
from endivesill.configuration.source import ConfigurationSource
from endivesill.kernel import Kernel, Service
from endivesill.membership.events import VM_LIST_FAILED
from endivesill.membership.service import SwimMembership
from endivesill.membership.settings import MembershipSettings
from endivesill.membership.vm_list import VmList, VmListReader, make_vm_list

__all__ = ["VmListWatch"]


class VmListWatch(Service):
    """Reads the VM list now and then.

    Args:
      kernel: the process's kernel.
      own_name: this VM's name.
      settings: where the list is and how far it lags.
      membership: learns of VMs and of targets that are leaving.
      configuration: tells which names are targets.
      on_leaving: called once when the list says that this VM is leaving.
      reader: the list's reader; None builds the one of the settings.
    """

    def __init__(
        self,
        kernel: Kernel,
        own_name: str,
        settings: MembershipSettings,
        membership: SwimMembership,
        configuration: ConfigurationSource,
        on_leaving: Callable[[], None],
        reader: VmListReader | None = None,
    ) -> None:
        self._kernel = kernel
        self._own_name = own_name
        self._settings = settings
        self._membership = membership
        self._configuration = configuration
        self._on_leaving = on_leaving
        self._reader = reader or make_vm_list(settings.vm_list, settings.vm_list_file)
        self._started_s = kernel.timer.now_s()
        self._last_as_of = float("-inf")
        self._was_staying = False
        self._told_leaving = False

    async def start(self) -> None:
        """Begin to read."""
        self._started_s = self._kernel.timer.now_s()
        self._kernel.supervise("vm-list", self._watch)

    async def _watch(self) -> None:
        while True:
            try:
                self.take(await self._reader.read())
            except errors.VmListError as error:
                events.emit(VM_LIST_FAILED, error=str(error))
            await self._kernel.timer.sleep(self._settings.vm_list_period_s)

    def take(self, vm_list: VmList) -> None:
        """Take one reading; an older one than the last changes nothing."""
        if vm_list.as_of < self._last_as_of:
            return
        self._last_as_of = vm_list.as_of
        self._membership.add_join_addresses(
            vm.address for vm in vm_list.vms.values() if vm.address
        )
        self._take_targets(vm_list)
        self._take_own(vm_list)

    def _take_targets(self, vm_list: VmList) -> None:
        targets = self._configuration.current().targets
        listed = {n: vm for n, vm in vm_list.vms.items() if n in targets}
        self._membership.leaving_targets.listed(
            {n: vm.leaving_in_s for n, vm in listed.items() if vm.leaving},
            {n for n, vm in listed.items() if not vm.leaving},
        )

    def _take_own(self, vm_list: VmList) -> None:
        """Find out whether this VM is to leave.

        Right after a start the list may still speak of the VM that had the name
        before. It counts once it has shown this VM as staying, or when it says
        the same for longer than it may lag.
        """
        own = vm_list.vms.get(self._own_name)
        if own is None:
            return
        if not own.leaving:
            self._was_staying = True
            return
        age_s = self._kernel.timer.now_s() - self._started_s
        is_about_this_vm = self._was_staying or age_s > self._settings.vm_list_lag_s
        if is_about_this_vm and not self._told_leaving:
            self._told_leaving = True
            self._on_leaving()
