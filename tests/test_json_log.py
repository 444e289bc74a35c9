"""Tests of the JSON log: bounded, non-blocking, and counting what it drops."""

import ast
import json
import os
import pathlib
import unittest

from endivesill import events
from endivesill.json_log import (
    HELD_RETENTION_S,
    MAX_BUFFERED_LINES,
    MAX_HELD_LINES,
    MAX_KIND_LINES_PER_S,
    JsonLog,
)
from endivesill.timer import ManualTimer

PACKAGE = pathlib.Path(__file__).resolve().parent.parent / "endivesill"
KIND = events.EventKind(99_001, "test-line", "A line of this test.")
OTHER = events.EventKind(99_002, "other-line", "Another line of this test.")


class JsonLogTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.timer = ManualTimer()
        self.reader, writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)
        os.set_blocking(self.reader, False)
        os.set_blocking(writer, False)
        self.log = JsonLog(self.timer, "vm-1", writer)

    def lines(self):
        self.log.flush()
        try:
            data = os.read(self.reader, 1_000_000)
        except BlockingIOError:
            return []
        return [json.loads(line) for line in data.splitlines()]

    async def test_a_line_is_one_json_object(self):
        self.log.write(KIND, {"request": "a1", "odd": {1}})
        (line,) = self.lines()
        self.assertEqual("test-line", line["message_type"])
        self.assertEqual(99_001, line["event"])
        self.assertEqual("a1", line["request"])
        self.assertEqual("vm-1", line["process"])

    async def test_lines_of_one_kind_are_rate_limited_and_the_rest_is_counted(self):
        for number in range(MAX_KIND_LINES_PER_S + 50):
            self.log.write(KIND, {"n": number})
        self.log.write(OTHER, {})
        names = [line["message_type"] for line in self.lines()]
        self.assertEqual(MAX_KIND_LINES_PER_S, names.count("test-line"))
        self.assertEqual(1, names.count("other-line"))
        await self.timer.advance(1.1)
        self.log.write(OTHER, {})
        dropped = self.lines()[0]
        self.assertEqual("log-lines-dropped", dropped["message_type"])
        self.assertEqual({"test-line": 50}, dropped["counts"])

    async def test_a_stalled_reader_does_not_block_the_process(self):
        for _ in range(40):
            await self.timer.advance(1.1)
            for number in range(MAX_KIND_LINES_PER_S):
                self.log.write(KIND, {"text": "x" * 200, "n": number})
            self.log.flush()
        self.assertLessEqual(len(self.log._lines), MAX_BUFFERED_LINES)
        text = self.drain()
        await self.timer.advance(1.1)
        self.log.write(OTHER, {})
        text += self.drain()
        found = [json.loads(line) for line in text.splitlines()]
        dropped = [f for f in found if f["message_type"] == "log-lines-dropped"]
        dropped_count = sum(line["counts"]["test-line"] for line in dropped)
        written_count = sum(f["message_type"] == "test-line" for f in found)
        self.assertEqual(40 * MAX_KIND_LINES_PER_S, written_count + dropped_count)

    async def test_all_lines_of_a_failed_request_are_written(self):
        self.log = JsonLog(
            self.timer,
            "vm-1",
            self.log._descriptor,
            lambda kind, _: kind is OTHER or None,
        )
        for number in range(MAX_KIND_LINES_PER_S + 50):
            self.log.write(KIND, {"request_id": f"r{number}"})
        held_request = f"r{MAX_KIND_LINES_PER_S + 10}"
        self.assertNotIn(held_request, [line["request_id"] for line in self.lines()])
        self.log.write(OTHER, {"request_id": held_request})
        found = [(n["message_type"], n["request_id"]) for n in self.lines()]
        self.assertEqual(
            [("test-line", held_request), ("other-line", held_request)], found
        )

    async def test_failures_have_a_separate_rate_limit_and_reserved_buffer(self):
        self.log = JsonLog(
            self.timer,
            "vm-1",
            self.log._descriptor,
            lambda kind, fields: fields["failed"],
        )
        for _ in range(40):
            await self.timer.advance(1.1)
            for _ in range(MAX_KIND_LINES_PER_S):
                self.log.write(KIND, {"request_id": "a", "failed": False})
        self.log.write(KIND, {"request_id": "b", "failed": True})
        last = [*self.log._lines][-1]
        self.assertEqual("b", json.loads(last)["request_id"])

    async def test_held_lines_expire_and_are_counted_as_dropped(self):
        for number in range(MAX_KIND_LINES_PER_S + 50):
            self.log.write(KIND, {"request_id": f"r{number}"})
        self.lines()
        await self.timer.advance(HELD_RETENTION_S + 1.0)
        self.log.write(OTHER, {})
        self.assertEqual({"test-line": 50}, self.lines()[0]["counts"])

    async def test_held_lines_are_bounded(self):
        for number in range(MAX_KIND_LINES_PER_S + MAX_HELD_LINES + 7):
            self.log.write(KIND, {"request_id": f"r{number}"})
        self.assertEqual(MAX_HELD_LINES, self.log._held_lines)
        self.assertEqual({"test-line": 7}, dict(self.log._dropped))

    def drain(self):
        text = b""
        while chunk := self.raw_lines():
            text += chunk
        return text

    def raw_lines(self):
        self.log.flush()
        try:
            return os.read(self.reader, 1_000_000)
        except BlockingIOError:
            return b""


# Parts of the names of functions that report an error.
REPORTING_NAMES = (
    "emit",
    "respond",
    "refuse",
    "fail",
    "note",
    "append",
    "give_up",
    "log",
)
# Time-outs and cancellation are part of normal operation.
EXPECTED_EXCEPTIONS = {"errors.DeadlineExceededError", "asyncio.CancelledError"}


class SwallowedErrorTest(unittest.TestCase):
    """Checks the except clauses of the packages that use this log."""

    def test_every_handler_raises_logs_or_responds(self):
        silent: dict[str, int] = {}
        for package in ("fleet", "forwarding", "http1", "platform"):
            for path in sorted((PACKAGE / package).glob("*.py")):
                for node in ast.walk(ast.parse(path.read_text())):
                    if isinstance(node, ast.ExceptHandler) and not reports_error(node):
                        location = f"{path.relative_to(PACKAGE)}:{node.lineno}"
                        silent[location] = silent.get(location, 0) + 1
        self.assertEqual({}, silent)


def reports_error(handler: ast.ExceptHandler) -> bool:
    """Return whether a handler raises, logs, responds or keeps the error."""
    if handler.type is not None and ast.unparse(handler.type) in EXPECTED_EXCEPTIONS:
        return True
    for node in ast.walk(handler):
        if isinstance(node, ast.Raise | ast.Assign):
            return True
        if isinstance(node, ast.Return) and node.value is not None:
            return True
        if isinstance(node, ast.Call):
            name = getattr(node.func, "attr", getattr(node.func, "id", ""))
            if any(word in name for word in REPORTING_NAMES):
                return True
    return False
