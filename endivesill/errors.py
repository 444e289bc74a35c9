"""The exception tree of endivesill."""

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
    "UnsafeChangeError",
    "VmListError",
]


class RunState(enum.Enum):
    """What is known of a request that was not answered in full."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class EndivesillError(Exception):
    """Base of every error that endivesill raises on purpose."""


class FindingsError(EndivesillError):
    """Settings or configuration with one error or more."""

    def __init__(self, findings: list) -> None:
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = findings


class DeadlineExceededError(EndivesillError):
    """A wait that the timer service ended."""


class PeerUnreachableError(EndivesillError):
    """A peer that did not answer; the message may or may not have arrived.

    Attributes:
      sent: whether a part of the message may have left.
    """

    def __init__(self, detail: str, *, sent: bool = True) -> None:
        super().__init__(detail)
        self.sent = sent


class DocumentError(EndivesillError):
    """A document from outside that cannot be used; the text names the place."""


class OrderError(EndivesillError):
    """An order to an engine that is wrong in itself."""


class PeerMessageError(EndivesillError):
    """A message from a peer that cannot be read."""


class VmListError(EndivesillError):
    """A VM list that cannot be read."""


class UnavailableError(EndivesillError):
    """No quorum, no leader or no lease: nothing was changed."""


class NotLeaderError(UnavailableError):
    """A proposal at a replica that does not lead.

    Attributes:
      leader_address: the peer address of the known leader, if any.
    """

    def __init__(self, leader_address: str | None = None) -> None:
        super().__init__(f"not the leader (leader: {leader_address or 'unknown'})")
        self.leader_address = leader_address


class OutcomeUnknownError(EndivesillError):
    """A proposal that may or may not have been committed."""


class UnsafeChangeError(EndivesillError):
    """A change of voters that would risk the quorum; nothing was changed."""


class ConflictError(EndivesillError):
    """An operator's change that lost against another one."""


class StorageError(EndivesillError):
    """A disk that refused a write or a sync."""


class DiskFullError(StorageError):
    """A write that found no space; it may be tried again."""


class StorageCorruptError(StorageError):
    """A damaged record that is not the torn tail of a log."""


class RequestError(EndivesillError):
    """A caller's request that is wrong in itself (a 4xx answer).

    Attributes:
      status: the HTTP status.
      field: the name of the field at fault, or the empty string.
    """

    def __init__(self, status: int, detail: str, field: str = "") -> None:
        super().__init__(detail)
        self.status = status
        self.field = field


class CallerGoneError(EndivesillError):
    """A caller that went away before the end of its answer."""

    def __init__(self) -> None:
        super().__init__("the caller went away")


class RefusedError(EndivesillError):
    """Work that endivesill does not take or could not complete.

    Attributes:
      reason: a short, stable code such as `queue-full`.
      run: whether the target may have run the request.
      retry_after_s: when a new try may help, in seconds; None if unknown.
      status: the HTTP status of the answer.
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
    """An exchange with a target that failed.

    Attributes:
      run: NOT_RUN only if no byte can have reached the target or if the
        target itself says so.
    """

    def __init__(self, detail: str, run: RunState = RunState.UNKNOWN) -> None:
        super().__init__(detail)
        self.run = run


class TargetStatusError(TargetError):
    """A target that answered with an error status.

    Attributes:
      status: the HTTP status.
    """

    def __init__(self, status: int) -> None:
        super().__init__(f"the target answered {status}")
        self.status = status


class TargetRefusedError(TargetError):
    """A target that says itself that it did not run the request."""

    def __init__(self, detail: str) -> None:
        super().__init__(detail, RunState.NOT_RUN)


class TargetUnreachableError(TargetRefusedError):
    """A target to which no connection was made: no byte went out."""


class GrantExpiredError(TargetUnreachableError):
    """An attempt whose leave to start ended before its first byte went out."""


class SupersededError(TargetError):
    """A generation that a newer attempt streams."""


class TargetGoneError(TargetError):
    """A generation that an engine does not hold.

    Attributes:
      moved_to: the address of the engine that it was moved to; empty if none.
    """

    def __init__(self, detail: str, moved_to: str = "") -> None:
        super().__init__(detail)
        self.moved_to = moved_to
