"""Outcome table: which process fails when, what ran, and what the caller receives."""

import asyncio
import itertools
import os
import pathlib
import unittest

from tests.outcomes import ACTORS, KINDS, MOMENTS, Scenario

GOLDEN = pathlib.Path(__file__).parent / "golden" / "outcomes.txt"
HEADER = (
    "who dies | when | call | what the targets ran | what the caller is told | truth"
)
BATCH = 24


class OutcomesTest(unittest.IsolatedAsyncioTestCase):
    maxDiff = None

    async def test_the_outcome_table_is_as_recorded_and_consistent(self):
        cases = list(itertools.product(ACTORS, MOMENTS, KINDS))
        rows = []
        for start in range(0, len(cases), BATCH):
            batch = [Scenario(*case).run() for case in cases[start : start + BATCH]]
            rows += await asyncio.gather(*batch)
        self.assertEqual([], [row.line() for row in rows if not row.consistent])
        lines = [row.line() for row in rows]
        text = "\n".join([HEADER, *(line.rstrip() for line in lines)]) + "\n"
        if os.environ.get("ENDIVESILL_WRITE_GOLDEN"):
            GOLDEN.parent.mkdir(exist_ok=True)
            GOLDEN.write_text(text, encoding="utf-8")
        self.assertEqual(GOLDEN.read_text(encoding="utf-8"), text)
