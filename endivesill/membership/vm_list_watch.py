"""Periodic reading of the platform's VM list."""

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
    """Reads the VM list periodically and applies it to the membership.

    Args:
      kernel: the process's kernel.
      own_name: this VM's name.
      settings: kind, source, period and lag of the list.
      membership: receives join addresses and leaving targets.
      configuration: the source of the target names.
      on_leaving: called once when the list reports this VM as leaving.
      reader: the reader of the list; None creates the one of the settings.
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
        self._was_listed_as_staying = False
        self._has_reported_leaving = False

    async def start(self) -> None:
        """Start the periodic reads."""
        self._started_s = self._kernel.timer.now_s()
        self._kernel.supervise("vm-list", self._watch)

    async def _watch(self) -> None:
        while True:
            try:
                self.apply(await self._reader.read())
            except errors.VmListError as error:
                events.emit(VM_LIST_FAILED, error=str(error))
            await self._kernel.timer.sleep(self._settings.vm_list_period_s)

    def apply(self, vm_list: VmList) -> None:
        """Apply a list, unless it is older than the last one."""
        if vm_list.as_of < self._last_as_of:
            return
        self._last_as_of = vm_list.as_of
        self._membership.add_join_addresses(
            vm.address for vm in vm_list.vms.values() if vm.address
        )
        self._apply_targets(vm_list)
        self._apply_own(vm_list)

    def _apply_targets(self, vm_list: VmList) -> None:
        targets = self._configuration.current().targets
        listed = {n: vm for n, vm in vm_list.vms.items() if n in targets}
        self._membership.leaving_targets.apply_vm_list(
            {n: vm.leaving_in_s for n, vm in listed.items() if vm.leaving},
            {n for n, vm in listed.items() if not vm.leaving},
        )

    def _apply_own(self, vm_list: VmList) -> None:
        """Call `on_leaving` once if the list reports this VM as leaving.

        Right after a start the list may still describe the previous VM of this name.
        It is trusted once it has listed this VM as staying, or when this process has
        run for longer than the list may lag.
        """
        own = vm_list.vms.get(self._own_name)
        if own is None:
            return
        if not own.leaving:
            self._was_listed_as_staying = True
            return
        age_s = self._kernel.timer.now_s() - self._started_s
        is_about_this_vm = (
            self._was_listed_as_staying or age_s > self._settings.vm_list_lag_s
        )
        if is_about_this_vm and not self._has_reported_leaving:
            self._has_reported_leaving = True
            self._on_leaving()
