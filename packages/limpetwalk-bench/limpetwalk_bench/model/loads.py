"""Loads of the model: contract reviews, summaries and short questions."""

import dataclasses

from limpetwalk.gateway import peer_groups
from limpetwalk_node.gateway import load_broadcast

from . import cluster
from . import engines

# Numbers of nodes, each with two servers for five nodes.
SIZES = (9, 80, 195)
NODES_PER_SERVER = 2.5
NODES_PER_ZONE = 39
# Requests per second for each node, by kind.
REVIEWS_PER_NODE = 0.376
BRIEFS_PER_NODE = 0.48
QUESTIONS_PER_NODE = 0.186
# Share of the requests and pace, by model.
MODELS = {"small": (0.55, 0.3), "middle": (0.1, 0.8), "large": (0.35, 3.0)}
# Engine of many slots, whose memory takes about 25 long prompts.
LARGE_ENGINE = engines.EngineSpeed(slots=128, queue=32, memory=240_000)
# Server of a plain service, whose requests take about 50 ms.
PLAIN_SERVER = engines.EngineSpeed(
    slots=6, queue=12, prefill_seconds=0.0, step_seconds=0.001
)


def cluster_kinds(nodes: int) -> tuple[cluster.Kind, ...]:
    """Return the kinds of requests of a cluster of some number of nodes."""
    return (
        cluster.Kind(
            "review", REVIEWS_PER_NODE * nodes, 6300, 2890, 51, 66, 4.0
        ),
        cluster.Kind("brief", BRIEFS_PER_NODE * nodes, 568, 1800, 24, 60, 2.0),
        cluster.Kind(
            "question", QUESTIONS_PER_NODE * nodes, 172, 543, 279, 83, 2.0
        ),
    )


def cluster_of(nodes: int, seconds: float = 12.0) -> cluster.Load:
    """Return the load of a cluster of some number of nodes."""
    return cluster.Load(
        nodes=nodes,
        zones=max(1, round(nodes / NODES_PER_ZONE)),
        servers=max(4, round(nodes / NODES_PER_SERVER)),
        kinds=cluster_kinds(nodes),
        models=MODELS,
        seconds=seconds,
    )


def overloaded(
    nodes: int,
    servers: int,
    excess: float,
    speed: engines.EngineSpeed,
    brittle: cluster.Brittleness,
    seconds: float = 14.0,
) -> cluster.Load:
    """Return the load of a cluster whose brittle engines get too much.

    :param excess: load as a multiple of that of ``NODES_PER_SERVER`` nodes
        for each engine.
    """
    load = cluster_of(nodes, seconds)
    kinds = cluster_kinds(1)
    factor = excess * servers * NODES_PER_SERVER
    return dataclasses.replace(
        load,
        servers=servers,
        kinds=tuple(
            dataclasses.replace(kind, rate=kind.rate * factor)
            for kind in kinds
        ),
        speed=speed,
        brittle=brittle,
    )


def crowded(
    nodes: int,
    excess: float,
    workspaces: tuple[float, ...] = (1.0,),
    seconds: float = 10.0,
) -> cluster.Load:
    """Return the load of engines with too few slots, of three priorities.

    The most urgent requests have short prompts and long answers.

    :param excess: load as a multiple of that of a usual cluster.
    """
    reviews, briefs, questions = cluster_kinds(nodes)
    kinds = (
        dataclasses.replace(reviews, priority=2, rate=reviews.rate * excess),
        dataclasses.replace(briefs, priority=1, target=1.5),
        dataclasses.replace(questions, priority=0, target=1.0),
    )
    return dataclasses.replace(
        cluster_of(nodes, seconds), kinds=kinds, workspaces=workspaces
    )


def crowded_by_workspace(nodes: int, seconds: float = 6.0) -> cluster.Load:
    """Return a crowded load of 24 workspaces, one of six times its usual.

    Few nodes have four engines, with as much load for each.
    """
    load = crowded(nodes, 5.0, (6.0,) + (1.0,) * 23, seconds)
    usual = NODES_PER_SERVER * load.servers / nodes
    return dataclasses.replace(
        load,
        kinds=tuple(
            dataclasses.replace(kind, rate=kind.rate * usual)
            for kind in load.kinds
        ),
    )


def overloaded_plain(
    nodes: int,
    servers: int,
    rate: float,
    brittle: cluster.Brittleness,
    seconds: float = 14.0,
) -> cluster.Load:
    """Return the load of brittle servers of a plain service.

    :param rate: requests per second.
    """
    return dataclasses.replace(
        cluster_of(nodes, seconds),
        servers=servers,
        kinds=(cluster.Kind("plain", rate, 1, 1, 44, 1, 1.0),),
        models={"plain": (1.0, 1.0)},
        speed=PLAIN_SERVER,
        brittle=brittle,
    )


def pausing(
    nodes: int, servers: int, rate: float, paused: int, seconds: float = 12.0
) -> cluster.Load:
    """Return the load of a plain service of which servers pause for 2 s.

    :param rate: requests per second.
    :param paused: number of servers that want no requests.
    """
    return dataclasses.replace(
        overloaded_plain(nodes, servers, rate, cluster.Brittleness(10)),
        brittle=None,
        pause=cluster.Pause(4.0, 2.0, paused),
        seconds=seconds,
    )


def reportings(nodes: int) -> dict[str, cluster.Reporting]:
    """Return ways to report loads, by name."""
    to_all = peer_groups.single_group_interval(nodes)
    return {
        "to all": cluster.Reporting(to_all, grouped=False),
        "to groups": cluster.Reporting(
            load_broadcast.GROUP_INTERVAL,
            grouped=True,
            reports_per_sum=load_broadcast.REPORTS_PER_SUM,
        ),
    }
