"""Calls from the command line to a router's operators' listener."""

import dataclasses
import ssl
from typing import Any
import urllib.parse

import msgspec
import trio

from cicadapier._internal.cli import exceptions
from cicadapier._internal.models import ids
from cicadapier._internal.protocols import exceptions as protocol_exceptions
from cicadapier._internal.protocols import http_client

TIMEOUT_S = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """An answer with a JSON body."""

    status: int
    body: Any

    @property
    def message(self) -> str:
        """The error that the answer tells, empty without one."""
        if isinstance(self.body, dict) and isinstance(self.body.get("error"), dict):
            return str(self.body["error"].get("message", ""))
        return ""


def call(method: str, url: str, body: bytes = b"", token: str = "") -> Response:
    """Sends one request and returns its answer.

    Args:
        method: HTTP method.
        url: Whole URL, http or https.
        body: Body to send.
        token: Operators' credential, empty without.

    Raises:
        CommandError: There is no answer.
    """
    try:
        return trio.run(_call, method, url, body, token)
    except (protocol_exceptions.ProtocolError, OSError, trio.TooSlowError) as exc:
        raise exceptions.CommandError(f"no answer from {url}: {exc}") from exc
    except msgspec.MsgspecError as exc:
        raise exceptions.CommandError(f"{url} does not speak JSON: {exc}") from exc


async def _call(method: str, url: str, body: bytes, token: str) -> Response:
    url_parts = urllib.parse.urlsplit(url)
    use_tls = url_parts.scheme == "https"
    if url_parts.scheme not in ("http", "https") or not url_parts.hostname:
        raise exceptions.CommandError(f"expected an http or https URL, got {url!r}")
    port = url_parts.port or (443 if use_tls else 80)
    target = url_parts.path + (f"?{url_parts.query}" if url_parts.query else "")
    with trio.fail_after(TIMEOUT_S):
        stream: trio.abc.Stream = await trio.open_tcp_stream(url_parts.hostname, port)
        if use_tls:
            context = ssl.create_default_context()
            stream = trio.SSLStream(stream, context, server_hostname=url_parts.hostname)
        conn = http_client.ClientConnection(stream, ids.Address(f"{url_parts.hostname}:{port}"))
        try:
            headers = [(b"content-type", b"application/json")]
            if token:
                headers.append((b"authorization", f"Bearer {token}".encode()))
            await conn.send(http_client.RequestHead(method, target or "/", headers), body)
            head = await conn.receive_head(TIMEOUT_S)
            encoded_body = await conn.receive_body(TIMEOUT_S)
        finally:
            await conn.close()
    return Response(head.status, msgspec.json.decode(encoded_body) if encoded_body else {})


def expect_status(response: Response, status: int = 200) -> Any:
    """Returns the body of an answer with the expected status.

    Raises:
        CommandError: The answer has another status.
    """
    if response.status != status:
        raise exceptions.CommandError(response.message or f"status {response.status}")
    return response.body
