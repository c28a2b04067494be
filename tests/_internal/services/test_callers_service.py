"""Invalid requests of callers and the refusal for each, health checks and account limits."""

import contextlib
import unittest

import msgspec
import trio

from cicadapier._internal.models import settings
from tests import support


def _run_in_world(check):
    support.run_in_world(check, deployment=support.SMALL_DEPLOYMENT, routers=1)


async def _send_raw(world, data, wait_s=60.0, chunk=None):
    """Sends raw bytes, in chunks at intervals if given, and returns everything received."""
    running = next(iter(world.routers.values()))
    stream = await world._network.connect(running.router.callers.address, 1.0)
    if chunk is None:
        await stream.send_all(data)
    else:
        with contextlib.suppress(trio.BrokenResourceError):
            for i in range(0, len(data), chunk):
                await stream.send_all(data[i : i + chunk])
                await trio.sleep(1.0)
    answer = b""
    with trio.move_on_after(wait_s):
        while part := await stream.receive_some():
            answer += part
    await trio.aclose_forcefully(stream)
    return answer


def _status_code(answer):
    return int(answer.split(b" ", 2)[1])


def _error(answer):
    return msgspec.json.decode(answer.partition(b"\r\n\r\n")[2])["error"]


class MalformedHttpTest(unittest.TestCase):
    def _check_refused(self, data, status, code):
        async def check(world):
            answer = await _send_raw(world, data)
            self.assertEqual(_status_code(answer), status)
            error = _error(answer)
            self.assertEqual((error["code"], error["outcome"]), (code, "not_run"))
            self.assertIn(b"x-request-id: req-", answer)
            self.assertEqual(world.ledger.entries, [])

        _run_in_world(check)

    def test_not_http(self):
        self._check_refused(b"HELLO\x00\r\n\r\n", 400, "invalid_request")

    def test_content_length_with_chunked_encoding(self):
        data = (
            b"POST /v1/completions HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n"
            b"transfer-encoding: chunked\r\n\r\n0\r\n\r\n"
        )
        self._check_refused(data, 400, "invalid_request")

    def test_oversized_header(self):
        data = b"GET / HTTP/1.1\r\nhost: a\r\nx: " + b"y" * 40_000 + b"\r\n\r\n"
        self._check_refused(data, 431, "headers_too_large")

    def test_content_length_above_the_limit(self):
        size = settings.CallerLimits().body_bytes + 1
        data = b"POST /v1/completions HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n" % size
        self._check_refused(data, 413, "body_too_large")

    def test_slow_headers(self):
        async def check(world):
            answer = await _send_raw(world, b"GET /livez HTTP/1.1\r\nhost: aaaaaaaa", chunk=1)
            self.assertEqual(_status_code(answer), 408)
            self.assertEqual(_error(answer)["code"], "slow_request")

        _run_in_world(check)

    def test_slow_body(self):
        head = b"POST /v1/completions HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\n1234"
        self._check_refused(head, 408, "slow_request")


class InvalidRequestTest(unittest.TestCase):
    def _check_refused(self, send, status, code):
        async def check(world):
            reply = await send(support.Caller(world))
            self.assertEqual((reply.status, reply.code), (status, code))
            self.assertEqual(reply.outcome, "not_run")
            self.assertTrue(reply.headers["x-request-id"].startswith("req-"))
            self.assertEqual(world.ledger.entries, [])

        _run_in_world(check)

    def _check_bad_body(self, body):
        def send(caller):
            return caller.send("POST", "/v1/completions", body)

        self._check_refused(send, 400, "invalid_request")

    def test_bad_json(self):
        self._check_bad_body(b'{"model": ')

    def test_wrong_types(self):
        self._check_bad_body(b'{"model": 7, "prompt": "x"}')
        self._check_bad_body(b'{"model": "quill-verse", "prompt": {"a": 1}}')
        self._check_bad_body(b"[1, 2]")

    def test_missing_prompt(self):
        self._check_bad_body(b'{"model": "quill-verse"}')

    def test_deep_nesting(self):
        self._check_bad_body(
            b'{"model": "quill-verse", "prompt": "x", "x": ' + b"[" * 200 + b"]" * 200 + b"}"
        )
        self._check_bad_body(b"[" * 100_000)

    def test_max_tokens_out_of_range(self):
        self._check_bad_body(b'{"model": "quill-verse", "prompt": "x", "max_tokens": 0}')
        # Guards against a limit of 0 that counts as none.
        limits = b'"max_tokens": 5, "max_completion_tokens": 0'
        self._check_bad_body(b'{"model": "quill-verse", "prompt": "x", ' + limits + b"}")

    def test_unknown_model(self):
        body = b'{"model": "nobody", "prompt": "x"}'
        self._check_refused(
            lambda c: c.send("POST", "/v1/completions", body), 404, "model_not_found"
        )

    def test_wrong_key(self):
        def send(caller):
            caller.key = "sk-wrong"
            return caller.complete("x")

        self._check_refused(send, 401, "invalid_api_key")

    def test_no_key(self):
        def send(caller):
            return caller.send("GET", "/v1/models", authorization="")

        self._check_refused(send, 401, "invalid_api_key")

    def test_unknown_path(self):
        self._check_refused(lambda c: c.send("GET", "/nothing"), 404, "not_found")

    def test_wrong_method(self):
        self._check_refused(lambda c: c.send("GET", "/v1/completions"), 405, "method_not_allowed")

    def test_operator_paths_are_not_served_to_callers(self):
        self._check_refused(lambda c: c.send("GET", "/status"), 404, "not_found")


class ServedTest(unittest.TestCase):
    def test_health_needs_no_key(self):
        async def check(world):
            for path in ("/livez", "/readyz"):
                reply = await support.Caller(world).send("GET", path, authorization="")
                self.assertEqual(reply.status, 200)

        _run_in_world(check)

    def test_models_are_listed(self):
        async def check(world):
            reply = await support.Caller(world).send("GET", "/v1/models")
            self.assertEqual([m["id"] for m in reply.json["data"]], ["quill-verse"])

        _run_in_world(check)

    def test_pipelined_requests_are_answered_in_turn(self):
        async def check(world):
            request = b"GET /livez HTTP/1.1\r\nhost: a\r\n\r\n"
            answer = await _send_raw(world, request + request, wait_s=1.0)
            self.assertEqual(answer.count(b"HTTP/1.1 200"), 2)

        _run_in_world(check)

    def test_request_over_the_account_limit_is_refused_with_retry_after(self):
        async def check(world):
            running = next(iter(world.routers.values()))
            content = running.router.configuration.document.content
            accounts = dict(content["accounts"])
            accounts["poets"] = {
                **accounts["poets"],
                "limits": {"requests_per_s": 2.0, "tokens_per_s": 1e6, "streams": 10},
            }
            configuration = running.router.configuration
            configuration.apply_if_newer(
                type(configuration.document)(9, {**content, "accounts": accounts}, ())
            )
            await trio.sleep(0.1)
            replies = [await support.Caller(world, "poets").complete("x", 1) for _ in range(4)]
            refused = [reply for reply in replies if reply.status == 429]
            self.assertEqual(refused[0].code, "rate_limited")
            self.assertEqual(refused[0].outcome, "not_run")
            self.assertGreaterEqual(int(refused[0].headers["retry-after"]), 1)

        _run_in_world(check)


if __name__ == "__main__":
    unittest.main()
