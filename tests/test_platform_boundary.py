"""Tests that the platform's wire names are confined to the adapter package."""

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
    def test_wire_names_are_used_only_in_the_adapter(self):
        found = []
        for path in sorted(PACKAGE.rglob("*.py")):
            relative = path.relative_to(PACKAGE)
            if relative.parts[0] == "platform":
                continue
            for number, line in enumerate(path.read_text().splitlines(), start=1):
                if WIRE_NAMES.search(line):
                    found.append(f"{relative}:{number}: {line.strip()}")
        self.assertEqual([], found)

    def test_only_porcelain_imports_the_adapter(self):
        found = [
            str(path.relative_to(PACKAGE))
            for path in sorted(PACKAGE.rglob("*.py"))
            if path.relative_to(PACKAGE).parts[0] not in ("platform", "porcelain.py")
            and re.search(r"endivesill\.platform", path.read_text())
        ]
        self.assertEqual([], found)

    def test_the_adapter_stays_below_its_size_limit(self):
        lines = sum(
            len(path.read_text().splitlines())
            for path in (PACKAGE / "platform").glob("*.py")
        )
        self.assertLess(lines, 2_000)
