"""Runs a demo of routers and stand-ins on the loopback interface."""

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
    """Runs routers and stand-ins for the platform and the upstreams in one process.

    The upstreams are engines, a keep (an external KV store) and a plain service.

    :param deployment: Deployment whose sizes the demo uses.
    :param port: Port of the first router, followed by the other routers; 0 selects free ports.
    :param routers: Number of routers.
    :param seed: Seed of all random choices.
    :param once: Send a few requests, print their results and exit.
    :param json: Print all addresses as one line of JSON once the demo is ready.
    :param forwarding: Demonstrate forwarded routes instead, with stand-ins for the users' platform.
    """
    level = settings.LogLevel.WARNING if once else settings.LogLevel.INFO
    logs.configure_stderr(level)
    if forwarding:
        return trio.run(forwarding_demo.run, max(1, routers), once)
    plan = world.Plan(
        deployments.BY_NAME[deployments.DeploymentName(deployment)], max(1, routers), seed, port
    )
    return trio.run(_run_demo, plan, once, json)


async def _run_demo(plan: world.Plan, once: bool, as_json: bool) -> int:
    network = transport.TcpNetwork()
    demo_world = world.World(plan, network, world.PeerTransports())
    exit_code = exit_codes.SUCCESS
    async with trio.open_nursery() as nursery:
        await nursery.start(demo_world.run)
        server = fault_server.FaultServer(demo_world, network)
        fault_address = await nursery.start(server.run, world.LOOPBACK)
        if as_json:
            output.print_json(_describe_addresses(demo_world, fault_address))
        if once:
            results = await demo_requests.send_all(demo_world, network)
            if not as_json:
                _print_results(results)
            all_complete = all(result.outcome == "complete" for result in results)
            exit_code = exit_codes.SUCCESS if all_complete else exit_codes.FAILURE
        else:
            if not as_json:
                _print_addresses(demo_world, fault_address)
            await _wait_for_signal()
        nursery.cancel_scope.cancel()
    return exit_code


async def _wait_for_signal() -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            return


def _describe_addresses(demo_world: world.World, fault_address: ids.Address) -> dict[str, object]:
    first_router = next(iter(demo_world.routers.values()))
    deployment = demo_world.plan.deployment
    return {
        "routers": [
            f"http://{running_router.router.callers.address}"
            for running_router in demo_world.routers.values()
        ],
        "operator": f"http://{first_router.router.operators.address}",
        "operators": [
            f"http://{running_router.router.operators.address}"
            for running_router in demo_world.routers.values()
        ],
        "platform": f"http://{demo_world.platform_address}",
        "faults": f"http://{fault_address}{fault_server.PATH}",
        "accounts": [
            {"id": account.id, "key": account.key, "class": account.service_class.value}
            for account in world.account_credentials(demo_world.plan)
        ],
        "pools": [
            {"id": deployment.model_pool, "kind": "model", "models": [deployment.model]},
            {
                "id": deployment.service_pool,
                "kind": "service",
                "once_path": deployment.non_repeatable_path,
            },
            {"id": deployment.keep_pool, "kind": "keep"},
        ],
    }


def _print_addresses(demo_world: world.World, fault_address: ids.Address) -> None:
    for vm, running_router in demo_world.routers.items():
        router = running_router.router
        print(f"{vm}  http://{router.callers.address}  operators http://{router.operators.address}")
    print(f"platform  http://{demo_world.platform_address}")
    print(f"faults    http://{fault_address}{fault_server.PATH}")
    print(f"model     {demo_world.plan.deployment.model}")
    output.print_table(
        ["account", "class", "key"],
        [
            (account.id, account.service_class.value, account.key)
            for account in world.account_credentials(demo_world.plan)
        ],
    )
    sys.stdout.flush()


def _print_results(results: list[demo_requests.Result]) -> None:
    rows = [dataclasses.astuple(result) for result in results]
    headings = ["request", "upstream", "why", "cached", "prompt", "first token", "outcome"]
    output.print_table(headings, rows)
