"""Tests of who is let in by a desired state, with the real processes."""

import asyncio
import collections
import json
import os
import pathlib
import random
import tempfile
import unittest

from bench.platform_soak_callers import encode_request
from bench.platform_soak_fleet import CONTROL_PORT, FRONT_PORT, SoakFleet
from bench.platform_soak_targets import PlatformTargetList, SoakTarget, configuration
from endivesill import errors
from endivesill.http1 import ConnectionPool, UpstreamError
from endivesill.metrics_port import METRICS_PORT
from endivesill.timer import SystemTimer

# Above the numbers of the soak's runs; differs between test runs on one machine.
FLEET_NUMBER = 50_000 + os.getpid() % 5_000
CALL_TIMEOUT_S = 2.0
BACKOFF_S = 0.05
# Long enough for any machine; nothing is judged by it.
PATIENCE_S = 60.0
HELD_KEY = "key-1"
KEYS = (HELD_KEY, "key-2", "", None)


class TenantsTest(unittest.IsolatedAsyncioTestCase):
    """Guards against requests that run with a key that nobody holds."""

    async def asyncSetUp(self):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.timer = SystemTimer()
        self.pool = ConnectionPool(self.timer, CALL_TIMEOUT_S, 0.0)
        self.addCleanup(self.pool.close)
        self.runs = collections.Counter()
        self.attempts = 0
        target = SoakTarget(self.timer, "app", "a", self.runs, random.Random(1))
        target_list = PlatformTargetList(self.timer, [target])
        for part in (target, target_list):
            await part.start()
            self.addAsyncCleanup(part.stop)
        self.fleet = SoakFleet(
            pathlib.Path(folder) / "fleet", FLEET_NUMBER, target_list.proxy.address
        )
        self.addAsyncCleanup(self.fleet.stop)
        await self.fleet.start()
        self.late = self.fleet.processes["entry-c"]
        self.late.kill()

    async def call(self, address, method, path, headers=(), body=b""):
        request = encode_request(method, path, list(headers), body)
        exchange = self.pool.exchange(address, request)
        try:
            head, body = await self.timer.wait_for(exchange, CALL_TIMEOUT_S)
        except (UpstreamError, errors.DeadlineExceededError):
            return 0, b""
        return head.status, body

    async def until(self, condition):
        end_s = self.timer.now_s() + PATIENCE_S
        while not await condition():
            self.assertLess(self.timer.now_s(), end_s)
            await asyncio.sleep(BACKOFF_S)

    async def replace(self, version, **fields):
        """Put a desired state in force at all entries that run."""
        document = configuration(version)
        del document["tenants"]
        public = {**document["routes"][0], "name": "public", "path_prefix": "/public/"}
        document["routes"].append({**public, "public": True})
        body = json.dumps({**document, **fields}).encode()
        address = f"{self.fleet.processes['control-a'].ip}:{CONTROL_PORT}"

        async def is_acknowledged():
            path = "/Configuration.Replace"
            return (await self.call(address, "POST", path, body=body))[0] == 200

        await self.until(is_acknowledged)
        for process in self.fleet.with_role("entry"):
            if process.process is not None:
                await self.until_in_force(process, version)

    async def until_in_force(self, process, version):
        async def is_in_force():
            address = f"{process.ip}:{METRICS_PORT}"
            _, body = await self.call(address, "GET", "/metrics")
            lines = body.decode().splitlines()
            return f"endivesill_state_version {version}" in lines

        await self.until(is_in_force)

    async def runs_with(self, key, path):
        """Return at how many of the entries that run a request with a key runs."""
        count = 0
        for process in self.fleet.with_role("entry"):
            if process.process is None:
                continue
            self.attempts += 1
            attempt = f"attempt-{self.attempts}"
            headers = [("X-Endivesill-Request-Attempt-Id", attempt)]
            if key is not None:
                headers.append(("Api-Key", key))
            address = f"{process.ip}:{FRONT_PORT}"
            status, _ = await self.call(address, "POST", path, headers, b"order")
            if self.runs[attempt]:
                count += 1
            else:
                self.assertEqual(401, status)
        return count

    async def assert_let_in(self, *keys, entries=2):
        """Check whose requests run; those to public routes always do."""
        for key in KEYS:
            expected = entries if key in keys else 0
            self.assertEqual(expected, await self.runs_with(key, "/unsafe/x"), key)
            self.assertEqual(entries, await self.runs_with(key, "/public/x"), key)

    async def restart_all(self, version):
        for process in self.fleet.processes.values():
            process.kill()
        for process in self.fleet.processes.values():
            self.fleet.launch(process)
        for process in self.fleet.with_role("entry"):
            await self.until_in_force(process, version)

    async def test_only_held_keys_let_in(self):
        owners = [{"name": "owners", "api_keys": [HELD_KEY]}]
        await self.replace(1, tenants=[])
        await self.assert_let_in()
        await self.replace(2, tenants=owners)
        await self.assert_let_in(HELD_KEY)
        await self.replace(3)
        await self.assert_let_in(*KEYS)
        await self.replace(4, tenants=[{"name": "owners"}])
        await self.assert_let_in()
        await self.replace(5)
        await self.assert_let_in(*KEYS)
        await self.replace(6, tenants=[])
        await self.assert_let_in()
        self.fleet.launch(self.late)
        await self.until_in_force(self.late, 6)
        await self.assert_let_in(entries=3)
        await self.restart_all(6)
        await self.assert_let_in(entries=3)
