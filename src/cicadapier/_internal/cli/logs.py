"""Set-up of structured logs."""

import logging
import sys

import structlog

from cicadapier._internal.models import settings

_LEVELS = {
    settings.LogLevel.DEBUG: logging.DEBUG,
    settings.LogLevel.INFO: logging.INFO,
    settings.LogLevel.WARNING: logging.WARNING,
    settings.LogLevel.ERROR: logging.ERROR,
}


def configure(level: settings.LogLevel) -> None:
    """Writes JSON lines of at least a severity to stderr."""
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(_LEVELS[level]),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=False,
    )
