"""endivesilld: the daemon that runs on every VM."""

from __future__ import annotations

import asyncio
import signal
import sys

import cyclopts
import eliot
import uvloop

from endivesill import errors, events
from endivesill.configuration import Configuration, read_folder
from endivesill.configuration.model import configuration_from_documents
from endivesill.configuration.source import FixedConfiguration
from endivesill.control import LocalControl
from endivesill.entry.service import EntryService
from endivesill.entry.settings import EntrySettings
from endivesill.kernel import Kernel
from endivesill.keys import KeyRing
from endivesill.routing import Router
from endivesill.settings import Settings, read_settings
from endivesill.timer import SystemTimer

__all__ = ["main"]

EXIT_FINDINGS = 2

app = cyclopts.App(name="endivesilld", help="The endivesill daemon of one VM.")


def build_kernel(settings: Settings, configuration: Configuration) -> Kernel:
    """Wire the services that the VM's roles need."""
    kernel = Kernel(SystemTimer())
    kernel.add("router", Router(kernel.timer, lambda: configuration))
    if "entry" in settings.vm.roles:
        kernel.add("control", LocalControl(kernel.timer))
        entry = EntryService(
            kernel,
            settings.vm.caller_address,
            FixedConfiguration(configuration),
            KeyRing.from_file(settings.vm.key_file),
            settings.vm.name,
            settings.section(EntrySettings),
        )
        kernel.add("entry", entry)
    return kernel


async def run(settings: Settings, configuration: Configuration) -> None:
    """Run until SIGTERM or SIGINT, then stop as planned."""
    kernel = build_kernel(settings, configuration)
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    await kernel.start()
    events.emit(events.PROCESS_STARTED, vm=settings.vm.name)
    await stopping.wait()
    events.emit(events.PROCESS_STOPPING, vm=settings.vm.name)
    await kernel.stop()
    events.emit(events.PROCESS_STOPPED, vm=settings.vm.name)


@app.default
def serve(settings_file: str, /, *, folder: str) -> None:
    """Run the daemon.

    Parameters
    ----------
    settings_file
        The VM's settings.
    folder
        The operators' folder.
    """
    try:
        settings = read_settings(settings_file)
        documents = read_folder(folder).documents
    except errors.FindingsError as error:
        print(error, file=sys.stderr)
        raise SystemExit(EXIT_FINDINGS) from None
    configuration = configuration_from_documents(1, documents)
    if settings.vm.log_file:
        eliot.to_file(open(settings.vm.log_file, "a", encoding="utf-8"))  # noqa: SIM115
    uvloop.run(run(settings, configuration))


def main() -> None:
    """Run the daemon's command line."""
    app()
