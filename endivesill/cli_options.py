"""Shared options of the commands of the command-line tool."""

from __future__ import annotations

import getpass
from typing import Annotated, Literal

import attrs
from cyclopts import Parameter

__all__ = [
    "DEFAULT_CHANGE",
    "DEFAULT_CONNECTION",
    "AddressArgument",
    "ChangeOptions",
    "Connection",
    "FolderArgument",
    "NameArgument",
    "NumberOption",
    "ReplicaArgument",
]

FolderArgument = Annotated[str, Parameter(help="The operators' folder of INI files.")]
NameArgument = Annotated[str, Parameter(help="The name of the item.")]
ReplicaArgument = Annotated[
    str, Parameter(help="The identity or the peer address of the replica.")
]
AddressArgument = Annotated[str, Parameter(help="The peer address of the replica.")]
NumberOption = Annotated[
    str,
    Parameter(
        help="Idempotency number of the change; a resend gets the first outcome."
    ),
]


@Parameter(name="*")
@attrs.frozen(kw_only=True)
class Connection:
    """Options for the connection to the fleet and the form of the output."""

    server: Annotated[
        tuple[str, ...],
        Parameter(
            help="HOST:PORT of an operator port; several are tried in order.",
            env_var="ENDIVESILL_SERVERS",
        ),
    ] = ()
    key_file: Annotated[
        str,
        Parameter(
            help="File with the keys of the operator port.",
            env_var="ENDIVESILL_KEY_FILE",
        ),
    ] = ""
    ca: Annotated[
        str,
        Parameter(help="File with the servers' CA certificates; enables TLS."),
    ] = ""
    timeout_s: Annotated[
        float, Parameter(help="How long to retry until a server responds.")
    ] = 15.0
    output: Annotated[
        Literal["text", "json"], Parameter(help="The form of the output.")
    ] = "text"


@Parameter(name="*")
@attrs.frozen(kw_only=True)
class ChangeOptions:
    """Options of commands that change the configuration."""

    operator: Annotated[
        str, Parameter(help="Your name; by default the login name.")
    ] = ""
    wait_s: Annotated[
        float,
        Parameter(help="How long to wait until the change is in force on all VMs."),
    ] = 10.0

    @property
    def name(self) -> str:
        """The operator's name; the login name if none was given."""
        return self.operator or getpass.getuser()


DEFAULT_CONNECTION = Connection()
DEFAULT_CHANGE = ChangeOptions()
