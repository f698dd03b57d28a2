"""Signals that the program handles, and the times in which they wait."""

import signal
import time

STOP = (signal.SIGTERM, signal.SIGINT)
RELOAD = signal.SIGHUP

# Instant since which signals wait.
_held_at = time.monotonic()


def hold() -> None:
    """Let signals wait, so that their default actions don't end the process.

    The event loop sets handlers late in the start, and its end restores the
    default actions.
    """
    global _held_at
    signal.pthread_sigmask(signal.SIG_BLOCK, (*STOP, RELOAD))
    _held_at = time.monotonic()


def release() -> float:
    """Handle the signals that wait, and those that come.

    :returns: longest time for which a signal to stop has waited, in seconds;
        0 if none has.
    """
    waits = not signal.sigpending().isdisjoint(STOP)
    waited = time.monotonic() - _held_at if waits else 0.0
    signal.pthread_sigmask(signal.SIG_UNBLOCK, (*STOP, RELOAD))
    return waited
