"""Tests of an entry under the default routing policy, on loopback."""

import unittest

from tests.entry_fakes import FleetTestCase

DEFAULT_POLICY = {"routing_policy": "credit"}


class CreditEntryTest(FleetTestCase, unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        for service in ("llm", "app"):
            self.fleet.configure(**{f"service__{service}": DEFAULT_POLICY})

    async def test_streams_and_calls_are_answered_from_a_cold_start(self):
        for name in ("e0", "e1"):
            await self.fleet.add_engine(name)
        await self.fleet.add_plain()
        url = await self.fleet.add_entry()
        for _ in range(6):
            response, text = await self.stream(url, max_tokens=3)
            self.assertEqual(200, response.status)
            self.assertEqual(3, text.count("\nid: ") + text.startswith("id: "))
        async with self.session.get(
            f"{url}/app/list", headers={"Authorization": "Bearer test-key"}
        ) as answer:
            self.assertEqual(200, answer.status)

    async def test_requests_avoid_a_dead_engine(self):
        await self.fleet.add_engine("e0")
        await self.fleet.add_engine("e1")
        url = await self.fleet.add_entry()
        await self.fleet.servers["e0"].kill()
        for _ in range(6):
            response, _ = await self.stream(url, max_tokens=3)
            self.assertEqual(200, response.status)
