"""Starts a process on the platform: `python3 -m endivesill.platform ROLE [OPTION]`."""

from __future__ import annotations

import signal
import sys

import uvloop

from endivesill import errors
from endivesill.forwarding.events import request_failed
from endivesill.json_log import JsonLog
from endivesill.platform.process import settings_path
from endivesill.platform.settings import NodeSettings, read_settings
from endivesill.process_roles import EVEN_LOAD, USAGE, Role, parse_role
from endivesill.timer import SystemTimer


async def run(role: Role, settings: NodeSettings) -> None:
    """Run the process of the given role until it is stopped by a signal."""
    timer = SystemTimer()
    log = JsonLog(timer, settings.vm, classify=request_failed)
    log.start()
    try:
        # Each role imports only its own modules, which shortens the start and
        # saves memory.
        if role.name == "entry":
            from endivesill.platform.entry_process import EntryProcess

            has_even_load = EVEN_LOAD in role.options
            await EntryProcess(settings, timer, has_even_load=has_even_load).run()
        else:
            from endivesill.platform.control_process import run_control

            await run_control(settings, timer)
    finally:
        log.flush()


def main() -> int:
    """Run the process; return its exit status (2: usage, 1: bad settings file)."""
    role = parse_role(sys.argv[1:])
    if role is None:
        print(f"usage: python3 -m endivesill.platform {USAGE}")
        return 2
    # Until the process handles the signal, its default action would end it.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        settings = read_settings(settings_path())
    except errors.FindingsError as error:
        print(error, file=sys.stderr)
        return 1
    uvloop.run(run(role, settings))
    return 0


if __name__ == "__main__":
    sys.exit(main())
