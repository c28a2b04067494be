"""Runs one router."""

import signal

import structlog
import trio

from cicadapier._internal.cli import logs
from cicadapier._internal.cli import status_codes
from cicadapier._internal.models import settings as router_settings
from cicadapier._internal.services import assembly

_log = structlog.get_logger()


def run(*, settings: str) -> int:
    """Runs one router until SIGTERM or SIGINT, then drains it.

    :param settings: Settings file (YAML).
    """
    cfg = router_settings.load(settings)
    logs.configure(cfg.log_level)
    trio.run(_serve, cfg)
    return status_codes.SUCCESS


async def _serve(cfg: router_settings.Settings) -> None:
    router = assembly.assemble(cfg, assembly.production_wiring(cfg))
    async with trio.open_nursery() as nursery:
        await nursery.start(_stop_on_signal, router)
        nursery.start_soon(_log_start, router, cfg)
        await router.kernel.run(cfg.drain_s)
        nursery.cancel_scope.cancel()


async def _log_start(router: assembly.Router, cfg: router_settings.Settings) -> None:
    await router.kernel.started.wait()
    _log.info(
        "router_started",
        vm=cfg.vm,
        failure_domain=cfg.failure_domain,
        callers=router.callers.address,
        operators=router.operators.address,
        peers=router.peers.address,
    )


async def _stop_on_signal(
    router: assembly.Router, task_status: "trio.TaskStatus[None]" = trio.TASK_STATUS_IGNORED
) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        task_status.started()
        async for _ in signals:
            router.kernel.stop()
