"""All engines of an application fail for as many requests as come in an hour."""

from __future__ import annotations

import asyncio
import collections
import sys
import time

from deployment_3 import (
    FRONT_PORT,
    HOST,
    KEY,
    READY_PORT,
    URGENT_KEY,
    Deployment,
    desired_state,
    has_trouble,
    route,
    run_case,
)
from standins_3 import SEAL, Engine, Request, call, encode_response

ROUTES = [
    route("hoof-triage", "streaming", "huvo11a", 6_000, 1_500, 0),
    route("booking-write", "unsafe", "wuno96b", 800, 125, 2),
]
TRIAGE = (2_200, 12)
# Bookings are sent on kept channels for FAILING_S at REQUESTS_PER_S in all. At the 20.6
# a second of the sheet that takes an hour.
REQUESTS_PER_S, FAILING_S = 1_000.0, 74.0
CHANNELS = 8
# `config_apply_ms` and a margin; nothing is disturbed before and after it.
CALM_S, APPLIED_S = 5.0, 4.0
CHECKS = 10


class Application(Engine):
    """An engine of the plain service, whose application may fail each request.

    Attributes:
      fails: whether it does; it runs the requests all the same, as its seal says.
    """

    fails = False

    async def _run(self, request: Request, writer: asyncio.StreamWriter) -> None:
        attempt_id = request.headers.get("x-endivesill-request-attempt-id", "")
        headers = {
            "X-Endivesill-Request-Attempt-Id": attempt_id,
            "X-Endivesill-Response-Seal": SEAL,
        }
        writer.write(encode_response(500 if self.fails else 200, headers, b"{}"))


class Bookings:
    """Requesters that send bookings on kept channels.

    Attributes:
      ends: how many requests ended with each status, or with a closed channel.
    """

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._ends_s = time.monotonic() + FAILING_S
        self.ends: collections.Counter[str] = collections.Counter()

    async def run(self) -> None:
        """Send until the time is up."""
        fronts = self._deployment.fronts
        await asyncio.gather(
            *(self._send(front) for front in fronts for _ in range(CHANNELS))
        )

    async def _send(self, front: str) -> None:
        period_s = CHANNELS * len(self._deployment.fronts) / REQUESTS_PER_S
        due_s = time.monotonic()
        while time.monotonic() < self._ends_s:
            host, _, port = front.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                while time.monotonic() < self._ends_s:
                    due_s += period_s
                    await asyncio.sleep(max(0.0, due_s - time.monotonic()))
                    writer.write(self._request())
                    self.ends[await _read_status(reader)] += 1
            except (OSError, asyncio.IncompleteReadError):
                self.ends["closed"] += 1
            finally:
                writer.close()

    def _request(self) -> bytes:
        lines = [
            "POST /booking-write/2f HTTP/1.1",
            f"Host: {HOST}",
            f"X-Endivesill-Request-Attempt-Id: {self._deployment.new_id()}",
            "X-Endivesill-Deadline-Remaining: 600",
            f"Api-Key: {KEY}",
            "Content-Length: 2",
        ]
        return ("\r\n".join(lines) + "\r\n\r\n{}").encode()


async def _read_status(reader: asyncio.StreamReader) -> str:
    """Read an answer that has a length; return its status."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    status, *lines = head[:-4].split("\r\n")
    for line in lines:
        name, _, value = line.partition(":")
        if name.lower() == "content-length":
            await reader.readexactly(int(value))
    return status.split(" ")[1]


async def _is_ready(front: str) -> bool:
    address = front.replace(f":{FRONT_PORT}", f":{READY_PORT}")
    headers = {"Host": address}
    answer = await call(address, "GET", "/readiness", headers, timeout_s=1)
    return answer.status == 200


async def play(deployment: Deployment) -> int:
    """Let the application fail, and change the desired state; return 1 if broken."""
    for engine in deployment.plain_engines:
        engine.__class__ = Application
    state = desired_state(ROUTES)
    await deployment.start(state)
    Application.fails = has_trouble()
    bookings = Bookings(deployment)
    await bookings.run()
    deployment.record(f"bookings while the application failed: {dict(bookings.ends)}")
    await asyncio.sleep(CALM_S)
    # The key of the second tenant is taken away.
    first = state["tenants"][:1]
    await deployment.replace({**state, "version": 9, "tenants": first})
    await asyncio.sleep(APPLIED_S)
    runs = 0
    served: collections.Counter[str] = collections.Counter()
    for number in range(CHECKS):
        front = number % len(deployment.fronts)
        dropped = await deployment.ask(
            "booking-write", front=front, remaining_ms=600, Api_Key=URGENT_KEY
        )
        # It has run, also if the application failed.
        runs += "x-endivesill-response-seal" in dropped.headers
        triage = await deployment.ask("hoof-triage", front=front, tokens=TRIAGE)
        served["hoof-triage"] += triage.is_success
        served["ready"] += await _is_ready(deployment.fronts[front])
    deployment.record(f"of {CHECKS}: {dict(served)}, {runs} ran with a dropped key")
    if runs:
        deployment.record("broken: CONFIG")
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(run_case(__file__, play, fronts=2))
