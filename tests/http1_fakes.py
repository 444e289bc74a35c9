"""Fakes for tests of HTTP connections without sockets."""

from __future__ import annotations

import asyncio


class FakeTransport:
    """Records what a protocol writes and how it closes the connection."""

    def __init__(self) -> None:
        self.written = b""
        self.eof_written = False
        self.aborted = False
        self.closed = False
        self.paused = False
        self.unsent_bytes = 0

    def get_extra_info(self, name):
        return None

    def write(self, data: bytes) -> None:
        self.written += data

    def can_write_eof(self) -> bool:
        return True

    def write_eof(self) -> None:
        self.eof_written = True

    def is_closing(self) -> bool:
        return self.aborted or self.closed

    def abort(self) -> None:
        self.aborted = True

    def close(self) -> None:
        self.closed = True

    def pause_reading(self) -> None:
        self.paused = True

    def resume_reading(self) -> None:
        self.paused = False

    def get_write_buffer_size(self) -> int:
        return self.unsent_bytes


async def settle() -> None:
    """Let the tasks that are ready run for 20 iterations of the event loop."""
    for _ in range(20):
        await asyncio.sleep(0)
