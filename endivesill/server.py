"""Listeners: an ASGI application on an address, served by uvicorn."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Iterator
from typing import Any

import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

__all__ = ["CONNECTION_EXTENSION", "HttpServer"]

BACKLOG = 2048
POLL_S = 0.005
HEADER_BLOCK_BYTES = 65_536
HEADER_TIMEOUT_S = 10.0
TAIL_STALL_S = 30.0
CONNECTION_EXTENSION = "endivesill.connection"
TOO_LARGE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"content-type: application/problem+json\r\n"
    b"content-length: 63\r\nconnection: close\r\n\r\n"
    b'{"title":"headers are too large","status":431,"run":"not-run"}\n'
)


class _Protocol(HttpToolsProtocol):
    """A connection with bounds on its header blocks and on unread answers.

    It bounds the size of a header block and the time for it, and aborts when the
    end of an answer stays unread. By an ASGI extension applications learn whether
    the connection is closing and drop it at once.
    """

    _header_bytes = 0
    _in_headers = True
    _header_timer: asyncio.TimerHandle | None = None
    _tail_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: Any) -> None:
        super().connection_made(transport)
        self._await_headers()

    def connection_lost(self, exc: Exception | None) -> None:
        self._headers_ended()
        self._forget_tail()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        if not self._in_headers:
            super().data_received(data)
            return
        self._header_bytes += len(data)
        super().data_received(data)
        if self._in_headers and self._header_bytes > HEADER_BLOCK_BYTES:
            self._headers_ended()
            self.transport.write(TOO_LARGE)
            self.transport.close()

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self._forget_tail()
        if not self._in_headers:
            self._await_headers()
        extension: dict[object, object] = {
            "abort": self.transport.abort,
            "is_closing": self.transport.is_closing,
        }
        self.scope["extensions"] = {CONNECTION_EXTENSION: extension}

    def on_headers_complete(self) -> None:
        self._headers_ended()
        super().on_headers_complete()

    def on_response_complete(self) -> None:
        super().on_response_complete()
        self._watch_tail(None)

    def _watch_tail(self, previous_bytes: int | None) -> None:
        """Abort when nothing of an answer's end was read since the last look."""
        unread_bytes = self.transport.get_write_buffer_size()
        if not unread_bytes:
            return
        if previous_bytes is not None and unread_bytes >= previous_bytes:
            self.transport.abort()
            return
        self._tail_timer = self.loop.call_later(
            TAIL_STALL_S, self._watch_tail, unread_bytes
        )

    def _forget_tail(self) -> None:
        if self._tail_timer is not None:
            self._tail_timer.cancel()
            self._tail_timer = None

    def _await_headers(self) -> None:
        self._in_headers = True
        self._header_bytes = 0
        self._header_timer = self.loop.call_later(
            HEADER_TIMEOUT_S, self.transport.close
        )

    def _headers_ended(self) -> None:
        self._in_headers = False
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None


class _Server(uvicorn.Server):
    """A uvicorn server that leaves signals to the daemon and does not poll."""

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self.stopping = asyncio.Event()

    async def main_loop(self) -> None:
        await self.stopping.wait()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


class HttpServer:
    """One listener.

    Args:
      address: HOST:PORT; port 0 takes a free one.
      application: the ASGI application.
      options: further options of uvicorn, such as its TLS files.
    """

    def __init__(self, address: str, application: Any, **options: Any) -> None:
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)
        config = uvicorn.Config(
            application,
            http=_Protocol,
            lifespan="off",
            log_config=None,
            access_log=False,
            proxy_headers=False,
            ws="none",
            server_header=False,
            date_header=False,
            backlog=BACKLOG,
            **options,
        )
        self._server = _Server(config)
        self._task: asyncio.Task[None] | None = None

    @property
    def address(self) -> str:
        """The address in use, with the port that was taken."""
        return f"{self._host}:{self._port}"

    async def start(self) -> None:
        """Listen.

        Raises:
          OSError: the address cannot be taken.
        """
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((self._host, self._port))
        listener.setblocking(False)
        self._port = listener.getsockname()[1]
        self._task = asyncio.ensure_future(self._server.serve(sockets=[listener]))
        while not self._server.started:
            if self._task.done():
                self._task.result()
                raise OSError(f"no listener on {self.address}")
            await asyncio.sleep(POLL_S)

    async def stop(self) -> None:
        """Accept no more and end once all answers have ended."""
        self._server.should_exit = True
        self._server.stopping.set()
        if self._task is not None:
            await self._task

    def abort(self) -> None:
        """Cut all connections."""
        for connection in list(self._server.server_state.connections):
            connection.transport.abort()

    async def kill(self) -> None:
        """Cut all connections and requests at once, as a process that dies."""
        for listener in getattr(self._server, "servers", []):
            listener.close()
        self.abort()
        for task in list(self._server.server_state.tasks):
            task.cancel()
        serving = self._task
        self._task = None
        if serving is not None:
            serving.cancel()
            await asyncio.gather(serving, return_exceptions=True)
