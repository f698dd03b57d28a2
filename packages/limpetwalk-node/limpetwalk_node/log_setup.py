"""Configuration of the program's log."""

import logging
import sys

from loguru import logger

from . import settings

TEXT_FORMAT = "{time:YYYY-MM-DD HH:mm:ss.SSS} {level} {message}"


class _LoguruHandler(logging.Handler):
    """Forwards records of the standard logging module to loguru."""

    def emit(self, record: logging.LogRecord) -> None:
        logger.opt(exception=record.exc_info).log(
            record.levelname, "{}: {}", record.name, record.getMessage()
        )


def configure(cfg: settings.LogSettings) -> None:
    """Write the log to standard error in the configured format.

    Libraries log through the standard logging module. Only their warnings
    and errors are logged, since requests are reported by metrics.
    """
    logging.basicConfig(
        handlers=[_LoguruHandler()], level=logging.WARNING, force=True
    )
    logger.remove()
    if cfg.format == "json":
        logger.add(sys.stderr, level=cfg.level, serialize=True)
    else:
        logger.add(sys.stderr, level=cfg.level, format=TEXT_FORMAT)
