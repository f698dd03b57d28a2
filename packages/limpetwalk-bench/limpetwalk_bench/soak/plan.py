"""Which faults strike a soak, drawn from its seed."""

from collections.abc import Sequence
from dataclasses import dataclass
import enum
import random

# Most faults that are in force at the same moment on average: enough that
# they overlap, few enough that some node can mostly serve.
DENSITY = 1.5
# Shortest and longest time that a fault lasts, seconds: from less than the
# shortest time-out of the nodes to more than the longest.
SHORTEST = 0.2
LONGEST = 3.0
# Faults that come in a row at times, and the pause between them, seconds.
SERIES = 3
SERIES_PAUSE = 0.3
# Share of the faults that come in a row.
SERIES_SHARE = 0.2


class Kind(enum.Enum):
    """What goes wrong.

    :cvar KILL: a node gets SIGKILL and starts again.
    :cvar TERM: a node gets SIGTERM and starts again once it has ended.
    :cvar PAUSE: a node stands still.
    :cvar RELOAD: a node gets SIGHUP.
    :cvar STORE_LINK: a node's path to the store is harmed.
    :cvar SERVER_LINK: the paths of all nodes to a server are harmed.
    :cvar SERVER_FAILS: a server answers with failures of its own.
    :cvar SERVER_BREAKS: a server breaks its answers off.
    :cvar STORE_DOWN: the store turns every call away.
    :cvar STORE_SILENT: the store answers nothing.
    :cvar STORE_LOSES: the store does writes and doesn't answer them.
    :cvar STORE_FORGETS: the store drops its history.
    :cvar CHANGE: the operator writes a new configuration.
    :cvar LEAVE: a server announces that it leaves, and comes back.
    """

    KILL = "kill"
    TERM = "term"
    PAUSE = "pause"
    RELOAD = "reload"
    STORE_LINK = "store_link"
    SERVER_LINK = "server_link"
    SERVER_FAILS = "server_fails"
    SERVER_BREAKS = "server_breaks"
    STORE_DOWN = "store_down"
    STORE_SILENT = "store_silent"
    STORE_LOSES = "store_loses"
    STORE_FORGETS = "store_forgets"
    CHANGE = "change"
    LEAVE = "leave"


class Harm(enum.Enum):
    """What a proxy does to connections.

    :cvar DELAY: each piece of data comes later.
    :cvar RESET: open connections are reset, new ones too.
    :cvar CUT_THERE: data towards the server is lost.
    :cvar CUT_BACK: data from the server is lost.
    :cvar SILENCE: data is lost both ways.
    """

    DELAY = "delay"
    RESET = "reset"
    CUT_THERE = "cut_there"
    CUT_BACK = "cut_back"
    SILENCE = "silence"


NODE_KINDS = frozenset(
    (Kind.KILL, Kind.TERM, Kind.PAUSE, Kind.RELOAD, Kind.STORE_LINK)
)
SERVER_KINDS = frozenset(
    (Kind.SERVER_LINK, Kind.SERVER_FAILS, Kind.SERVER_BREAKS, Kind.LEAVE)
)


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault.

    :param at: seconds from the start of the load.
    :param lasts: seconds until it ends.
    :param target: node or server that it strikes, or empty.
    :param harm: what happens to connections, for harmed paths.
    """

    at: float
    lasts: float
    kind: Kind
    target: str = ""
    harm: Harm | None = None

    @property
    def until(self) -> float:
        """Instant at which it ends, in seconds from the start."""
        return self.at + self.lasts


def draw(
    seed: int, length: float, nodes: Sequence[str], servers: Sequence[str]
) -> tuple[Fault, ...]:
    """Return the faults of a soak in order of time.

    :param length: seconds in which they begin and end.
    """
    rng = random.Random(seed)
    mean = (SHORTEST + LONGEST) / 2
    faults: list[Fault] = []
    now = 0.0
    while (now := now + rng.expovariate(DENSITY / mean)) < length:
        fault = _one(rng, now, length, nodes, servers)
        faults.append(fault)
        if rng.random() < SERIES_SHARE:
            faults += [
                _again(fault, fault.at + SERIES_PAUSE * number, length)
                for number in range(1, SERIES)
            ]
    return tuple(sorted(faults, key=lambda fault: fault.at))


def _one(
    rng: random.Random,
    at: float,
    length: float,
    nodes: Sequence[str],
    servers: Sequence[str],
) -> Fault:
    kind = rng.choice(list(Kind))
    lasts = min(rng.uniform(SHORTEST, LONGEST), length - at)
    target = ""
    if kind in NODE_KINDS:
        target = rng.choice(nodes)
    elif kind in SERVER_KINDS:
        target = rng.choice(servers)
    harm = None
    if kind in (Kind.STORE_LINK, Kind.SERVER_LINK):
        harm = rng.choice(list(Harm))
    return Fault(at, lasts, kind, target, harm)


def _again(fault: Fault, at: float, length: float) -> Fault:
    at = min(at, length)
    lasts = min(fault.lasts, length - at)
    return Fault(at, lasts, fault.kind, fault.target, fault.harm)
