"""Detection of pauses of this process.

A process that was stopped, or whose machine was suspended, continues as if no
time had passed. Data that it read before the pause, and data that waits in
its sockets, is outdated.
"""

from collections.abc import Callable

from loguru import logger

from .. import clock as clocks
from .. import metrics as metrics_

PAUSE_THRESHOLD = 2.0  # seconds


class PauseDetector:
    """Detects that the process did not run for some time.

    Call ``check`` often, and before each use of data that a pause may have
    outdated. Both clocks are compared, since the monotonic one may stop
    while the machine is suspended.

    :param clock: source of time.
    :param metrics: metrics of the process.
    """

    def __init__(self, clock: clocks.Clock, metrics: metrics_.Metrics) -> None:
        self._clock = clock
        self._last_monotonic = clock.monotonic()
        self._last_wall = clock.wall()
        self._callbacks: list[Callable[[], None]] = []
        self._pauses = metrics.counter(
            "limpetwalk_process_pauses",
            "Times that this process did not run for a while.",
        )

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Register a callback that ``check`` calls after a pause."""
        self._callbacks.append(callback)

    def check(self) -> None:
        """Detect a pause since the last call, and call the callbacks."""
        monotonic = self._clock.monotonic()
        wall = self._clock.wall()
        gap = max(monotonic - self._last_monotonic, wall - self._last_wall)
        self._last_monotonic = monotonic
        self._last_wall = wall
        if gap <= PAUSE_THRESHOLD:
            return
        self._pauses.inc()
        logger.warning("process did not run for {:.1f} s", gap)
        for callback in self._callbacks:
            callback()
