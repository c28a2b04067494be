"""Runs routers and stand-ins on loopback."""

import dataclasses
import signal
import sys
from typing import Literal

import trio

from cicadapier._internal.cli import exit_codes
from cicadapier._internal.cli import logs
from cicadapier._internal.cli import output
from cicadapier._internal.models import ids
from cicadapier._internal.models import settings
from cicadapier._internal.protocols import transport
from cicadapier._internal.standins import demo_requests
from cicadapier._internal.standins import deployments
from cicadapier._internal.standins import fault_server
from cicadapier._internal.standins import forwarding_demo
from cicadapier._internal.standins import world


def run(
    *,
    deployment: Literal["larkspur", "andino"] = "larkspur",
    port: int = 0,
    routers: int = 4,
    seed: int = 0,
    once: bool = False,
    json: bool = False,
    forwarding: bool = False,
) -> int:
    """Runs routers, engines, a keep, a plain service and a platform in one process.

    :param deployment: Sizes to use.
    :param port: Port of the first router; 0 takes any free ones.
    :param routers: Number of routers.
    :param seed: Seed of all random choices.
    :param once: Send a few requests, print what became of them and exit.
    :param json: Print one line of JSON with all addresses when ready.
    :param forwarding: Show forwarded routes before stand-ins of the users' platform instead.
    """
    level = settings.LogLevel.WARNING if once else settings.LogLevel.INFO
    logs.configure_stderr(level)
    if forwarding:
        return trio.run(forwarding_demo.run, max(1, routers), once)
    plan = world.Plan(
        deployments.BY_NAME[deployments.DeploymentName(deployment)], max(1, routers), seed, port
    )
    return trio.run(_demo, plan, once, json)


async def _demo(plan: world.Plan, once: bool, as_json: bool) -> int:
    network = transport.TcpNetwork()
    running = world.World(plan, network, world.PeerTransports())
    status = exit_codes.SUCCESS
    async with trio.open_nursery() as nursery:
        await nursery.start(running.run)
        server = fault_server.FaultServer(running, network)
        address = await nursery.start(server.run, world.LOOPBACK)
        if as_json:
            output.print_json(_describe(running, address))
        if once:
            results = await demo_requests.send_all(running, network)
            if not as_json:
                _print_results(results)
            complete = all(result.outcome == "complete" for result in results)
            status = exit_codes.SUCCESS if complete else exit_codes.FAILURE
        else:
            if not as_json:
                _print_addresses(running, address)
            await _until_signal()
        nursery.cancel_scope.cancel()
    return status


async def _until_signal() -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            return


def _describe(running: world.World, faults: ids.Address) -> dict[str, object]:
    first = next(iter(running.routers.values()))
    size = running.plan.deployment
    return {
        "routers": [f"http://{r.router.callers.address}" for r in running.routers.values()],
        "operator": f"http://{first.router.operators.address}",
        "operators": [f"http://{r.router.operators.address}" for r in running.routers.values()],
        "platform": f"http://{running.platform_address}",
        "faults": f"http://{faults}{fault_server.PATH}",
        "accounts": [
            {"id": item.id, "key": item.key, "class": item.service_class.value}
            for item in world.account_access(running.plan)
        ],
        "pools": [
            {"id": size.model_pool, "kind": "model", "models": [size.model]},
            {"id": size.service_pool, "kind": "service", "once_path": size.non_repeatable_path},
            {"id": size.keep_pool, "kind": "keep"},
        ],
    }


def _print_addresses(running: world.World, faults: ids.Address) -> None:
    for vm, item in running.routers.items():
        router = item.router
        print(f"{vm}  http://{router.callers.address}  operators http://{router.operators.address}")
    print(f"platform  http://{running.platform_address}")
    print(f"faults    http://{faults}{fault_server.PATH}")
    print(f"model     {running.plan.deployment.model}")
    output.print_table(
        ["account", "class", "key"],
        [(a.id, a.service_class.value, a.key) for a in world.account_access(running.plan)],
    )
    sys.stdout.flush()


def _print_results(results: list[demo_requests.Result]) -> None:
    rows = [dataclasses.astuple(result) for result in results]
    headings = ["request", "upstream", "why", "cached", "prompt", "first token", "outcome"]
    output.print_table(headings, rows)
