"""endivesilld, the daemon of a VM."""

from __future__ import annotations

import asyncio
import signal
import sys

import cyclopts
import eliot
import uvloop

from endivesill import errors, events
from endivesill.assembly import build_kernel
from endivesill.drain import DrainService
from endivesill.entry.memory import freeze_start_up_objects
from endivesill.kernel import Kernel
from endivesill.settings import Settings, read_settings
from endivesill.timer import SystemTimer

__all__ = ["main"]

EXIT_ERROR = 1
EXIT_FINDINGS = 2

app = cyclopts.App(name="endivesilld", help="The endivesill daemon of one VM.")


async def run(settings: Settings) -> None:
    """Run until a drain is complete; SIGTERM and SIGINT start one."""
    kernel = build_kernel(settings, SystemTimer())
    drain = kernel.find("drain", DrainService)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, drain.begin, signal_number.name)
    await kernel.start()
    freeze_start_up_objects()
    events.emit(events.PROCESS_STARTED, vm=settings.vm.name)
    await drain.wait_drained()
    await _stop(kernel, settings)


async def _stop(kernel: Kernel, settings: Settings) -> None:
    events.emit(events.PROCESS_STOPPING, vm=settings.vm.name)
    await kernel.stop()
    events.emit(events.PROCESS_STOPPED, vm=settings.vm.name)


@app.default
def serve(settings_file: str, /) -> None:
    """Run the daemon.

    Parameters
    ----------
    settings_file
        The settings file of the VM.
    """
    try:
        settings = read_settings(settings_file)
        if settings.vm.log_file:
            log = open(settings.vm.log_file, "a", encoding="utf-8")  # noqa: SIM115
            eliot.to_file(log)
        uvloop.run(run(settings))
    except errors.FindingsError as error:
        print(error, file=sys.stderr)
        raise SystemExit(EXIT_FINDINGS) from None
    except (errors.EndivesillError, OSError) as error:
        print(f"endivesilld: {error}", file=sys.stderr)
        raise SystemExit(EXIT_ERROR) from None


def main() -> None:
    """Run the command line of the daemon."""
    app()


if __name__ == "__main__":
    main()
