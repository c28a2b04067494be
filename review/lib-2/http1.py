"""Minimal HTTP/1.1 for the stand-ins, over asyncio streams (standard library only)."""

import asyncio


class Message:
    """Head and body of a request or an answer; header names are in lower case."""

    def __init__(self, first_line, headers, body=b""):
        self.first_line = first_line
        self.headers = headers
        self.body = body

    def header(self, name, default=""):
        for key, value in self.headers:
            if key == name:
                return value
        return default

    @property
    def method(self):
        return self.first_line.split(" ")[0]

    @property
    def target(self):
        return self.first_line.split(" ")[1]

    @property
    def status(self):
        return int(self.first_line.split(" ")[1])


async def read_head(reader):
    """Returns the first line and the headers, or None if the channel ends before them."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw[:-4].decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers.append((name.strip().lower(), value.strip()))
    return Message(lines[0], headers)


async def read_chunk(reader):
    """Returns the next chunk of a body; empty at its regular end.

    Raises IncompleteReadError if the channel ends before.
    """
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size)
    await reader.readexactly(2)
    return data


async def read_body(reader, message):
    """Reads the body of a message that has a length or chunks."""
    if message.header("transfer-encoding").lower() == "chunked":
        parts = []
        while part := await read_chunk(reader):
            parts.append(part)
        return b"".join(parts)
    length = int(message.header("content-length", "0"))
    return await reader.readexactly(length) if length else b""


async def read_request(reader):
    message = await read_head(reader)
    if message is not None:
        message.body = await read_body(reader, message)
    return message


def encode(first_line, headers, body=b""):
    lines = [first_line, *(f"{name}: {value}" for name, value in headers)]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def answer(status, headers, body=b""):
    head = [*headers, ("Content-Length", str(len(body)))]
    return encode(f"HTTP/1.1 {status} S", head, body)


async def call(address, method, target, headers, body=b"", timeout_s=5.0):
    """Sends one request on a new channel; returns the answer with its whole body."""
    host, port = address.rsplit(":", 1)

    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            head = [("Host", address), *headers]
            if body or method in ("POST", "PUT"):
                head.append(("Content-Length", str(len(body))))
            writer.write(encode(f"{method} {target} HTTP/1.1", head, body))
            await writer.drain()
            message = await read_head(reader)
            if message is None:
                raise ConnectionError("no answer")
            message.body = await read_body(reader, message)
            return message
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout_s)
