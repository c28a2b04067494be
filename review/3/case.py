"""The holder of the orders' lease is stopped while the runner is silent that it has just ordered."""

import asyncio
import json
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

import standins  # noqa: E402

ROUTERS = 3
KEY = "key-of-the-press"
SILENCE_S = 1.4
RUNNER = "i-0"


def configuration(version):
    return {
        "version": version,
        "routes": [
            {
                "name": "verdicts",
                "hostname": "lm.example",
                "path_prefix": "/ask/",
                "kind": "streaming",
                "timeout_ms": 5000,
                "slo_ms": 600,
                "priority": 1,
                "service": "pool",
                "max_attempts": 2,
                "public": False,
                "sticky": True,
                "resumable": True,
                "gap_target_ms": 500,
            }
        ],
        "services": [
            {
                "name": "pool",
                "health_path": "/health",
                "max_conns": 360,
                "protocol": "h1",
                "tls": False,
                "engine": {
                    "slots": 64,
                    "kv_capacity_tokens": 110592,
                    "kv_token_bytes": 163840,
                    "link_mbps": 550000.0,
                    "moves": False,
                    "backups": False,
                    "max_concurrent": 12,
                    "models": [{"name": "verse"}],
                },
            }
        ],
        "tenants": [{"name": "press", "api_keys": [KEY], "priority": 1, "isolated": False}],
    }


async def case(record, trouble, folder, routers):
    store = standins.Store(record, names_era=False)
    store.put("config", "main", configuration(1))
    store.put("versions", "verse", {"model": "verse", "version": 1})
    ports = [standins.free_port() for _ in range(ROUTERS)]
    for port in ports:
        await store.open(port)
    runner_port = standins.free_port()
    program = HERE.parent / "lib" / "runner_process.py"
    runner = await asyncio.create_subprocess_exec(
        sys.executable,
        str(program),
        str(runner_port),
        RUNNER,
        "verse",
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    born = int(time.time() * 1000)
    orders = []
    silent = asyncio.Event()
    up = asyncio.Event()

    def register(weights):
        models = [{"name": "verse", "version": weights, "adapters": []}]
        spec = {
            "service": "pool",
            "address": f"{standins.HOST}:{runner_port}",
            "zone": "z1",
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "cold_remaining_ms": 0,
            "phase": "both",
            "models": models,
            "born": born,
        }
        store.put("servers", RUNNER, spec)

    async def listen():
        while line := await runner.stdout.readline():
            told = json.loads(line)
            record("runner:", line.decode().strip())
            if told["event"] == "up":
                up.set()
            elif told["event"] == "silent":
                silent.set()
            elif told["event"] == "order":
                order = told["order"]
                orders.append((told["at"], order["holder"], order["fence"], order["version"]))
                register(told["weights"])

    listening = asyncio.create_task(listen())
    try:
        await up.wait()
        register(1)
        for index, port in enumerate(ports):
            router = standins.Router(index, port, folder, record)
            routers.append(router)
            router.start()
        for router in routers:
            await router.wait_ready()
        await asyncio.sleep(6.0)
        store.put("versions", "verse", {"model": "verse", "version": 2})
        record("version 2 named")
        async with asyncio.timeout(20):
            while not orders:
                await asyncio.sleep(0.05)
        await asyncio.sleep(2.0)
        holder = next(router for router in routers if router.name == orders[-1][1])
        holder.process.send_signal(signal.SIGTERM)
        record("SIGTERM to the holder", holder.name)
        await asyncio.sleep(1.95)
        if trouble:
            runner.stdin.write(b"arm %.1f\n" % SILENCE_S)
        store.put("versions", "verse", {"model": "verse", "version": 3})
        record("version 3 named")
        if trouble:
            async with asyncio.timeout(5):
                await silent.wait()
            await asyncio.sleep(SILENCE_S)
        else:
            await asyncio.sleep(0.5 + SILENCE_S)
        store.put("versions", "verse", {"model": "verse", "version": 4})
        record("version 4 named")
        await asyncio.sleep(8.0)
        record("the holder that was stopped:", holder.process.poll())
    finally:
        runner.kill()
        await runner.wait()
        listening.cancel()

    broken = 0
    for (at, one, fence, _), (later, other, next_fence, _) in zip(orders, orders[1:]):
        gap_ms = (later - at) * 1000
        record(f"order of {one} ({fence}), {gap_ms:.0f} ms later one of {other} ({next_fence})")
        if one != other and gap_ms < standins.LEASE_MS:
            broken += 1
            record("broken: two holders take turns within lease_ms")
    holders = {holder for _, holder, _, _ in orders}
    if len(holders) < 2 or orders[-1][3] != 4:
        raise RuntimeError(f"no other holder gave the last order: {orders}")
    return not broken


standins.run_case(HERE, case)
