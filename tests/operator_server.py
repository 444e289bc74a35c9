"""An operator port on loopback, in its own thread, with an in-process state."""

import asyncio
import contextlib
import io
import sys
import threading
from unittest import mock

import attrs

from endivesill import cli, errors
from endivesill.configuration.model import Configuration
from endivesill.configuration.source import FixedConfiguration
from endivesill.control import LocalControl
from endivesill.drain import DrainService
from endivesill.kernel import Kernel
from endivesill.keys import KeyRing
from endivesill.membership.view import StaticMembership, VmRecord
from endivesill.metrics import Metrics
from endivesill.operators import (
    ConfigurationProgress,
    OperatorApplication,
    OperatorPort,
)
from endivesill.peers import PeerTransport
from endivesill.settings import VmSettings
from endivesill.timer import SystemTimer

KEY = "operator-key-of-the-tests"


class AcknowledgingTransport(PeerTransport):
    """A transport whose peers report preset acknowledgements."""

    def __init__(self):
        super().__init__("own:1")
        self.acks = {}

    async def call(self, address, path, message, timeout_s):
        return {"acks": self.acks}


@attrs.frozen
class FakeReplica:
    identity: str
    address: str
    voter: bool = True
    live: bool = True
    ready: bool = True
    match_index: int = 5


@attrs.frozen
class FakeCluster:
    leader: str = "r1"
    term: int = 2
    commit_index: int = 5
    replicas: tuple = (FakeReplica("r1", "v0:1"),)
    spare_voters: int = 0


@attrs.frozen
class FakeResult:
    done: bool
    detail: str
    status: FakeCluster


class FakeVoters:
    def __init__(self):
        self.calls = []

    async def status(self):
        return FakeCluster()

    async def add(self, address):
        self.calls.append(("add", address))
        return FakeResult(True, "", FakeCluster())

    async def remove(self, replica):
        raise errors.UnsafeChangeError("the quorum would be lost")

    async def replace(self, replica, address):
        self.calls.append(("replace", replica, address))
        return FakeResult(False, "the new replica is behind", FakeCluster())


class OperatorServer:
    """An operator port; `address` is its HOST:PORT once started."""

    def __init__(self, **options):
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        timer = SystemTimer()
        self.control = LocalControl(timer)
        self.transport = AcknowledgingTransport()
        self.voters = FakeVoters()
        vms = tuple(VmRecord(f"v{n}", "i", f"v{n}:1", "a", "r") for n in range(2))
        membership = StaticMembership("v0", vms, {})
        configuration = FixedConfiguration(Configuration())
        settings = VmSettings(
            name="v0",
            data_centre="a",
            region="r",
            caller_address="127.0.0.1:1",
            operator_address="127.0.0.1:0",
            peer_address="127.0.0.1:1",
            key_file="keys",
        )
        self.drain = DrainService(Kernel(timer), "v0", 0.0, lambda: 0, configuration)
        self.keys = KeyRing([KEY])
        application = OperatorApplication(
            timer=timer,
            vm=settings,
            keys=self.keys,
            metrics=Metrics(),
            control=self.control,
            voters=self.voters,
            membership=membership,
            configuration=configuration,
            progress=ConfigurationProgress(
                self.transport, membership, lambda: ("c:1",)
            ),
            drain=self.drain,
        )
        self.port = OperatorPort(application, **options)

    def start(self):
        self.thread.start()
        self.run(self.port.start())
        self.address = self.port.address

    def run(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(10)

    def stop(self):
        self.run(self.port.stop())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.loop.close()


def run_cli(*arguments):
    """Run the command-line tool; return exit code, stdout and stderr."""
    output, error = io.StringIO(), io.StringIO()
    with (
        mock.patch.object(sys, "argv", ["endivesill", *arguments]),
        contextlib.redirect_stdout(output),
        contextlib.redirect_stderr(error),
    ):
        try:
            cli.main()
            code = 0
        except SystemExit as caught:
            code = caught.code
    return code, output.getvalue(), error.getvalue()
