"""Runs one router as a server process."""

import gc
import signal
import sys

import structlog
import trio

from cicadapier._internal.assembly import forwarding as forwarding_assembly
from cicadapier._internal.assembly import router as router_assembly
from cicadapier._internal.cli import exit_codes
from cicadapier._internal.cli import logs
from cicadapier._internal.cli import settings_file
from cicadapier._internal.cli import start_signals
from cicadapier._internal.kernel import service
from cicadapier._internal.models import exceptions as model_exceptions
from cicadapier._internal.models import settings as router_settings
from cicadapier._internal.models import settings_changes

LOG_FLUSH_INTERVAL_S = 0.1
# Interval at which the settings file is looked at for a change that no signal announces.
SETTINGS_CHECK_INTERVAL_S = 1.0
SETTLE_S = 0.05  # Between two reads of a settings file that has changed as the process is stopped.
MAX_SETTLE_READS = 4

_log = structlog.get_logger()


def run(*, settings: str) -> int:
    """Runs one router until SIGTERM or SIGINT and then drains it; SIGHUP reloads the settings.

    :param settings: Settings file (YAML).
    """
    file = settings_file.SettingsFile(settings)
    try:
        cfg = file.load()
    except model_exceptions.InvalidDocumentError as exc:
        print(f"cicadapier serve: {exc}", file=sys.stderr)
        return exit_codes.INVALID_SETTINGS
    writer = logs.configure_stdout(cfg.log_level)
    try:
        trio.run(_serve, cfg, file, writer)
    finally:
        writer.flush()
    return exit_codes.SUCCESS


async def _serve(
    cfg: router_settings.Settings, file: settings_file.SettingsFile, writer: logs.LineWriter
) -> None:
    dependencies = router_assembly.production_dependencies(cfg)
    if cfg.forwarding:
        kernel = forwarding_assembly.assemble(cfg, cfg.forwarding, dependencies).kernel
    else:
        kernel = router_assembly.assemble(cfg, dependencies).kernel
    async with trio.open_nursery() as nursery:
        await nursery.start(_handle_signals, kernel, file)
        nursery.start_soon(_log_start, kernel, cfg)
        nursery.start_soon(_flush_logs, writer)
        nursery.start_soon(_follow_settings, kernel, file)
        await kernel.run()
        _log.info("router_stopped", vm=cfg.vm)
        nursery.cancel_scope.cancel()


async def _log_start(kernel: service.Kernel, cfg: router_settings.Settings) -> None:
    await kernel.started.wait()
    # Objects that exist after the start are excluded from later garbage collections, because they
    # stay alive until the router stops.
    gc.collect()
    gc.freeze()
    _log.info(
        "router_started",
        vm=cfg.vm,
        failure_domain=cfg.failure_domain,
        forwarding=cfg.forwarding is not None,
        **kernel.listen_addresses(),
    )


async def _flush_logs(writer: logs.LineWriter) -> None:
    while True:
        await trio.sleep(LOG_FLUSH_INTERVAL_S)
        writer.flush()


async def _follow_settings(kernel: service.Kernel, file: settings_file.SettingsFile) -> None:
    """Takes over changes of the settings file that no signal announces."""
    while True:
        await trio.sleep(SETTINGS_CHECK_INTERVAL_S)
        _take_over(kernel, file.check())


async def _handle_signals(
    kernel: service.Kernel,
    file: settings_file.SettingsFile,
    task_status: "trio.TaskStatus[None]" = trio.TASK_STATUS_IGNORED,
) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        start_signals.release_reloads()
        task_status.started()
        async for signal_number in signals:
            if signal_number == signal.SIGHUP:
                _take_over(kernel, file.reload())
            else:
                await _stop(kernel, file, signal.Signals(signal_number))


async def _stop(
    kernel: service.Kernel, file: settings_file.SettingsFile, received: signal.Signals
) -> None:
    """Stops the router by the grace time that the settings file names now."""
    asked_at = trio.current_time()
    _log.info("router_stopping", signal=received.name)
    if not kernel.is_stopping:
        _take_over(kernel, file.check())
        for _ in range(MAX_SETTLE_READS):
            if not file.is_unsettled:
                break
            await trio.sleep(SETTLE_S)
            _take_over(kernel, file.check())
    kernel.stop(asked_at)


def _take_over(kernel: service.Kernel, cfg: router_settings.Settings | None) -> None:
    """Applies those of the changed settings that may change at run time."""
    if cfg is None:
        return
    change = settings_changes.take_over(kernel.settings, cfg)
    kernel.reload(change.settings)
    _log.info("settings_reloaded", vm=cfg.vm, waiting_for_start=change.waiting)
