"""endivesill: the operators' command-line tool, a thin layer over porcelain.

Exit codes: 0 done, 1 error, 2 findings, 3 conflict, 4 not in force everywhere
yet, 5 unavailable or outcome unknown.
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Awaitable, Callable
from typing import Annotated, Any, TypeVar

import cyclopts
from cyclopts import Parameter

from endivesill import __version__, errors, porcelain, presentation
from endivesill.cli_options import (
    DEFAULT_CHANGE,
    DEFAULT_CONNECTION,
    AddressArgument,
    ChangeOptions,
    Connection,
    FolderArgument,
    NameArgument,
    NumberOption,
    ReplicaArgument,
)
from endivesill.cli_tools import add_tools
from endivesill.keys import KeyRing
from endivesill.operators.client import OperatorClient
from endivesill.tls import context_trusting_ca

__all__ = ["main"]

EXIT_OK = 0
EXIT_ERROR = 1
EXIT_FINDINGS = 2
EXIT_CONFLICT = 3
EXIT_NOT_IN_FORCE = 4
EXIT_UNAVAILABLE = 5

EXIT_CODES: tuple[tuple[type[errors.EndivesillError], int], ...] = (
    (errors.FindingsError, EXIT_FINDINGS),
    (errors.ConflictError, EXIT_CONFLICT),
    (errors.OutcomeUnknownError, EXIT_UNAVAILABLE),
    (errors.UnavailableError, EXIT_UNAVAILABLE),
    (errors.EndivesillError, EXIT_ERROR),
)

HELP_EPILOGUE = """Examples:

    endivesill config check examples/hovslag/folder
    endivesill config apply DIR --number 7 --server HOST:PORT --key-file KEYS
    endivesill data-centre take-out dk-west-a --server HOST:PORT --key-file KEYS
    endivesill fleet status --output json --server HOST:PORT --key-file KEYS

Exit codes: 0 done, 1 error, 2 findings, 3 conflict, 4 not in force everywhere
yet, 5 unavailable or outcome unknown (run it again with the same number).
"""

T = TypeVar("T")

app = cyclopts.App(
    name="endivesill",
    help="Operate an endivesill fleet.",
    help_epilogue=HELP_EPILOGUE,
    help_format="plaintext",
    version=__version__,
)
config = cyclopts.App(name="config", help="The operators' configuration.")
data_centre = cyclopts.App(name="data-centre", help="Take data centres out and back.")
target = cyclopts.App(name="target", help="Targets that leave and return.")
vm = cyclopts.App(name="vm", help="VMs of the system that leave the fleet.")
control = cyclopts.App(name="control", help="The control replicas.")
fleet = cyclopts.App(name="fleet", help="The VMs of the fleet.")
for group in (config, data_centre, target, vm, control, fleet):
    app.command(group)
add_tools(app)
app.register_install_completion_command(name="--install-completion")


def _run(connection: Connection, action: Callable[[OperatorClient], Awaitable[T]]) -> T:
    """Run one action with a client."""
    if not connection.server:
        raise errors.EndivesillError("no server; give --server HOST:PORT")
    if not connection.key_file:
        raise errors.EndivesillError("no key file; give --key-file FILE")
    keys = KeyRing.from_file(connection.key_file)
    context = context_trusting_ca(connection.ca) if connection.ca else None

    async def run() -> T:
        async with OperatorClient(
            connection.server, keys, connection.timeout_s, context
        ) as client:
            return await action(client)

    return asyncio.run(run())


def _show(connection: Connection, answer: Any, text: Callable[[Any], str]) -> None:
    if connection.output == "json":
        print(presentation.to_json(answer))
    else:
        print(text(answer))


def _report(connection: Connection) -> Callable[[str], None]:
    """Return what prints the news of a change; JSON comes at the end only."""
    if connection.output == "json":
        return lambda text: None
    return lambda text: print(text, flush=True)


def _finish_change(connection: Connection, answer: porcelain.ChangeAnswer) -> int:
    if connection.output == "json":
        print(presentation.to_json(answer))
    return EXIT_OK if answer.in_force else EXIT_NOT_IN_FORCE


def _change_item(
    connection: Connection,
    change: ChangeOptions,
    number: str,
    key: str,
    value: bool,
) -> int:
    answer = _run(
        connection,
        lambda client: porcelain.change_item(
            client,
            key,
            value,
            change.name,
            number=number,
            wait_s=change.wait_s,
            report=_report(connection),
        ),
    )
    return _finish_change(connection, answer)


@config.command(name="check")
def config_check(
    folder: FolderArgument, /, *, connection: Connection = DEFAULT_CONNECTION
) -> None:
    """Check an operators' folder without applying it."""
    checked = porcelain.config_check(folder)
    answer = {"items": len(checked.documents), "findings": []}
    _show(connection, answer, lambda a: f"{a['items']} items, no findings")


@config.command(name="diff")
def config_diff(
    folder: FolderArgument, /, *, connection: Connection = DEFAULT_CONNECTION
) -> None:
    """Show what an apply of a folder would change."""
    answer = _run(connection, lambda client: porcelain.config_diff(client, folder))
    _show(connection, answer, presentation.difference_text)


