"""Request identifiers, which start with their creation time."""

import random

from limpetwalk import clock as clocks

TIME_DIGITS = 8
RANDOM_BITS = 64


def make_request_id(clock: clocks.Clock, rng: random.Random) -> str:
    """Return a new identifier: hex of Unix time in seconds and random bits."""
    seconds = int(clock.wall())
    return f"{seconds:0{TIME_DIGITS}x}{rng.getrandbits(RANDOM_BITS):016x}"


def age_seconds(request_id: str, clock: clocks.Clock) -> float:
    """Return the seconds since an identifier was created.

    An identifier in another format has an age of 0.
    """
    try:
        created_at = int(request_id[:TIME_DIGITS], 16)
    except ValueError:
        return 0.0
    return clock.wall() - created_at
