"""The exception hierarchy of endivesill."""

from __future__ import annotations

import enum

__all__ = [
    "CallerGoneError",
    "ConflictError",
    "DeadlineExceededError",
    "DiskFullError",
    "DocumentError",
    "EndivesillError",
    "FindingsError",
    "GrantExpiredError",
    "NotLeaderError",
    "OrderError",
    "OutcomeUnknownError",
    "PeerMessageError",
    "PeerUnreachableError",
    "RefusedError",
    "RequestError",
    "RunState",
    "StorageCorruptError",
    "StorageError",
    "SupersededError",
    "TargetError",
    "TargetGoneError",
    "TargetRefusedError",
    "TargetStatusError",
    "TargetUnreachableError",
    "UnavailableError",
    "UnknownPathError",
    "UnsafeChangeError",
    "VmListError",
]


class RunState(enum.Enum):
    """Whether a target may have run a request that got no complete response."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class EndivesillError(Exception):
    """Base class of all errors that endivesill raises."""


class FindingsError(EndivesillError):
    """Settings or configuration that failed validation.

    Attributes:
      findings: every `Finding`, each with file and line.
    """

    def __init__(self, findings: list) -> None:
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = findings


class DeadlineExceededError(EndivesillError):
    """An operation did not complete within its time limit."""


class PeerUnreachableError(EndivesillError):
    """A peer did not respond; the message may or may not have arrived.

    Attributes:
      sent: whether any byte of the message may have been sent.
    """

    def __init__(self, detail: str, *, sent: bool = True) -> None:
        super().__init__(detail)
        self.sent = sent


class UnknownPathError(PeerUnreachableError):
    """A peer has no handler for a path, since it runs another build."""


class DocumentError(EndivesillError):
    """An external document is invalid; the text names the location in it."""


class OrderError(EndivesillError):
    """An order to an engine is invalid."""


class PeerMessageError(EndivesillError):
    """A message from a peer cannot be decoded."""


class VmListError(EndivesillError):
    """A VM list cannot be read or is invalid."""


class UnavailableError(EndivesillError):
    """There is no quorum, leader or lease; nothing was changed."""


class NotLeaderError(UnavailableError):
    """A proposal reached a replica that is not the leader.

    Attributes:
      leader_address: the peer address of the leader; None if unknown.
    """

    def __init__(self, leader_address: str | None = None) -> None:
        super().__init__(f"not the leader (leader: {leader_address or 'unknown'})")
        self.leader_address = leader_address


class OutcomeUnknownError(EndivesillError):
    """A proposal may or may not have been committed."""


class UnsafeChangeError(EndivesillError):
    """A change of the voters would risk the quorum; nothing was changed."""


class ConflictError(EndivesillError):
    """An operator's change conflicts with an earlier one; nothing was changed."""


class OvertakenError(EndivesillError):
    """An opposite order may be newer than an operator's; nothing was changed.

    Attributes:
      index: a committed index of the log, with which the operator confirms the order.
    """

    def __init__(self, index: int) -> None:
        super().__init__(f"an opposite order may be newer (index {index})")
        self.index = index


class StorageError(EndivesillError):
    """A write or sync to disk failed."""


class DiskFullError(StorageError):
    """The disk is full; the write may be retried."""


class StorageCorruptError(StorageError):
    """A stored record is corrupt and is not the torn tail of a log."""


class RequestError(EndivesillError):
    """A caller's request is invalid (4xx response).

    Attributes:
      status: the HTTP status of the response.
      field: the name of the invalid field; empty if none.
    """

    def __init__(self, status: int, detail: str, field: str = "") -> None:
        super().__init__(detail)
        self.status = status
        self.field = field


class CallerGoneError(EndivesillError):
    """The caller disconnected before the end of the response."""

    def __init__(self) -> None:
        super().__init__("the caller went away")


class RefusedError(EndivesillError):
    """A request was not admitted or could not be completed.

    Attributes:
      reason: a short, stable code such as `queue-full`.
      run: whether the target may have run the request.
      retry_after_s: after how many seconds a retry may succeed; None if unknown.
      status: the HTTP status of the response.
    """

    def __init__(
        self,
        reason: str,
        *,
        run: RunState = RunState.NOT_RUN,
        retry_after_s: float | None = None,
        status: int = 503,
    ) -> None:
        super().__init__(reason)
        self.reason = reason
        self.run = run
        self.retry_after_s = retry_after_s
        self.status = status


class TargetError(EndivesillError):
    """An exchange with a target failed.

    Attributes:
      run: NOT_RUN only if no byte can have reached the target or if the
        target reports that it did not run the request.
    """

    def __init__(self, detail: str, run: RunState = RunState.UNKNOWN) -> None:
        super().__init__(detail)
        self.run = run


class TargetStatusError(TargetError):
    """A target responded with an error status.

    Attributes:
      status: the HTTP status.
    """

    def __init__(self, status: int) -> None:
        super().__init__(f"the target answered {status}")
        self.status = status


class TargetRefusedError(TargetError):
    """A target reported that it did not run the request."""

    def __init__(self, detail: str) -> None:
        super().__init__(detail, RunState.NOT_RUN)


class TargetUnreachableError(TargetRefusedError):
    """No connection to a target could be made; no byte was sent."""


class GrantExpiredError(TargetUnreachableError):
    """The admission grant of an attempt expired before its first byte was sent."""


class SupersededError(TargetError):
    """A newer attempt has taken over the stream of a generation."""


class TargetGoneError(TargetError):
    """An engine does not hold the requested generation.

    Attributes:
      moved_to: the address of the engine that now holds it; empty if unknown.
    """

    def __init__(self, detail: str, moved_to: str = "") -> None:
        super().__init__(detail)
        self.moved_to = moved_to
