"""Structured logs: one event a line, for a console or as JSON, on standard error."""

from __future__ import annotations

import logging
import sys

import structlog

from dapplehinge.config.schema import LogPart

LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


def set_up(log: LogPart) -> None:
    renderer: structlog.typing.Processor = structlog.processors.JSONRenderer()
    if log.format == "console":
        renderer = structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[log.level]),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
