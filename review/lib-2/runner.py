"""Stand-in for a runner (PROTOCOL.md, "Runners", "Service discovery").

usage: runner.py --id ID --address A --store A --service S --version V [--stream EVENTS GAP_S]

It serves requests, registers itself as it starts and then about every heartbeat, writes each
begin and end of a run as a JSON line to `--log`, answers reports and orders, and drops a request
when its channel closes. With `--model` it answers POSTs by streams of events with ids from 1.
"""

import argparse
import asyncio
import json
import os
import sys
import time

import http1

HEARTBEAT_S = 1.2
RETRY_S = 0.2
LOAD_S = 0.57


class Runner:
    def __init__(self, args):
        self.args = args
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.active = 0
        self.weights = 1
        self.busy_until = 0.0
        self.registered = False
        self.log_file = open(args.log, "a", buffering=1)

    def log(self, **fields):
        record = {"t": time.monotonic(), "id": self.args.id, "version": self.args.version}
        self.log_file.write(json.dumps({**record, "born": self.born, **fields}) + "\n")

    def entry(self):
        args = self.args
        models = [{"name": args.model, "version": self.weights, "adapters": []}]
        return {
            "service": args.service,
            "address": args.address,
            "zone": args.zone,
            "version": args.version,
            "slots": 16,
            "state": "ready",
            "cold_remaining_ms": 0,
            "phase": "both",
            "models": models if args.model else [],
            "seq": self.seq,
            "born": self.born,
        }

    async def register(self):
        """Writes the entry as the runner starts, and then about every heartbeat."""
        while True:
            try:
                await self._write_entry()
                await asyncio.sleep(HEARTBEAT_S)
            except (OSError, ConnectionError, TimeoutError, asyncio.IncompleteReadError):
                await asyncio.sleep(RETRY_S)

    async def _write_entry(self):
        path = f"/api/objects/servers/{self.args.id}"
        content = json.dumps({"metadata": {"name": self.args.id}, "spec": self.entry()}).encode()
        answer = await http1.call(self.args.store, "PUT", path, [], content, 1.0)
        if answer.status == 404:
            answer = await http1.call(
                self.args.store, "POST", "/api/objects/servers", [], content, 1.0
            )
        if answer.status == 200 and not self.registered:
            self.registered = True
            self.log(event="registered")

    def is_queue_full(self):
        """Returns whether a request waits, which is as long as the file of `--queue-file` is."""
        return bool(self.args.queue_file) and os.path.exists(self.args.queue_file)

    def fall_silent(self):
        """Stands still for a second or so behind a report, once, if it is to and none waits."""
        path = self.args.silence_file
        if path and os.path.exists(path) and not self.is_queue_full():
            os.unlink(path)
            self.log(event="silent")
            time.sleep(self.args.silence_s)
            self.log(event="goes on")

    async def serve(self, reader, writer):
        try:
            while True:
                request = await http1.read_request(reader)
                if request is None:
                    return
                await self.answer(request, reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, request, reader, writer):
        if request.target == "/api/report":
            await asyncio.sleep(self.args.report_s)
            models = [{"name": self.args.model, "version": self.weights, "adapters": []}]
            report = {
                "phase": "both",
                "models": models,
                "busy": time.monotonic() < self.busy_until,
                "seq": self.seq,
                "queued": int(self.is_queue_full()),
                "active": self.active,
                "kv_used": 0,
                "kv_total": 110592,
                "handles": 0,
                "born": self.born,
            }
            writer.write(http1.answer(200, [], json.dumps(report).encode()))
            await writer.drain()
            self.fall_silent()
            return
        request_id = request.header("x-request-id")
        base = [("X-Request-Id", request_id), ("X-Instance-Id", self.args.id)]
        expected = request.header("x-expect-instance")
        if expected and expected != self.args.id:
            writer.write(http1.answer(421, base))
            await writer.drain()
            return
        if request.target == "/api/order":
            await self.order(request, writer)
            return
        wanted = request.header("x-expect-version")
        if self.args.model:
            base.append(("X-Weight-Versions", str(self.weights)))
        if wanted and int(wanted) != self.weights:
            writer.write(http1.answer(421, base))
            await writer.drain()
            return
        stamp = f"{self.args.id}.{self.born}.{request_id}"
        head = [*base, ("X-Server-Stamp", stamp)]
        self.log(event="run", request=request_id, headers=dict(request.headers))
        self.active += 1
        try:
            if self.args.model:
                await self.stream(request, reader, writer, head)
            else:
                await asyncio.sleep(self.args.work_s)
                writer.write(http1.answer(200, head, b"answer to " + request_id.encode()))
                await writer.drain()
            self.log(event="done", request=request_id)
        finally:
            self.active -= 1

    async def stream(self, request, reader, writer, head):
        head = [*head, ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
        writer.write(http1.encode("HTTP/1.1 200 OK", head))
        last = request.header("last-event-id")
        first = int(last) + 1 if last else self.args.first_id
        for number in range(first, self.args.events + 1):
            await asyncio.sleep(self.args.gap_s)
            if writer.is_closing() or reader.at_eof():
                raise ConnectionError("the caller closed the channel")
            data = f"{self.args.id} {self.args.version} {self.born}"
            text = f"id: {number}\ndata: {data}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(text), text))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    async def order(self, request, writer):
        order = json.loads(request.body)
        self.log(event="order", **order)
        status = 202
        if order["version"] == self.weights:
            status = 200
        elif order.get("expect", self.seq) != self.seq or time.monotonic() < self.busy_until:
            status = 409
        if status == 202:
            self.seq += 1
            self.busy_until = time.monotonic() + LOAD_S
            self.weights = order["version"]
        writer.write(http1.answer(status, [], b"{}"))
        await writer.drain()


async def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--id", required=True)
    parser.add_argument("--address", required=True)
    parser.add_argument("--store", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--zone", default="zone-a")
    parser.add_argument("--version", default="v1")
    parser.add_argument("--model", default="")
    parser.add_argument("--events", type=int, default=10)  # The id of the last one.
    parser.add_argument("--first-id", type=int, default=1)
    parser.add_argument("--gap-s", type=float, default=0.1)
    parser.add_argument("--work-s", type=float, default=0.05)
    parser.add_argument("--queue-file", default="")
    parser.add_argument("--report-s", type=float, default=0.0)
    parser.add_argument("--silence-file", default="")
    parser.add_argument("--silence-s", type=float, default=1.5)
    parser.add_argument("--log", required=True)
    runner = Runner(parser.parse_args())
    host, port = runner.args.address.rsplit(":", 1)
    server = await asyncio.start_server(runner.serve, host, int(port))
    runner.log(event="started")
    async with server:
        await asyncio.gather(server.serve_forever(), runner.register())


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
