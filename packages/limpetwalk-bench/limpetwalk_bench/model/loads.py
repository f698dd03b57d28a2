"""Loads of the model: contract reviews, summaries and short questions."""

from limpetwalk_node.gateway import load_broadcast

from . import cluster

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


def reportings(nodes: int) -> dict[str, cluster.Reporting]:
    """Return ways to report loads, by name."""
    to_all = load_broadcast.INTERVAL * (
        1 + nodes // load_broadcast.NODES_PER_INTERVAL
    )
    return {
        "to all": cluster.Reporting(to_all, grouped=False),
        "to groups": cluster.Reporting(
            load_broadcast.GROUP_INTERVAL,
            grouped=True,
            reports_per_sum=load_broadcast.REPORTS_PER_SUM,
        ),
    }
