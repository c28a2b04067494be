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
class Answer:
    """An answer with a JSON body."""

    status: int
    body: Any

    @property
    def message(self) -> str:
        """The error that the answer tells, empty without one."""
        if isinstance(self.body, dict) and isinstance(self.body.get("error"), dict):
            return str(self.body["error"].get("message", ""))
        return ""


def call(method: str, url: str, body: bytes = b"", token: str = "") -> Answer:
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


async def _call(method: str, url: str, body: bytes, token: str) -> Answer:
    parts = urllib.parse.urlsplit(url)
    secure = parts.scheme == "https"
    if parts.scheme not in ("http", "https") or not parts.hostname:
        raise exceptions.CommandError(f"expected an http or https URL, got {url!r}")
    port = parts.port or (443 if secure else 80)
    target = parts.path + (f"?{parts.query}" if parts.query else "")
    with trio.fail_after(TIMEOUT_S):
        stream: trio.abc.Stream = await trio.open_tcp_stream(parts.hostname, port)
        if secure:
            context = ssl.create_default_context()
            stream = trio.SSLStream(stream, context, server_hostname=parts.hostname)
        conn = http_client.ClientConnection(stream, ids.Address(f"{parts.hostname}:{port}"))
        try:
            extra = [(b"content-type", b"application/json")]
            if token:
                extra.append((b"authorization", f"Bearer {token}".encode()))
            await conn.send(http_client.RequestHead(method, target or "/", extra), body)
            head = await conn.receive_head(TIMEOUT_S)
            raw = await conn.receive_body(TIMEOUT_S)
        finally:
            await conn.close()
    return Answer(head.status, msgspec.json.decode(raw) if raw else {})


def expect(answer: Answer, status: int = 200) -> Any:
    """Returns the body of an answer with the expected status.

    Raises:
        CommandError: The answer has another status.
    """
    if answer.status != status:
        raise exceptions.CommandError(answer.message or f"status {answer.status}")
    return answer.body
