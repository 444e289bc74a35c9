"""The replicated state machine: entries go in, results come out."""

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
    """What listeners are told after each applied entry.

    Attributes:
      index: the entry's index.
      kind: its kind; SNAPSHOT says that the state as a whole was replaced.
      command: the command's name, or the empty string.
      message: the command's argument.
      result: what it returned; empty if it raised.
      failure: the error that it raised, or the empty string.
      time_s: the cluster's time.
      repeated: whether the command was a resend that was not run again.
    """

    index: int
    kind: EntryKind
    command: str = ""
    message: Message = attrs.Factory(dict)
    result: Message = attrs.Factory(dict)
    failure: str = ""
    time_s: float = 0.0
    repeated: bool = False


class StateMachine:
    """The state after the last applied entry.

    Attributes:
      state: the sections that commands change and queries read.
      sessions: results of earlier proposals.
      applied_index: the last applied index.
      applied_term: its term.
      time_s: the cluster's time at it.
      newest: the index of the last applied command of each name.
    """

    def __init__(self) -> None:
        self.state = State()
        self.sessions = Sessions()
        self.applied_index = 0
        self.applied_term = 0
        self.time_s = 0.0
        self.newest: dict[str, int] = {}
        self._listeners: list[Callable[[Applied], None]] = []

    def subscribe(self, listener: Callable[[Applied], None]) -> None:
        """Call a listener after each applied entry."""
        self._listeners.append(listener)

    def apply(self, entry: LogEntry) -> Message:
        """Apply the next entry.

        Returns:
          `{"result": ...}`, or `{"failure": CLASS, "text": ...}` of a command
          that raised an error.
        """
        self.applied_index = entry.index
        self.applied_term = entry.term
        self.time_s = max(self.time_s, entry.time_s)
        outcome: Message = {"result": {}}
        applied = Applied(entry.index, entry.kind, time_s=entry.time_s)
        if entry.kind is EntryKind.COMMAND:
            outcome, applied = self._apply_command(entry)
        self._tell(applied)
        return outcome

    def _tell(self, applied: Applied) -> None:
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
        repeated = outcome is not None
        if outcome is None and self.sessions.is_stale(
            proposal.client, proposal.sequence
        ):
            repeated = True
            outcome = {"failure": "EndivesillError", "text": "a stale resend"}
        if outcome is None:
            outcome = self._run(proposal, entry)
            self.newest[proposal.command] = entry.index
            self.sessions.record(proposal, outcome, entry.time_s)
        applied = Applied(
            entry.index,
            entry.kind,
            proposal.command,
            proposal.message,
            outcome.get("result", {}),
            outcome.get("text", ""),
            entry.time_s,
            repeated,
        )
        return outcome, applied

    def _run(self, proposal: Proposal, entry: LogEntry) -> Message:
        context = CommandContext(entry.index, entry.time_s)
        name, message = proposal.command, proposal.message
        try:
            return {"result": run_command(self.state, name, message, context)}
        except Exception as error:
            # Each replica meets the same error, so that the states stay equal.
            events.emit(
                COMMAND_FAILED, index=entry.index, command=name, error=repr(error)
            )
            return {"failure": type(error).__name__, "text": str(error)}

    def to_snapshot(self, cluster: str, voter_set: VoterSet) -> Snapshot:
        """Return the present state as a snapshot that shares its objects."""
        return Snapshot(
            self.applied_index,
            self.applied_term,
            self.time_s,
            cluster,
            voter_set,
            self.state.sections,
            self.sessions.to_document(),
            self.newest,
        )

    def load(self, snapshot: Snapshot) -> None:
        """Take over a snapshot's state and tell the listeners."""
        if snapshot.index < self.applied_index:
            raise errors.EndivesillError("a snapshot must not go back")
        self.state.sections = snapshot.sections
        self.sessions = Sessions.from_document(snapshot.sessions)
        self.applied_index = snapshot.index
        self.applied_term = snapshot.term
        self.time_s = snapshot.time_s
        self.newest = dict(snapshot.newest)
        self._tell(Applied(snapshot.index, EntryKind.SNAPSHOT, time_s=snapshot.time_s))
