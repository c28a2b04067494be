"""HTTP requests of the command line, for example to a router's listener for operators."""

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
    """HTTP response with a JSON body.

    Attributes:
        status: HTTP status code.
        body: Decoded body, an empty object if the response has none.
    """

    status: int
    body: Any

    @property
    def message(self) -> str:
        """Error message in the body, empty if there is none."""
        if isinstance(self.body, dict) and isinstance(self.body.get("error"), dict):
            return str(self.body["error"].get("message", ""))
        return ""


def call(method: str, url: str, body: bytes = b"", token: str = "") -> Response:
    """Sends one request and returns its response.

    Args:
        method: HTTP method.
        url: Complete URL with the scheme http or https.
        body: Body of the request.
        token: Bearer token; empty to send none.

    Raises:
        CommandError: The URL is invalid, the request failed or the response is not JSON.
    """
    try:
        return trio.run(_call, method, url, body, token)
    except (protocol_exceptions.ProtocolError, OSError, trio.TooSlowError) as exc:
        raise exceptions.CommandError(f"request to {url} failed: {exc}") from exc
    except msgspec.MsgspecError as exc:
        raise exceptions.CommandError(f"response from {url} is not valid JSON: {exc}") from exc


async def _call(method: str, url: str, body: bytes, token: str) -> Response:
    url_parts = urllib.parse.urlsplit(url)
    use_tls = url_parts.scheme == "https"
    if url_parts.scheme not in ("http", "https") or not url_parts.hostname:
        raise exceptions.CommandError(f"expected an http or https URL, got {url!r}")
    port = url_parts.port
    if port is None:
        port = 443 if use_tls else 80
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
    """Returns the body of a response that has the expected status.

    Raises:
        CommandError: The response has another status.
    """
    if response.status != status:
        raise exceptions.CommandError(
            response.message or f"unexpected HTTP status {response.status}"
        )
    return response.body
