"""Stand-ins for the platform's store, runners and clients, and the start of routers.

They use the standard library alone. All addresses are loopback addresses with free ports.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
# Bounds of the site andino-inv.
GRACE_S = 8
DRAIN_MS = 2000
REVOKE_MS = 5000
LEASE_MS = 3000
VERSION_MS = 8000
REASONS = {200: "OK", 201: "Created", 202: "Accepted", 404: "Not Found", 409: "Conflict"}

_used_ports = set()


def free_port():
    while True:
        with socket.socket() as sock:
            sock.bind((HOST, 0))
            port = sock.getsockname()[1]
        if port not in _used_ports:
            _used_ports.add(port)
            return port


class Record:
    """Writes what was sent, answered and run to record.txt, with seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._began = time.monotonic()

    def __call__(self, *words):
        at = time.monotonic() - self._began
        print(f"{at:8.3f}", *words, file=self._file, flush=True)

    @property
    def now(self):
        return time.monotonic() - self._began


async def read_message(reader):
    """Returns the first line, the headers and the body of an HTTP message; None at the end."""
    line = await reader.readline()
    if not line:
        return None
    headers = []
    while raw := (await reader.readline()).strip():
        name, _, value = raw.decode("latin-1").partition(":")
        headers.append((name.strip().lower(), value.strip()))
    fields = dict(headers)
    body = b""
    if "content-length" in fields:
        body = await reader.readexactly(int(fields["content-length"]))
    elif fields.get("transfer-encoding") == "chunked":
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    return line.decode("latin-1").split(), fields, body


def abort(writer):
    """Resets a connection."""
    with contextlib.suppress(Exception):
        writer.transport.abort()


class Server:
    """A server on one or more loopback ports, which can be closed and opened again."""

    def __init__(self):
        self._servers = {}
        self._writers = {}

    async def open(self, port):
        self._writers.setdefault(port, set())

        async def serve(reader, writer):
            self._writers[port].add(writer)
            try:
                await self.serve_connection(reader, writer, port)
            except (ConnectionError, asyncio.IncompleteReadError, ValueError):
                pass
            finally:
                self._writers[port].discard(writer)
                abort(writer)

        self._servers[port] = await asyncio.start_server(
            serve, HOST, port, reuse_address=True, limit=2**24
        )

    async def close(self, port):
        """Resets all connections and refuses new ones."""
        server = self._servers.pop(port, None)
        if server:
            server.close()
        for writer in list(self._writers[port]):
            abort(writer)

    async def serve_connection(self, reader, writer, port):
        while (message := await read_message(reader)) is not None:
            (method, target, _), headers, body = message
            await self.handle(method, target, headers, body, writer, port)

    async def handle(self, method, target, headers, body, writer, port):
        raise NotImplementedError


async def send(writer, status, body=b"", headers=()):
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
        headers = [("content-type", "application/json"), *headers]
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"content-length: {len(body)}", "", ""]
    writer.write("\r\n".join(lines).encode() + body)
    await writer.drain()


