"""Request identifiers, which tell when they were made."""

import random

from limpetwalk import clock as clocks

TIME_DIGITS = 8
RANDOM_BITS = 64


def make_request_id(clock: clocks.Clock, rng: random.Random) -> str:
    """Return a new identifier: Unix time in seconds, then random bits."""
    seconds = int(clock.wall())
    return f"{seconds:0{TIME_DIGITS}x}{rng.getrandbits(RANDOM_BITS):016x}"


def age_seconds(request_id: str, clock: clocks.Clock) -> float:
    """Return the seconds since an identifier was made.

    One that is not of this form counts as just made.
    """
    try:
        made_at = int(request_id[:TIME_DIGITS], 16)
    except ValueError:
        return 0.0
    return clock.wall() - made_at
