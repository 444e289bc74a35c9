"""Client sessions: results of earlier proposals, to detect duplicates."""

from __future__ import annotations

import json

import attrs

from endivesill.control.entries import Proposal
from endivesill.peers import Message

__all__ = ["SESSION_LIFETIME_S", "Sessions"]

SESSION_LIFETIME_S = 3_600.0


@attrs.define
class _Session:
    """One client's session.

    Attributes:
      last_used_s: the cluster time of the client's last proposal.
      answered: the client has the results of all lower sequence numbers, which
        are no longer kept.
      results: result by sequence number, as JSON text.
    """

    last_used_s: float
    answered: int = 0
    results: dict[int, str] = attrs.Factory(dict)


class Sessions:
    """The session table; part of the replicated state, so it must be deterministic."""

    def __init__(self) -> None:
        self._sessions: dict[str, _Session] = {}

    def __len__(self) -> int:
        return len(self._sessions)

    def result(self, client: str, sequence: int) -> Message | None:
        """Return the stored result of a proposal, or None if there is none."""
        session = self._sessions.get(client)
        text = session.results.get(sequence) if session else None
        return None if text is None else json.loads(text)

    def is_stale(self, client: str, sequence: int) -> bool:
        """Return whether the client has acknowledged the result of this proposal."""
        session = self._sessions.get(client)
        return session is not None and sequence < session.answered

    def record(self, proposal: Proposal, result: Message, time_s: float) -> None:
        """Store a result; remove acknowledged results and expired sessions."""
        session = self._sessions.pop(proposal.client, None) or _Session(time_s)
        # Reinserted, so that the table stays ordered by last use.
        self._sessions[proposal.client] = session
        session.last_used_s = time_s
        session.results[proposal.sequence] = json.dumps(result, separators=(",", ":"))
        if proposal.answered > session.answered:
            session.answered = proposal.answered
            kept = [s for s in session.results if s >= proposal.answered]
            session.results = {s: session.results[s] for s in kept}
        self._expire(time_s)

    def _expire(self, time_s: float) -> None:
        while self._sessions:
            client = next(iter(self._sessions))
            if time_s - self._sessions[client].last_used_s <= SESSION_LIFETIME_S:
                return
            del self._sessions[client]

    def to_document(self) -> Message:
        """Return `{client: [last_used_s, answered, [[sequence, result], ...]]}`."""
        return {
            client: [s.last_used_s, s.answered, list(s.results.items())]
            for client, s in self._sessions.items()
        }

    @classmethod
    def from_document(cls, document: Message) -> Sessions:
        """Return the table that `to_document` encoded."""
        sessions = cls()
        for client, (last_used_s, answered, results) in document.items():
            session = _Session(last_used_s, answered, dict(results))
            sessions._sessions[client] = session
        return sessions
