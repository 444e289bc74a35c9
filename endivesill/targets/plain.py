"""The adapter to plain services: passes calls through unchanged."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import aiohttp
import attrs
import yarl

from endivesill import errors
from endivesill.configuration.model import Target
from endivesill.targets.adapter import CONNECT_TIMEOUT_S, TargetAdapter, adapter
from endivesill.targets.engine import NOT_RUN, RUN_HEADER
from endivesill.targets.session import start_check
from endivesill.timer import TimerService

__all__ = ["PlainAdapter", "PlainAnswer", "PlainCall", "end_to_end_headers"]

HOP_BY_HOP = frozenset(
    (
        "connection",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)

Header = tuple[str, str]


@attrs.frozen
class PlainCall:
    """A caller's call to a plain service.

    Attributes:
      method: the HTTP method.
      path: path and query as the caller sent them, without the service prefix.
      headers: the end-to-end headers, in order.
      body: the whole body.
      attempt_id: unique to this attempt.
      repeatable: whether it may be sent on a pooled connection.
    """

    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    attempt_id: str
    repeatable: bool = True


class PlainAnswer:
    """A plain service's answer, whose body is read in pieces.

    Args:
      response: the answer, whose body has not been read.
    """

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        self._response = response
        pairs = ((name, value) for name, value in response.headers.items())
        self.status = response.status
        self.headers = end_to_end_headers(pairs)

    def says_not_run(self) -> bool:
        """Tell whether the target says itself that it did not run the call."""
        run = self._response.headers.get(RUN_HEADER)
        return self.status == 503 and run == NOT_RUN

    async def read(self) -> bytes:
        """Return bytes of the body that have arrived; b"" at its end.

        Raises:
          TargetError: the connection broke or was closed.
        """
        try:
            return await self._response.content.readany()
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise errors.TargetError(f"no whole answer: {error!r}") from None

    def close(self) -> None:
        """Close the connection, unless the answer has been read to its end."""
        if self._response.content.is_eof():
            self._response.release()
        else:
            self._response.close()


def end_to_end_headers(headers: Iterable[Header]) -> tuple[Header, ...]:
    """Return headers without the hop-by-hop ones and those Connection names."""
    pairs = list(headers)
    named = {
        word.strip().lower()
        for name, value in pairs
        if name.lower() == "connection"
        for word in value.split(",")
    }
    dropped = HOP_BY_HOP | named
    return tuple((n, v) for n, v in pairs if n.lower() not in dropped)


@adapter("plain")
class PlainAdapter(TargetAdapter):
    """Passes calls to plain services.

    Args:
      session: the pooled session, for calls that may be repeated.
      timer: the timer service.
      fresh_session: opens a connection for each call, for the other calls: a
        pooled connection may be closed by the target just when it is used.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        timer: TimerService,
        fresh_session: aiohttp.ClientSession | None = None,
    ) -> None:
        super().__init__(session, timer)
        self.fresh_session = fresh_session or session

    async def call(
        self,
        target: Target,
        call: PlainCall,
        timeout_s: float,
        may_start: Callable[[], bool] | None = None,
    ) -> PlainAnswer:
        """Send one call and return the answer once its headers are there.

        Args:
          target: the plain service.
          call: the call.
          timeout_s: the longest wait for the answer's headers.
          may_start: asked once connected, before the first byte goes out.

        Raises:
          TargetRefusedError: no connection was made or it may not start any
            more, so it has not run; or the target says so itself.
          TargetError: it may have run.
        """
        with start_check(may_start):
            try:
                response = await self.timer.wait_for(
                    self._send(target, call, timeout_s), timeout_s
                )
            except (
                aiohttp.ClientConnectorError,
                aiohttp.ConnectionTimeoutError,
            ) as error:
                raise errors.TargetUnreachableError(f"no connection: {error}") from None
            except (aiohttp.ClientError, OSError, TimeoutError) as error:
                raise errors.TargetError(f"no answer: {error!r}") from None
            except errors.DeadlineExceededError:
                raise errors.TargetError(f"no answer within {timeout_s} s") from None
        answer = PlainAnswer(response)
        if answer.says_not_run():
            answer.close()
            raise errors.TargetRefusedError("the target says that it did not run it")
        return answer

    async def _send(
        self, target: Target, call: PlainCall, timeout_s: float
    ) -> aiohttp.ClientResponse:
        session = self.session if call.repeatable else self.fresh_session
        return await session.request(
            call.method,
            yarl.URL(target.url + call.path, encoded=True),
            data=call.body or None,
            headers=[*call.headers, ("X-Attempt-Id", call.attempt_id)],
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=min(timeout_s, CONNECT_TIMEOUT_S)
            ),
            allow_redirects=False,
            skip_auto_headers=(
                "User-Agent",
                "Accept",
                "Accept-Encoding",
                "Content-Type",
            ),
        )
