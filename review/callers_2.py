"""Stand-ins of requesters."""

from __future__ import annotations

import asyncio
import time

from fleet_2 import ATTEMPT_ID, FRONT_PORT, Machine, Record


class StreamCaller:
    """One streamed request on a channel of its own.

    Attributes:
      events: ids of the events that came.
      status: status of the answer; 0 without one.
      is_complete: whether the answer came to its end.
    """

    def __init__(self, record: Record, front: Machine, attempt: str, key: str) -> None:
        self.record, self.front, self.attempt, self.key = record, front, attempt, key
        self.events: list[int] = []
        self.status = 0
        self.is_complete = False
        self.event_s: list[float] = []

    async def run(self, host: str, path: str, prompt: int, output: int) -> None:
        """Send the request and read its events."""
        reader, writer = await asyncio.open_connection(self.front.ip, FRONT_PORT)
        body = b"prompt"
        lines = [
            f"POST {path} HTTP/1.1",
            f"Host: {host}",
            f"{ATTEMPT_ID}: {self.attempt}",
            "X-Endivesill-Model: m",
            f"X-Endivesill-Token-Counts: {prompt},{output}",
            f"X-Endivesill-Prompt-Prefix: 5c1e07a2:79,{self.attempt}:{prompt - 79}",
            "X-Endivesill-Deadline-Remaining: 39000",
            f"Api-Key: {self.key}",
            f"Content-Length: {len(body)}",
        ]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            self.status = int(head.split(" ")[1])
            if "chunked" not in head:
                return
            data = b""
            while size := int((await reader.readline()).strip(), 16):
                data += await reader.readexactly(size)
                await reader.readexactly(2)
                *whole, data = data.split(b"\n\n")
                for event in whole:
                    number = int(event.split(b"\n")[0].partition(b": ")[2])
                    self.events.append(number)
                    self.event_s.append(time.monotonic())
            self.is_complete = True
        except (OSError, EOFError, ValueError, asyncio.IncompleteReadError):
            return
        finally:
            self.record.note(
                f"caller: {self.attempt}: status {self.status}, "
                f"{len(self.events)} events, complete {self.is_complete}"
            )
            writer.close()
