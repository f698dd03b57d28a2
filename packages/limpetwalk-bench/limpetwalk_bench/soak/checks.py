"""Promises, judged by what callers and backend servers have seen."""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass

from ..hub import server
from . import callers
from . import nodes
from . import plan

# Statuses that promise that a request has not run and never will.
NOT_RUN = frozenset((408, 421, 429, 503))
# Statuses that deny what the configuration allows.
DENIED = frozenset((400, 401, 403, 404, 413, 431))
# Servers that may run one request of a route.
ATTEMPTS = {"once": 1, "again": 2, "stream": 3}
# Time around a fault in which it may still show, seconds: a time-out of the
# nodes and their restart.
AFTERMATH = 1.5
# Time from a server's word that it leaves until nothing may reach it, and
# the quiet time before, seconds: as the platform's operator states them,
# and a moment for a busy machine.
DRAIN = 3.0
CONTACT = 3.0
# Part of the grace period in which a stopping node finishes requests.
GRACE_SHARE = 5 / 6
# Part of a caller's deadline after which an end without an answer tells no
# fault: the time that was left may have run out.
JUDGED_SHARE = 5 / 6
# Kinds that end a node's connections or hold them up.
HARMS_NODE = frozenset((plan.Kind.KILL, plan.Kind.PAUSE))
HARMS_SERVER = frozenset(
    (plan.Kind.SERVER_LINK, plan.Kind.SERVER_FAILS, plan.Kind.SERVER_BREAKS)
)
HARMS_STORE = frozenset(
    (
        plan.Kind.STORE_DOWN,
        plan.Kind.STORE_SILENT,
        plan.Kind.STORE_LOSES,
        plan.Kind.STORE_FORGETS,
        plan.Kind.STORE_LINK,
    )
)


@dataclass(frozen=True, slots=True)
class Broken:
    """Promise that was broken.

    :param promise: name of it.
    :param request: request that shows it, or empty.
    """

    promise: str
    request: str
    text: str


@dataclass(frozen=True, slots=True)
class Soaked:
    """All that was seen in a soak.

    :param started: instant at which the load began.
    :param calm_from: instant from which all is calm again.
    """

    outcomes: Sequence[callers.Outcome]
    servers: Mapping[str, server.Server]
    faults: Sequence[plan.Fault]
    started: float
    calm_from: float


def judge(seen: Soaked) -> list[Broken]:
    """Return every promise that was broken."""
    runs: dict[str, list[tuple[str, server.ReceivedRequest]]] = (
        collections.defaultdict(list)
    )
    for server_id, held in seen.servers.items():
        for each in held.executed:
            runs[each.headers.get("Attempt-Id", "")].append((server_id, each))
    broken = list(_unasked(seen))
    for outcome in seen.outcomes:
        ran = runs.get(outcome.id, [])
        broken += _runs(outcome, ran)
        broken += _answer(outcome, ran)
        broken += _end(seen, outcome, ran)
    broken += _leaving(seen)
    broken += _recovery(seen)
    return broken


def _unasked(seen: Soaked) -> Iterable[Broken]:
    # Requests still under way when the soak ends have no outcome.
    last = max((each.ended for each in seen.outcomes), default=0.0)
    known = {each.id for each in seen.outcomes}
    for held in seen.servers.values():
        for each in held.executed:
            attempt = each.headers.get("Attempt-Id", "")
            if (
                attempt not in known
                and each.received_at < last - callers.DEADLINE * 2
            ):
                yield Broken("unasked", attempt, "no caller sent it")
            if each.body != attempt.encode():
                yield Broken("unasked", attempt, f"body {each.body[:40]!r}")


def _runs(
    outcome: callers.Outcome, ran: Sequence[tuple[str, server.ReceivedRequest]]
) -> Iterable[Broken]:
    if outcome.kind == "once" and len(ran) > 1:
        yield Broken("once", outcome.id, f"ran {len(ran)} times")
    if len(ran) > ATTEMPTS[outcome.kind]:
        yield Broken("attempts", outcome.id, f"ran {len(ran)} times")
    refused = outcome.status in NOT_RUN and not outcome.seal
    if refused and ran and outcome.kind == "once":
        yield Broken("not_run", outcome.id, f"{outcome.status}, and it ran")
    for _, each in ran:
        left = int(each.headers.get("Deadline-Ms", "0")) / 1000
        if not 0 < left <= callers.DEADLINE:
            yield Broken("deadline", outcome.id, f"handed {left} s")


