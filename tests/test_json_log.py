"""Tests of the log on standard output: bounded, never blocking, nothing silent."""

import ast
import json
import os
import pathlib
import unittest

from endivesill import events
from endivesill.json_log import (
    BUFFER_LINES,
    HELD_LIFE_S,
    HELD_LINES,
    KIND_BUDGET_PER_S,
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

    async def test_lines_of_one_kind_are_bounded_and_the_rest_is_counted(self):
        for number in range(KIND_BUDGET_PER_S + 50):
            self.log.write(KIND, {"n": number})
        self.log.write(OTHER, {})
        names = [line["message_type"] for line in self.lines()]
        self.assertEqual(KIND_BUDGET_PER_S, names.count("test-line"))
        self.assertEqual(1, names.count("other-line"))
        await self.timer.advance(1.1)
        self.log.write(OTHER, {})
        dropped = self.lines()[0]
        self.assertEqual("log-lines-dropped", dropped["message_type"])
        self.assertEqual({"test-line": 50}, dropped["counts"])

    async def test_a_reader_that_stands_still_does_not_block_the_process(self):
        for _ in range(40):
            await self.timer.advance(1.1)
            for number in range(KIND_BUDGET_PER_S):
                self.log.write(KIND, {"text": "x" * 200, "n": number})
            self.log.flush()
        self.assertLessEqual(len(self.log._lines), BUFFER_LINES)
        text = self.drain()
        await self.timer.advance(1.1)
        self.log.write(OTHER, {})
        text += self.drain()
        found = [json.loads(line) for line in text.splitlines()]
        dropped = [f for f in found if f["message_type"] == "log-lines-dropped"]
        told = sum(line["counts"]["test-line"] for line in dropped)
        kept = sum(f["message_type"] == "test-line" for f in found)
        self.assertEqual(40 * KIND_BUDGET_PER_S, kept + told)

    async def test_a_failed_request_has_all_its_lines(self):
        self.log = JsonLog(
            self.timer,
            "vm-1",
            self.log._descriptor,
            lambda kind, _: kind is OTHER or None,
        )
        for number in range(KIND_BUDGET_PER_S + 50):
            self.log.write(KIND, {"request_id": f"r{number}"})
        late = f"r{KIND_BUDGET_PER_S + 10}"
        self.assertNotIn(late, [line["request_id"] for line in self.lines()])
        self.log.write(OTHER, {"request_id": late})
        found = [(n["message_type"], n["request_id"]) for n in self.lines()]
        self.assertEqual([("test-line", late), ("other-line", late)], found)

    async def test_failures_have_a_budget_and_a_part_of_the_buffer_of_their_own(self):
        self.log = JsonLog(
            self.timer,
            "vm-1",
            self.log._descriptor,
            lambda kind, fields: fields["failed"],
        )
        for _ in range(40):
            await self.timer.advance(1.1)
            for _ in range(KIND_BUDGET_PER_S):
                self.log.write(KIND, {"request_id": "a", "failed": False})
        self.log.write(KIND, {"request_id": "b", "failed": True})
        last = [*self.log._lines][-1]
        self.assertEqual("b", json.loads(last)["request_id"])

    async def test_lines_that_are_held_too_long_are_counted_as_dropped(self):
        for number in range(KIND_BUDGET_PER_S + 50):
            self.log.write(KIND, {"request_id": f"r{number}"})
        self.lines()
        await self.timer.advance(HELD_LIFE_S + 1.0)
        self.log.write(OTHER, {})
        self.assertEqual({"test-line": 50}, self.lines()[0]["counts"])

    async def test_held_lines_are_bounded(self):
        for number in range(KIND_BUDGET_PER_S + HELD_LINES + 7):
            self.log.write(KIND, {"request_id": f"r{number}"})
        self.assertEqual(HELD_LINES, self.log._held_lines)
        self.assertEqual({"test-line": 7}, dict(self.log._dropped))

    def drain(self):
        text = b""
        while piece := self.lines_raw():
            text += piece
        return text

    def lines_raw(self):
        self.log.flush()
        try:
            return os.read(self.reader, 1_000_000)
        except BlockingIOError:
            return b""


SAYS_SO = ("emit", "respond", "refuse", "fail", "note", "append", "give_up", "log")
# A wait that is over and a task that is ended are no errors.
NO_ERRORS = {"errors.DeadlineExceededError", "asyncio.CancelledError"}


class SwallowedErrorTest(unittest.TestCase):
    """Walks the except clauses of the packages that this log serves."""

    def test_every_handler_raises_logs_or_answers(self):
        silent: dict[str, int] = {}
        for package in ("fleet", "forwarding", "http1", "platform"):
            for path in sorted((PACKAGE / package).glob("*.py")):
                for node in ast.walk(ast.parse(path.read_text())):
                    if isinstance(node, ast.ExceptHandler) and not speaks(node):
                        place = f"{path.relative_to(PACKAGE)}:{node.lineno}"
                        silent[place] = silent.get(place, 0) + 1
        self.assertEqual({}, silent)


def speaks(handler: ast.ExceptHandler) -> bool:
    """Tell whether a handler raises, logs, answers, or gives the error's value."""
    if handler.type is not None and ast.unparse(handler.type) in NO_ERRORS:
        return True
    for node in ast.walk(handler):
        if isinstance(node, ast.Raise | ast.Assign):
            return True
        if isinstance(node, ast.Return) and node.value is not None:
            return True
        if isinstance(node, ast.Call):
            name = getattr(node.func, "attr", getattr(node.func, "id", ""))
            if any(word in name for word in SAYS_SO):
                return True
    return False
