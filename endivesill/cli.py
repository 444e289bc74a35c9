"""endivesill, the command-line tool of operators, over the functions of `porcelain`.

Exit codes: 0 success, 1 error, 2 findings, 3 conflict, 4 not in force everywhere
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

EXIT_CODE_BY_ERROR: tuple[tuple[type[errors.EndivesillError], int], ...] = (
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

Exit codes: 0 success, 1 error, 2 findings, 3 conflict, 4 not in force
everywhere yet, 5 unavailable or outcome unknown (run it again with the same
number).
"""

T = TypeVar("T")

app = cyclopts.App(
    name="endivesill",
    help="Operate an endivesill fleet.",
    help_epilogue=HELP_EPILOGUE,
    help_format="plaintext",
    version=__version__,
)
config = cyclopts.App(
    name="config", help="Check, compare and apply the operators' configuration."
)
data_centre = cyclopts.App(
    name="data-centre", help="Take data centres out of service and put them back."
)
target = cyclopts.App(
    name="target", help="Take targets out of service and put them back."
)
vm = cyclopts.App(name="vm", help="Drain VMs and let them leave the fleet.")
control = cyclopts.App(name="control", help="Show and change the control replicas.")
fleet = cyclopts.App(name="fleet", help="Show the VMs of the fleet.")
for group in (config, data_centre, target, vm, control, fleet):
    app.command(group)
add_tools(app)
app.register_install_completion_command(name="--install-completion")


def _run_with_client(
    connection: Connection, action: Callable[[OperatorClient], Awaitable[T]]
) -> T:
    """Run a coroutine function with a client of the fleet."""
    if not connection.server:
        raise errors.EndivesillError("no operator port given; use --server HOST:PORT")
    if not connection.key_file:
        raise errors.EndivesillError("no key file given; use --key-file FILE")
    keys = KeyRing.from_file(connection.key_file)
    context = context_trusting_ca(connection.ca) if connection.ca else None

    async def run() -> T:
        async with OperatorClient(
            connection.server, keys, connection.timeout_s, context
        ) as client:
            return await action(client)

    return asyncio.run(run())


def _print_response(
    connection: Connection, response: Any, format_text: Callable[[Any], str]
) -> None:
    if connection.output == "json":
        print(presentation.to_json(response))
    else:
        print(format_text(response))


def _progress_reporter(connection: Connection) -> Callable[[str], None]:
    """Return a function that prints progress messages; silent for JSON output."""
    if connection.output == "json":
        return lambda text: None
    return lambda text: print(text, flush=True)


def _finish_change(connection: Connection, response: porcelain.ChangeOutcome) -> int:
    if connection.output == "json":
        print(presentation.to_json(response))
    return EXIT_OK if response.in_force else EXIT_NOT_IN_FORCE


def _change_item(
    connection: Connection,
    change: ChangeOptions,
    number: str,
    key: str,
    value: bool,
) -> int:
    response = _run_with_client(
        connection,
        lambda client: porcelain.change_item(
            client,
            key,
            value,
            change.name,
            number=number,
            wait_s=change.wait_s,
            report=_progress_reporter(connection),
        ),
    )
    return _finish_change(connection, response)


@config.command(name="check")
def config_check(
    folder: FolderArgument, /, *, connection: Connection = DEFAULT_CONNECTION
) -> None:
    """Validate an operators' folder without applying it."""
    checked = porcelain.config_check(folder)
    response = {"items": len(checked.documents), "findings": []}
    _print_response(connection, response, lambda a: f"{a['items']} items, no findings")


@config.command(name="diff")
def config_diff(
    folder: FolderArgument, /, *, connection: Connection = DEFAULT_CONNECTION
) -> None:
    """Show what an apply of a folder would change."""
    response = _run_with_client(
        connection, lambda client: porcelain.config_diff(client, folder)
    )
    _print_response(connection, response, presentation.difference_text)


@config.command(name="apply")
def config_apply(
    folder: FolderArgument,
    /,
    *,
    number: NumberOption,
    base_revision: Annotated[
        int | None,
        Parameter(
            help="The revision that the folder is based on; by default the one "
            "that the last apply recorded in the folder."
        ),
    ] = None,
    change: ChangeOptions = DEFAULT_CHANGE,
    connection: Connection = DEFAULT_CONNECTION,
) -> int:
    """Apply a folder and wait until it is in force on all VMs."""
    response = _run_with_client(
        connection,
        lambda client: porcelain.config_apply(
            client,
            folder,
            number,
            change.name,
            base_revision=base_revision,
            wait_s=change.wait_s,
            report=_progress_reporter(connection),
        ),
    )
    return _finish_change(connection, response)


