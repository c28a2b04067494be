"""The store comes back from a copy some seconds old, and the operator takes a key away."""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

import standins  # noqa: E402

ROUTERS = 3
KEPT = ["key-of-the-press"]
TAKEN = "key-that-is-taken-away"


def configuration(version, keys):
    return {
        "version": version,
        "routes": [
            {
                "name": "lookup",
                "hostname": "desk.example",
                "path_prefix": "/look/",
                "kind": "idempotent",
                "timeout_ms": 1500,
                "slo_ms": 300,
                "priority": 2,
                "service": "ledger",
                "max_attempts": 2,
                "public": False,
                "sticky": False,
                "resumable": False,
                "gap_target_ms": 500,
            }
        ],
        "services": [
            {"name": "ledger", "health_path": "/health", "max_conns": 100, "protocol": "h1"}
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "press", "api_keys": keys, "priority": 1, "isolated": False}],
    }


async def case(record, trouble, folder, routers):
    store = standins.Store(record)
    runs = []
    runners = [standins.Runner(store, record, runs, f"i-{n}", "ledger") for n in range(2)]
    late = standins.Runner(store, record, runs, "i-late", "ledger")
    store.put("config", "main", configuration(1, [*KEPT, TAKEN]))
    ports = [standins.free_port() for _ in range(ROUTERS)]
    for port in ports:
        await store.open(port)
    for runner in runners:
        await runner.start()
    for index, port in enumerate(ports):
        router = standins.Router(index, port, folder, record)
        routers.append(router)
        router.start()
    for router in routers:
        await router.wait_ready()
    sent = {}
    done = asyncio.Event()

    async def client(router, key):
        number = 0
        while not done.is_set():
            number += 1
            request = f"{router.name}-{key}-{number}"
            headers = [
                ("Host", "desk.example"),
                ("X-Request-Id", request),
                ("X-Deadline-Ms", "3000"),
                ("Authorization", f"Token {key}"),
            ]
            sent[request] = time.monotonic()
            record("sent", request)
            answer = await standins.call(router.callers, "GET", "/look/title", headers)
            record("answered", request, answer)
            await asyncio.sleep(0.25)

    clients = [
        asyncio.create_task(client(router, key)) for router in routers for key in (*KEPT, TAKEN)
    ]
    await asyncio.sleep(4.0)

    copied = store.copy()
    record("copy of the store at revision", store.revision)
    # In the seconds after the copy, a runner joins and the operator writes a version.
    await late.start()
    store.put("config", "main", configuration(2, [*KEPT, "key-that-is-new", TAKEN]))
    record("version 2 and a runner written; revision", store.revision)
    await asyncio.sleep(3.0)
    if trouble:
        record("the store is away")
        for port in ports:
            await store.close(port)
        await asyncio.sleep(1.0)
        store.restore(copied)
        record("the store is back; era", store.era, "revision", store.revision)
        for port in ports:
            await store.open(port)
        # What was written since the copy is written again.
        store.put("config", "main", configuration(2, [*KEPT, "key-that-is-new", TAKEN]))
        record("version 2 written again; revision", store.revision)
    else:
        await asyncio.sleep(1.0)
    await asyncio.sleep(0.02)
    store.put("config", "main", configuration(3, [*KEPT, "key-that-is-new"]))
    taken_at = time.monotonic()
    record("version 3 acknowledged, which takes a key away; revision", store.revision)
    await asyncio.sleep(0.5)
    late.register()
    record("the runner is registered; revision", store.revision)
    await asyncio.sleep(20.0)
    done.set()
    await asyncio.gather(*clients)

    bound = taken_at + standins.REVOKE_MS / 1000
    late_runs = {
        run["request"]: sent[run["request"]] - taken_at
        for run in runs
        if TAKEN in run["request"] and sent[run["request"]] > bound
    }
    for request, age_s in late_runs.items():
        record(f"broken: {request} was sent {age_s:.2f} s after the ack and has run")
    kept = [run for run in runs if KEPT[0] in run["request"] and run["at"] > bound]
    record(len(late_runs), "requests with the key ran too late;", len(kept), "with the other key")
    if not kept:
        raise RuntimeError("requests with the key that stays were not served")
    return not late_runs


standins.run_case(sys.argv[1] if sys.argv[1:] else HERE / "record.txt", case)
