"""Bench of the time that decoding one page of the platform's list takes.

A sound page, and one with an entry that is no JSON, are decoded in turn with a page of
the same entries by a plain JSON decoder, whose time is the base of the ratios.

    python -m bench.list_cost [--entries N]
"""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from typing import Any

import cyclopts

from endivesill.platform.engines import decode_list_page

__all__ = ["main", "measure"]

ROUNDS = 30
MS_PER_S = 1_000.0
ENTRY = {
    "service": "llm",
    "address": "10.128.0.9:8080",
    "zone": "a",
    "version": "v1",
    "slots": 24,
    "state": "ready",
    "cold_remaining_ms": 0,
    "stage": "both",
    "models": [{"name": "m", "version": 1, "adapters": []}],
}


def page(entries: int, odd_entry: bytes = b"") -> bytes:
    """Return a page with sound entries, after an odd one if given."""
    rows = [json.dumps({**ENTRY, "id": f"i-{n}"}).encode() for n in range(entries)]
    rows = [odd_entry, *rows] if odd_entry else rows
    return b'{"instances":[' + b",".join(rows) + b'],"next":null}'


def measure(entries: int) -> dict[str, Any]:
    """Return the best time of each page in milliseconds, and its ratio to the base."""
    pages: dict[str, tuple[Callable[[bytes], Any], bytes]] = {
        "base": (json.loads, page(entries)),
        "sound": (decode_list_page, page(entries)),
        "damaged": (decode_list_page, page(entries, b'{"id":"\xff"}')),
    }
    best_s = dict.fromkeys(pages, float("inf"))
    for _ in range(ROUNDS):
        for name, (decode, body) in pages.items():
            started_s = time.perf_counter()
            decode(body)
            best_s[name] = min(best_s[name], time.perf_counter() - started_s)
    return {
        name: {
            "best_ms": round(MS_PER_S * seconds, 3),
            "ratio": round(seconds / best_s["base"], 2),
        }
        for name, seconds in best_s.items()
    }


def main(*, entries: int = 300) -> None:
    """Print the figures as JSON.

    Args:
      entries: number of sound entries of the page.
    """
    print(json.dumps({"entries": entries, **measure(entries)}, indent=2))


if __name__ == "__main__":
    cyclopts.run(main)
