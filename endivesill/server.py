"""Listeners: an ASGI application on an address, served by uvicorn."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Iterator
from typing import Any

import uvicorn

__all__ = ["HttpServer"]

BACKLOG = 2048
POLL_S = 0.005


class _Server(uvicorn.Server):
    """A uvicorn server that leaves signals to the daemon."""

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
            lifespan="off",
            log_config=None,
            access_log=False,
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
        if self._task is not None:
            await self._task
