"""Tests of finding the engine that holds a generation."""

import types
import unittest

from endivesill import errors
from endivesill.configuration.model import Target
from endivesill.entry.identity import EventId
from endivesill.entry.reconnect import MAX_MOVES, _GenerationLocator
from endivesill.timer import ManualTimer


class Engines:
    """Two engines that each say that the other has the generation."""

    def __init__(self, targets):
        self.targets = targets
        self.resumes = 0

    async def resume(self, target, *details):
        self.resumes += 1
        one, two = self.targets
        raise errors.TargetGoneError(
            "moved", moved_to=(two if target is one else one).url
        )


class MovedGenerationTest(unittest.IsolatedAsyncioTestCase):
    async def test_engines_that_refer_to_each_other_are_followed_a_few_times(self):
        targets = [
            Target(name, service="llm", url=f"http://{name}:1", data_centre="a")
            for name in ("a", "b")
        ]
        engines = Engines(targets)
        index = types.SimpleNamespace(
            target_by_url=lambda service, url: next(
                target for target in targets if target.url == url
            )
        )
        context = types.SimpleNamespace(
            engines=engines,
            timer=ManualTimer(),
            settings=types.SimpleNamespace(reconnect_timeout_s=1.0),
            index=types.SimpleNamespace(current=lambda: index),
        )
        locator = _GenerationLocator(context, targets[0], EventId("g", 1), "a1")
        self.assertIsNone(await locator._try_target(targets[0]))
        self.assertEqual(MAX_MOVES + 1, engines.resumes)
