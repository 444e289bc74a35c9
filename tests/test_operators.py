"""Tests of the operator port and of the resends of its client."""

import json
import pathlib
import ssl
import unittest
import urllib.error
import urllib.request

from endivesill import errors, events
from endivesill.configuration.lease import LEASE_S
from endivesill.http1 import HttpListener
from endivesill.keys import KeyRing
from endivesill.operators.client import OperatorClient
from endivesill.timer import SystemTimer
from endivesill.tls import TlsSettings, client_context, server_options
from tests.configuration_fleet import apply_message, change_message
from tests.operator_server import KEY, OperatorServer

DATA = pathlib.Path(__file__).parent / "data"


class OperatorPortCase(unittest.TestCase):
    options = {}
    scheme = "http"
    context = None

    def setUp(self):
        self.server = OperatorServer(**self.options)
        self.server.start()
        self.addCleanup(self.server.stop)

    def request(self, path, body=None, key=KEY):
        request = urllib.request.Request(f"{self.scheme}://{self.server.address}{path}")
        request.add_header("Authorization", f"Bearer {key}")
        data = body
        if body is not None and not isinstance(body, bytes):
            data = json.dumps(body).encode()
        try:
            with urllib.request.urlopen(
                request, data, timeout=5, context=self.context
            ) as response:
                return response.status, response.read().decode()
        except urllib.error.HTTPError as error:
            with error:
                return error.code, error.read().decode()


class KeyTest(OperatorPortCase):
    def test_every_path_but_health_needs_a_key(self):
        for path in ("/metrics", "/v1/status", "/v1/control", "/v1/configuration"):
            self.assertEqual(401, self.request(path, key="wrong")[0], path)
        self.assertEqual(200, self.request("/health", key="wrong")[0])

    def test_a_wrong_key_is_logged_without_the_key(self):
        seen = []
        self.addCleanup(events.listen(lambda kind, fields: seen.append((kind, fields))))
        self.request("/v1/status", key="a-wrong-and-secret-key")
        self.assertIn("key-refused", [kind.name for kind, _ in seen])
        self.assertNotIn("secret", repr(seen))

    def test_both_keys_are_valid_during_a_rotation(self):
        new_key = "the-new-key-of-the-tests"
        self.server.keys.replace(KeyRing([KEY, new_key]))
        self.assertEqual(200, self.request("/v1/status", key=KEY)[0])
        self.assertEqual(200, self.request("/v1/status", key=new_key)[0])
        self.server.keys.replace(KeyRing([new_key]))
        self.assertEqual(401, self.request("/v1/status", key=KEY)[0])

    def test_parameters_that_are_no_numbers_are_refused(self):
        for value in ("nan", "inf", "x"):
            path = f"/v1/configuration/progress?revision={value}"
            self.assertEqual(400, self.request(path)[0], value)

    def test_metrics_are_prometheus_text(self):
        status, _ = self.request("/metrics")
        self.assertEqual(200, status)


class BodyTest(OperatorPortCase):
    def test_a_malformed_body_is_a_400(self):
        path = "/v1/configuration/change"
        valid_body = change_message("x", "data-centre/a", True)
        del valid_body["wall_time_s"]
        wrong_type = {**valid_body, "value": "yes"}
        missing = {"number": "x"}
        for body in (wrong_type, missing, [1], b"{", b"[" * 100_000):
            status, text = self.request(path, body)
            self.assertEqual(400, status)
            self.assertEqual("request", json.loads(text)["error"])
        self.assertEqual(422, self.request(path, valid_body)[0])

    def test_an_invalid_document_is_refused_with_findings(self):
        body = apply_message("1", {"data-centre/a": {"colour": "red"}})
        del body["wall_time_s"]
        status, text = self.request("/v1/configuration/apply", body)
        self.assertEqual(422, status)
        self.assertEqual(2, len(json.loads(text)["findings"]))