@config.command(name="show")
def config_show(
    *,
    origin: Annotated[
        bool, Parameter(help="Show file, line and revision of each value.")
    ] = False,
    connection: Connection = DEFAULT_CONNECTION,
) -> None:
    """Show the configuration and the single changes in force."""
    response = _run_with_client(
        connection, lambda client: porcelain.config_show(client, origin=origin)
    )
    _print_response(connection, response, presentation.configuration_text)


@config.command(name="history")
def config_history(
    *,
    limit: Annotated[int, Parameter(help="How many changes to show.")] = 20,
    connection: Connection = DEFAULT_CONNECTION,
) -> None:
    """Show the last changes, the newest first."""
    response = _run_with_client(
        connection, lambda client: porcelain.config_history(client, limit)
    )
    _print_response(connection, response, presentation.history_text)


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
        "Send no new work to a data centre.",
    ),
    (
        data_centre,
        "put-back",
        "data-centre",
        False,
        "Send new work to a data centre again.",
    ),
    (target, "leave", "target", True, "Send no new work to a target."),
    (target, "return", "target", False, "Send new work to a target again."),
    (vm, "leave", "vm", True, "Drain a VM and let it leave the fleet."),
    (vm, "return", "vm", False, "Cancel the departure of a VM from the fleet."),
):
    _add_item_command(_group, _command, _kind, _value, _help)


@vm.command(name="drain")
def vm_drain(*, connection: Connection = DEFAULT_CONNECTION) -> None:
    """Start a drain (planned stop) of the VM at the first --server that responds."""
    response = _run_with_client(connection, porcelain.vm_drain)
    _print_response(connection, response, lambda a: f"{a['vm']}: {a['state']}")


@control.command(name="status")
def control_status(*, connection: Connection = DEFAULT_CONNECTION) -> None:
    """Show the control replicas and how many voters may be lost."""
    response = _run_with_client(connection, porcelain.control_status)
    _print_response(connection, response, presentation.control_text)


@control.command(name="add")
def control_add(
    address: AddressArgument, /, *, connection: Connection = DEFAULT_CONNECTION
) -> int:
    """Make a replica a voter once it has caught up."""
    response = _run_with_client(
        connection, lambda client: porcelain.control_add(client, address)
    )
    return _finish_voters(connection, response)


@control.command(name="remove")
def control_remove(
    replica: ReplicaArgument, /, *, connection: Connection = DEFAULT_CONNECTION
) -> int:
    """Remove a voter or learner."""
    response = _run_with_client(
        connection, lambda client: porcelain.control_remove(client, replica)
    )
    return _finish_voters(connection, response)


@control.command(name="replace")
def control_replace(
    replica: ReplicaArgument,
    address: AddressArgument,
    /,
    *,
    connection: Connection = DEFAULT_CONNECTION,
) -> int:
    """Replace a voter or learner by another replica."""
    response = _run_with_client(
        connection, lambda client: porcelain.control_replace(client, replica, address)
    )
    return _finish_voters(connection, response)


def _finish_voters(connection: Connection, response: Any) -> int:
    _print_response(connection, response, presentation.voters_text)
    return EXIT_OK if response["done"] else EXIT_NOT_IN_FORCE


@fleet.command(name="status")
def fleet_status(*, connection: Connection = DEFAULT_CONNECTION) -> None:
    """Show the VMs and which of them may be stopped next."""
    response = _run_with_client(connection, porcelain.fleet_status)
    _print_response(connection, response, presentation.fleet_text)


@app.command(name="status")
def status(*, connection: Connection = DEFAULT_CONNECTION) -> None:
    """Show the status summary of the VM that responds."""
    response = _run_with_client(connection, porcelain.status)
    _print_response(connection, response, presentation.status_text)


def main() -> None:
    """Run the command line; write errors to stderr and exit with their code."""
    try:
        code = app(result_action="return_value", exit_on_error=False)
    except cyclopts.CycloptsError:
        code = EXIT_ERROR
    except errors.EndivesillError as error:
        prefix = "" if isinstance(error, errors.FindingsError) else "endivesill: "
        print(f"{prefix}{error}", file=sys.stderr)
        code = next(
            code for kind, code in EXIT_CODE_BY_ERROR if isinstance(error, kind)
        )
    raise SystemExit(code if isinstance(code, int) else EXIT_OK)
