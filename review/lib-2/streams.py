"""A client of a resumable stream (PROTOCOL.md, "Requests", "Answers")."""

import asyncio
import dataclasses
import time

import http1


@dataclasses.dataclass
class Attempt:
    """One client attempt."""

    request: str
    sent_at: float
    is_resumption: bool
    events: int = 0


class Stream:
    """One stream of a client, over all its tries.

    A client waits `pause_s` behind a broken channel, `growth` times as long each further time, and
    never less than a `Retry-After`.
    """

    def __init__(
        self, world, number, routers, timeout_ms, max_tries, pause_s, growth=1.0, key=""
    ):
        self.world = world
        self.number = number
        self.routers = routers
        self.timeout_ms = timeout_ms
        self.max_tries = max_tries
        self.pause_s = pause_s
        self.growth = growth
        self.key = key
        self.path = "/ask/verdict"
        self.events = []  # (id, runner, version, born)
        self.attempts = []
        self.first_try = None
        self.is_complete = False
        self._writer = None

    async def run(self):
        began = time.monotonic()
        while not self.is_complete and len(self.attempts) < self.max_tries:
            left_ms = self.timeout_ms - (time.monotonic() - began) * 1000
            if left_ms < 500:
                return
            await asyncio.sleep(min(await self._try(left_ms), left_ms / 3000))

    def drop_channel(self):
        """Closes the channel, as where a client loses its network."""
        if self._writer is not None:
            self._writer.transport.abort()

    async def _try(self, left_ms):
        """Sends one client attempt on a new channel; returns when to come back."""
        number = len(self.attempts)
        pause_s = self.pause_s * self.growth**number
        attempt = Attempt(f"{self.number:04x}{number:04x}5f68", time.monotonic(), bool(self.events))
        self.attempts.append(attempt)
        body = b"x" * 64
        headers = self._headers(attempt.request, left_ms, len(body))
        host, port = self.routers[(self.number + number) % len(self.routers)].rsplit(":", 1)
        try:
            reader, self._writer = await asyncio.wait_for(
                asyncio.open_connection(host, int(port)), 1.0
            )
        except (OSError, TimeoutError):
            self._record(attempt, "no channel")
            return pause_s
        try:
            self._writer.write(http1.encode(f"POST {self.path} HTTP/1.1", headers, body))
            await self._writer.drain()
            head = await http1.read_head(reader)
            if head is None or head.status != 200:
                self._record(attempt, head.status if head else "closed")
                retry_after = float(head.header("retry-after", "0.3")) if head else 0.3
                return max(retry_after, pause_s) if self.growth > 1 else retry_after
            await self._read(reader, attempt)
        except (ConnectionError, asyncio.IncompleteReadError):
            self._record(attempt, f"broken off behind {self.events[-1][0] if self.events else 0}")
        finally:
            self._writer.close()
            self._writer = None
        return pause_s

    def _headers(self, request, left_ms, length):
        headers = [
            ("Host", "lm.example"), ("X-Request-Id", request), ("X-Model", "verse"),
            ("X-Token-Counts", "600,160"), ("X-Prompt-Prefix", f"aa01:400,bb{self.number:02x}:200"),
            ("X-Deadline-Ms", str(int(left_ms))),
        ]  # fmt: skip
        if self.key:
            headers.append(("Authorization", f"Token {self.key}"))
        if self.events:  # A stream that is taken up.
            headers.append(("Last-Event-Id", str(self.events[-1][0])))
            headers.append(("Resumes", self.first_try))
        return [*headers, ("Content-Length", str(length))]

    async def _read(self, reader, attempt):
        rest = b""
        while data := await http1.read_chunk(reader):
            rest += data
            while b"\n\n" in rest:
                event, _, rest = rest.partition(b"\n\n")
                fields = dict(line.split(": ", 1) for line in event.decode().splitlines())
                runner, version, born = fields["data"].split()
                self.first_try = self.first_try or attempt.request
                self.events.append((int(fields["id"]), runner, version, born))
                attempt.events += 1
        self.is_complete = True
        self._record(attempt, "complete")

    def _record(self, attempt, what):
        self.world.record(f"stream {self.number} try {attempt.request}: {what}")

    @property
    def versions(self):
        """Software versions of the runners whose events it holds."""
        return sorted({version for _, _, version, _ in self.events})


def report_joined(world, streams):
    """Records what each stream holds; returns how many hold events of several versions."""
    joined = 0
    for stream in streams:
        joined += len(stream.versions) > 1
        ids = [number for number, *_ in stream.events]
        world.record(
            f"stream {stream.number}: events {len(ids)}, in order {ids == sorted(set(ids))}, "
            f"complete {stream.is_complete}, versions {stream.versions}"
        )
    world.record(f"streams with events of two software versions: {joined} (allowed: 2)")
    return joined
