"""Plan of the faults injected during a soak, drawn from its seed."""

from collections.abc import Sequence
from dataclasses import dataclass
import enum
import random

from . import operators

# Mean number of concurrent faults: enough that they overlap, few enough that
# some node can serve most of the time.
MEAN_FAULTS = 1.5
# Shortest and longest duration of a fault, in seconds: from less than the
# shortest time-out of the nodes to more than the longest.
MIN_DURATION = 0.2
MAX_DURATION = 3.0
# Number of faults in a series of the same fault, and the time between their
# starts, in seconds.
SERIES_LENGTH = 3
SERIES_INTERVAL = 0.3
# Share of the faults that start a series.
SERIES_SHARE = 0.2
# Mean number of times that the store is restored in a soak.
MEAN_RESTORATIONS = 0.7
# Mean number of times in a soak that nodes lose their links to servers, and
# the shortest and longest time for which they do, in seconds.
MEAN_LINK_CUTS = 1.5
MIN_CUT_DURATION = 2.0
MAX_CUT_DURATION = 4.0
# Share of the cuts that affect the links to all servers, and share of those
# that come and go.
ALL_SERVERS_SHARE = 0.7
FLAPPING_SHARE = 0.3
# Mean number of times in a soak that servers fall silent, and for how long, in
# seconds: around the longest gap between events that the route allows.
MEAN_SILENCES = 1.5
MIN_SILENCE = 0.8
MAX_SILENCE = 1.5
# Share of the silences in which all servers fall silent.
ALL_SILENT_SHARE = 0.5


# Mean number of changes of the configuration that last for a while, and of
# evacuations, in a soak, and the shortest and longest duration of either, in
# seconds: longer than the time in which nodes must follow.
MEAN_CHANGES = 3.0
MEAN_EVACUATIONS = 0.4
MIN_CHANGE = 0.5
MAX_CHANGE = 6.0
MIN_EVACUATION = 7.0
MAX_EVACUATION = 9.0
# Time for which the operator's last changes go on once all faults have ended,
# in seconds: nodes are in touch again and must follow them. Share of the soaks
# in which they include an evacuation.
AFTERMATH = 8.0
AFTERMATH_EVACUATIONS = 0.5
# Mean number of times in a soak that all nodes are killed at once.
MEAN_KILLS_OF_ALL = 0.2


class FaultKind(enum.Enum):
    """Kind of a fault.

    :cvar KILL: a node gets SIGKILL and starts again.
    :cvar TERM: a node gets SIGTERM and starts again once it has ended.
    :cvar PAUSE: a node is stopped with SIGSTOP and continued later.
    :cvar RELOAD: a node gets SIGHUP.
    :cvar STORE_LINK: the path of a node to the store has a link fault.
    :cvar SERVER_LINK: the paths of all nodes to a server have a link fault.
    :cvar SERVER_ERRORS: a server answers with status 500.
    :cvar SERVER_TRUNCATES: a server aborts connections in mid-answer.
    :cvar STORE_DOWN: the store rejects every request.
    :cvar STORE_SILENT: the store answers no request.
    :cvar STORE_LOSES_RESPONSES: the store applies writes without answering.
    :cvar STORE_DROPS_HISTORY: the store discards its history.
    :cvar STORE_RESTORED: the store comes back from an older copy; operator
        and servers write again what was lost.
    :cvar CONFIG_CHANGE: the operator writes a new configuration.
    :cvar SERVER_LEAVES: a server announces that it leaves, and comes back.
    :cvar SERVER_SILENT: a server stops in the middle of its answers, loses
        nothing and goes on.
    :cvar NODE_LINKS: the paths of a node to servers are cut.
    :cvar OPERATOR_CHANGE: the configuration is another one for a while.
    :cvar EVACUATION: a zone is evacuated.
    :cvar KILL_ALL: a node gets SIGKILL, like all others at the same time.
    """

    KILL = "kill"
    TERM = "term"
    PAUSE = "pause"
    RELOAD = "reload"
    STORE_LINK = "store_link"
    SERVER_LINK = "server_link"
    SERVER_ERRORS = "server_fails"
    SERVER_TRUNCATES = "server_breaks"
    STORE_DOWN = "store_down"
    STORE_SILENT = "store_silent"
    STORE_LOSES_RESPONSES = "store_loses"
    STORE_DROPS_HISTORY = "store_forgets"
    STORE_RESTORED = "store_restored"
    CONFIG_CHANGE = "change"
    SERVER_LEAVES = "leave"
    SERVER_SILENT = "server_silent"
    NODE_LINKS = "node_links"
    OPERATOR_CHANGE = "operator_change"
    EVACUATION = "evacuation"
    KILL_ALL = "kill_all"


