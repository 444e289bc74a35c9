"""The replicated state machine, which applies committed log entries."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from endivesill import errors, events
from endivesill.control.commands import CommandContext, State, run_command
from endivesill.control.entries import EntryKind, LogEntry, Proposal
from endivesill.control.events import COMMAND_FAILED
from endivesill.control.sessions import Sessions
from endivesill.control.snapshots import Snapshot
from endivesill.control.voter_set import VoterSet
from endivesill.peers import Message

__all__ = ["Applied", "StateMachine"]


@attrs.frozen
class Applied:
    """Notification of an applied entry.

    Attributes:
      index: the entry's index.
      kind: the entry's kind; SNAPSHOT if a snapshot replaced the whole state.
      command: the command's name; empty unless the entry holds a command.
      message: the command's argument.
      result: the command's result; empty if it raised an error.
      failure: text of the error that the command raised; empty if it did not.
      time_s: the cluster time of the entry.
      is_duplicate: whether the command was a resend and was not run again.
    """

    index: int
    kind: EntryKind
    command: str = ""
    message: Message = attrs.Factory(dict)
    result: Message = attrs.Factory(dict)
    failure: str = ""
    time_s: float = 0.0
    is_duplicate: bool = False


class StateMachine:
    """The state after the last applied entry.

    Attributes:
      state: the sections that commands change and queries read.
      sessions: results of earlier proposals, to detect duplicates.
      applied_index: the index of the last applied entry.
      applied_term: the term of that entry.
      time_s: the cluster time of that entry.
      newest_index_by_command: index of the last applied command of each name.
    """

    def __init__(self) -> None:
        self.state = State()
        self.sessions = Sessions()
        self.applied_index = 0
        self.applied_term = 0
        self.time_s = 0.0
        self.newest_index_by_command: dict[str, int] = {}
        self._listeners: list[Callable[[Applied], None]] = []

    def subscribe(self, listener: Callable[[Applied], None]) -> None:
        """Call a listener after each applied entry."""
        self._listeners.append(listener)

    def apply(self, entry: LogEntry) -> Message:
        """Apply the next entry and notify the listeners.

        Returns:
          `{"result": ...}`, or `{"failure": CLASS, "text": ...}` if the command
          raised an error.
        """
        self.applied_index = entry.index
        self.applied_term = entry.term
        self.time_s = max(self.time_s, entry.time_s)
        outcome: Message = {"result": {}}
        applied = Applied(entry.index, entry.kind, time_s=entry.time_s)
        if entry.kind is EntryKind.COMMAND:
            outcome, applied = self._apply_command(entry)
        self._notify_listeners(applied)
        return outcome

    def _notify_listeners(self, applied: Applied) -> None:
        for listener in self._listeners:
            try:
                listener(applied)
            except Exception as error:
                events.emit(
                    events.TASK_FAILED, task="control-listener", error=repr(error)
                )

    def _apply_command(self, entry: LogEntry) -> tuple[Message, Applied]:
        proposal = entry.proposal()
        outcome = self.sessions.result(proposal.client, proposal.sequence)
        is_duplicate = outcome is not None
        if outcome is None and self.sessions.is_stale(
            proposal.client, proposal.sequence
        ):
            is_duplicate = True
            outcome = {"failure": "EndivesillError", "text": "a stale resend"}
        if outcome is None:
            outcome = self._run_command(proposal, entry)
            self.newest_index_by_command[proposal.command] = entry.index
            self.sessions.record(proposal, outcome, entry.time_s)
        applied = Applied(
            entry.index,
            entry.kind,
            proposal.command,
            proposal.message,
            outcome.get("result", {}),
            outcome.get("text", ""),
            entry.time_s,
            is_duplicate,
        )
        return outcome, applied

    def _run_command(self, proposal: Proposal, entry: LogEntry) -> Message:
        context = CommandContext(entry.index, entry.time_s)
        name, message = proposal.command, proposal.message
        try:
            return {"result": run_command(self.state, name, message, context)}
        except Exception as error:
            # Commands are deterministic: each replica gets the same error and the
            # states stay equal.
            events.emit(
                COMMAND_FAILED, index=entry.index, command=name, error=repr(error)
            )
            return {"failure": type(error).__name__, "text": str(error)}

    def to_snapshot(self, cluster: str, voter_set: VoterSet) -> Snapshot:
        """Return a snapshot of the current state, which shares its objects.

        No entry may be applied while the snapshot is in use.
        """
        return Snapshot(
            self.applied_index,
            self.applied_term,
            self.time_s,
            cluster,
            voter_set,
            self.state.sections,
            self.sessions.to_document(),
            self.newest_index_by_command,
        )

    def load(self, snapshot: Snapshot) -> None:
        """Replace the state by that of a snapshot and notify the listeners.

        Raises:
          EndivesillError: the snapshot is older than the state.
        """
        if snapshot.index < self.applied_index:
            raise errors.EndivesillError("a snapshot must not go back")
        self.state.sections = snapshot.sections
        self.sessions = Sessions.from_document(snapshot.sessions)
        self.applied_index = snapshot.index
        self.applied_term = snapshot.term
        self.time_s = snapshot.time_s
        self.newest_index_by_command = dict(snapshot.newest)
        self._notify_listeners(
            Applied(snapshot.index, EntryKind.SNAPSHOT, time_s=snapshot.time_s)
        )
