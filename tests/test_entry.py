"""Tests of the whole path in one process, with real sockets on loopback."""

import json
import unittest

import aiohttp

from bench.standin_engine import StandinEngine
from bench.standin_plain import StandinPlain
from endivesill.configuration.model import configuration_from_documents
from endivesill.entry.service import EntryService
from endivesill.kernel import Kernel
from endivesill.keys import hash_key
from endivesill.routing import Router
from endivesill.server import HttpServer
from endivesill.timer import SystemTimer

KEY = {"Authorization": "Bearer test-key"}


class WholePathTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.engine = StandinEngine(token_s=0.001)
        self.plain = StandinPlain()
        self.servers = [
            HttpServer("127.0.0.1:0", self.engine.application()),
            HttpServer("127.0.0.1:0", self.plain.application()),
        ]
        for server in self.servers:
            await server.start()
        documents = {
            "data-centre/a": {"region": "r"},
            "service/llm": {"protocol": "engine"},
            "service/app": {"protocol": "plain", "path_prefix": "/app"},
            "organisation/o": {"key_sha256": hash_key("test-key")},
            "target/e": {
                "service": "llm",
                "url": f"http://{self.servers[0].address}",
                "data_centre": "a",
            },
            "target/p": {
                "service": "app",
                "url": f"http://{self.servers[1].address}",
                "data_centre": "a",
            },
        }
        configuration = configuration_from_documents(1, documents)
        self.kernel = Kernel(SystemTimer())
        self.kernel.add("router", Router(self.kernel.timer, lambda: configuration))
        entry = EntryService(self.kernel, "127.0.0.1:0", lambda: configuration)
        self.kernel.add("entry", entry)
        await self.kernel.start()
        self.url = f"http://{entry.address}"
        self.session = aiohttp.ClientSession()

    async def asyncTearDown(self):
        await self.session.close()
        await self.kernel.stop()
        for server in self.servers:
            await server.stop()

    async def test_a_streamed_generation_has_each_token_once_in_order(self):
        body = {"model": "llm", "prompt": "plan", "stream": True, "max_tokens": 30}
        async with self.session.post(
            f"{self.url}/v1/completions", json=body, headers=KEY
        ) as response:
            events = (await response.text()).split("\n\n")
        texts = [
            json.loads(event.split("data: ")[1])["choices"][0]["text"]
            for event in events[:-2]
        ]
        self.assertEqual([f"w{index} " for index in range(30)], texts)
        self.assertEqual("data: [DONE]", events[-2])

    async def test_a_whole_answer_joins_the_tokens(self):
        body = {
            "model": "llm",
            "messages": [{"role": "user", "content": "plan"}],
            "max_tokens": 3,
        }
        async with self.session.post(
            f"{self.url}/v1/chat/completions", json=body, headers=KEY
        ) as response:
            document = await response.json()
        self.assertEqual("w0 w1 w2 ", document["choices"][0]["message"]["content"])

    async def test_a_plain_call_arrives_unchanged(self):
        async with self.session.post(
            f"{self.url}/app/a%2Fb?x=1&y=%20", data=b"raw", headers=KEY
        ) as response:
            self.assertEqual(200, response.status)
        self.assertEqual("x=1&y=%20", self.plain.ran[0]["query"])
        self.assertEqual("raw", self.plain.ran[0]["body"])

    async def test_an_unknown_model_names_the_field(self):
        async with self.session.post(
            f"{self.url}/v1/completions", json={"model": "x", "prompt": ""}, headers=KEY
        ) as response:
            document = await response.json(content_type=None)
        self.assertEqual((404, "model"), (response.status, document["field"]))
        self.assertEqual({}, self.engine.starts)
