"""Structured logs on standard error, as JSON lines or as text for people."""

import logging
import sys

import structlog


def set_up(form, level):
    """Configures structlog for the process; `form` is "json" or "people", `level` a name such as "info"."""
    renderer = (
        structlog.processors.JSONRenderer()
        if form == "json"
        else structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    )
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.contextvars.merge_contextvars,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=structlog.WriteLoggerFactory(sys.stderr),
        cache_logger_on_first_use=False,
    )
