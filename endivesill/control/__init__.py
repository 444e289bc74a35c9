"""The replicated state of the control VMs: a state machine over a Raft log."""

from endivesill.control.admission_checks import CommandHistory, admission
from endivesill.control.client import ControlClient, LocalControl
from endivesill.control.commands import CommandContext, State, command, query
from endivesill.control.disk import Disk, FileDisk
from endivesill.control.entries import EntryKind
from endivesill.control.machine import Applied
from endivesill.control.memory_disk import MemoryDisk
from endivesill.control.remote import RemoteControlClient
from endivesill.control.replica import NEWEST_PATH, ControlReplica
from endivesill.control.settings import ControlSettings
from endivesill.control.timed_disk import TimedDisk
from endivesill.control.voters import ChangeResult, ClusterStatus, VoterOperations

__all__ = [
    "NEWEST_PATH",
    "Applied",
    "ChangeResult",
    "ClusterStatus",
    "CommandContext",
    "CommandHistory",
    "ControlClient",
    "ControlReplica",
    "ControlSettings",
    "Disk",
    "EntryKind",
    "FileDisk",
    "LocalControl",
    "MemoryDisk",
    "RemoteControlClient",
    "State",
    "TimedDisk",
    "VoterOperations",
    "admission",
    "command",
    "query",
]
