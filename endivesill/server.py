"""HTTP listeners: ASGI applications served by uvicorn."""

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
START_POLL_PERIOD_S = 0.005
MAX_HEADER_BLOCK_BYTES = 65_536
HEADER_TIMEOUT_S = 10.0
UNREAD_RESPONSE_TIMEOUT_S = 30.0
CONNECTION_EXTENSION = "endivesill.connection"
HEADERS_TOO_LARGE_RESPONSE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"content-type: application/problem+json\r\n"
    b"content-length: 63\r\nconnection: close\r\n\r\n"
    b'{"title":"headers are too large","status":431,"run":"not-run"}\n'
)


class _Protocol(HttpToolsProtocol):
    """A connection with limits on header blocks and on unread responses.

    It limits the size and the duration of a header block, and aborts when the
    client stops reading the end of a response. An ASGI extension lets applications
    check whether the connection is closing and abort it.
    """

    _header_bytes = 0
    _in_headers = True
    _header_timer: asyncio.TimerHandle | None = None
    _unread_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: Any) -> None:
        super().connection_made(transport)
        self._start_header_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        self._stop_header_timer()
        self._cancel_unread_check()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        if not self._in_headers:
            super().data_received(data)
            return
        self._header_bytes += len(data)
        super().data_received(data)
        if self._in_headers and self._header_bytes > MAX_HEADER_BLOCK_BYTES:
            self._stop_header_timer()
            self.transport.write(HEADERS_TOO_LARGE_RESPONSE)
            self.transport.close()

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self._cancel_unread_check()
        if not self._in_headers:
            self._start_header_timer()
        extension: dict[object, object] = {
            "abort": self.transport.abort,
            "is_closing": self.transport.is_closing,
        }
        self.scope["extensions"] = {CONNECTION_EXTENSION: extension}

    def on_headers_complete(self) -> None:
        self._stop_header_timer()
        super().on_headers_complete()

    def on_response_complete(self) -> None:
        super().on_response_complete()
        self._check_unread_response(None)

    def _check_unread_response(self, previous_bytes: int | None) -> None:
        """Abort if the client read nothing of the response since the last check."""
        unread_bytes = self.transport.get_write_buffer_size()
        if not unread_bytes:
            return
        if previous_bytes is not None and unread_bytes >= previous_bytes:
            self.transport.abort()
            return
        self._unread_timer = self.loop.call_later(
            UNREAD_RESPONSE_TIMEOUT_S, self._check_unread_response, unread_bytes
        )

    def _cancel_unread_check(self) -> None:
        if self._unread_timer is not None:
            self._unread_timer.cancel()
            self._unread_timer = None

    def _start_header_timer(self) -> None:
        self._in_headers = True
        self._header_bytes = 0
        self._header_timer = self.loop.call_later(
            HEADER_TIMEOUT_S, self.transport.close
        )

    def _stop_header_timer(self) -> None:
        self._in_headers = False
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None


class _Server(uvicorn.Server):
    """A uvicorn server without signal handlers and without a polling main loop.

    The daemon handles the signals.
    """

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self.stopping = asyncio.Event()

    async def main_loop(self) -> None:
        await self.stopping.wait()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


class HttpServer:
    """An HTTP listener.

    Args:
      address: HOST:PORT; port 0 binds a free port.
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
        """HOST:PORT; the bound port once the server has started."""
        return f"{self._host}:{self._port}"

    async def start(self) -> None:
        """Start listening.

        Raises:
          OSError: the address cannot be bound.
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
                raise OSError(f"HTTP server stopped while starting on {self.address}")
            await asyncio.sleep(START_POLL_PERIOD_S)

    async def stop(self) -> None:
        """Stop accepting connections and wait until all responses have been sent."""
        self._server.should_exit = True
        self._server.stopping.set()
        if self._task is not None:
            await self._task

    def abort(self) -> None:
        """Abort all connections."""
        for connection in list(self._server.server_state.connections):
            connection.transport.abort()

    async def kill(self) -> None:
        """Abort all connections and cancel all requests, like a process crash."""
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
