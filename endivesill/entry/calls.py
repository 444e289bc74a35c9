"""Parsing and validation of generation requests."""

from __future__ import annotations

import json
from typing import Any

import attrs

from endivesill import errors
from endivesill.routing.prefixes import CHARACTERS_PER_TOKEN

__all__ = ["GenerationCall", "parse_generation_call"]

MAX_OUTPUT_TOKENS = 10_000_000


@attrs.frozen
class GenerationCall:
    """A validated generation request.

    Attributes:
      path: `/v1/completions` or `/v1/chat/completions`.
      model: the name of the service.
      streamed: whether the caller asked for a streamed response.
      body: the JSON body for the engine, with `stream` set to true.
      prompt: the prompt; chat messages are joined by newlines.
      maximum_output_tokens: the caller's `max_tokens`; 0 for no limit.
    """

    path: str
    model: str
    streamed: bool
    body: bytes
    prompt: str
    maximum_output_tokens: int

    @property
    def prompt_tokens(self) -> int:
        """The length of the prompt in tokens, estimated from its characters."""
        return len(self.prompt) // CHARACTERS_PER_TOKEN + 1


def parse_generation_call(path: str, body: bytes) -> GenerationCall:
    """Parse and validate a request body.

    Raises:
      RequestError: the body is invalid (400); the error names the field.
    """
    document = _parse_object(body)
    model = _typed_field(document, "model", str, required=True)
    streamed = _typed_field(document, "stream", bool) or False
    max_tokens = _typed_field(document, "max_tokens", int) or 0
    if not 0 <= max_tokens <= MAX_OUTPUT_TOKENS:
        raise errors.RequestError(400, "max_tokens is out of bounds", "max_tokens")
    if "n" in document and document["n"] != 1:
        raise errors.RequestError(400, "only one choice is answered", "n")
    prompt = _chat_prompt(document) if "chat" in path else _prompt(document)
    engine_body = json.dumps({**document, "stream": True}).encode()
    return GenerationCall(path, model, streamed, engine_body, prompt, max_tokens)


def _parse_object(body: bytes) -> dict[str, Any]:
    try:
        document = json.loads(body, parse_constant=_refuse_constant)
    except (ValueError, RecursionError):
        raise errors.RequestError(400, "the body is not JSON", "body") from None
    if not isinstance(document, dict):
        raise errors.RequestError(400, "the body is not a JSON object", "body")
    return document


def _refuse_constant(word: str) -> None:
    raise ValueError(f"{word} is not JSON")


def _typed_field(
    document: dict[str, Any], field: str, kind: type, *, required: bool = False
) -> Any:
    value = document.get(field)
    if value is None:
        if required:
            raise errors.RequestError(400, f"{field} is missing", field)
        return None
    if not isinstance(value, kind) or (kind is int and isinstance(value, bool)):
        raise errors.RequestError(400, f"{field} is not of type {kind.__name__}", field)
    return value


def _prompt(document: dict[str, Any]) -> str:
    return _typed_field(document, "prompt", str, required=True)


def _chat_prompt(document: dict[str, Any]) -> str:
    messages = _typed_field(document, "messages", list, required=True)
    if not messages:
        raise errors.RequestError(400, "messages is empty", "messages")
    parts = []
    for number, message in enumerate(messages):
        field = f"messages[{number}]"
        if not isinstance(message, dict):
            raise errors.RequestError(400, f"{field} is not an object", field)
        content = message.get("content")
        if not isinstance(content, str):
            raise errors.RequestError(400, f"{field}.content is not a string", field)
        parts.append(content)
    return "\n".join(parts)
