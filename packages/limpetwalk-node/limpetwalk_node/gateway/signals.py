"""Signals that the program handles, and the times in which they wait."""

import signal

STOP = (signal.SIGTERM, signal.SIGINT)
RELOAD = signal.SIGHUP


def hold() -> None:
    """Let signals wait, so that their default actions don't end the process.

    The event loop sets handlers late in the start, and its end restores the
    default actions.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, (*STOP, RELOAD))


def release() -> None:
    """Handle the signals that wait, and those that come."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, (*STOP, RELOAD))
