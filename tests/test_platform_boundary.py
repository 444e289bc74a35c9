"""Tests that the platform's names stay in the adapter's folder."""

import pathlib
import re
import unittest

PACKAGE = pathlib.Path(__file__).resolve().parent.parent / "endivesill"
WIRE_NAMES = re.compile(
    r"x-endivesill-|kv-(fetch|from|move|events|list|pin|handle)|api-key|"
    r"configuration\.replace|configuration\.get|evacuation\.(start|end)|"
    r"endivesill_node_file|/readiness|kv_capacity_tokens|kv_used|"
    r"cold_remaining_ms|max_attempts['\"]|api_keys|"
    r"traffic_split|queued_requests['\"]|internal_port_range",
    re.IGNORECASE,
)


class BoundaryTest(unittest.TestCase):
    def test_no_wire_name_stands_outside_the_adapter(self):
        found = []
        for path in sorted(PACKAGE.rglob("*.py")):
            place = path.relative_to(PACKAGE)
            if place.parts[0] == "platform":
                continue
            for number, line in enumerate(path.read_text().splitlines(), start=1):
                if WIRE_NAMES.search(line):
                    found.append(f"{place}:{number}: {line.strip()}")
        self.assertEqual([], found)

    def test_nothing_outside_imports_the_adapter(self):
        found = [
            str(path.relative_to(PACKAGE))
            for path in sorted(PACKAGE.rglob("*.py"))
            if path.relative_to(PACKAGE).parts[0] not in ("platform", "porcelain.py")
            and re.search(r"endivesill\.platform", path.read_text())
        ]
        self.assertEqual([], found)

    def test_the_adapter_is_small(self):
        lines = sum(
            len(path.read_text().splitlines())
            for path in (PACKAGE / "platform").glob("*.py")
        )
        self.assertLess(lines, 2_000)
