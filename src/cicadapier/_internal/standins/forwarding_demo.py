"""Demo of forwarded routes on loopback: routers between stand-ins of the users' platform."""

import signal
import time

import trio

from cicadapier._internal.models import ids
from cicadapier._internal.platform import server_formats
from cicadapier._internal.protocols import http_client
from cicadapier._internal.protocols import peer_transport
from cicadapier._internal.protocols import transport
from cicadapier._internal.standins import fault_server
from cicadapier._internal.standins import forwarding_deployment
from cicadapier._internal.standins import forwarding_faults

TIMEOUT_S = 5.0
_CALLS = (
    ("look", "GET", "desk", "/look/title", b""),
    ("order", "POST", "desk", "/order/print", b"two copies"),
    ("ask", "POST", "lm", "/ask/verdict", b"Is the last line too long?"),
)


async def run(routers: int, once: bool) -> int:
    """Runs the store, upstreams and routers of the demo.

    Args:
        routers: Number of routers.
        once: Whether to send one request of each kind and exit, instead of running until SIGTERM or
            SIGINT.

    Returns:
        The exit status: 0 unless a request failed.
    """
    network = transport.TcpNetwork()
    deployment = forwarding_deployment.ForwardingDeployment(
        network, lambda: peer_transport.GrpcTransport(""), time.monotonic
    )
    complete = True
    async with trio.open_nursery() as nursery:
        await deployment.start(nursery, routers)
        for index, router in deployment.routers.items():
            print(f"vm-{index}  http://{router.callers.address}")
        targets = forwarding_faults.ForwardingFaults(deployment, nursery)
        server = fault_server.FaultServer(targets, network)
        fault_address = await nursery.start(server.run, forwarding_deployment.ANY_PORT)
        print(f"faults  http://{fault_address}{fault_server.PATH}")
        print(_format_curl_command(deployment), flush=True)
        if once:
            for name, method, host, path, body in _CALLS:
                status, size = await _call(deployment, name, method, host, path, body)
                complete = complete and status == 200
                print(f"{name:6} {status} {size} bytes")
        else:
            await _until_signal()
        nursery.cancel_scope.cancel()
    return 0 if complete else 1


def _format_curl_command(deployment: forwarding_deployment.ForwardingDeployment) -> str:
    headers = server_formats.make_request_headers(ids.RequestId("1"), "desk", "key-1")
    options = " ".join(f"-H '{name.decode()}: {value.decode()}'" for name, value in headers)
    return f"curl {options} http://{deployment.routers[0].callers.address}/look/title"


async def _call(
    deployment: forwarding_deployment.ForwardingDeployment,
    name: str,
    method: str,
    host: str,
    path: str,
    body: bytes,
) -> tuple[int, int]:
    address = deployment.routers[0].callers.address
    model = forwarding_deployment.MODEL if host == "lm" else ""
    headers = server_formats.make_request_headers(
        ids.RequestId(f"demo-{name}"), host, "key-1", model=model, parts="aa:600,bb:300"
    )
    stream = await deployment.network.connect(address, TIMEOUT_S)
    conn = http_client.ClientConnection(stream, address)
    await conn.send(http_client.RequestHead(method, path, headers), body)
    head = await conn.receive_head(TIMEOUT_S)
    content = await conn.receive_body(TIMEOUT_S)
    await conn.close()
    return head.status, len(content)


async def _until_signal() -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            return
