"""A nose2 plugin that prints the verdict line and tolerates known failures."""

from __future__ import annotations

import pathlib
import sys
from typing import Any

from nose2 import events, result

KNOWN_RED_FILE = pathlib.Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"


def read_known_red(path: pathlib.Path) -> set[str]:
    """Return the ids of the tests listed in KNOWN-RED.txt."""
    lines = path.read_text(encoding="utf-8").splitlines()
    entries = [line for line in lines if line.strip() and not line.startswith("#")]
    return {entry.split("|")[0].strip() for entry in entries}


class VerdictPlugin(events.Plugin):
    """Counts outcomes and prints `N passed, N failed` as the last line."""

    configSection = "verdict"  # noqa: N815

    def __init__(self) -> None:
        self._known_red = read_known_red(KNOWN_RED_FILE)
        self._red_failed: list[str] = []
        self._red_passed: list[str] = []
        self._passed = 0
        self._failed = 0

    def setTestOutcome(self, event: Any) -> None:  # noqa: N802
        """Mark a known failure as skipped, so that it does not fail the run."""
        if event.test.id() not in self._known_red:
            return
        if event.outcome in (result.ERROR, result.FAIL):
            self._red_failed.append(event.test.id())
            event.outcome = result.SKIP
            event.reason = "known red"
        elif event.outcome == result.PASS:
            self._red_passed.append(event.test.id())

    def testOutcome(self, event: Any) -> None:  # noqa: N802
        """Count the outcome of one test."""
        if event.outcome == result.PASS:
            self._passed += 1
        elif event.outcome in (result.ERROR, result.FAIL):
            self._failed += 1

    def afterSummaryReport(self, event: Any) -> None:  # noqa: N802
        """Print the known failures, then the verdict."""
        for test_id in self._red_failed:
            print(f"known red: {test_id}", file=sys.stderr)
        for test_id in self._red_passed:
            print(f"known red passes now: {test_id}", file=sys.stderr)
        not_run = self._known_red - set(self._red_failed) - set(self._red_passed)
        for test_id in sorted(not_run):
            print(f"known red, not run here: {test_id}", file=sys.stderr)
        print(f"{self._passed} passed, {self._failed} failed", file=sys.stderr)
