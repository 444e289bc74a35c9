"""Buffered responses: all tokens of a generation in one JSON document."""

from __future__ import annotations

import json
from typing import Any

from endivesill import errors
from endivesill.entry.generations import Generation
from endivesill.entry.http import AsgiRequest, Response
from endivesill.entry.relay import Relay

__all__ = ["join_chunks", "respond_buffered"]

MAX_RESPONSE_BYTES = 64 << 20


async def respond_buffered(
    request: AsgiRequest, response: Response, generation: Generation
) -> None:
    """Run a generation to its end and respond with one JSON document.

    Raises:
      EndivesillError: the generation failed or its output is too large.
    """
    collected = bytearray()
    current: Relay | None = None

    async def deliver(relay: Relay, block: bytes) -> None:
        nonlocal current
        if relay is not current:
            # A new relay is a new generation: discard the tokens of the old one.
            collected.clear()
            current = relay
        if len(collected) + len(block) > MAX_RESPONSE_BYTES:
            raise errors.RefusedError(
                "answer-too-large", run=errors.RunState.UNKNOWN, status=502
            )
        collected.extend(block)

    async def work() -> None:
        relay = await generation.run(deliver)
        data = bytes(collected) if relay is current else b""
        document = join_chunks(data, relay.generation_id)
        headers = [
            (b"content-type", b"application/json"),
            (b"x-generation-id", relay.generation_id.encode()),
        ]
        await response.send_complete(200, headers, json.dumps(document).encode())

    await request.run_while_connected(work())


def join_chunks(data: bytes, generation_id: str) -> dict[str, Any]:
    """Merge the events of a stream into one completion document.

    Raises:
      TargetError: an event is not a completion chunk.
    """
    try:
        choices = [
            json.loads(line[len(b"data: ") :])["choices"][0]
            for line in data.split(b"\n")
            if line.startswith(b"data: ")
        ]
        is_chat = any("delta" in choice for choice in choices)
        text = "".join(_text(choice) for choice in choices)
        reasons = [c["finish_reason"] for c in choices if c.get("finish_reason")]
    except (ValueError, KeyError, IndexError, TypeError, AttributeError) as error:
        raise errors.TargetError(f"not a completion chunk: {error!r}") from None
    merged: dict[str, Any] = {"index": 0}
    merged["finish_reason"] = reasons[-1] if reasons else None
    if is_chat:
        merged["message"] = {"role": "assistant", "content": text}
    else:
        merged["text"] = text
    return {
        "id": generation_id,
        "object": "chat.completion" if is_chat else "text_completion",
        "choices": [merged],
        "usage": {"completion_tokens": len(choices)},
    }


def _text(choice: dict[str, Any]) -> str:
    if "delta" in choice:
        return choice["delta"].get("content") or ""
    return choice.get("text") or ""
