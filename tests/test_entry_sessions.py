"""Golden-file tests of complete sessions, one class for each.

`ENDIVESILL_WRITE_GOLDEN=1` rewrites the golden files.
"""

import asyncio
import unittest

from tests.entry_fakes import (
    KEY,
    ScriptedEngine,
    answering,
    breaking,
    dying,
    last_id,
    serving,
    silent,
    until,
)
from tests.sessions import SessionTestCase

PLAN = {"model": "llm", "prompt": "Plan the week", "stream": True, "max_tokens": 3}
COMPLETIONS = "/v1/completions"


class SessionCase(SessionTestCase):
    async def add_scripted(self, *scripts, name="engine-1"):
        engine = ScriptedEngine(*scripts)
        self.fleet.add_target(name, "llm", await engine.start())
        self.addAsyncCleanup(engine.stop)
        return engine


class StreamedPlanSession(SessionCase, unittest.IsolatedAsyncioTestCase):
    golden = "streamed-plan"

    async def play(self):
        await self.fleet.add_engine("engine-1")
        await self.call(await self.fleet.add_entry(), COMPLETIONS, PLAN)


class BufferedResponseSession(SessionCase, unittest.IsolatedAsyncioTestCase):
    golden = "whole-answer"

    async def play(self):
        await self.fleet.add_engine("engine-1")
        messages = [{"role": "user", "content": "Does a vet come first?"}]
        body = {"model": "llm", "messages": messages, "max_tokens": 3}
        url = await self.fleet.add_entry()
        await self.call(url, "/v1/chat/completions", body)


class PlainCallSession(SessionCase, unittest.IsolatedAsyncioTestCase):
    golden = "plain-call"

    async def play(self):
        await self.fleet.add_plain("stable-1")
        url = await self.fleet.add_entry()
        await self.call(url, "/app/list?day=mon", method="GET")


class RefusalsSession(SessionCase, unittest.IsolatedAsyncioTestCase):
    golden = "refusals"

    async def play(self):
        self.fleet.configure(limits__default={"body_bytes": 1024})
        url = await self.fleet.add_entry()
        self.add_comment("no key, then a wrong one")
        await self.call(url, COMPLETIONS, PLAN, headers={})
        await self.call(url, COMPLETIONS, PLAN, {"Authorization": "Bearer x"})
        self.add_comment("requests that are wrong in themselves")
        await self.call(url, COMPLETIONS, "{")
        await self.call(url, COMPLETIONS, {**PLAN, "model": "nil"})
        await self.call(url, COMPLETIONS, {**PLAN, "max_tokens": "3"})
        await self.call(url, COMPLETIONS, {**PLAN, "prompt": "x" * 2000})
        await self.call(url, "/nowhere", method="GET")
        await self.call(url, COMPLETIONS, PLAN, {**KEY, "Last-Event-ID": "x"})
        self.add_comment("no target")
        await self.call(url, COMPLETIONS, PLAN)
        self.add_comment("a target that refuses")
        engine = await self.fleet.add_engine("engine-1")
        engine.refusing = True
        await self.call(url, COMPLETIONS, PLAN)
        self.add_comment("too many requests of the organisation at once")
        await self._exceed_the_request_limit(url)
        self.add_comment("no lease")
        self.fleet.source.lease = False
        await self.call(url, COMPLETIONS, PLAN)
        self.assertEqual({}, engine.starts)

    async def _exceed_the_request_limit(self, url):
        self.fleet.configure(organisation__o={"maximum_requests": 1})
        admission = self.fleet.entries[0].application._context.admission
        organisation = self.fleet.source.current().organisations["o"]
        with admission.admit(organisation):
            await self.call(url, COMPLETIONS, PLAN)


class EngineFailsBeforeFirstTokenSession(SessionCase, unittest.IsolatedAsyncioTestCase):
    golden = "engine-dies-before-first-token"

    async def play(self):
        await self.add_scripted(dying)
        await self.fleet.add_engine("engine-2")
        await self.call(await self.fleet.add_entry(), COMPLETIONS, PLAN)


class EngineFailsAfterFirstTokenSession(SessionCase, unittest.IsolatedAsyncioTestCase):
    golden = "engine-dies-after-first-token"

    async def play(self):
        await self.add_scripted(serving(0, 2, breaking), answering(410))
        await self.fleet.add_engine("engine-2")
        await self.call(await self.fleet.add_entry(), COMPLETIONS, PLAN)


class StalledConnectionSession(SessionCase, unittest.IsolatedAsyncioTestCase):
    golden = "stalled-link-resumed"

    async def play(self):
        await self.add_scripted(serving(0, 2, silent), serving(2, 4))
        await self.call(await self.fleet.add_entry(), COMPLETIONS, PLAN)


class CallerDisconnectsSession(SessionCase, unittest.IsolatedAsyncioTestCase):
    golden = "caller-goes-away"

    async def play(self):
        await self.add_scripted(serving(0, 2, silent))
        url = await self.fleet.add_entry()
        self.add_comment("the caller reads two tokens and goes away")
        async with self.session.post(
            f"{url}{COMPLETIONS}", json=PLAN, headers=KEY
        ) as response:
            text = ""
            while text.count("\n\n") < 2:
                text += (await response.content.readany()).decode()
            self.add_response(response, text)
            response.close()
        await until(lambda: any("cancelled" in line for line in self.lines))


class ReconnectSession(SessionCase, unittest.IsolatedAsyncioTestCase):
    golden = "caller-comes-back-elsewhere"

    async def play(self):
        await self.fleet.add_engine("engine-1")
        urls = [await self.fleet.add_entry() for _ in range(2)]
        text = await self.call(urls[0], COMPLETIONS, PLAN)
        self.add_comment("it lost the stream after the first token")
        first = text.split("\n\n")[0] + "\n\n"
        headers = {**KEY, "Last-Event-ID": last_id(first)}
        await self.call(urls[1], COMPLETIONS, None, headers, method="GET")


class BookingTwiceSession(SessionCase, unittest.IsolatedAsyncioTestCase):
    golden = "booking-twice"

    async def play(self):
        await self.fleet.add_plain("stable-1")
        urls = [await self.fleet.add_entry() for _ in range(2)]
        headers = {**KEY, "Idempotency-Key": "visit-7"}
        for url in urls:
            await self.call(url, "/app/bookings", "horse=Freja", headers)
        self.add_comment("the same key for another booking")
        await self.call(urls[0], "/app/bookings", "horse=Loke", headers)
        await asyncio.sleep(0)
        self.assertEqual(1, len(self.fleet.plains["stable-1"].ran))
