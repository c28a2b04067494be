"""A runner starts again with other software and crashes before its first liveness report."""

import asyncio
import os
import re
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-3"))
import fleet as fleets  # noqa: E402

DOWN_S = 0.5
LIFE_S = 0.8  # Of the new process; its first liveness report is due after 1.2 s.
STREAMS = 30
PIECE = re.compile(rb"piece (\d+) of (\w+)")


async def case(fleet, trouble):
    """Returns 1 if more than two streams mix software versions, 0 if not, 2 if it could not run."""
    fleet.configure()
    fleet.name_weights(1)
    engines = []
    for i in range(5):
        engine = await fleet.add_runner(f"i-engine{i}", "pool", "m1", slots=64)
        engine.events = 13
        engine.event_s = 0.1
        engines.append(engine)
    router = await fleet.add_router("edge-1")
    if not await router.wait_ready():
        return 2
    await asyncio.sleep(2.0)
    warm_up = []
    await asyncio.gather(*(ask(fleet, router, f"before-{i}", warm_up) for i in range(15)))
    await asyncio.sleep(1.0)
    engine = engines[0]
    port = engine.port
    fleet.log(f"{engine.name} ENDS while it has no work")
    await engine.stop()
    await asyncio.sleep(DOWN_S)
    engine.software = "v2"
    engine.born = int(time.time() * 1000)
    if not trouble:
        # Without the disruption, its entry is there before it takes work.
        engine.register()
        await asyncio.sleep(1.2)
    await engine.start(port)
    fleet.log(f"{engine.name} STARTS with software v2, born {engine.born}")
    results = []
    streams = [
        asyncio.create_task(ask(fleet, router, f"classify-{i}", results)) for i in range(STREAMS)
    ]
    # Its former process wrote its last report 2 s ago at most, so the entry has not lapsed.
    await asyncio.sleep(LIFE_S)
    begun = len([run for run in engine.runs if run[1].startswith("classify")])
    fleet.log(f"{engine.name} CRASHES; it has begun {begun} of the streams")
    await engine.stop()
    await asyncio.gather(*streams)
    complete = sum(1 for _, is_complete in results if is_complete)
    mixed = [versions for versions, _ in results if len(versions) > 1]
    fleet.log(f"{complete} streams complete, {len(mixed)} of two versions")
    if len(warm_up) < 15 or begun < 3:
        return 2
    return 1 if len(mixed) > 2 else 0


async def ask(fleet, router, request, results):
    """Sends one request and records the software versions of its events."""
    prefix = f"{request.encode().hex()}:6300,{request[::-1].encode().hex()}:2800"
    headers = fleets.request_headers("classify", request, 5000, prefix=prefix)
    answer = await fleets.exchange(router.front, "POST", "/classify/x", headers, b"{}")
    if answer is None or answer.status != 200:
        fleet.log(f"client GETS {request} {answer.status if answer else 'nothing'}")
        return
    pieces = PIECE.findall(answer.body)
    versions = sorted({version.decode() for _, version in pieces})
    results.append((versions, answer.complete))
    end = "complete" if answer.complete else "broken off"
    text = " ".join(f"{number.decode()}:{version.decode()}" for number, version in pieces)
    mark = " MIXED" if len(versions) > 1 else ""
    fleet.log(f"client GETS {request} 200, {end}{mark} {text}")


fleets.main(case, FOLDER)
