"""Streams are taken up behind their first event, whose id is 0; see claim.txt."""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))

import harness  # noqa: E402
import streams  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STREAMS = 40
LEAST_JOINABLE = 3  # Streams at the runner that crashes; two joined ones are allowed.
EVENTS = 20
GAP_S = 0.4
DOWN_S = 3.0  # The runner; as `srv_crash` in sites/andino-inv.toml.
MAX_TRIES = 4
PAUSE_S = 0.3  # Of a client behind a broken channel.
BOUNDS = {
    "grace_s": 8, "revoke_ms": 5000, "lease_ms": 3000, "drain_ms": 2000, "version_ms": 8000,
    "retry_ratio": 0.2, "retry_slack": 54, "retry_window_s": 10,
}  # fmt: skip
CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream"]
CONTRACTS += ["engine", "tenants", "platform"]
TIMEOUT_MS = 15_000
CONFIG = {
    "version": 3,
    "routes": [
        {
            "name": "r-ask", "hostname": "lm.example", "path_prefix": "/ask/",
            "kind": "streaming", "timeout_ms": TIMEOUT_MS, "slo_ms": 1000, "priority": 0,
            "service": "lm", "max_attempts": 2, "public": True, "sticky": True,
            "resumable": True, "gap_target_ms": 500,
        }
    ],
    "services": [
        {
            "name": "lm", "health_path": "/health", "max_conns": 360,
            "engine": {
                "slots": 64, "kv_capacity_tokens": 110592, "kv_token_bytes": 163840,
                "link_mbps": 550000.0, "models": [{"name": "verse"}],
            },
        }
    ],
    "limits": {
        "max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
    "tenants": [{"name": "press", "api_keys": ["key-1"], "priority": 1, "isolated": False}],
}  # fmt: skip


async def main(world):
    world.start_store()

    async def store_answers():
        return await world.list("config") is not None

    await world.wait_for("store", store_answers)
    await world.put("config", "main", CONFIG)
    await world.put("versions", "verse", {"model": "verse", "version": 1})
    # One runner of one version beside four of another one.
    crashed = "i-0"
    runners = {
        f"i-{number}": ("v2" if number else "v1", f"{world.host()}:8080") for number in range(5)
    }

    def start_runner(name):
        version, address = runners[name]
        world.start_runner(
            name, address, "lm", version=version, model="verse", events=EVENTS, gap_s=GAP_S,
            first_id=0,
        )  # fmt: skip

    for name in runners:
        start_runner(name)
    routers = []
    for name in ("edge-a-1", "edge-a-2"):
        routers.append(world.start_router(name, "zone-a", BOUNDS, CONTRACTS))
    for _, ready_address in routers:
        await world.wait_until_ready(ready_address)

    async def are_registered():
        return len(await world.list("servers")) == len(runners)

    await world.wait_for("runners", are_registered)
    await asyncio.sleep(3.0)
    fronts = [front for front, _ in routers]
    clients = [
        streams.Stream(world, number, fronts, TIMEOUT_MS, MAX_TRIES, PAUSE_S)
        for number in range(STREAMS)
    ]
    tasks = [asyncio.create_task(client.run()) for client in clients]
    while not all(client.events for client in clients):
        await asyncio.sleep(0.01)
    begun_at = [client.events[0][1] for client in clients]
    world.record(f"all streams have begun, at {begun_at}")
    if begun_at.count(crashed) < LEAST_JOINABLE:
        raise harness.NotReadyError("too few streams at the runner that crashes")
    if TROUBLE:
        world.kill(crashed)
        await asyncio.sleep(DOWN_S)
        start_runner(crashed)
    await asyncio.gather(*tasks)
    return streams.report_joined(world, clients) > 2


harness.run(sys.argv[1], main)  # record.txt
