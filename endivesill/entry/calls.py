"""Check of a caller's request for a generation."""

from __future__ import annotations

import json
from typing import Any

import attrs

from endivesill import errors
from endivesill.routing.prefixes import CHARACTERS_PER_TOKEN

__all__ = ["GenerationCall", "parse_generation_call"]

LARGEST_OUTPUT_TOKENS = 10_000_000


@attrs.frozen
class GenerationCall:
    """A caller's checked request for a generation.

    Attributes:
      path: `/v1/completions` or `/v1/chat/completions`.
      model: the service's name.
      streamed: whether the caller wants a stream.
      body: the JSON body for the engine, with `stream` set.
      prompt: the prompt as one text.
      maximum_output_tokens: the caller's bound; 0 for none.
    """

    path: str
    model: str
    streamed: bool
    body: bytes
    prompt: str
    maximum_output_tokens: int

    @property
    def prompt_tokens(self) -> int:
        """The estimated length of the prompt."""
        return len(self.prompt) // CHARACTERS_PER_TOKEN + 1


def parse_generation_call(path: str, body: bytes) -> GenerationCall:
    """Check a request body.

    Raises:
      RequestError: it names the field at fault (400).
    """
    document = _parse_object(body)
    model = _typed(document, "model", str, required=True)
    streamed = _typed(document, "stream", bool) or False
    bound = _typed(document, "max_tokens", int) or 0
    if not 0 <= bound <= LARGEST_OUTPUT_TOKENS:
        raise errors.RequestError(400, "max_tokens is out of bounds", "max_tokens")
    if "n" in document and document["n"] != 1:
        raise errors.RequestError(400, "only one choice is answered", "n")
    prompt = _chat_prompt(document) if "chat" in path else _prompt(document)
    engine_body = json.dumps({**document, "stream": True}).encode()
    return GenerationCall(path, model, streamed, engine_body, prompt, bound)


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


def _typed(
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
    return _typed(document, "prompt", str, required=True)


def _chat_prompt(document: dict[str, Any]) -> str:
    messages = _typed(document, "messages", list, required=True)
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
