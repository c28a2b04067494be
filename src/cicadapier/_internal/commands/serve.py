"""Runs one router."""

import signal

import trio

from cicadapier._internal.cli import logs
from cicadapier._internal.cli import status_codes
from cicadapier._internal.models import settings
from cicadapier._internal.services import assembly


def run(*, settings_: str) -> int:
    """Runs one router until SIGTERM or SIGINT, then drains it.

    :param settings_: Settings file (YAML).
    """
    cfg = settings.load(settings_)
    logs.configure(cfg.log_level)
    trio.run(_serve, cfg)
    return status_codes.SUCCESS


async def _serve(cfg: settings.Settings) -> None:
    router = assembly.assemble(cfg, assembly.production_wiring(cfg))
    async with trio.open_nursery() as nursery:
        await nursery.start(_stop_on_signal, router)
        await router.kernel.run(cfg.drain_s)
        nursery.cancel_scope.cancel()


async def _stop_on_signal(
    router: assembly.Router, task_status: "trio.TaskStatus[None]" = trio.TASK_STATUS_IGNORED
) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        task_status.started()
        async for _ in signals:
            router.kernel.stop()