class Store(Server):
    """The platform's store, as PROTOCOL.md and NEWS.md tell it; one port for each machine.

    `modes` says for each port how calls are met: `up`, `silent` or `busy`.
    """

    def __init__(self, record, names_era=True):
        super().__init__()
        self.record = record
        self.revision = 100
        self.era = 1
        self.names_era = names_era
        self.modes = {}
        self.objects = {}
        self.history = []
        self.oldest = self.revision
        self.held = []
        self._changed = asyncio.Event()

    def _note_change(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def put(self, kind, name, spec):
        """Writes an object as an operator or a runner does; returns its revision."""
        known = self.objects.get((kind, name))
        if known and known["spec"] == spec:
            return known["metadata"]["rev"]
        self.revision += 1
        metadata = {
            "name": name,
            "rev": self.revision,
            "created": known["metadata"]["created"] if known else self.revision,
            "finalizers": [],
            "pending_delete": False,
        }
        item = {"metadata": metadata, "spec": spec, "status": None}
        self.objects[kind, name] = item
        self.history.append((self.revision, kind, {"deleted": False, "object": item}))
        self._note_change()
        return self.revision

    def delete(self, kind, name):
        item = self.objects.pop((kind, name), None)
        if item:
            self.revision += 1
            gone = {**item, "metadata": {**item["metadata"], "rev": self.revision}}
            self.history.append((self.revision, kind, {"deleted": True, "object": gone}))
            self._note_change()

    def copy(self):
        return self.revision, dict(self.objects), list(self.history)

    def restore(self, copied):
        """Comes back from a copy: revisions go back, and the era rises by one."""
        self.revision, self.objects, self.history = copied[0], dict(copied[1]), list(copied[2])
        self.era += 1
        self._note_change()

    async def handle(self, method, target, headers, body, writer, port):
        mode = self.modes.get(port, "up")
        if mode == "silent":
            await asyncio.sleep(3600)
        if mode == "busy":
            await self._answer(writer, 503, {})
            return
        await asyncio.sleep(0.004)
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        kind, _, name = url.path.removeprefix("/api/objects/").partition("/")
        name = urllib.parse.unquote(name)
        if method == "GET" and "watch" in query:
            await self._watch(kind, query, writer, port)
        elif method == "GET" and name:
            item = self.objects.get((kind, name))
            await self._answer(writer, 200 if item else 404, item or {})
        elif method == "GET":
            names = sorted(n for k, n in self.objects if k == kind and n > query.get("after", ""))
            items = [self.objects[kind, n] for n in names[:500]]
            page = {"items": items, "has_more": len(names) > 500, "as_of": self.revision}
            await self._answer(writer, 200, page)
        else:
            await self._write(method, kind, name, query, json.loads(body or b"{}"), writer)

    async def _write(self, method, kind, name, query, document, writer):
        metadata = document.get("metadata", {})
        name = name or metadata.get("name", "")
        known = self.objects.get((kind, name))
        rev = metadata.get("rev", query.get("rev"))
        if method == "POST" and known:
            await self._answer(writer, 409, known)
        elif method != "POST" and not known:
            await self._answer(writer, 404, {})
        elif method != "POST" and rev is not None and int(rev) != known["metadata"]["rev"]:
            await self._answer(writer, 409, known)
        elif method == "DELETE":
            self.delete(kind, name)
            await self._answer(writer, 200, {})
        else:
            self.put(kind, name, document.get("spec"))
            await self._answer(writer, 200, self.objects[kind, name])

    async def _watch(self, kind, query, writer, port):
        since = int(query["watch"])
        deadline = time.monotonic() + min(30.0, float(query.get("wait_ms", 0)) / 1000)
        while True:
            if not self.oldest <= since <= self.revision:
                await self._answer(writer, 410, {})
                return
            events = [event for rev, k, event in self.history if k == kind and rev > since]
            left = deadline - time.monotonic()
            if events or left <= 0:
                await self._answer(writer, 200, {"events": events, "as_of": self.revision})
                return
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left)
            if self.modes.get(port, "up") != "up":
                await asyncio.sleep(3600)

    async def _answer(self, writer, status, body):
        headers = [("store-era", self.era)] if self.names_era else []
        await send(writer, status, body, headers)


