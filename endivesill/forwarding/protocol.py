"""What forwarding needs of the heads of requests and answers.

An adapter implements `EngineProtocol` for the headers of one platform.
"""

from __future__ import annotations

from typing import Protocol

import attrs

from endivesill.http1 import Headers, ResponseHead

__all__ = ["ResponseInfo", "Dispatch", "EngineProtocol", "RequestInfo"]


@attrs.frozen
class RequestInfo:
    """A caller's request, as far as routing needs it.

    Attributes:
      attempt_id: names this attempt of the caller.
      remaining_s: how long the caller still waits; None if it does not say.
      key: its API key; empty if there is not exactly one.
      prompt_tokens: length of the prompt; 0 for no generation.
      maximum_output_tokens: longest output that it accepts.
      expected_output_tokens: the caller's estimate; 0 without one.
      prefix: parts of the prompt in order, each with its tokens.
    """

    attempt_id: str
    remaining_s: float | None
    key: str
    prompt_tokens: int
    maximum_output_tokens: int
    expected_output_tokens: int
    prefix: tuple[tuple[str, int], ...]

    @property
    def session(self) -> str:
        """Names the last part of the prompt, which is the caller's own."""
        return self.prefix[-1][0] if self.prefix else self.attempt_id


@attrs.frozen
class Dispatch:
    """What the system adds to a request for one engine.

    Attributes:
      identity: the engine that must run it.
      remaining_s: how long the caller still waits.
      organisation: who sent it; empty if requests need no key.
      urgency: 0 to 9, 0 first; None for the engine's usual one.
      backup_address: engine that gets a copy of the run's memory; or empty.
      resume_from: HOST:PORT/ID of a copy to go on from; or empty.
      last_event_id: the last event that the caller has, with `resume_from`.
      body_bytes: length of the body.
    """

    identity: str
    remaining_s: float
    organisation: str = ""
    urgency: int | None = None
    backup_address: str = ""
    resume_from: str = ""
    last_event_id: str = ""
    body_bytes: int = 0


@attrs.frozen
class ResponseInfo:
    """An engine's answer, as far as routing needs it.

    Attributes:
      status: the HTTP status.
      not_run: whether the engine says that it did not run the request.
      wrong_target: whether another target has the address.
    """

    status: int
    not_run: bool
    wrong_target: bool


class EngineProtocol(Protocol):
    """Reads and writes heads."""

    def decode_request(self, headers: Headers) -> RequestInfo:
        """Return what routing needs of a caller's request."""

    def encode_request(
        self, method: str, target: bytes, headers: Headers, dispatch: Dispatch
    ) -> bytes:
        """Return the head of the request to an engine."""

    def response_attempt_id(self, head: ResponseHead) -> str:
        """Return the attempt that an answer is to; empty if it does not say."""

    def decode_response(self, head: ResponseHead) -> ResponseInfo:
        """Return what routing needs of an engine's answer."""

    def encode_copy_order(
        self, source: str, attempt_id: str, destination: str
    ) -> bytes:
        """Return the request that orders a copy of a run; addresses are HOST:PORT."""

    def decode_copy_name(self, body: bytes) -> str:
        """Return the name of a copy; empty if the answer has none."""

    def encode_copy_release(self, source: str, name: str) -> bytes:
        """Return the request that frees a copy."""

    def refusal_headers(self, retry_after_s: float | None) -> Headers:
        """Return the headers of an answer of the system's own."""
