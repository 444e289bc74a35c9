"""Tests of control VMs whose disks are full for a time, with the real processes."""

import asyncio
import os
import pathlib
import tempfile
import unittest

from bench.fault_proxy import FaultProxy
from bench.platform_soak_callers import Operator
from bench.platform_soak_fleet import CONTROL_PORT, SoakFleet
from bench.platform_soak_targets import configuration
from endivesill.timer import SystemTimer

# Above the numbers of the soak's runs; differs between test runs on one machine.
FLEET_NUMBER = 55_000 + os.getpid() % 5_000
CHANGES_WHILE_FULL = 3
# Long enough for any machine; nothing is judged by it.
PATIENCE_S = 60.0


class FullDiskTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.fleet = SoakFleet(
            pathlib.Path(folder) / "fleet", FLEET_NUMBER, "127.0.0.1:1"
        )
        self.controls = self.fleet.with_role("control")
        for process in self.controls:
            self.addCleanup(process.kill)
            self.fleet.launch(process)
            proxy = FaultProxy(f"{process.ip}:{CONTROL_PORT}")
            await proxy.start()
            self.addAsyncCleanup(proxy.stop)
            self.fleet.control_proxies[process.name] = proxy
        self.operator = Operator(SystemTimer(), self.fleet, 1)
        self.version = 0

    async def change(self):
        """Send new configurations until one is acknowledged."""
        async with asyncio.timeout(PATIENCE_S):
            while True:
                self.version += 1
                self.operator.sent[self.version] = configuration(self.version)
                if await self.operator._send(self.version):
                    return

    async def test_changes_are_taken_after_each_disk_was_full_for_a_time(self):
        await self.change()
        for process in self.controls:
            process.limit_file_size(0)
            for _ in range(CHANGES_WHILE_FULL):
                await self.change()
            process.limit_file_size(-1)
        await self.change()
        document = await self.operator.read()
        while document is None:
            document = await self.operator.read()
        self.assertEqual(self.operator.sent[self.version], document)
