"""Sessions of clients: the results of their proposals, for resends."""

from __future__ import annotations

import json

import attrs

from endivesill.control.entries import Proposal
from endivesill.peers import Message

__all__ = ["SESSION_LIFE_S", "Sessions"]

SESSION_LIFE_S = 3_600.0


@attrs.define
class _Session:
    """One client's session.

    Attributes:
      used_s: the cluster's time of its last proposal.
      answered: every lower sequence has its answer; a resend of it is late.
      results: result by sequence, as JSON text.
    """

    used_s: float
    answered: int = 0
    results: dict[int, str] = attrs.Factory(dict)


class Sessions:
    """The session table, a part of the replicated state."""

    def __init__(self) -> None:
        self._sessions: dict[str, _Session] = {}

    def __len__(self) -> int:
        return len(self._sessions)

    def result(self, client: str, sequence: int) -> Message | None:
        """Return the result of a proposal that was run already, or None."""
        session = self._sessions.get(client)
        text = session.results.get(sequence) if session else None
        return None if text is None else json.loads(text)

    def is_stale(self, client: str, sequence: int) -> bool:
        """Tell whether the client has said that it has this one's answer."""
        session = self._sessions.get(client)
        return session is not None and sequence < session.answered

    def record(self, proposal: Proposal, result: Message, time_s: float) -> None:
        """Keep the result of a proposal and drop what is not needed any more."""
        session = self._sessions.pop(proposal.client, None) or _Session(time_s)
        # The table stays ordered by the time of the last use.
        self._sessions[proposal.client] = session
        session.used_s = time_s
        session.results[proposal.sequence] = json.dumps(result, separators=(",", ":"))
        if proposal.answered > session.answered:
            session.answered = proposal.answered
            kept = [s for s in session.results if s >= proposal.answered]
            session.results = {s: session.results[s] for s in kept}
        self._expire(time_s)

    def _expire(self, time_s: float) -> None:
        while self._sessions:
            client = next(iter(self._sessions))
            if time_s - self._sessions[client].used_s <= SESSION_LIFE_S:
                return
            del self._sessions[client]

    def to_document(self) -> Message:
        """Return the table as a JSON object."""
        return {
            client: [s.used_s, s.answered, list(s.results.items())]
            for client, s in self._sessions.items()
        }

    @classmethod
    def from_document(cls, document: Message) -> Sessions:
        """Return the table of a JSON object."""
        sessions = cls()
        for client, (used_s, answered, results) in document.items():
            session = _Session(used_s, answered, dict(results))
            sessions._sessions[client] = session
        return sessions
