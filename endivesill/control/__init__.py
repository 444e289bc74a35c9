"""The replicated state of the control VMs."""

from endivesill.control.client import ControlClient, LocalControl
from endivesill.control.commands import CommandContext, State, command, query

__all__ = [
    "CommandContext",
    "ControlClient",
    "LocalControl",
    "State",
    "command",
    "query",
]