class LinkFault(enum.Enum):
    """What a proxy does to connections.

    :cvar DELAY: each chunk of data is delayed.
    :cvar RESET: open and new connections are reset.
    :cvar DROP_TO_SERVER: data towards the server is lost.
    :cvar DROP_FROM_SERVER: data from the server is lost.
    :cvar DROP_BOTH: data is lost in both directions.
    """

    DELAY = "delay"
    RESET = "reset"
    DROP_TO_SERVER = "cut_there"
    DROP_FROM_SERVER = "cut_back"
    DROP_BOTH = "silence"


class LinkCut(enum.Enum):
    """What happens to connections on a path that is cut.

    :cvar HANG: open connections stop, and new ones aren't established; both
        go on after the cut.
    :cvar RESET: open connections are reset, and new ones refused.
    :cvar REFUSE: open connections live on, and new ones are refused.
    """

    HANG = "hang"
    RESET = "reset"
    REFUSE = "refuse"


NODE_KINDS = frozenset(
    (
        FaultKind.KILL,
        FaultKind.TERM,
        FaultKind.PAUSE,
        FaultKind.RELOAD,
        FaultKind.STORE_LINK,
        FaultKind.NODE_LINKS,
        FaultKind.KILL_ALL,
    )
)
# Kinds that are drawn apart, so that the other faults of a seed don't change.
EXTRA_KINDS = frozenset(
    (
        FaultKind.STORE_RESTORED,
        FaultKind.SERVER_SILENT,
        FaultKind.NODE_LINKS,
        FaultKind.OPERATOR_CHANGE,
        FaultKind.EVACUATION,
        FaultKind.KILL_ALL,
    )
)
SERVER_KINDS = frozenset(
    (
        FaultKind.SERVER_LINK,
        FaultKind.SERVER_ERRORS,
        FaultKind.SERVER_TRUNCATES,
        FaultKind.SERVER_LEAVES,
        FaultKind.SERVER_SILENT,
    )
)


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault.

    :param at: start, in seconds after the start of the load.
    :param duration: seconds until it ends.
    :param target: name of the affected node or server; empty for the store
        and the configuration.
    :param link_fault: what happens to connections; None unless the kind is
        a link.
    :param link_cut: how the links of a node are cut; None for other kinds.
    :param servers: servers to which the links of a node are cut.
    :param change: how the configuration changes; None for other kinds.
    """

    at: float
    duration: float
    kind: FaultKind
    target: str = ""
    link_fault: LinkFault | None = None
    link_cut: LinkCut | None = None
    servers: tuple[str, ...] = ()
    change: operators.Change | None = None

    @property
    def ends_at(self) -> float:
        """End of the fault, in seconds after the start of the load."""
        return self.at + self.duration


def draw_faults(
    seed: int, length: float, nodes: Sequence[str], servers: Sequence[str]
) -> tuple[Fault, ...]:
    """Return the faults of a soak, ordered by start.

    :param length: seconds in which all faults start and end.
    :param nodes: names of the nodes.
    :param servers: identifiers of the backend servers.
    """
    rng = random.Random(seed)
    mean = (MIN_DURATION + MAX_DURATION) / 2
    faults: list[Fault] = []
    now = 0.0
    while (now := now + rng.expovariate(MEAN_FAULTS / mean)) < length:
        fault = _draw_fault(rng, now, length, nodes, servers)
        faults.append(fault)
        if rng.random() < SERIES_SHARE:
            faults += [
                _repeat(fault, fault.at + SERIES_INTERVAL * number, length)
                for number in range(1, SERIES_LENGTH)
            ]
    faults += _draw_restorations(seed, length)
    faults += _draw_link_cuts(seed, length, nodes, servers)
    faults += _draw_silences(seed, length, servers)
    faults += _draw_changes(seed, length)
    faults += _draw_evacuations(seed, length)
    faults += _draw_kills_of_all(seed, length, nodes)
    return tuple(sorted(faults, key=lambda fault: fault.at))


def draw_aftermath(seed: int, length: float) -> tuple[Fault, ...]:
    """Return changes of the operator that outlast the faults of a soak.

    :param length: seconds in which all faults start and end.
    """
    rng = random.Random(f"aftermath {seed}")
    at = max(0.0, length - rng.uniform(0.0, 1.0))
    duration = length + AFTERMATH - at
    change = rng.choice(list(operators.Change))
    faults = [Fault(at, duration, FaultKind.OPERATOR_CHANGE, change=change)]
    if rng.random() < AFTERMATH_EVACUATIONS:
        faults.append(Fault(at, duration, FaultKind.EVACUATION))
    return tuple(faults)


def _draw_restorations(seed: int, length: float) -> list[Fault]:
    rng = random.Random(f"restorations {seed}")
    faults = []
    at = 0.0
    while (at := at + rng.expovariate(MEAN_RESTORATIONS / length)) < length:
        duration = min(rng.uniform(MIN_DURATION, MAX_DURATION), length - at)
        faults.append(Fault(at, duration, FaultKind.STORE_RESTORED))
    return faults


def _draw_link_cuts(
    seed: int, length: float, nodes: Sequence[str], servers: Sequence[str]
) -> list[Fault]:
    rng = random.Random(f"link cuts {seed}")
    faults = []
    at = 0.0
    while (at := at + rng.expovariate(MEAN_LINK_CUTS / length)) < length:
        duration = rng.uniform(MIN_CUT_DURATION, MAX_CUT_DURATION)
        duration = min(duration, length - at)
        cut_nodes = rng.sample(nodes, rng.randint(1, len(nodes)))
        cut_servers = tuple(servers)
        if rng.random() >= ALL_SERVERS_SHARE:
            count = rng.randint(1, len(servers) - 1)
            cut_servers = tuple(rng.sample(servers, count))
        link_cut = rng.choice(list(LinkCut))
        repeat_count = 1
        if rng.random() < FLAPPING_SHARE:
            repeat_count = SERIES_LENGTH
        # As long as the links are cut, they work between two cuts.
        part = duration / (2 * repeat_count - 1)
        faults += [
            Fault(
                at + 2 * part * number,
                part,
                FaultKind.NODE_LINKS,
                node,
                link_cut=link_cut,
                servers=cut_servers,
            )
            for number in range(repeat_count)
            for node in cut_nodes
        ]
    return faults


def _draw_silences(
    seed: int, length: float, servers: Sequence[str]
) -> list[Fault]:
    rng = random.Random(f"silences {seed}")
    faults = []
    at = 0.0
    while (at := at + rng.expovariate(MEAN_SILENCES / length)) < length:
        duration = min(rng.uniform(MIN_SILENCE, MAX_SILENCE), length - at)
        silent = [rng.choice(servers)]
        if rng.random() < ALL_SILENT_SHARE:
            silent = list(servers)
        faults += [
            Fault(at, duration, FaultKind.SERVER_SILENT, server)
            for server in silent
        ]
    return faults


def _draw_changes(seed: int, length: float) -> list[Fault]:
    rng = random.Random(f"changes {seed}")
    faults = []
    at = 0.0
    while (at := at + rng.expovariate(MEAN_CHANGES / length)) < length:
        change = rng.choice(list(operators.Change))
        duration = min(rng.uniform(MIN_CHANGE, MAX_CHANGE), length - at)
        faults.append(
            Fault(at, duration, FaultKind.OPERATOR_CHANGE, change=change)
        )
    return faults


def _draw_evacuations(seed: int, length: float) -> list[Fault]:
    rng = random.Random(f"evacuations {seed}")
    if rng.random() >= MEAN_EVACUATIONS:
        return []
    duration = min(rng.uniform(MIN_EVACUATION, MAX_EVACUATION), length)
    at = rng.uniform(0.0, length - duration)
    return [Fault(at, duration, FaultKind.EVACUATION)]


def _draw_kills_of_all(
    seed: int, length: float, nodes: Sequence[str]
) -> list[Fault]:
    rng = random.Random(f"kills of all {seed}")
    if rng.random() >= MEAN_KILLS_OF_ALL:
        return []
    at = rng.uniform(0.0, length)
    return [Fault(at, 0.0, FaultKind.KILL_ALL, node) for node in nodes]


def _draw_fault(
    rng: random.Random,
    at: float,
    length: float,
    nodes: Sequence[str],
    servers: Sequence[str],
) -> Fault:
    kind = rng.choice([kind for kind in FaultKind if kind not in EXTRA_KINDS])
    duration = min(rng.uniform(MIN_DURATION, MAX_DURATION), length - at)
    target = ""
    if kind in NODE_KINDS:
        target = rng.choice(nodes)
    elif kind in SERVER_KINDS:
        target = rng.choice(servers)
    link_fault = None
    if kind in (FaultKind.STORE_LINK, FaultKind.SERVER_LINK):
        link_fault = rng.choice(list(LinkFault))
    return Fault(at, duration, kind, target, link_fault)


def _repeat(fault: Fault, at: float, length: float) -> Fault:
    at = min(at, length)
    duration = min(fault.duration, length - at)
    return Fault(at, duration, fault.kind, fault.target, fault.link_fault)