class ProgressTest(OperatorPortCase):
    def progress(self, accepted_for_s):
        parameters = f"revision=2&accepted_for_s={accepted_for_s}"
        status, text = self.request(f"/v1/configuration/progress?{parameters}")
        self.assertEqual(200, status)
        return json.loads(text)

    def test_a_vm_counts_once_it_has_acknowledged(self):
        self.server.transport.acks = {"1": ["v0"], "2": ["v1"]}
        answer = self.progress(0.5)
        self.assertEqual((False, ["v0"]), (answer["in_force"], answer["waiting_for"]))
        self.server.transport.acks = {"3": ["v0"], "2": ["v1"]}
        self.assertTrue(self.progress(0.5)["in_force"])

    def test_a_vm_without_a_lease_does_not_delay_in_force(self):
        self.server.transport.acks = {"2": ["v1"]}
        self.assertFalse(self.progress(LEASE_S)["in_force"])
        answer = self.progress(LEASE_S + 0.3)
        self.assertEqual((True, ["v0"]), (answer["in_force"], answer["without_lease"]))


class TlsTest(OperatorPortCase):
    settings = TlsSettings(
        certificate=str(DATA / "tls-certificate.pem"),
        key=str(DATA / "tls-key.pem"),
        ca=str(DATA / "tls-certificate.pem"),
    )
    options = server_options(settings)
    scheme = "https"
    context = client_context(settings)

    def test_the_port_uses_tls(self):
        self.assertEqual(200, self.request("/v1/status")[0])

    def test_a_client_that_does_not_trust_the_ca_disconnects(self):
        self.context = ssl.create_default_context()
        with self.assertRaises(urllib.error.URLError):
            self.request("/v1/status")

    def test_an_unreadable_certificate_is_a_finding(self):
        with self.assertRaises(errors.FindingsError):
            server_options(TlsSettings(certificate="nosuch.pem"))


class LosingClient(OperatorClient):
    """A client that loses its first responses."""

    responses_to_lose = 1

    async def _call_server(self, *arguments):
        response = await super()._call_server(*arguments)
        if self.responses_to_lose:
            self.responses_to_lose -= 1
            raise TimeoutError
        return response


class ResendTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.server = OperatorServer()
        self.server.start()
        self.addCleanup(self.server.stop)

    async def send(self, client, number):
        body = apply_message(number, {"data-centre/a": {"region": "r"}})
        del body["wall_time_s"]
        return await client.post("/v1/configuration/apply", body)

    async def test_a_change_whose_response_was_lost_is_applied_once(self):
        keys = KeyRing([KEY])
        async with LosingClient([self.server.address], keys) as client:
            answer = await self.send(client, "1")
        self.assertEqual(("accepted", 1), (answer["outcome"], answer["revision"]))
        section = self.server.control.state.section("configuration")
        self.assertEqual(1, section["revision"])

    async def test_without_any_response_the_outcome_is_unknown(self):
        keys = KeyRing([KEY])
        client = LosingClient([self.server.address], keys, timeout_s=0.0)
        async with client:
            with self.assertRaises(errors.OutcomeUnknownError):
                await self.send(client, "1")

    async def test_a_server_that_sends_no_json_is_passed_over(self):
        async def respond(exchange):
            exchange.respond(200, [(b"Content-Type", b"application/json")], b"{no")

        listener = HttpListener(SystemTimer(), "127.0.0.1:0", respond)
        await listener.start()
        self.addAsyncCleanup(listener.stop)
        servers = [listener.address, self.server.address]
        async with OperatorClient(servers, KeyRing([KEY])) as client:
            answer = await self.send(client, "1")
        self.assertEqual(("accepted", 1), (answer["outcome"], answer["revision"]))

    async def test_without_a_connection_nothing_was_changed(self):
        keys = KeyRing([KEY])
        async with OperatorClient(["127.0.0.1:1"], keys, timeout_s=0.0) as client:
            with self.assertRaises(errors.UnavailableError):
                await self.send(client, "1")