@config.command(name="apply")
def config_apply(
    folder: FolderArgument,
    /,
    *,
    number: NumberOption,
    base_revision: Annotated[
        int | None,
        Parameter(
            help="The revision that the folder was made from; by default the one "
            "that the last apply noted in the folder."
        ),
    ] = None,
    change: ChangeOptions = DEFAULT_CHANGE,
    connection: Connection = DEFAULT_CONNECTION,
) -> int:
    """Apply a folder and wait until it is in force everywhere."""
    answer = _run(
        connection,
        lambda client: porcelain.config_apply(
            client,
            folder,
            number,
            change.name,
            base_revision=base_revision,
            wait_s=change.wait_s,
            report=_report(connection),
        ),
    )
    return _finish_change(connection, answer)


@config.command(name="show")
def config_show(
    *,
    origin: Annotated[
        bool, Parameter(help="Show where each value was written.")
    ] = False,
    connection: Connection = DEFAULT_CONNECTION,
) -> None:
    """Show the configuration and the single changes in force."""
    answer = _run(
        connection, lambda client: porcelain.config_show(client, origin=origin)
    )
    _show(connection, answer, presentation.configuration_text)


@config.command(name="history")
def config_history(
    *,
    limit: Annotated[int, Parameter(help="How many changes to show.")] = 20,
    connection: Connection = DEFAULT_CONNECTION,
) -> None:
    """Show the last changes, the newest first."""
    answer = _run(connection, lambda client: porcelain.config_history(client, limit))
    _show(connection, answer, presentation.history_text)


def _add_item_command(
    group: cyclopts.App, command: str, kind: str, value: bool, help_text: str
) -> None:
    def change(
        name: NameArgument,
        /,
        *,
        number: NumberOption = "",
        change: ChangeOptions = DEFAULT_CHANGE,
        connection: Connection = DEFAULT_CONNECTION,
    ) -> int:
        return _change_item(connection, change, number, f"{kind}/{name}", value)

    change.__doc__ = f"""{help_text}
    """
    group.command(change, name=command)


for _group, _command, _kind, _value, _help in (
    (
        data_centre,
        "take-out",
        "data-centre",
        True,
        "Give a data centre no more new work.",
    ),
    (data_centre, "put-back", "data-centre", False, "Give it new work again."),
    (target, "leave", "target", True, "Give a target no more new work."),
    (target, "return", "target", False, "Give a target new work again."),
    (vm, "leave", "vm", True, "Drain a VM and let it leave the fleet."),
    (vm, "return", "vm", False, "Take back that a VM is to leave."),
):
    _add_item_command(_group, _command, _kind, _value, _help)


@vm.command(name="drain")
def vm_drain(*, connection: Connection = DEFAULT_CONNECTION) -> None:
    """Begin the planned stop of the VM at the first --server that answers."""
    answer = _run(connection, porcelain.vm_drain)
    _show(connection, answer, lambda a: f"{a['vm']}: {a['state']}")


@control.command(name="status")
def control_status(*, connection: Connection = DEFAULT_CONNECTION) -> None:
    """Show the control replicas and how many of them may be lost."""
    answer = _run(connection, porcelain.control_status)
    _show(connection, answer, presentation.control_text)


@control.command(name="add")
def control_add(
    address: AddressArgument, /, *, connection: Connection = DEFAULT_CONNECTION
) -> int:
    """Make a replica a voter once it has caught up."""
    answer = _run(connection, lambda client: porcelain.control_add(client, address))
    return _finish_voters(connection, answer)


@control.command(name="remove")
def control_remove(
    replica: ReplicaArgument, /, *, connection: Connection = DEFAULT_CONNECTION
) -> int:
    """Remove a voter or learner."""
    answer = _run(connection, lambda client: porcelain.control_remove(client, replica))
    return _finish_voters(connection, answer)


@control.command(name="replace")
def control_replace(
    replica: ReplicaArgument,
    address: AddressArgument,
    /,
    *,
    connection: Connection = DEFAULT_CONNECTION,
) -> int:
    """Put a replica in the place of a lost one."""
    answer = _run(
        connection, lambda client: porcelain.control_replace(client, replica, address)
    )
    return _finish_voters(connection, answer)


def _finish_voters(connection: Connection, answer: Any) -> int:
    _show(connection, answer, presentation.voters_text)
    return EXIT_OK if answer["done"] else EXIT_NOT_IN_FORCE


@fleet.command(name="status")
def fleet_status(*, connection: Connection = DEFAULT_CONNECTION) -> None:
    """Show the VMs and which of them may be stopped next."""
    answer = _run(connection, porcelain.fleet_status)
    _show(connection, answer, presentation.fleet_text)


@app.command(name="status")
def status(*, connection: Connection = DEFAULT_CONNECTION) -> None:
    """Show the summary of the VM that answers."""
    answer = _run(connection, porcelain.status)
    _show(connection, answer, presentation.status_text)


def main() -> None:
    """Run the command line; errors go to stderr with a documented exit code."""
    try:
        code = app(result_action="return_value", exit_on_error=False)
    except cyclopts.CycloptsError:
        code = EXIT_ERROR
    except errors.EndivesillError as error:
        prefix = "" if isinstance(error, errors.FindingsError) else "endivesill: "
        print(f"{prefix}{error}", file=sys.stderr)
        code = next(code for kind, code in EXIT_CODES if isinstance(error, kind))
    raise SystemExit(code if isinstance(code, int) else EXIT_OK)
