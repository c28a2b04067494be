"""The system over real sockets: official client, TLS, gRPC between routers, a demo process."""

import gc
import json
import pathlib
import signal
import ssl
import subprocess
import sys
import tempfile
import unittest
import urllib.error
import urllib.request

import openai
import trio
import trustme

from cicadapier._internal.cli import exit_codes
from cicadapier._internal.decisions import peer_updates
from cicadapier._internal.models import ids
from cicadapier._internal.models import settings
from cicadapier._internal.protocols import peer_codec
from cicadapier._internal.protocols import peer_transport
from cicadapier._internal.protocols import transport

ROOT = pathlib.Path(__file__).parents[3]
WAIT_S = 30


class Demo:
    """A demonstration that runs in a separate process."""

    def __init__(self, *args):
        command = [sys.executable, "-m", "cicadapier", "demo", "--json", "--routers", "2", *args]
        self.process = subprocess.Popen(
            command, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True
        )
        self.info = json.loads(self.process.stdout.readline())

    def close(self):
        self.process.send_signal(signal.SIGTERM)
        self.process.wait(WAIT_S)
        self.process.stdout.close()

    def get(self, url, body=None):
        request = urllib.request.Request(url, body)
        with urllib.request.urlopen(request, timeout=WAIT_S) as answer:
            return json.loads(answer.read())


class DemoTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.demo = Demo()
        account = cls.demo.info["accounts"][0]
        cls.client = openai.OpenAI(
            base_url=cls.demo.info["routers"][0] + "/v1", api_key=account["key"], max_retries=0
        )
        cls.model = cls.demo.info["pools"][0]["models"][0]

    @classmethod
    def tearDownClass(cls):
        cls.client.close()
        cls.demo.close()

    def test_official_client_completes(self):
        answer = self.client.completions.create(model=self.model, prompt="one poem", max_tokens=5)
        self.assertEqual(len(answer.choices[0].text.split()), 5)
        self.assertEqual(answer.usage.completion_tokens, 5)

    def test_official_client_streams_a_chat(self):
        stream = self.client.chat.completions.create(
            model=self.model,
            messages=[{"role": "user", "content": "one poem"}],
            max_tokens=6,
            stream=True,
        )
        chunks = list(stream)
        text = "".join(chunk.choices[0].delta.content or "" for chunk in chunks)
        self.assertEqual(len(text.split()), 6)
        self.assertEqual(chunks[-1].choices[0].finish_reason, "stop")

    def test_official_client_lists_models(self):
        self.assertEqual([model.id for model in self.client.models.list()], [self.model])

    def test_official_client_recognizes_refusals(self):
        with self.assertRaises(openai.NotFoundError) as caught:
            self.client.completions.create(model="nobody", prompt="x")
        self.assertEqual(caught.exception.body["outcome"], "not_run")
        outsider = self.client.with_options(api_key="sk-wrong")
        with self.assertRaises(openai.AuthenticationError):
            outsider.models.list()

    def test_ledger_agrees_with_the_answer(self):
        answer = self.client.completions.with_raw_response.create(
            model=self.model, prompt="a poem for the ledger", max_tokens=4
        )
        request_id = answer.headers["x-request-id"]
        entries = self.demo.get(self.demo.info["faults"] + "/ledger")["entries"]
        events = [entry["event"] for entry in entries if entry["request_id"] == request_id]
        self.assertEqual(events, ["started", "prefilled", "finished"])

    def test_unknown_fault_is_rejected_with_the_known_kinds(self):
        with self.assertRaises(urllib.error.HTTPError) as caught:
            self.demo.get(self.demo.info["faults"], b'{"kind": "earthquake"}')
        self.assertIn(b"partition", caught.exception.read())
        caught.exception.close()

    def test_metrics_have_histograms_by_account_and_class(self):
        self.client.completions.create(model=self.model, prompt="one poem", max_tokens=5)
        with urllib.request.urlopen(
            self.demo.info["operator"] + "/metrics", timeout=WAIT_S
        ) as response:
            text = response.read().decode()
        for name in ("time_to_first_token", "queue_wait", "tokens_cached", "tokens_recomputed"):
            self.assertRegex(text, f'cicadapier_{name}.*bucket.*account="editors"')
        self.assertIn('class="interactive"', text)

    def test_fault_command_takes_kind_and_target(self):
        url = self.demo.info["faults"]
        run = [sys.executable, "-m", "cicadapier", "fault", "--faults", url]
        fault_arguments = ["late", "quill-models-9", "--seconds", "600", "--amount", "0.1"]
        done = subprocess.run([*run, *fault_arguments], capture_output=True, text=True)
        self.assertEqual(done.returncode, 0, done.stderr)
        active = self.demo.get(url)["active"]
        self.assertEqual([fault["target"] for fault in active], ["quill-models-9"])
        unknown_fault = subprocess.run([*run, "earthquake"], capture_output=True, text=True)
        self.assertEqual(unknown_fault.returncode, 1)
        self.assertIn("partition", unknown_fault.stderr)
        self.assertEqual(subprocess.run([*run, "clear"]).returncode, 0)
        self.assertEqual(self.demo.get(url)["active"], [])

    def test_commands_work_with_the_demo(self):
        operator = self.demo.info["operator"]
        run = [sys.executable, "-m", "cicadapier"]
        status = subprocess.run(
            [*run, "status", "--operator", operator], capture_output=True, text=True
        )
        self.assertEqual(status.returncode, 0, status.stderr)
        self.assertIn("router-1", status.stdout)
        shown = subprocess.run(
            [*run, "config", "show", "-o", operator], capture_output=True, text=True
        )
        with tempfile.TemporaryDirectory() as folder:
            declared = pathlib.Path(folder) / "declared.yaml"
            declared.write_text(shown.stdout)
            diff = subprocess.run(
                [*run, "config", "diff", str(declared), "-o", operator],
                capture_output=True,
                text=True,
            )
            self.assertEqual(diff.stdout.splitlines()[1:], ["{}"])
            patch = pathlib.Path(folder) / "patch.yaml"
            patch.write_text("accounts: {guests: {weight: 0.5}}\n")
            command = [*run, "config", "patch", str(patch), "-o", operator, "--version"]
            number = shown.stdout.split()[2]
            done = subprocess.run([*command, number], capture_output=True, text=True)
            self.assertEqual(done.returncode, 0, done.stderr)
            stale = subprocess.run([*command, number], capture_output=True, text=True)
            self.assertEqual(stale.returncode, 1)
            self.assertIn("accounts.guests", stale.stderr)
            self.assertNotIn("Traceback", stale.stderr)


