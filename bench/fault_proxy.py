"""A proxy on loopback that delays, silences or resets the connections through it."""

from __future__ import annotations

import asyncio
import enum
import socket
import struct

__all__ = ["FaultProxy", "LinkState"]

PIECE_BYTES = 65_536


class LinkState(enum.Enum):
    """What becomes of the bytes on a link."""

    OPEN = "open"
    DELAYED = "delayed"
    # Nothing passes, and nobody is told.
    SILENT = "silent"
    # Only what callers send passes, or only what the other end answers.
    NO_ANSWERS = "no-answers"
    NO_REQUESTS = "no-requests"
    # Connections are reset, and new ones too.
    RESET = "reset"


class FaultProxy:
    """Passes connections on to one address.

    Args:
      upstream: HOST:PORT of the other end.
      listen: HOST:PORT to listen at; port 0 for any.
      delay_s: how long each piece is held while the link is delayed.

    Attributes:
      address: where it listens.
      state: what becomes of the bytes.
    """

    def __init__(
        self, upstream: str, listen: str = "127.0.0.1:0", delay_s: float = 0.05
    ) -> None:
        self._upstream = upstream
        self._listen = listen
        self._delay_s = delay_s
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._changed = asyncio.Event()
        self.state = LinkState.OPEN
        self.address = ""

    async def start(self) -> None:
        """Listen."""
        host, _, port = self._listen.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host, int(port))
        bound = self._server.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"

    async def stop(self) -> None:
        """Close everything."""
        if self._server is not None:
            self._server.close()
        self.set(LinkState.RESET)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def set(self, state: LinkState) -> None:
        """Change the link; what is under way is affected too."""
        self.state = state
        self._changed.set()
        self._changed = asyncio.Event()
        if state is LinkState.RESET:
            for writer in self._writers:
                _reset(writer)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self._join(reader, writer)
        except (OSError, EOFError):
            # Either end is gone; the other one is closed below.
            writer.transport.abort()
        except asyncio.CancelledError:
            # `stop` ends it; nobody waits for the result.
            return
        finally:
            self._tasks.discard(task)
            writer.transport.abort()

    async def _join(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.state is LinkState.RESET:
            _reset(writer)
            return
        host, _, port = self._upstream.rpartition(":")
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        self._writers |= {writer, far_writer}
        requests = asyncio.ensure_future(
            self._pass(reader, far_writer, LinkState.NO_REQUESTS)
        )
        answers = asyncio.ensure_future(
            self._pass(far_reader, writer, LinkState.NO_ANSWERS)
        )
        try:
            await asyncio.gather(requests, answers)
        finally:
            requests.cancel()
            answers.cancel()
            self._writers -= {writer, far_writer}
            far_writer.transport.abort()

    async def _pass(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        stopped: LinkState,
    ) -> None:
        while data := await reader.read(PIECE_BYTES):
            if self.state is LinkState.DELAYED:
                await asyncio.sleep(self._delay_s)
            while self.state in (stopped, LinkState.SILENT):
                await self._changed.wait()
            writer.write(data)
            await writer.drain()
        writer.write_eof()


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset instead of an end."""
    sock = writer.get_extra_info("socket")
    if sock is not None and not writer.transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
