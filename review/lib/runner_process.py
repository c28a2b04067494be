"""A model runner as a process of its own, which can fall silent: it reads and answers nothing then.

Arguments: port, id, model. Each line that it writes is a JSON value with the time on the steady
clock. The line `arm SECONDS` on its standard input lets it fall silent once for so long, as it
answers the report after which a router sends an order; it reads what comes meanwhile afterwards.
"""

import json
import os
import select
import socket
import sys
import threading
import time

# A router orders once its reports have shown an empty queue for 0.3 s, and asks every 0.2 s.
SILENT_AFTER_S = 0.25


class Runner:
    def __init__(self, port, name, model):
        self.port = port
        self.name = name
        self.model = model
        self.weights = 1
        self.seq = 0
        self.born = int(time.time() * 1000)
        self.silence_s = 0.0
        self.awake = threading.Event()
        self.awake.set()
        self.first_report_at = None
        self.lock = threading.Lock()

    def tell(self, **fields):
        print(json.dumps({"at": time.monotonic(), **fields}), flush=True)

    def listen(self):
        server = socket.create_server(("127.0.0.1", self.port), backlog=128)
        threading.Thread(target=self.read_commands, daemon=True).start()
        self.tell(event="up")
        while True:
            conn, _ = server.accept()
            self.awake.wait()
            threading.Thread(target=self.serve, args=(conn,), daemon=True).start()

    def read_commands(self):
        for line in sys.stdin:
            command, _, seconds = line.strip().partition(" ")
            if command == "arm":
                self.first_report_at = None
                self.silence_s = float(seconds)
        os._exit(0)

    def serve(self, conn):
        buffer = b""
        try:
            while True:
                while b"\r\n\r\n" not in buffer:
                    data = self.receive(conn)
                    if not data:
                        return
                    buffer += data
                head, _, buffer = buffer.partition(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                pairs = [line.partition(":") for line in lines[1:]]
                headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
                length = int(headers.get("content-length", 0))
                while len(buffer) < length:
                    data = self.receive(conn)
                    if not data:
                        return
                    buffer += data
                body, buffer = buffer[:length], buffer[length:]
                path = lines[0].split()[1].partition("?")[0]
                status, answer = self.answer(path, headers, body)
                encoded = json.dumps(answer).encode()
                if path == "/api/report":
                    self.fall_silent()
                conn.sendall(
                    f"HTTP/1.1 {status} Status\r\ncontent-type: application/json\r\n"
                    f"x-instance-id: {self.name}\r\ncontent-length: {len(encoded)}\r\n\r\n".encode()
                    + encoded
                )
        except OSError:
            pass
        finally:
            conn.close()

    def receive(self, conn):
        """Reads; what comes while the runner is silent stays with the kernel until it goes on."""
        while True:
            self.awake.wait()
            ready, _, _ = select.select([conn], [], [], 0.005)
            if ready and self.awake.is_set():
                return conn.recv(65536)

    def fall_silent(self):
        """Falls silent as it answers a report, if it is to; the answer is the last for a while."""
        now = time.monotonic()
        if not self.silence_s:
            return
        self.first_report_at = self.first_report_at or now
        if now - self.first_report_at >= SILENT_AFTER_S:
            silence_s, self.silence_s = self.silence_s, 0.0
            self.awake.clear()
            self.tell(event="silent", seconds=silence_s)
            threading.Timer(silence_s, self.go_on).start()

    def go_on(self):
        self.tell(event="goes on")
        self.awake.set()

    def answer(self, path, headers, body):
        with self.lock:
            models = [{"name": self.model, "version": self.weights, "adapters": []}]
            if path == "/api/report":
                report = {"phase": "both", "models": models, "busy": False, "seq": self.seq}
                counts = {"queued": 0, "active": 0, "kv_used": 0, "kv_total": 9, "handles": 0}
                return 200, {**report, **counts, "born": self.born}
            if path == "/api/order":
                return self.order(json.loads(body), headers), {}
            if path == "/api/kv-events":
                events = {"boot_epoch": self.born, "next_token": 0, "lost": False, "events": []}
                return 200, events
            return (200 if path == "/health" else 503), {}

    def order(self, order, headers):
        status = 202
        if headers.get("x-expect-instance", self.name) != self.name:
            status = 421
        elif order["version"] <= self.weights:
            status = 200
        elif order.get("expect", self.seq) != self.seq:
            status = 409
        else:
            self.seq += 1
            self.weights = order["version"]
        self.tell(event="order", order=order, status=status, weights=self.weights)
        return status


Runner(int(sys.argv[1]), sys.argv[2], sys.argv[3]).listen()