class ServeTest(unittest.TestCase):
    def _settings(self, folder, extra=""):
        path = pathlib.Path(folder) / "router.yaml"
        path.write_text(
            "vm: vm-1\nfailure_domain: here\n"
            "listen: {callers: '127.0.0.1:0', operators: '127.0.0.1:0', peers: '127.0.0.1:0'}\n"
            + extra
        )
        return path

    def test_starts_and_drains_on_sigterm(self):
        with tempfile.TemporaryDirectory() as folder:
            process = subprocess.Popen(
                [sys.executable, "-m", "cicadapier", "serve", "-s", self._settings(folder)],
                stdout=subprocess.PIPE,
                text=True,
            )
            line = process.stdout.readline()
            self.assertIn("router_started", line)
            process.send_signal(signal.SIGTERM)
            self.assertEqual(process.wait(WAIT_S), 0)
            process.stdout.close()

    def test_callers_and_operators_are_served_over_tls(self):
        authority = trustme.CA()
        certificate = authority.issue_cert("127.0.0.1")
        context = ssl.create_default_context()
        authority.configure_trust(context)
        with tempfile.TemporaryDirectory() as folder:
            chain = pathlib.Path(folder) / "chain.pem"
            key = pathlib.Path(folder) / "key.pem"
            for pem in certificate.cert_chain_pems:
                pem.write_to_path(str(chain), append=True)
            certificate.private_key_pem.write_to_path(str(key))
            extra = f"tls: {{certificate: {chain}, key: {key}}}\n"
            process = subprocess.Popen(
                [sys.executable, "-m", "cicadapier", "serve", "-s", self._settings(folder, extra)],
                stdout=subprocess.PIPE,
                text=True,
            )
            started = json.loads(process.stdout.readline())
            for listener, path in (("callers", "/livez"), ("operators", "/status")):
                url = f"https://{started[listener]}{path}"
                with urllib.request.urlopen(url, timeout=WAIT_S, context=context) as answer:
                    self.assertEqual(answer.status, 200)
            process.send_signal(signal.SIGTERM)
            self.assertEqual(process.wait(WAIT_S), 0)
            process.stdout.close()

    def test_bad_settings_name_file_line_and_key(self):
        with tempfile.TemporaryDirectory() as folder:
            path = self._settings(folder, "drain_s: soon\ntypo: 1\n")
            done = subprocess.run(
                [sys.executable, "-m", "cicadapier", "serve", "-s", path],
                capture_output=True,
                text=True,
            )
        self.assertEqual(done.returncode, exit_codes.INVALID_SETTINGS)
        self.assertEqual(done.stderr.count("\n"), 1)
        self.assertIn(f"{path}:4: drain_s: expected a number, got a string", done.stderr)
        self.assertIn("typo: unknown key", done.stderr)
        self.assertNotIn("Traceback", done.stderr)


class ForwardingDemoTest(unittest.TestCase):
    def test_one_request_of_each_kind_is_answered(self):
        done = subprocess.run(
            [sys.executable, "-m", "cicadapier", "demo", "--forwarding", "--once"],
            capture_output=True,
            text=True,
            timeout=WAIT_S,
        )
        self.assertEqual(done.returncode, 0, done.stderr)
        for name in ("look", "order", "ask"):
            self.assertRegex(done.stdout, rf"(?m)^{name} +200 ")


class BinaryTest(unittest.TestCase):
    BINARY = ROOT / "dist" / "cicadapier"

    def test_version_and_one_shot_demo(self):
        version = subprocess.run([self.BINARY, "--version"], capture_output=True, text=True)
        self.assertRegex(version.stdout, r"^cicadapier \d+\.\d+\.\d+$")
        demo = subprocess.run([self.BINARY, "demo", "--once"], capture_output=True, text=True)
        self.assertEqual(demo.returncode, 0, demo.stderr)
        self.assertEqual(demo.stdout.count("complete"), 5)


