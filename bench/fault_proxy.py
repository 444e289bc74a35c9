"""TCP proxy on loopback that delays, blocks or resets the connections through it."""

from __future__ import annotations

import asyncio
import enum
import socket
import struct
from collections.abc import Collection

from bench.source_filter import drop_packets_from

__all__ = ["CutKind", "FaultProxy", "LinkState"]

MAX_READ_BYTES = 65_536


class LinkState(enum.Enum):
    """How the proxy treats the bytes on its link."""

    OPEN = "open"
    DELAYED = "delayed"
    # Bytes are held in both directions while connections stay open.
    SILENT = "silent"
    # Bytes are held in one direction: from the upstream, or to it.
    NO_ANSWERS = "no-answers"
    NO_REQUESTS = "no-requests"
    # Existing and new connections are reset.
    RESET = "reset"


class CutKind(enum.Enum):
    """How the link from one host to the proxy is cut; new connections hang."""

    # Nothing passes in either direction.
    HANGS = "hangs"
    # Nothing reaches the proxy; what it sends still arrives.
    ONE_WAY = "one-way"
    # Existing connections are reset.
    RESET = "reset"
    # Existing connections live on.
    ONLY_NEW = "only-new"


class FaultProxy:
    """Forwards connections to one upstream address.

    Args:
      upstream: HOST:PORT to connect to.
      listen: HOST:PORT to listen at; port 0 for any free port.
      delay_s: delay of each read while the link is delayed.

    Attributes:
      address: HOST:PORT at which it listens; empty before `start`.
      state: state of the link; changed with `set`.
    """

    def __init__(
        self, upstream: str, listen: str = "127.0.0.1:0", delay_s: float = 0.05
    ) -> None:
        self._upstream = upstream
        self._listen = listen
        self._delay_s = delay_s
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        # The host that each connection came from, and the cut links by host.
        self._hosts: dict[asyncio.StreamWriter, str] = {}
        self._cuts: dict[str, CutKind] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._state_changed = asyncio.Event()
        self.state = LinkState.OPEN
        self.address = ""

    async def start(self) -> None:
        """Start listening.

        Raises:
          OSError: the address cannot be bound.
        """
        host, _, port = self._listen.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host, int(port))
        bound_address = self._server.sockets[0].getsockname()
        self.address = f"{bound_address[0]}:{bound_address[1]}"

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.set(LinkState.RESET)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def set(self, state: LinkState) -> None:
        """Change the state of the link, also for bytes that are held now."""
        self.state = state
        self._state_changed.set()
        self._state_changed = asyncio.Event()
        if state is LinkState.RESET:
            for writer in self._writers:
                _reset(writer)

    def cut(self, hosts: Collection[str], kind: CutKind) -> None:
        """Cut the links from some hosts, also for their open connections."""
        self._cuts.update(dict.fromkeys(hosts, kind))
        self._apply_cuts()
        if kind is CutKind.RESET:
            for writer, source in self._hosts.items():
                if source in hosts:
                    _reset(writer)

    def heal(self, hosts: Collection[str]) -> None:
        """End the cuts of the links from some hosts."""
        for host in hosts:
            self._cuts.pop(host, None)
        self._apply_cuts()
        self._state_changed.set()
        self._state_changed = asyncio.Event()

    def _apply_cuts(self) -> None:
        if self._server is None:
            return
        for sock in self._server.sockets:
            drop_packets_from(sock, self._cuts)
        for writer, host in self._hosts.items():
            self._filter(writer, host)

    def _filter(self, writer: asyncio.StreamWriter, host: str) -> None:
        """Drop what an open connection gets, or no longer drop it."""
        sock = writer.get_extra_info("socket")
        if sock is None or writer.transport.is_closing():
            return
        kind = self._cuts.get(host, CutKind.ONLY_NEW)
        is_dropping = kind is not CutKind.ONLY_NEW
        # The filter of the listening socket is inherited.
        drop_packets_from(sock, [host] if is_dropping else [])

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self._relay(reader, writer)
        except (OSError, EOFError):
            # One end has failed; close the other one too.
            writer.transport.abort()
        except asyncio.CancelledError:
            # Cancelled by `stop`; the task's result is not used.
            return
        finally:
            self._tasks.discard(task)
            writer.transport.abort()

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.state is LinkState.RESET:
            _reset(writer)
            return
        host, _, port = self._upstream.rpartition(":")
        upstream_reader, upstream_writer = await asyncio.open_connection(
            host, int(port)
        )
        self._writers |= {writer, upstream_writer}
        source = writer.get_extra_info("peername")[0]
        self._hosts[writer] = source
        if self._cuts:
            self._filter(writer, source)
        request_task = asyncio.ensure_future(
            self._forward(reader, upstream_writer, LinkState.NO_REQUESTS, "")
        )
        response_task = asyncio.ensure_future(
            self._forward(upstream_reader, writer, LinkState.NO_ANSWERS, source)
        )
        try:
            await asyncio.gather(request_task, response_task)
        finally:
            request_task.cancel()
            response_task.cancel()
            self._writers -= {writer, upstream_writer}
            self._hosts.pop(writer, None)
            upstream_writer.transport.abort()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        blocking_state: LinkState,
        receiver: str,
    ) -> None:
        while data := await reader.read(MAX_READ_BYTES):
            if self.state is LinkState.DELAYED:
                await asyncio.sleep(self._delay_s)
            while (
                self.state in (blocking_state, LinkState.SILENT)
                or self._cuts.get(receiver) is CutKind.HANGS
            ):
                await self._state_changed.wait()
            writer.write(data)
            await writer.drain()
        writer.write_eof()


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with RST instead of FIN."""
    sock = writer.get_extra_info("socket")
    if sock is not None and not writer.transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
