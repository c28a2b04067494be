"""Stand-in for the platform's store (PROTOCOL.md, "The platform's metadata store").

usage: store.py ADDRESS [--down-file PATH] [--late-file PATH]

Objects by kind and name, conditional writes, lists, watches. A PUT that changes nothing makes no
revision. While the file of `--down-file` exists, every channel is reset without an answer
(`platform_down`, how = "reset"); nothing is done then. While the file of `--late-file` exists,
writes of order leases by the holder that it names get no answer and are done 6 s later, if their
condition still holds (`platform_lost`, how = "late"). `--write-log` counts the writes.
"""

import argparse
import asyncio
import json
import os
import struct
import socket
import sys
import time
import urllib.parse

import http1

ANSWER_S = 0.004
HISTORY_S = 20.0
LATE_S = 6.0


class Store:
    def __init__(self, down_file, late_file="", write_log=""):
        self.late_file = late_file
        self.write_log = write_log
        self.objects = {}
        self.revision = 1
        self.events = []  # (revision, time, kind, object, deleted)
        self.oldest = 1
        self.changed = asyncio.Event()
        self.down_file = down_file

    @property
    def is_down(self):
        return bool(self.down_file) and os.path.exists(self.down_file)

    def _record(self, kind, item, deleted):
        now = time.monotonic()
        self.events.append((self.revision, now, kind, item, deleted))
        while self.events and self.events[0][1] < now - HISTORY_S:
            self.oldest = self.events.pop(0)[0]
        self.changed.set()
        self.changed = asyncio.Event()

    def _put(self, kind, name, spec, status, created):
        self.revision += 1
        metadata = {
            "name": name,
            "rev": self.revision,
            "created": created,
            "finalizers": [],
            "pending_delete": False,
        }
        item = {"metadata": metadata, "spec": spec, "status": status}
        self.objects[kind, name] = item
        self._record(kind, item, False)
        return item

    def log_write(self, kind, name, body, is_late):
        if self.write_log:
            spec = body.get("spec") or {}
            line = {"t": time.monotonic(), "kind": kind, "name": name, "late": is_late}
            if name.startswith("orders-"):
                line |= {key: spec.get(key) for key in ("holder", "fencing", "active", "note")}
            with open(self.write_log, "a") as file:
                file.write(json.dumps(line) + "\n")

    def is_late(self, kind, body):
        """Returns whether a write is one of those that are done late and not answered."""
        try:
            holder = open(self.late_file).read() if self.late_file else ""
        except FileNotFoundError:
            return False
        writer = (body.get("spec") or {}).get("holder")
        return kind == "cicadapier-routers" and bool(holder) and writer == holder

    async def write_late(self, *write):
        await asyncio.sleep(LATE_S)
        self.write(*write)

    def write(self, method, kind, name, query, body):
        metadata = body.get("metadata") or {}
        name = name or metadata.get("name")
        rev = metadata.get("rev", query.get("rev"))
        current = self.objects.get((kind, name))
        if method == "POST":
            if current:
                return 409, current
            return 200, self._put(kind, name, body.get("spec"), None, self.revision + 1)
        if current is None:
            return 404, {}
        if rev is not None and int(rev) != current["metadata"]["rev"]:
            return 409, current
        if method == "PUT":
            if body.get("spec") == current["spec"]:
                return 200, current
            created = current["metadata"]["created"]
            return 200, self._put(kind, name, body.get("spec"), current["status"], created)
        if method == "DELETE":
            del self.objects[kind, name]
            self.revision += 1
            gone = {**current, "metadata": {**current["metadata"], "rev": self.revision}}
            self._record(kind, gone, True)
            return 200, gone
        return 400, {}

    async def read(self, kind, name, query):
        if "watch" in query:
            return await self._watch(kind, int(query["watch"]), float(query.get("wait_ms", 0)))
        if name:
            found = self.objects.get((kind, name))
            return (200, found) if found else (404, {})
        after = query.get("after", "")
        names = sorted(n for k, n in self.objects if k == kind and n > after)
        items = [self.objects[kind, n] for n in names]
        return 200, {"items": items, "has_more": False, "as_of": self.revision}

    async def _watch(self, kind, since, wait_ms):
        until = time.monotonic() + wait_ms / 1000
        while True:
            if self.is_down:
                return None
            if not self.oldest <= since <= self.revision:
                return 410, {}
            found = [
                {"object": item, "deleted": deleted}
                for rev, _, k, item, deleted in self.events
                if rev > since and k == kind
            ]
            left = until - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "as_of": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), min(left, 0.05))
            except TimeoutError:
                pass


def reset(writer):
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


tasks = set()


async def serve(store, reader, writer):
    try:
        while True:
            request = await http1.read_request(reader)
            if request is None:
                return
            await asyncio.sleep(ANSWER_S)
            if store.is_down:
                reset(writer)
                return
            path, _, raw_query = request.target.partition("?")
            query = dict(urllib.parse.parse_qsl(raw_query))
            kind, _, name = path.removeprefix("/api/objects/").partition("/")
            name = urllib.parse.unquote(name)
            body = json.loads(request.body) if request.body else {}
            if request.method == "GET":
                result = await store.read(kind, name, query)
                if result is None:
                    reset(writer)
                    return
                status, content = result
            else:
                is_late = store.is_late(kind, body)
                written = name or (body.get("metadata") or {}).get("name")
                store.log_write(kind, written, body, is_late)
                if is_late:
                    write = (request.method, kind, name, query, body)
                    tasks.add(asyncio.create_task(store.write_late(*write)))
                    await reader.read()  # The channel returns nothing further.
                    return
                status, content = store.write(request.method, kind, name, query, body)
            data = json.dumps(content).encode()
            writer.write(http1.answer(status, [("Content-Type", "application/json")], data))
            await writer.drain()
    except (ConnectionError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


async def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("address")
    parser.add_argument("--down-file", default="")
    parser.add_argument("--late-file", default="")
    parser.add_argument("--write-log", default="")
    args = parser.parse_args()
    host, port = args.address.rsplit(":", 1)
    store = Store(args.down_file, args.late_file, args.write_log)
    server = await asyncio.start_server(lambda r, w: serve(store, r, w), host, int(port))
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
