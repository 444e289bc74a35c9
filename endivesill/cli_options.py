"""Options that the commands of the command-line tool share."""

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

FolderArgument = Annotated[str, Parameter(help="The folder of INI files.")]
NameArgument = Annotated[str, Parameter(help="The name of the item.")]
ReplicaArgument = Annotated[
    str, Parameter(help="The identity or the peer address of the replica.")
]
AddressArgument = Annotated[str, Parameter(help="The peer address of the replica.")]
NumberOption = Annotated[
    str,
    Parameter(help="Your number of the change; sent again, it gets the first answer."),
]


@Parameter(name="*")
@attrs.frozen(kw_only=True)
class Connection:
    """How the fleet is reached and how answers are shown."""

    server: Annotated[
        tuple[str, ...],
        Parameter(
            help="HOST:PORT of an operator port; several are tried in turn.",
            env_var="ENDIVESILL_SERVERS",
        ),
    ] = ()
    key_file: Annotated[
        str,
        Parameter(
            help="File with the operator port's keys.", env_var="ENDIVESILL_KEY_FILE"
        ),
    ] = ""
    ca: Annotated[
        str,
        Parameter(help="Authorities of the servers' certificates; turns TLS on."),
    ] = ""
    timeout_s: Annotated[
        float, Parameter(help="How long to go on until a server answers.")
    ] = 15.0
    output: Annotated[
        Literal["text", "json"], Parameter(help="The form of the answer.")
    ] = "text"


@Parameter(name="*")
@attrs.frozen(kw_only=True)
class ChangeOptions:
    """Who changes something and how long the tool waits for it."""

    operator: Annotated[str, Parameter(help="Your name; default is the login.")] = ""
    wait_s: Annotated[
        float, Parameter(help="How long to wait until it is in force everywhere.")
    ] = 10.0

    @property
    def name(self) -> str:
        """The operator's name."""
        return self.operator or getpass.getuser()


DEFAULT_CONNECTION = Connection()
DEFAULT_CHANGE = ChangeOptions()
