"""Operators that evacuate data centres while control VMs are suspended, and the check.

Each operator sends one order at a time, to VMs in random order, and gives it up after
some seconds without an acknowledgement. It then sends the next one. A copy of an order
that was given up or acknowledged must not take effect after a newer order.
"""

from __future__ import annotations

import asyncio
import random
import re
from typing import Any

import attrs

from bench.platform_soak_fleet import SoakFleet
from endivesill import errors
from endivesill.http1 import ConnectionPool, UpstreamError
from endivesill.metrics_port import METRICS_PORT
from endivesill.timer import TimerService

__all__ = ["OrderOperators", "OrderRecord"]

# Names of no data centre of the fleet, so that its targets stay in use.
NAMES = tuple(f"x{number}" for number in range(6))
RESPONSE_TIMEOUT_S = 1.0
GIVE_UP_S = 4.0
MAX_PAUSE_S = 0.6
BACKOFF_S = 0.05
MAX_REDIRECTS = 2
# Some operators follow no redirects, and some leave connections open.
FOLLOWING_FRACTION = 0.6
CLOSING_FRACTION = 0.5
METRICS_TIMEOUT_S = 5.0
# Builds without this metric do not show evacuations.
BUILD_METRIC = "endivesill_list_entries_skipped"
STATUS = re.compile(rb"HTTP/1\.1 (\d+)")
LOCATION = re.compile(rb"\r\nlocation: http://([^/]+)(/\S*)\r\n", re.IGNORECASE)


@attrs.define
class OrderRecord:
    """What an operator knows of one data centre.

    Attributes:
      evacuated: the last order that was acknowledged; None without one.
      is_certain: whether no later order was given up.
    """

    evacuated: bool | None = None
    is_certain: bool = True

    def finding(self, vm: str, name: str, evacuated: bool) -> str:
        """Return what is wrong with the state of a VM; the empty string if nothing."""
        if not self.is_certain or self.evacuated in (None, evacuated):
            return ""
        return f"{vm}: {name} is evacuated: {evacuated}; the last order was another"


class OrderOperators:
    """Operators of several data centres, one each.

    Args:
      timer: the timer service.
      seed: seed of the orders and of their ways.

    Attributes:
      until_s: when the operators stop to send new orders.
      records: what they know, by data centre.
      counts: orders that were acknowledged, given up, and copies that were overtaken.
    """

    def __init__(self, timer: TimerService, seed: int) -> None:
        self._timer = timer
        self._random = random.Random(f"{seed} orders")
        self._left_open: list[asyncio.StreamWriter] = []
        self.until_s = float("inf")
        self.records = {name: OrderRecord() for name in NAMES}
        self.counts = {"acknowledged": 0, "given_up": 0, "overtaken": 0}

    async def run(self, fleet: SoakFleet) -> None:
        """Send orders until the end."""
        await asyncio.gather(*(self._operate(fleet, name) for name in NAMES))

    async def _operate(self, fleet: SoakFleet, name: str) -> None:
        record = self.records[name]
        while self._timer.now_s() < self.until_s:
            evacuated = self._random.random() < 0.5
            record.is_certain = False
            if await self._order(fleet, name, evacuated):
                record.evacuated, record.is_certain = evacuated, True
                self.counts["acknowledged"] += 1
            else:
                self.counts["given_up"] += 1
            await self._timer.sleep(self._random.uniform(0.0, MAX_PAUSE_S))

    async def _order(self, fleet: SoakFleet, name: str, evacuated: bool) -> bool:
        """Send an order until it is acknowledged; return False if it is given up."""
        path = f"/Evacuation.{'Start' if evacuated else 'End'}/{name}"
        follows = self._random.random() < FOLLOWING_FRACTION
        give_up_s = self._timer.now_s() + GIVE_UP_S
        while self._timer.now_s() < give_up_s:
            proxy = self._random.choice(list(fleet.control_proxies.values()))
            address, target = proxy.address, path.encode()
            for _ in range(1 + MAX_REDIRECTS * follows):
                head = await self._send(address, target)
                status = STATUS.match(head)
                if status is not None and status[1] == b"200":
                    return True
                location = LOCATION.search(head)
                if location is None:
                    break
                self.counts["overtaken"] += 1
                address, target = location[1].decode(), location[2]
            await self._timer.sleep(BACKOFF_S)
        return False

    async def _send(self, address: str, target: bytes) -> bytes:
        """Return the head of the response; empty if there is none in time."""
        host, _, port = address.rpartition(":")
        writer: asyncio.StreamWriter | None = None

        async def exchange() -> bytes:
            nonlocal writer
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"POST %b HTTP/1.1\r\nHost: soak.example\r\n\r\n" % target)
            return await reader.readuntil(b"\r\n\r\n")

        try:
            return await self._timer.wait_for(exchange(), RESPONSE_TIMEOUT_S)
        except (OSError, EOFError, errors.DeadlineExceededError):
            return b""
        finally:
            if writer is not None and self._random.random() < CLOSING_FRACTION:
                writer.close()
            elif writer is not None:
                self._left_open.append(writer)

    def close(self) -> None:
        """Close the connections that were left open."""
        for writer in self._left_open:
            writer.transport.abort()

    async def check(self, fleet: SoakFleet) -> list[str]:
        """Compare the state of each running VM with the last orders."""
        findings = []
        pool = ConnectionPool(self._timer, METRICS_TIMEOUT_S, 0.0)
        request = b"GET /metrics HTTP/1.1\r\nHost: soak.example\r\n\r\n"
        for vm in fleet.with_role("control"):
            exchange = pool.exchange(f"{vm.ip}:{METRICS_PORT}", request)
            try:
                _, body = await self._timer.wait_for(exchange, METRICS_TIMEOUT_S)
            except (UpstreamError, errors.DeadlineExceededError) as error:
                findings.append(f"{vm.name} serves no metrics: {error}")
                continue
            if BUILD_METRIC.encode() in body:
                findings += self._check_vm(vm.name, body.decode().splitlines())
        return findings

    def _check_vm(self, vm: str, lines: list[str]) -> list[str]:
        found = []
        for name, record in self.records.items():
            evacuated = f'endivesill_evacuated{{data_centre="{name}"}} 1' in lines
            found.append(record.finding(vm, name, evacuated))
        return [finding for finding in found if finding]

    def figures(self) -> dict[str, Any]:
        """Return counts for the report."""
        return {"orders": dict(self.counts)}
