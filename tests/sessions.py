"""Complete sessions as normalised text: requests, log events and responses."""

import json
import os
import pathlib
import re

from endivesill import events
from tests.entry_fakes import KEY, FleetTestCase

FOLDER = pathlib.Path(__file__).parent / "golden"
WRITE = "ENDIVESILL_WRITE_GOLDEN"
ROUTING = range(3000, 4000)
ROUTING_FIELDS = ("request_id", "target", "reason")
SHOWN_HEADERS = (
    "Content-Type",
    "Retry-After",
    "Idempotency-Replayed",
    "X-Request-Id",
    "X-Generation-Id",
)
IDS = {"request": 32, "generation": 48, "attempt": 32, "ledger": 40}
HEX = re.compile(r"(?<![0-9a-f])(?:[0-9a-f]{48}|[0-9a-f]{40}|[0-9a-f]{32})(?![0-9a-f])")
ADDRESS = re.compile(r"127\.0\.0\.1[:', ]+\d+")
SECONDS = re.compile(r"(wait_s|retry_after_s)(\"?[=:] ?)[0-9.]+")


class Normaliser:
    """Replaces ids by numbered placeholders, and addresses and times by fixed ones."""

    def __init__(self):
        self._names = {}
        self._counts = {}

    def text(self, text):
        text = HEX.sub(lambda match: self._name(match[0]), text)
        text = ADDRESS.sub("<address>", text)
        return SECONDS.sub(r"\1\2<time>", text)

    def _name(self, hex_id):
        if hex_id not in self._names:
            kind = {48: "generation", 40: "key", 32: "id"}[len(hex_id)]
            self._counts[kind] = self._counts.get(kind, 0) + 1
            self._names[hex_id] = f"<{kind}-{self._counts[kind]}>"
        return self._names[hex_id]


class SessionTestCase(FleetTestCase):
    """Mixin: runs a session and compares it with its golden file."""

    maxDiff = None
    golden = ""

    async def play(self):
        raise NotImplementedError

    async def test_the_session_is_as_recorded(self):
        self.lines = []
        self.addCleanup(events.listen(self.add_log_event))
        await self.play()
        text = Normaliser().text("\n".join(self.lines) + "\n")
        path = FOLDER / f"{self.golden}.txt"
        if os.environ.get(WRITE):
            FOLDER.mkdir(exist_ok=True)
            path.write_text(text, encoding="utf-8")
        self.assertEqual(path.read_text(encoding="utf-8"), text)

    def add_log_event(self, kind, fields):
        if "request_id" not in fields:
            return
        if kind.number in ROUTING:
            fields = {k: v for k, v in fields.items() if k in ROUTING_FIELDS}
        shown = " ".join(f"{key}={value}" for key, value in fields.items())
        self.lines.append(f"log {kind.number} {kind.name} {shown}".rstrip())

    def add_comment(self, text):
        self.lines.append(f"-- {text}")

    async def call(self, url, path, body=None, headers=KEY, method="POST"):
        """Send a request; record it and its response."""
        data = json.dumps(body) if isinstance(body, dict) else body
        shown = [f"{k}: {v}" for k, v in headers.items() if k != "Authorization"]
        sent = data if data is None or len(data) < 200 else f"{len(data)} bytes"
        request = [f"> {method} {path}", *shown, str(sent or "")]
        self.lines.append("\n> ".join(line for line in request if line))
        async with self.session.request(
            method, f"{url}{path}", data=data, headers=headers
        ) as response:
            text = await response.text()
        self.add_response(response, text)
        return text

    def add_response(self, response, text):
        shown = [
            f"{name}: {response.headers[name]}"
            for name in SHOWN_HEADERS
            if name in response.headers
        ]
        body = [line for line in text.split("\n") if line]
        self.lines.append("\n< ".join([f"< {response.status}", *shown, *body]))
