"""Form of the program's log."""

import sys

from loguru import logger

from . import settings

TEXT_FORMAT = "{time:YYYY-MM-DD HH:mm:ss.SSS} {level} {message} {extra}"


def configure(cfg: settings.LogSettings) -> None:
    """Write the log to standard error in the form that is set."""
    logger.remove()
    if cfg.format == "json":
        logger.add(sys.stderr, level=cfg.level, serialize=True)
    else:
        logger.add(sys.stderr, level=cfg.level, format=TEXT_FORMAT)
