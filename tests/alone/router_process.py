"""A router process on loopback addresses, before stand-ins that run in the process of the test."""

import contextlib
import json
import os
import pathlib
import signal
import socket
import struct
import subprocess
import sys
import tempfile

import trio

from cicadapier._internal.models import ids
from cicadapier._internal.standins import forwarding_deployment
from tests._internal.services import test_endless_answers
from tests.alone import requests

START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 30.0
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class RouterProcess:
    """A process of `cicadapier serve` whose addresses have free ports.

    Attributes:
        process: The process.
        log: Path of what it writes.
        addresses: Its addresses by the name of the service, once it is ready.
    """

    def __init__(self, store_address, limits=None, peers=None, grace_s=8.0):
        self._folder = tempfile.TemporaryDirectory()
        folder = pathlib.Path(self._folder.name)
        any_port = str(forwarding_deployment.ANY_PORT)
        names = ("callers", "operators", "peers", "readiness", "metrics", "tunnels")
        settings = {
            "vm": "vm-0",
            "failure_domain": "here",
            "listen": dict.fromkeys(names, any_port),
            "platform": {"addresses": [store_address], "timeout_s": 1.5},
            "forwarding": {"readiness_path": requests.READINESS_PATH, "grace_s": grace_s},
            "caller_limits": limits or {},
            "peers": peers or {},
        }
        self.settings = folder / "router.yaml"
        self.settings.write_text(json.dumps(settings))
        self._values = settings
        self.log = folder / "router.log"
        self.addresses = {}
        command = [sys.executable, "-m", "cicadapier", "serve", "--settings", str(self.settings)]
        with self.log.open("wb") as file:
            self.process = subprocess.Popen(command, stdout=file, stderr=subprocess.STDOUT)

    def close(self):
        """Ends the process and removes its files."""
        if self.is_alive:
            self.process.send_signal(signal.SIGKILL)
        self.process.wait(STOP_TIMEOUT_S)
        self._folder.cleanup()

    def set_grace(self, grace_s):
        """Replaces the settings file by one with another grace time."""
        self._values["forwarding"]["grace_s"] = grace_s
        new = self.settings.with_suffix(".new")
        new.write_text(json.dumps(self._values))
        new.replace(self.settings)

    def count_events(self, event):
        """Returns the number of lines of an event in its log."""
        return self.log.read_text().count(f'"{event}"')

    @property
    def is_alive(self):
        """Whether the process runs."""
        return self.process.poll() is None

    @property
    def imports_libraries(self):
        """Whether the program has begun to import its libraries."""
        return "msgspec" in pathlib.Path(f"/proc/{self.process.pid}/maps").read_text()

    @property
    def peak_memory_bytes(self):
        """The most resident memory that the process has had."""
        for line in pathlib.Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) * 1024
        raise ValueError("the kernel tells no resident memory")

    @property
    def descriptors(self):
        """Number of open descriptors of the process."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    async def wait_ready(self):
        """Waits until the router serves."""
        with trio.fail_after(START_TIMEOUT_S):
            while not self.addresses:
                await trio.sleep(0.1)
                self._read_addresses()
            ready = requests.ready()
            while await self.ask("readiness", ready) != 200:
                await trio.sleep(0.1)

    def _read_addresses(self):
        if not self.is_alive:
            raise AssertionError(f"the router ended: {self.log.read_text()[-2000:]}")
        for line in self.log.read_text().splitlines():
            if '"router_started"' in line:
                self.addresses = json.loads(line)

    async def connect(self, name, receive_buffer_bytes=None):
        """Returns a stream to a listener of the router.

        Args:
            name: Name of the service that listens.
            receive_buffer_bytes: Size of the kernel's buffer for answers; None for the usual one.
        """
        host, _, port = self.addresses[name].rpartition(":")
        sock = trio.socket.socket()
        if receive_buffer_bytes is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        await sock.connect((host, int(port)))
        return trio.SocketStream(sock)

    async def ask(self, name, request):
        """Sends one request on a connection of its own; returns the status, 0 for no answer."""
        with contextlib.suppress(OSError, trio.BrokenResourceError, trio.TooSlowError):
            stream = await self.connect(name)
            async with stream:
                with trio.fail_after(START_TIMEOUT_S):
                    await stream.send_all(request)
                    answer = await stream.receive_some()
                    return int(answer[9:12] or 0)
        return 0


def reset_on_close(stream):
    """Makes the close of a stream a reset."""
    stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)


@contextlib.asynccontextmanager
async def running_router(limits=None, desks=2, peers=None):
    """Yields a router that serves, before stand-ins of the store and of a plain service."""
    world = test_endless_answers.SocketWorld()
    async with trio.open_nursery() as nursery:
        await world.start(nursery, routers=0, engines=0, desks=desks)
        _, store_address = await world.store.open_endpoint(ids.Address("127.0.0.1:0"))
        router = RouterProcess(store_address, limits, peers)
        try:
            await router.wait_ready()
            yield router
        finally:
            router.close()
            nursery.cancel_scope.cancel()
