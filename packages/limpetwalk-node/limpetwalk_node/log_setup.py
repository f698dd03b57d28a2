"""Form of the program's log."""

import logging
import sys

from loguru import logger

from . import settings

TEXT_FORMAT = "{time:YYYY-MM-DD HH:mm:ss.SSS} {level} {message}"


class _ToLoguru(logging.Handler):
    """Passes what libraries log on to the program's log."""

    def emit(self, record: logging.LogRecord) -> None:
        logger.opt(exception=record.exc_info).log(
            record.levelname, "{}: {}", record.name, record.getMessage()
        )


def configure(cfg: settings.LogSettings) -> None:
    """Write the log to standard error in the form that is set.

    Libraries log through the standard module; only their warnings are
    taken, since counters tell of requests.
    """
    logging.basicConfig(
        handlers=[_ToLoguru()], level=logging.WARNING, force=True
    )
    logger.remove()
    if cfg.format == "json":
        logger.add(sys.stderr, level=cfg.level, serialize=True)
    else:
        logger.add(sys.stderr, level=cfg.level, format=TEXT_FORMAT)