class Runner(Server):
    """A runner of a plain service or, with a model, of a pool of model runners."""

    def __init__(self, store, record, runs, name, service, model=None, software="v1", slots=64):
        super().__init__()
        self.store = store
        self.record = record
        self.runs = runs
        self.name = name
        self.service = service
        self.model = model
        self.software = software
        self.slots = slots
        self.port = free_port()
        self.born = int(time.time() * 1000)
        self.work_s = 0.02
        self.events = 6
        self.event_s = 0.05
        self.first_event_s = 0.02
        self.weights = 1
        self.seq = 0
        self.state = "ready"
        self.orders = []
        self.active = 0
        self.answer_headers = []
        self.is_up = False
        # Called in place of the usual answer; returns whether it has answered.
        self.misbehave = None

    @property
    def address(self):
        return f"{HOST}:{self.port}"

    def spec(self):
        models = [{"name": self.model, "version": self.weights, "adapters": []}]
        return {
            "service": self.service,
            "address": self.address,
            "zone": "z1",
            "version": self.software,
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "phase": "both",
            "models": models if self.model else [],
            "born": self.born,
        }

    def register(self):
        self.store.put("servers", self.name, self.spec())

    async def start(self, registers=True):
        self.is_up = True
        await self.open(self.port)
        if registers:
            self.register()

    async def stop(self):
        """Ends abruptly: its connections are reset and its address refuses new ones."""
        self.is_up = False
        await self.close(self.port)

    async def start_again(self, software=None, registers=True):
        """Starts again under its id and address; it knows nothing of before."""
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.software = software or self.software
        await self.start(registers)

    async def handle(self, method, target, headers, body, writer, port):
        path = target.partition("?")[0]
        common = [("x-instance-id", self.name), *self.answer_headers]
        if path == "/health":
            await send(writer, 200, b"", common)
        elif path == "/api/report":
            report = {
                "phase": "both",
                "models": self.spec()["models"],
                "busy": False,
                "seq": self.seq,
                "queued": 0,
                "active": self.active,
                "kv_used": 0,
                "kv_total": 110592,
                "handles": 0,
                "born": self.born,
            }
            await send(writer, 200, report, common)
        elif path == "/api/kv-events":
            wait_ms = float(headers.get("wait-ms", 0))
            await asyncio.sleep(min(1.0, wait_ms / 1000))
            events = {"boot_epoch": self.born, "next_token": 0, "lost": False, "events": []}
            await send(writer, 200, events, common)
        elif path == "/api/kv-list":
            await send(writer, 200, {"boot_epoch": self.born, "next_token": 0, "held": []}, common)
        elif path == "/api/order":
            await self._order(json.loads(body), headers, writer)
        else:
            await self._request(method, target, headers, body, writer)

    async def _order(self, order, headers, writer):
        self.orders.append((time.monotonic(), order))
        self.record("order", self.name, json.dumps(order))
        if headers.get("x-expect-instance", self.name) != self.name:
            status = 421
        elif order["version"] == self.weights:
            status = 200
        elif order.get("expect", self.seq) != self.seq:
            status = 409
        else:
            status = 202
            self.seq += 1
            self.weights = order["version"]
            self.register()
        await send(writer, status, {}, [("x-instance-id", self.name)])

    async def _request(self, method, target, headers, body, writer):
        request = headers.get("x-request-id", "")
        common = [("x-request-id", request), ("x-instance-id", self.name), *self.answer_headers]
        expected = headers.get("x-expect-instance", self.name)
        weights = headers.get("x-expect-version", str(self.weights))
        if expected != self.name or (self.model and weights != str(self.weights)):
            self.record("misdirected", request, "at", self.name)
            await send(writer, 421, b"", common)
            return
        run = {
            "request": request,
            "runner": self.name,
            "software": self.software,
            "service": self.service,
            "headers": headers,
            "method": method,
            "target": target,
            "body": body,
            "at": time.monotonic(),
            "connection": writer,
        }
        if self.misbehave and await self.misbehave(self, run, writer, common):
            return
        self.runs.append(run)
        tenant = headers.get("x-tenant", "-")
        self.record("run", request, "at", self.name, self.software, "tenant", tenant)
        self.active += 1
        try:
            if self.model:
                await self.stream(run, writer, common)
            else:
                await asyncio.sleep(self.work_s)
                proof = ("x-server-stamp", f"{self.name}.{request}")
                load = ("x-server-load", f"{self.active},0,{self.slots}")
                await send(writer, 200, f"answer to {request}".encode(), [*common, proof, load])
        finally:
            self.active -= 1

    async def stream(self, run, writer, common):
        last = int(run["headers"].get("last-event-id") or 0)
        head = [
            "HTTP/1.1 200 OK",
            *[f"{name}: {value}" for name, value in common],
            f"x-server-stamp: {self.name}.{run['request']}",
            f"x-weight-versions: {self.weights}",
            "content-type: text/event-stream",
            "transfer-encoding: chunked",
        ]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        await asyncio.sleep(self.first_event_s)
        for number in range(last + 1, self.events + 1):
            data = f"id: {number}\ndata: piece {number} of {self.name} {self.software}\n\n".encode()
            writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
            await writer.drain()
            if writer.is_closing():
                raise ConnectionResetError
            await asyncio.sleep(self.event_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class Answer:
    """What a client got: its status is 0 if the channel ended without an answer."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.complete = False
        self.error = ""

    def __str__(self):
        state = "complete" if self.complete else f"incomplete ({self.error})"
        return f"{self.status} {state} {len(self.body)} B"


async def call(address, method, target, headers, body=b"", timeout_s=10.0):
    """Sends one request on a new channel and returns its answer."""
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            host, port = address.split(":")
            reader, writer = await asyncio.open_connection(host, int(port), limit=2**24)
            lines = [f"{method} {target} HTTP/1.1", *[f"{n}: {v}" for n, v in headers]]
            if body or method == "POST":
                lines.append(f"content-length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            await _read_answer(reader, answer)
    except (OSError, TimeoutError, ValueError, IndexError, asyncio.IncompleteReadError) as exc:
        answer.error = type(exc).__name__
    finally:
        if writer:
            abort(writer)
    return answer


async def _read_answer(reader, answer):
    answer.status = int((await reader.readline()).split()[1])
    while raw := (await reader.readline()).strip():
        name, _, value = raw.decode("latin-1").partition(":")
        answer.headers[name.strip().lower()] = value.strip()
    if answer.headers.get("transfer-encoding") == "chunked":
        while size := int((await reader.readline()).split(b";")[0], 16):
            answer.body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    else:
        answer.body = await reader.readexactly(int(answer.headers["content-length"]))
    answer.complete = True


class Router:
    """A router process, started as the deploy file says."""

    def __init__(self, index, store_port, folder, record):
        self.name = f"edge-{index}"
        self.record = record
        self.callers = f"{HOST}:{free_port()}"
        self.readiness = f"{HOST}:{free_port()}"
        self.store_port = store_port
        self._folder = pathlib.Path(folder)
        self._peers = free_port()
        self._tunnels = free_port()
        self._metrics = free_port()
        self.process = None

    def start(self):
        settings = self._folder / f"{self.name}.yaml"
        settings.write_text(
            f"""vm: "{self.name}"
failure_domain: "z1"
listen:
  callers: "{self.callers}"
  readiness: "{self.readiness}"
  metrics: "{HOST}:{self._metrics}"
  peers: "{HOST}:{self._peers}"
  tunnels: "{HOST}:{self._tunnels}"
platform:
  addresses: ["{HOST}:{self.store_port}"]
  timeout_s: 1.5
forwarding:
  readiness_path: /api/ready
  grace_s: {GRACE_S}
  revoke_ms: {REVOKE_MS}
  order_lease_ms: {LEASE_MS}
  drain_ms: {DRAIN_MS}
  weights_ms: {VERSION_MS}
  retries:
    share: 0.2
    slack: 54
    window_s: 10
"""
        )
        kept = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in kept if name in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["CICADAPIER_NODE_FILE"] = str(settings)
        log = open(self._folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(
            [sys.executable, "-m", "cicadapier", "serve", "--settings", str(settings)],
            cwd=ROOT,
            env=env,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.record("start", self.name, "callers", self.callers, "pid", self.process.pid)

    async def wait_ready(self, timeout_s=20.0):
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            answer = await call(self.readiness, "GET", "/api/ready", [("host", "x")], timeout_s=1)
            if answer.status == 200:
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{self.name} is not ready; log: {self.log()[-2000:]}")

    def log(self):
        return (self._folder / f"{self.name}.log").read_text(errors="replace")

    def stop(self):
        if self.process and self.process.poll() is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


def run_case(record_path, case, limit_s=115):
    """Runs `case(record, trouble, temporary folder, routers)` and exits as the case says.

    The case returns True if the rule held, False if it was broken.
    """
    record = Record(record_path)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record("trouble" if trouble else "without trouble")
    temporary = tempfile.mkdtemp(prefix="review-")
    routers = []

    async def main():
        async with asyncio.timeout(limit_s):
            return await case(record, trouble, temporary, routers)

    def end(number, frame):
        raise SystemExit(2)

    signal.signal(signal.SIGTERM, end)
    status = 2
    try:
        held = asyncio.run(main())
        record("the rule held" if held else "the rule was broken")
        status = 0 if held else 1
    except Exception as exc:
        record("the case could not run:", repr(exc))
    finally:
        for router in routers:
            router.stop()
        if os.environ.get("KEEP_LOGS"):
            for router in routers:
                shutil.copy(pathlib.Path(temporary) / f"{router.name}.log", os.environ["KEEP_LOGS"])
        shutil.rmtree(temporary, ignore_errors=True)
    sys.exit(status)