def _answer(
    outcome: callers.Outcome, ran: Sequence[tuple[str, server.ReceivedRequest]]
) -> Iterable[Broken]:
    if outcome.status in DENIED:
        yield Broken("denied", outcome.id, str(outcome.status))
    if not outcome.served:
        return
    seals = {f"seal-{server_id}" for server_id, _ in ran}
    if outcome.echoed != outcome.id or outcome.seal not in seals:
        yield Broken(
            "own_answer", outcome.id, f"{outcome.seal} for {outcome.echoed}"
        )
    expected = b"done " + outcome.id.encode()
    if outcome.kind == "stream":
        events = server.Server("").events
        expected = b"".join(map(server.event, range(1, events + 1)))
    if outcome.body != expected:
        yield Broken("whole", outcome.id, repr(outcome.body[:300]))


def _end(
    seen: Soaked,
    outcome: callers.Outcome,
    ran: Sequence[tuple[str, server.ReceivedRequest]],
) -> Iterable[Broken]:
    if outcome.served or _node_harmed(seen, outcome):
        return
    if outcome.hung:
        yield Broken("answered", outcome.id, f"nothing from {outcome.node}")
        return
    used = outcome.ended - outcome.sent
    cut = not outcome.status or not outcome.whole
    if not cut or not ran or used > callers.DEADLINE * JUDGED_SHARE:
        return
    if any(_server_harmed(seen, outcome, server_id) for server_id, _ in ran):
        return
    yield Broken(
        "finished", outcome.id, f"cut at {outcome.node}: {outcome.error}"
    )


def _node_harmed(seen: Soaked, outcome: callers.Outcome) -> bool:
    for fault in seen.faults:
        if fault.target != outcome.node:
            continue
        begin = seen.started + fault.at
        end = seen.started + fault.until + AFTERMATH
        if fault.kind is plan.Kind.TERM:
            # What is open at the end of the grace period is cut.
            begin += nodes.GRACE * GRACE_SHARE - AFTERMATH
            end = seen.started + fault.at + nodes.GRACE + AFTERMATH
        elif fault.kind not in HARMS_NODE:
            continue
        if outcome.sent <= end and outcome.ended >= begin:
            return True
    return False


def _server_harmed(
    seen: Soaked, outcome: callers.Outcome, server_id: str
) -> bool:
    return any(
        fault.target == server_id
        and fault.kind in HARMS_SERVER
        and outcome.sent <= seen.started + fault.until + AFTERMATH
        and outcome.ended >= seen.started + fault.at
        for fault in seen.faults
    )


def _leaving(seen: Soaked) -> Iterable[Broken]:
    node_of = {each.id: each.node for each in seen.outcomes}
    for fault in seen.faults:
        if fault.kind is not plan.Kind.LEAVE:
            continue
        late = seen.started + fault.at + DRAIN
        until = seen.started + fault.until
        for each in seen.servers[fault.target].executed:
            attempt = each.headers.get("Attempt-Id", "")
            if not late < each.received_at < until:
                continue
            if not _out_of_touch(
                seen, node_of.get(attempt, ""), each.received_at
            ):
                yield Broken("drain", attempt, f"reached {fault.target}")


def _out_of_touch(seen: Soaked, node: str, at: float) -> bool:
    return any(
        fault.target in ("", node)
        and fault.kind in HARMS_STORE | HARMS_NODE | {plan.Kind.TERM}
        and seen.started + fault.at < at
        and seen.started + fault.until > at - DRAIN - CONTACT - AFTERMATH
        for fault in seen.faults
    )


def _recovery(seen: Soaked) -> Iterable[Broken]:
    last = [each for each in seen.outcomes if each.sent > seen.calm_from]
    if not last:
        yield Broken("recovery", "", "no request after the last fault")
    for outcome in last:
        if not outcome.served:
            yield Broken(
                "recovery",
                outcome.id,
                f"{outcome.status} {outcome.error} from {outcome.node}",
            )
