"""Starts routers and stand-ins as separate processes on loopback addresses, for the scripts.

Each machine has a loopback address of its own. A router is started by the command of
`deploy/system.toml`, with settings that the template of the deploy file makes from the fields of
DEPLOY.md. Everything that was started is ended by `World.close`.
"""

import asyncio
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

import http1

LIB = pathlib.Path(__file__).parent
ROOT = LIB.parent.parent
START_TIMEOUT_S = 25.0
STORE_PORT = 8784


def render(text, fields):
    """Fills in a template as DEPLOY.md tells: values, `|json`, sections and inverted sections."""

    def find(path, scopes):
        if path == ".":
            return scopes[-1]
        for scope in reversed(scopes):
            value = scope
            for key in path.split("."):
                if isinstance(value, dict) and key in value:
                    value = value[key]
                elif isinstance(value, list) and key.isdigit() and int(key) < len(value):
                    value = value[int(key)]
                else:
                    value = None
                    break
            if value is not None:
                return value
        return None

    def plain(value):
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        if isinstance(value, list):
            return ",".join(plain(item) for item in value)
        return json.dumps(value) if isinstance(value, dict) else str(value)

    def fill(part, scopes, is_last=True):
        section = re.compile(r"\{\{([#^])([^}]+)\}\}(.*?)\{\{/\2\}\}", re.S)

        def replace_section(match):
            kind, path, inner = match.groups()
            value = find(path, scopes)
            if kind == "^":
                return "" if value not in (None, False) else fill(inner, scopes)
            if value in (None, False):
                return ""
            if isinstance(value, list):
                return "".join(
                    fill(inner, [*scopes, item], index == len(value) - 1)
                    for index, item in enumerate(value)
                )
            return fill(inner, [*scopes, value])

        part = section.sub(replace_section, part)
        part = part.replace("{{,}}", "" if is_last else ",")

        def replace_value(match):
            path, _, form = match.group(1).partition("|")
            value = find(path, scopes)
            return json.dumps(value) if form == "json" else plain(value)

        return re.sub(r"\{\{([^#^/}][^}]*)\}\}", replace_value, part)

    return fill(text, [fields])


def find_free_block():
    """Returns a block of loopback addresses that no other run uses."""
    while True:
        block = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        with socket.socket() as sock:
            try:
                sock.bind((f"{block}.200", STORE_PORT))
            except OSError:
                continue
        return block


