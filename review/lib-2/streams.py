"""A client of a resumable stream (PROTOCOL.md, "Requests", "Answers")."""

import asyncio
import time

import http1


class Stream:
    """One stream of a client, over all its tries."""

    def __init__(self, world, number, routers, timeout_ms, max_tries, pause_s):
        self.world = world
        self.number = number
        self.routers = routers
        self.timeout_ms = timeout_ms
        self.max_tries = max_tries
        self.pause_s = pause_s  # Behind a broken channel.
        self.events = []  # (id, runner, version, born)
        self.first_try = None
        self.is_complete = False

    async def run(self):
        began = time.monotonic()
        tries = 0
        while not self.is_complete and tries < self.max_tries:
            left_ms = self.timeout_ms - (time.monotonic() - began) * 1000
            if left_ms < 500:
                return
            pause_s = await self._try(tries, left_ms)
            tries += 1
            await asyncio.sleep(min(pause_s, left_ms / 3000))

    async def _try(self, tries, left_ms):
        """Sends one client attempt on a new channel; returns when to come back."""
        request = f"{self.number:04x}{tries:04x}5f68"
        headers = [
            ("Host", "lm.example"), ("X-Request-Id", request), ("X-Model", "verse"),
            ("X-Token-Counts", "600,160"), ("X-Prompt-Prefix", f"aa01:400,bb{self.number:02x}:200"),
            ("X-Deadline-Ms", str(int(left_ms))),
        ]  # fmt: skip
        if self.events:  # A stream that is taken up.
            headers.append(("Last-Event-Id", str(self.events[-1][0])))
            headers.append(("Resumes", self.first_try))
        body = b"x" * 64
        headers.append(("Content-Length", str(len(body))))
        router = self.routers[(self.number + tries) % len(self.routers)]
        host, port = router.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(http1.encode("POST /ask/verdict HTTP/1.1", headers, body))
            await writer.drain()
            head = await http1.read_head(reader)
            if head is None or head.status != 200:
                status = head.status if head else "closed"
                retry_after = float(head.header("retry-after", "0.3")) if head else 0.3
                self.world.record(f"stream {self.number} try {request}: {status}")
                return retry_after
            await self._read(reader, request)
        except (ConnectionError, asyncio.IncompleteReadError):
            last = self.events[-1][0] if self.events else 0
            self.world.record(f"stream {self.number} try {request}: broken off behind {last}")
        finally:
            writer.close()
        return self.pause_s

    async def _read(self, reader, request):
        rest = b""
        while data := await http1.read_chunk(reader):
            rest += data
            while b"\n\n" in rest:
                event, _, rest = rest.partition(b"\n\n")
                lines = event.decode().splitlines()
                fields = dict(line.split(": ", 1) for line in lines)
                runner, version, born = fields["data"].split()
                self.first_try = self.first_try or request
                self.events.append((int(fields["id"]), runner, version, born))
        self.is_complete = True
        self.world.record(f"stream {self.number} try {request}: complete")

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
