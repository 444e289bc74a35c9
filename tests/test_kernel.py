"""Tests of the kernel."""

import unittest

from endivesill import errors
from endivesill.kernel import Kernel, Service
from endivesill.timer import ManualTimer


class RecordingService(Service):
    def __init__(self, name, calls):
        self.name = name
        self.calls = calls

    async def start(self):
        self.calls.append(f"start {self.name}")

    async def stop(self):
        self.calls.append(f"stop {self.name}")


class KernelTest(unittest.IsolatedAsyncioTestCase):
    async def test_services_stop_in_reverse_order_of_their_start(self):
        calls = []
        kernel = Kernel(ManualTimer())
        for name in "abc":
            kernel.add(name, RecordingService(name, calls))
        await kernel.start()
        await kernel.stop()
        self.assertEqual(
            ["start a", "start b", "start c", "stop c", "stop b", "stop a"], calls
        )

    async def test_a_failed_start_stops_the_services_that_run(self):
        class FailingService(RecordingService):
            async def start(self):
                raise OSError("the address is in use")

        calls = []
        kernel = Kernel(ManualTimer())
        kernel.add("a", RecordingService("a", calls))
        kernel.add("b", FailingService("b", calls))
        with self.assertRaises(OSError):
            await kernel.start()
        self.assertEqual(["start a", "stop a"], calls)

    async def test_a_service_is_found_by_name_and_class(self):
        kernel = Kernel(ManualTimer())
        service = RecordingService("a", [])
        kernel.add("a", service)
        self.assertIs(service, kernel.find("a", RecordingService))
        with self.assertRaises(errors.EndivesillError):
            kernel.find("b", RecordingService)
        with self.assertRaises(errors.EndivesillError):
            kernel.add("a", service)

    async def test_a_failed_task_restarts_after_a_backoff(self):
        timer = ManualTimer()
        kernel = Kernel(timer)
        starts = []

        async def run():
            starts.append(timer.now_s())
            if len(starts) < 3:
                raise ValueError("broken")

        with self.assertLogs("endivesill.kernel"):
            kernel.supervise("task", run)
            await timer.advance(5.0)
        self.assertEqual([1000.0, 1000.5, 1001.5], starts)
        await kernel.stop()