class World:
    """The processes of one run of a script."""

    def __init__(self, record):
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.tmp = pathlib.Path(self.temporary.name)
        self.processes = {}
        self.commands = {}
        self.began_at = time.monotonic()
        self.record_file = open(record, "w", buffering=1)
        self.net = find_free_block()
        self.next_host = 1
        self.store_address = f"{self.net}.200:{STORE_PORT}"
        self.down_file = self.tmp / "store-is-down"
        self.late_file = self.tmp / "late-writes-of"

    def record(self, text):
        line = f"{time.monotonic() - self.began_at:8.3f} {text}"
        self.record_file.write(line + "\n")
        print(line, flush=True)

    def host(self):
        self.next_host += 1
        return f"{self.net}.{self.next_host}"

    def start(self, name, command):
        """Starts or restarts a process."""
        self.commands[name] = command
        environment = {
            **{k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ},
            "PYTHONPATH": f"{ROOT / 'target' / 'deps'}:{LIB}",
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with open(self.tmp / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=subprocess.STDOUT
            )

    def signal(self, name, number):
        self.record(f"signal {signal.Signals(number).name} to {name}")
        self.processes[name].send_signal(number)

    def restart(self, name):
        """Starts a process again as it was started."""
        self.record(f"start {name} again")
        self.start(name, self.commands[name])

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def start_store(self):
        store = [sys.executable, str(LIB / "store.py"), self.store_address]
        store += ["--down-file", str(self.down_file), "--late-file", str(self.late_file)]
        self.start("store", [*store, "--write-log", str(self.tmp / "writes.jsonl")])

    def start_runner(self, name, address, service, **options):
        command = [sys.executable, str(LIB / "runner.py"), "--id", name, "--address", address]
        command += ["--store", self.store_address, "--service", service]
        command += ["--log", str(self.tmp / "runs.jsonl")]
        for key, value in options.items():
            command += [f"--{key.replace('_', '-')}", str(value)]
        self.start(name, command)

    def start_router(self, name, zone, bounds, contracts):
        """Starts a router by the deploy file; returns its address for clients."""
        ip = self.host()
        fields = {
            "node_name": name,
            "role": "router",
            "machine_class": "edge",
            "ip": ip,
            "zone": zone,
            "region": "region",
            "port_range": [7340, 7355],
            "contracts": contracts,
            "listen": {"front": f"{ip}:8782", "ready_addr": f"{ip}:8789"},
            "bounds": bounds,
            "platform": {"address": self.store_address, "form": "objects"},
        }
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            role = tomllib.load(file)["roles"]["router"]
        settings = self.tmp / f"{name}.boot"
        template = (ROOT / role["template"]).read_text()
        settings.write_text(render(template, fields))
        words = [str(settings) if w.endswith("boot.toml") else w for w in role["run"].split()]
        self.start(name, [sys.executable if words[0] == "python3" else words[0], *words[1:]])
        return f"{ip}:8782", f"{ip}:8789"

    async def put(self, kind, name, spec):
        """Writes an object as the operator does; returns the time of the ack."""
        content = json.dumps({"metadata": {"name": name}, "spec": spec}).encode()
        path = f"/api/objects/{kind}/{name}"
        answer = await http1.call(self.store_address, "PUT", path, [], content)
        if answer.status == 404:
            await http1.call(self.store_address, "POST", f"/api/objects/{kind}", [], content)
        return time.monotonic()

    async def list(self, kind):
        answer = await http1.call(self.store_address, "GET", f"/api/objects/{kind}", [])
        return {item["metadata"]["name"]: item["spec"] for item in json.loads(answer.body)["items"]}

    async def wait_for(self, what, check, timeout_s=START_TIMEOUT_S):
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            try:
                if await check():
                    return
            except (OSError, ConnectionError, TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        raise NotReadyError(what)

    async def wait_until_ready(self, ready_address):
        async def check():
            answer = await http1.call(ready_address, "GET", "/api/ready", [], timeout_s=1.0)
            return answer.status == 200

        await self.wait_for(f"ready: {ready_address}", check)

    def writes(self):
        """Returns the writes that the store has got."""
        return self._read_lines("writes.jsonl")

    def runs(self):
        """Returns what the runners have written."""
        return self._read_lines("runs.jsonl")

    def _read_lines(self, name):
        path = self.tmp / name
        if not path.exists():
            return []
        return [json.loads(line) for line in path.read_text().splitlines() if line.strip()]

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        if os.environ.get("KEEP"):
            for log in self.tmp.glob("*"):
                (pathlib.Path(os.environ["KEEP"]) / log.name).write_bytes(log.read_bytes())
        self.temporary.cleanup()


class NotReadyError(Exception):
    """Something did not start."""


def run(record, main):
    """Runs a script that writes `record`; exits with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    world = World(record)
    try:
        broken = asyncio.run(asyncio.wait_for(main(world), 110))
    except (NotReadyError, TimeoutError, OSError) as exc:
        world.record(f"the case could not run: {exc!r}")
        for name, process in world.processes.items():
            tail = (world.tmp / f"{name}.log").read_text(errors="replace").splitlines()[-3:]
            world.record(f"{name}: exit status {process.poll()}, last lines {tail}")
        code = 2
    else:
        world.record("RULE BROKEN" if broken else "the rule held")
        code = 1 if broken else 0
    finally:
        world.close()
    sys.exit(code)
