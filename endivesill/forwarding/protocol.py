"""Interface to the platform's request and response headers.

An adapter implements `EngineProtocol` for one platform.
"""

from __future__ import annotations

from typing import Protocol

import attrs

from endivesill.http1 import Headers, ResponseHead

__all__ = ["ResponseInfo", "Dispatch", "EngineProtocol", "RequestInfo"]


@attrs.frozen
class RequestInfo:
    """What routing needs of a caller's request.

    Attributes:
      attempt_id: the caller's id of this attempt.
      remaining_s: time until the caller's deadline; None if not given.
      key: the API key; None unless there is exactly one, and it is not empty.
      prompt_tokens: length of the prompt; 0 if this is no generation.
      maximum_output_tokens: longest output that the caller accepts; 0 if not given.
      expected_output_tokens: the caller's estimate; 0 without one.
      prefix: id and tokens of each part of the prompt, in order.
      expects_version: whether targets reject it whose weights the caller does not want.
      last_event_id: the last event of the stream that the caller has; None without one.
    """

    attempt_id: str
    remaining_s: float | None
    key: str | None
    prompt_tokens: int
    maximum_output_tokens: int
    expected_output_tokens: int
    prefix: tuple[tuple[str, int], ...]
    expects_version: bool = False
    last_event_id: int | None = None

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Ids of the parts that other requests may share: all but the last."""
        return tuple(identity for identity, _ in self.prefix[:-1])

    @property
    def session(self) -> str:
        """Id of the caller's session: the last part of the prompt is its own."""
        return self.prefix[-1][0] if self.prefix else self.attempt_id


@attrs.frozen
class Dispatch:
    """What is added to a request for one engine.

    Attributes:
      identity: the engine that must run it.
      remaining_s: time until the caller's deadline.
      organisation: name of who sent it; None if no key is needed.
      urgency: 0 to 9, 0 is the most urgent; None for the engine's default.
      backup_address: engine that receives a live copy of the run; may be empty.
      resume_from: HOST:PORT/ID of the copy to resume from; may be empty.
      last_event_id: the caller's last event, with `resume_from`.
      body_bytes: length of the body.
    """

    identity: str
    remaining_s: float
    organisation: str | None = None
    urgency: int | None = None
    backup_address: str = ""
    resume_from: str = ""
    last_event_id: str = ""
    body_bytes: int = 0


@attrs.frozen
class ResponseInfo:
    """What routing needs of an engine's response.

    Attributes:
      status: the HTTP status.
      not_run: whether the engine states that it did not run the request.
      wrong_target: whether another target answered at the address.
      is_sealed: whether the response has the mark of an engine that ran the request.
      is_leaving: whether the engine says that it is about to leave.
      pause_s: how long the engine wants no requests from this VM; None for no pause,
        NaN if it asks for one that cannot be read.
      limit_per_s: requests per second that the engine takes from all VMs together;
        None for no limit, NaN for one that cannot be read.
      brittle_per_s: rejections a second beyond which the engine falls over; None if it
        is not brittle.
    """

    status: int
    not_run: bool
    wrong_target: bool
    is_sealed: bool
    is_leaving: bool = False
    pause_s: float | None = None
    limit_per_s: float | None = None
    brittle_per_s: float | None = None

    @property
    def is_from_engine(self) -> bool:
        """Whether an engine has answered; other bytes say nothing of the request."""
        return self.is_sealed or self.not_run


class EngineProtocol(Protocol):
    """Decodes and encodes the heads of requests and responses."""

    def decode_request(self, headers: Headers) -> RequestInfo:
        """Return what routing needs of a caller's request."""

    def encode_request(
        self, method: str, target: bytes, headers: Headers, dispatch: Dispatch
    ) -> bytes:
        """Return the head of the request to an engine."""

    def response_attempt_id(self, head: ResponseHead) -> str:
        """Return the attempt id of a response; empty if it has none."""

    def decode_response(self, head: ResponseHead) -> ResponseInfo:
        """Return what routing needs of an engine's response."""

    def encode_copy_order(
        self, source: str, attempt_id: str, destination: str, *, stops_run: bool
    ) -> bytes:
        """Return the request that orders the copy of a run.

        Args:
          source: HOST:PORT of the engine that runs it.
          attempt_id: the request that runs.
          destination: HOST:PORT of the engine that receives the copy.
          stops_run: whether the run ends before the copy.
        """

    def decode_copy_name(self, body: bytes) -> str:
        """Return the handle of a copy; empty if the body has none."""

    def encode_copy_release(self, source: str, name: str) -> bytes:
        """Return the request that releases a copy."""

    def refusal_headers(self, retry_after_s: float | None) -> Headers:
        """Return the headers of a response that this process makes itself."""
