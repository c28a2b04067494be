"""A router learns a longer grace time by SIGHUP and is stopped by SIGTERM."""

import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-3"))
import fleet as fleets  # noqa: E402

RECORD = os.path.join(FOLDER, "record.txt")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"  # TROUBLE=0 runs without the disruption.

MACHINES = 4  # Of which one gets SIGHUP and SIGTERM.
GRACE_BEFORE_S = 8
GRACE_S = 12
LONG_RUN_S = 9.0  # Ends before the last sixth of the grace time (10 s).


async def case(fleet, trouble):
    """Returns 1 if a request is cut that the rule protects, 0 if not, and 2 if it could not run."""
    fleet.configure()
    fleet.name_weights(1)
    for i in range(2):
        engine = await fleet.add_runner(f"i-engine{i}", "pool", "m1")
        engine.events = 30
        engine.event_s = LONG_RUN_S / engine.events
        await fleet.add_runner(f"i-desk{i}", "desk")
    # Without the disruption, the process has had the longer grace time from its start.
    bounds = {"grace_s": GRACE_BEFORE_S if trouble else GRACE_S}
    router = await fleet.add_router("edge-1", bounds=bounds)
    others = [await fleet.add_router(f"edge-{i}") for i in range(2, MACHINES + 1)]
    for machine in (router, *others):
        if not await machine.wait_ready():
            return 2
    await asyncio.sleep(3.0)
    if trouble:
        router.bounds["grace_s"] = GRACE_S
        router.write_settings()
        router.signal(signal.SIGHUP)
        await asyncio.sleep(1.0)
        if "settings_reloaded" not in router.log_text():
            fleet.log("the router has not read its settings again")
            return 2
    requests = [asyncio.create_task(ask(fleet, router, "summary", f"long-{i}")) for i in range(3)]
    await asyncio.sleep(0.3)
    router.signal(signal.SIGTERM)
    stopped_at = time.monotonic()
    killer = asyncio.get_running_loop().call_later(GRACE_S, router.signal, signal.SIGKILL)
    broken = [name for task in requests if (name := await task) is not None]
    killer.cancel()
    fleet.log(f"{len(broken)} of {len(requests)} cut, {time.monotonic() - stopped_at:.2f} s after"
              " SIGTERM")
    ran = {request for runner in fleet.runners.values() for _, request, _ in runner.runs}
    if not {f"long-{i}" for i in range(3)} <= ran:
        return 2
    return 1 if broken else 0


async def ask(fleet, router, kind, request):
    """Sends a request; returns its name if its channel ends without a complete answer."""
    sent_at = time.monotonic()
    fleet.log(f"client SENDS {request}")
    answer = await fleets.exchange(
        router.front, "POST", f"/{kind}/x", fleets.request_headers(kind, request, 15000), b"{}"
    )
    took_s = time.monotonic() - sent_at
    if answer is None or not answer.complete:
        got = "nothing" if answer is None else f"{answer.status}, {len(answer.body)} bytes"
        fleet.log(f"client LOSES {request} after {took_s:.2f} s: closed, {got}, not complete")
        return request
    fleet.log(f"client GETS {request} {answer.status} after {took_s:.2f} s, complete")
    return None


fleets.main(case, RECORD, TROUBLE)
