"""The operator removes the only tenant, and its key goes on working."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-3"))
import fleet as fleets  # noqa: E402

RECORD = os.path.join(FOLDER, "record.txt")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"  # TROUBLE=0 runs without the disruption.

REVOKE_S = 5.0  # `revoke_ms`
TEST_S = 12.0  # From the ack of the configuration that takes the key away.
NEVER_A_KEY = "no-configuration-ever-held-this"


async def case(fleet, trouble):
    """Returns 1 if requests run that must not, 0 if none does, and 2 if it could not run."""
    tenant = {"name": "t1", "api_keys": ["key-1"], "priority": 1, "isolated": False}
    fleet.configure()
    fleet.configure(tenants=[tenant])
    fleet.name_weights(1)
    for i in range(2):
        await fleet.add_runner(f"i-engine{i}", "pool", "m1")
        await fleet.add_runner(f"i-desk{i}", "desk")
    routers = [await fleet.add_router(f"edge-{i}") for i in (1, 2)]
    for router in routers:
        if not await router.wait_ready():
            return 2
    await asyncio.sleep(3.0)
    sent = {}
    clients = [
        asyncio.create_task(send(fleet, router, kind, key, sent))
        for router in routers
        for kind, key in (("transfer", "key-1"), ("lookup", "key-1"), ("transfer", NEVER_A_KEY))
    ]
    await asyncio.sleep(3.0)
    # Without the disruption, the tenant stays and loses all its keys.
    tenants = [] if trouble else [dict(tenant, api_keys=[])]
    fleet.log(f"operator TAKES the key away: tenants {tenants}")
    taken_at = fleet.configure(tenants=tenants)
    await asyncio.sleep(TEST_S)
    for client in clients:
        client.cancel()
    await asyncio.gather(*clients, return_exceptions=True)
    ran = {request: req for runner in fleet.runners.values() for _, request, req in runner.runs}
    before = [r for r in ran if sent[r][1] == "key-1" and sent[r][0] < taken_at]
    late = [r for r in ran if sent[r][1] == "key-1" and sent[r][0] > taken_at + REVOKE_S]
    never = [r for r in ran if sent[r][1] == NEVER_A_KEY]
    asked = [r for r, (at, key) in sent.items() if key == "key-1" and at > taken_at + REVOKE_S]
    fleet.log(f"with the key: {len(before)} ran before it was taken away, {len(late)} of"
              f" {len(asked)} that were sent later than {REVOKE_S} s after; with a key that no"
              f" configuration held: {len(never)} ran")
    if not before or not asked:
        return 2
    return 1 if late or never else 0


async def send(fleet, router, kind, key, sent):
    """Sends requests on a kept channel until it is cancelled."""
    number = 0
    channel = None
    while True:
        number += 1
        request = f"{router.name}-{kind}-{key}-{number}"
        if channel is None:
            channel = fleets.Channel(router.front)
            await channel.open()
        sent[request] = (time.monotonic(), key)
        headers = fleets.request_headers(kind, request, 3000, key=key)
        answer = await channel.exchange("POST", f"/{kind}/x", headers, b"{}")
        fleet.log(f"client GETS {request} {answer.status if answer else 'nothing'}")
        if answer is None or answer.header("connection") == "close":
            channel.close()
            channel = None
        await asyncio.sleep(0.3)


fleets.main(case, RECORD, TROUBLE)