class TlsTest(unittest.TestCase):
    def test_network_serves_callers_over_tls(self):
        authority = trustme.CA()
        certificate = authority.issue_cert("127.0.0.1")
        with tempfile.TemporaryDirectory() as folder:
            chain = pathlib.Path(folder) / "chain.pem"
            key = pathlib.Path(folder) / "key.pem"
            certificate.private_key_and_cert_chain_pem.write_to_path(str(chain))
            certificate.private_key_pem.write_to_path(str(key))
            trio.run(self._exchange, authority, settings.Tls(str(chain), str(key)))

    async def _exchange(self, authority, tls):
        async def echo(stream):
            async with stream:
                await stream.send_all(await stream.receive_some())

        context = ssl.create_default_context()
        authority.configure_trust(context)
        async with trio.open_nursery() as nursery:
            network = transport.TcpNetwork(tls)
            address = await nursery.start(network.serve, ids.Address("127.0.0.1:0"), echo)
            host, port = settings.split_address(address)
            stream = await trio.open_ssl_over_tcp_stream(host, port, ssl_context=context)
            await stream.send_all(b"verse")
            self.assertEqual(await stream.receive_some(), b"verse")
            nursery.cancel_scope.cancel()


class _Handler(peer_transport.PeerHandler):
    """Has a configuration with the number 7 and records the digests that it receives."""

    def __init__(self):
        self.received = []

    def exchange(self, digest):
        return peer_codec.Digest(ids.VmId("b"), 1, ids.ConfigNumber(7))

    def handle_datagram(self, digest):
        self.received.append(digest)

    def configuration_update(self, since):
        return (ids.ConfigNumber(7), b"x" * 600_000) if since < 7 else None


class GrpcTest(unittest.TestCase):
    def test_exchange_fetch_and_authentication(self):
        trio.run(self._run)

    def test_errors_reported_by_asyncio_do_not_stop_the_router(self):
        async def main():
            server = peer_transport.GrpcTransport("secret")
            async with trio.open_nursery() as nursery:
                address = await nursery.start(server.serve, ids.Address("127.0.0.1:0"), _Handler())
                digest = peer_codec.Digest(ids.VmId("a"), 1, ids.ConfigNumber(0))
                await server.exchange(address, digest)
                # A channel that is garbage-collected while open reports an error to the exception
                # handler of the event loop.
                server._channels.clear()
                gc.collect()
                await trio.sleep(0.1)
                self.assertEqual((await server.exchange(address, digest)).configuration_number, 7)
                nursery.cancel_scope.cancel()

        trio.run(main)

    def test_only_datagrams_from_the_fleet_are_accepted(self):
        async def main():
            server = peer_transport.GrpcTransport("secret")
            peer = peer_transport.GrpcTransport("secret")
            outsider = peer_transport.GrpcTransport("guess")
            handler = _Handler()
            loopback = ids.Address("127.0.0.1:0")
            placements = tuple(
                peer_updates.PlacedPieces(
                    number, ids.PoolId("p"), ids.UpstreamId("u"), (ids.PieceId(b"x" * 16),) * 40
                )
                for number in range(1, 65)
            )
            digest = peer_codec.Digest(ids.VmId("a"), 1, ids.ConfigNumber(0), placed=placements)
            async with trio.open_nursery() as nursery:
                address = await nursery.start(server.serve, loopback, handler)
                for other in (peer, outsider):
                    await nursery.start(other.serve, loopback, _Handler())
                    await other.send_datagram([address], digest)
                await trio.sleep(0.2)
                nursery.cancel_scope.cancel()
            self.assertEqual(len(handler.received), 1)
            # If not all placements fit into a datagram, the oldest ones are left out.
            self.assertEqual(handler.received[0].placed[-1].number, 64)
            self.assertLess(len(handler.received[0].placed), 64)

        trio.run(main)

    async def _run(self):
        server = peer_transport.GrpcTransport("secret")
        outsider = peer_transport.GrpcTransport("guess")
        digest = peer_codec.Digest(ids.VmId("a"), 1, ids.ConfigNumber(0))
        loopback = ids.Address("127.0.0.1:0")
        async with trio.open_nursery() as nursery:
            address = await nursery.start(server.serve, loopback, _Handler())
            await nursery.start(outsider.serve, loopback, _Handler())
            self.assertEqual((await server.exchange(address, digest)).configuration_number, 7)
            number, content = await server.fetch_configuration(address, ids.ConfigNumber(3))
            self.assertEqual((number, len(content)), (7, 600_000))
            self.assertIsNone(await server.fetch_configuration(address, ids.ConfigNumber(7)))
            with self.assertRaises(Exception) as caught:
                await outsider.exchange(address, digest)
            self.assertIn("UNAUTHENTICATED", str(caught.exception))
            nursery.cancel_scope.cancel()


if __name__ == "__main__":
    unittest.main()
