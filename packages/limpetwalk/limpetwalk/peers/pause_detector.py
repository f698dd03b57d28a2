"""Detection of pauses of this process.

A process that was stopped, or whose machine was suspended, goes on as if no
time had passed. What it read before, and what waits in its sockets, is old.
"""

from collections.abc import Callable

from loguru import logger

from .. import clock as clocks
from .. import metrics as metrics_

PAUSE_BOUND = 2.0


class PauseDetector:
    """Notices that the process did not run for a while.

    Call ``check`` often, and before each use of something that a pause
    makes doubtful. Both clocks are looked at, since the monotonic one may
    stand still while a machine is suspended.

    :param clock: source of time.
    :param metrics: metrics of the process.
    """

    def __init__(self, clock: clocks.Clock, metrics: metrics_.Metrics) -> None:
        self._clock = clock
        self._monotonic = clock.monotonic()
        self._wall = clock.wall()
        self._callbacks: list[Callable[[], None]] = []
        self._pauses = metrics.counter(
            "limpetwalk_process_pauses",
            "Times that this process did not run for a while.",
        )

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call back, within ``check``, when a pause was noticed."""
        self._callbacks.append(callback)

    def check(self) -> None:
        """Notice a pause that ended since the last call."""
        monotonic = self._clock.monotonic()
        wall = self._clock.wall()
        gap = max(monotonic - self._monotonic, wall - self._wall)
        self._monotonic = monotonic
        self._wall = wall
        if gap <= PAUSE_BOUND:
            return
        self._pauses.inc()
        logger.warning("process was paused for {:.1f} s", gap)
        for callback in self._callbacks:
            callback()
