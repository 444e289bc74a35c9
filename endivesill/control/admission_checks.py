"""Checks that a leader makes before it appends a command to its log.

A check sees the state and the earlier commands of the leader's log. All entries before
a new one are known when it is appended, so the verdict also holds at its position.
What is appended is applied unconditionally, also by replicas of a build that does not
know the check.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING

import attrs

from endivesill.control.commands import State
from endivesill.control.entries import Proposal
from endivesill.peers import Message

if TYPE_CHECKING:
    from endivesill.control.core import ReplicaCore

__all__ = ["CommandHistory", "admission", "result_without_entry"]


@attrs.frozen
class CommandHistory:
    """The commands of one name in the log of a leader.

    Attributes:
      command: the command's name.
    """

    _core: ReplicaCore
    command: str

    @property
    def base_index(self) -> int:
        """Commands up to this index are known only by their effect on the state."""
        return self._core.log.base_index

    @property
    def commit_index(self) -> int:
        """The highest index known to be committed."""
        return self._core.commit_index

    def messages_after(self, index: int) -> Iterator[Message]:
        """Yield the arguments of the commands after an index, the newest first."""
        log = self._core.log
        for position in range(log.last_index, max(index, log.base_index), -1):
            entry = log.entry(position)
            if entry.holds_command(self.command):
                yield entry.proposal().message


AdmissionCheck = Callable[[State, Message, CommandHistory], Message | None]

_CHECKS: dict[str, AdmissionCheck] = {}


def admission(command: str) -> Callable[[AdmissionCheck], AdmissionCheck]:
    """Register the check of a command.

    A check returns None to have the command appended, or the result that its proposer
    gets instead.
    """

    def register(check: AdmissionCheck) -> AdmissionCheck:
        _CHECKS[command] = check
        return check

    return register


def result_without_entry(core: ReplicaCore, proposal: Proposal) -> Message | None:
    """Return the result of a proposal that must not be appended, or None.

    Args:
      core: the shared state of the replica that leads.
      proposal: the next proposal.
    """
    check = _CHECKS.get(proposal.command)
    if check is None:
        return None
    history = CommandHistory(core, proposal.command)
    return check(core.machine.state, proposal.message, history)
