"""Checks of the guarantees against what callers and servers recorded."""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
from dataclasses import dataclass

from ..hub import server
from . import callers
from . import fault_plan
from . import nodes
from . import operator_model
from . import operators

# Statuses that state that a request was not executed and never will be.
NOT_EXECUTED = frozenset((408, 421, 429, 503))
# Statuses that reject a request as invalid or forbidden. The configuration
# allows every request that the callers send.
REJECTED = frozenset((400, 401, 403, 404, 413, 431))
# Maximum number of servers that may execute one request, by route.
MAX_ATTEMPTS = {"once": 1, "again": 2, "stream": 3, operators.ROUTE: 2}
# Statuses that say that a configuration doesn't allow a request.
DENIED = frozenset((401, 404))
# Time around a fault in which it may have effects, in seconds: a time-out of
# the nodes and their restart.
EFFECT_TIME = 1.5
# Time from the announcement that a server leaves until no request may reach
# it, and the time before the announcement in which a node must have been in
# contact with the store, in seconds. Both are the figures that the platform's
# operator states, with some margin for a busy machine.
DRAIN_TIME = 3.0
CONTACT_TIME = 3.0
# Share of the grace period in which a stopping node finishes requests.
GRACE_SHARE = 5 / 6
# Share of a caller's deadline after which an end without an answer is not a
# violation, since the remaining time may have been too short.
CHECKED_DEADLINE_SHARE = 5 / 6
# Time from the start of a cut until nodes without links must serve again, and
# time for a node to start and be ready, in seconds.
CUT_CONTACT_TIME = 1.0
RESTART_TIME = 4.0
# Bounds of the users: nodes without links must serve this share of what the
# others serve, unless fewer requests fail there than a number and a share of
# all requests.
MIN_SERVED_RATIO = 2 / 3
TOLERATED_FAILURES = 10
TOLERATED_FAILURE_SHARE = 1 / 50
# Kinds that close or stall the connections of a node.
KILLS = frozenset((fault_plan.FaultKind.KILL, fault_plan.FaultKind.KILL_ALL))
NODE_OUTAGES = KILLS | frozenset((fault_plan.FaultKind.PAUSE,))
SERVER_OUTAGES = frozenset(
    (
        fault_plan.FaultKind.SERVER_LINK,
        fault_plan.FaultKind.SERVER_ERRORS,
        fault_plan.FaultKind.SERVER_TRUNCATES,
    )
)
STORE_OUTAGES = frozenset(
    (
        fault_plan.FaultKind.STORE_DOWN,
        fault_plan.FaultKind.STORE_SILENT,
        fault_plan.FaultKind.STORE_LOSES_RESPONSES,
        fault_plan.FaultKind.STORE_DROPS_HISTORY,
        fault_plan.FaultKind.STORE_LINK,
    )
)


@dataclass(frozen=True, slots=True)
class Violation:
    """Guarantee that was violated.

    :param promise: name of the guarantee.
    :param request: request that shows the violation, or empty.
    :param text: what was observed.
    """

    promise: str
    request: str
    text: str


@dataclass(frozen=True, slots=True)
class Observations:
    """What callers and backend servers recorded during a soak.

    :param outcomes: outcomes of all requests.
    :param servers: backend servers by identifier.
    :param faults: faults that were injected.
    :param started: monotonic time at which the load began, in seconds.
    :param calm_from: monotonic time from which faults have no effects.
    :param replacements: nodes whose program was replaced, and the monotonic
        times at which they were told to stop.
    :param history: what the operator has written; None if all requests were
        allowed throughout.
    """

    outcomes: Sequence[callers.Outcome]
    servers: Mapping[str, server.Server]
    faults: Sequence[fault_plan.Fault]
    started: float
    calm_from: float
    replacements: Sequence[tuple[str, float]] = ()
    history: operator_model.History | None = None

    def rules(self, outcome: callers.Outcome) -> list[operator_model.Rules]:
        """Return the rules that may have decided about a request."""
        if self.history is None:
            return []
        return self.history.in_force(
            outcome.sent_at,
            outcome.ended_at,
            not _node_had_outage(
                self, outcome.node, outcome.sent_at, CONTACT_TIME
            ),
        )

    def may_be_denied(self, outcome: callers.Outcome) -> bool:
        """Return whether a configuration may not allow a request."""
        return not all(
            rules.allow(outcome.route, outcome.key)
            for rules in self.rules(outcome)
        )


def find_violations(observed: Observations) -> list[Violation]:
    """Return every violation of a guarantee."""
    executions: dict[str, list[tuple[str, server.ReceivedRequest]]] = (
        collections.defaultdict(list)
    )
    for server_id, backend_server in observed.servers.items():
        for request in backend_server.executed:
            executions[request.headers.get("Attempt-Id", "")].append(
                (server_id, request)
            )
    violations = list(_check_origin(observed))
    for outcome in observed.outcomes:
        own = executions.get(outcome.id, [])
        violations += _check_executions(outcome, own)
        violations += _check_answer(observed, outcome, own)
        violations += _check_end(observed, outcome, own)
        violations += _check_operator(observed, outcome, own)
    violations += _check_drain(observed)
    violations += _check_recovery(observed)
    violations += _check_cut_nodes(observed)
    return violations


def _check_origin(observed: Observations) -> Iterable[Violation]:
    # Requests still under way when the soak ends have no outcome.
    last_end = max(
        (outcome.ended_at for outcome in observed.outcomes), default=0.0
    )
    outcome_ids = {outcome.id for outcome in observed.outcomes}
    for backend_server in observed.servers.values():
        for request in backend_server.executed:
            attempt_id = request.headers.get("Attempt-Id", "")
            if (
                attempt_id not in outcome_ids
                and request.received_at < last_end - callers.DEADLINE * 2
            ):
                yield Violation(
                    "unasked",
                    attempt_id,
                    f"no caller sent it: {request.method} {request.path}",
                )
            if request.body != attempt_id.encode():
                yield Violation(
                    "unasked", attempt_id, f"body {request.body[:40]!r}"
                )


def _check_executions(
    outcome: callers.Outcome,
    executions: Sequence[tuple[str, server.ReceivedRequest]],
) -> Iterable[Violation]:
    if outcome.route == "once" and len(executions) > 1:
        yield Violation("once", outcome.id, f"ran {len(executions)} times")
    if len(executions) > MAX_ATTEMPTS[outcome.route]:
        yield Violation("attempts", outcome.id, f"ran {len(executions)} times")
    refused = outcome.status in NOT_EXECUTED and not outcome.seal
    if refused and executions and outcome.route == "once":
        yield Violation("not_run", outcome.id, f"{outcome.status}, and it ran")
    for _, request in executions:
        remaining = int(request.headers.get("Deadline-Ms", "0")) / 1000
        if not 0 < remaining <= callers.DEADLINE:
            yield Violation("deadline", outcome.id, f"handed {remaining} s")


def _check_operator(
    observed: Observations,
    outcome: callers.Outcome,
    executions: Sequence[tuple[str, server.ReceivedRequest]],
) -> Iterable[Violation]:
    """Check that a request ran only where the operator allowed it."""
    if observed.history is None or not executions:
        return
    rules = observed.rules(outcome)
    if not any(each.allow(outcome.route, outcome.key) for each in rules):
        yield Violation(
            "allowed",
            outcome.id,
            f"ran at {outcome.node} on {outcome.route} with the key"
            f" {outcome.key!r}, {outcome.status}",
        )
    workspaces = {each.keys.get(outcome.key, "") for each in rules}
    for server_id, request in executions:
        named = request.headers.get("Tenant", "")
        if named not in workspaces:
            yield Violation("workspace", outcome.id, f"handed {named!r}")
        if observed.history.was_evacuated(
            server_id, request.received_at
        ) and not any(
            _node_had_outage(observed, node, request.received_at, CONTACT_TIME)
            for node in _possible_senders(
                observed, outcome.node, request.received_at
            )
        ):
            yield Violation("evacuated", outcome.id, f"reached {server_id}")


def _check_answer(
    observed: Observations,
    outcome: callers.Outcome,
    executions: Sequence[tuple[str, server.ReceivedRequest]],
) -> Iterable[Violation]:
    if outcome.status in REJECTED and not (
        outcome.status in DENIED and observed.may_be_denied(outcome)
    ):
        yield Violation("denied", outcome.id, str(outcome.status))
    if not outcome.served:
        return
    seals = {f"seal-{server_id}" for server_id, _ in executions}
    if outcome.answered_attempt_id != outcome.id or outcome.seal not in seals:
        yield Violation(
            "own_answer",
            outcome.id,
            f"{outcome.seal} for {outcome.answered_attempt_id}",
        )
    expected = b"done " + outcome.id.encode()
    if outcome.route == "stream":
        events = server.Server("").events
        expected = b"".join(map(server.event, range(1, events + 1)))
    if outcome.body != expected:
        yield Violation("whole", outcome.id, repr(outcome.body[:300]))


def _check_end(
    observed: Observations,
    outcome: callers.Outcome,
    executions: Sequence[tuple[str, server.ReceivedRequest]],
) -> Iterable[Violation]:
    if outcome.served or _affected_by_node_outage(observed, outcome):
        return
    if outcome.hung:
        yield Violation("answered", outcome.id, f"nothing from {outcome.node}")
        return
    if outcome.status and _affected_by_peer_outage(observed, outcome):
        return
    elapsed = outcome.ended_at - outcome.sent_at
    incomplete = not outcome.status or not outcome.complete
    if (
        not executions
        or elapsed > callers.DEADLINE * CHECKED_DEADLINE_SHARE
        or incomplete
        and _ended_by_replacement(observed, outcome)
        or any(
            _affected_by_server_outage(observed, outcome, server_id)
            for server_id, _ in executions
        )
    ):
        return
    if incomplete:
        yield Violation(
            "finished", outcome.id, f"cut at {outcome.node}: {outcome.error}"
        )
    elif any(
        _met_silence(observed, outcome, server_id)
        for server_id, _ in executions
    ):
        yield Violation(
            "waited",
            outcome.id,
            f"{outcome.status} from {outcome.node} after {elapsed:.2f} s",
        )


def _met_silence(
    observed: Observations, outcome: callers.Outcome, server_id: str
) -> bool:
    return any(
        fault.kind is fault_plan.FaultKind.SERVER_SILENT
        and fault.target == server_id
        and observed.started + fault.at <= outcome.ended_at
        and outcome.sent_at <= observed.started + fault.ends_at
        for fault in observed.faults
    )


def _affected_by_peer_outage(
    observed: Observations, outcome: callers.Outcome
) -> bool:
    """Return whether a node that may have passed on the answer had an outage.

    A node that has lost links to servers may use another node's.
    """
    return _had_cut_links(
        observed, outcome.node, outcome.sent_at, outcome.ended_at
    ) and any(
        _affected_by_node_outage(
            observed, dataclasses.replace(outcome, node=node)
        )
        for node in _node_names(observed)
    )


def _had_cut_links(
    observed: Observations, node: str, begin: float, end: float
) -> bool:
    return any(
        fault.kind is fault_plan.FaultKind.NODE_LINKS
        and fault.target == node
        and observed.started + fault.at <= end
        and observed.started + fault.ends_at + EFFECT_TIME >= begin
        for fault in observed.faults
    )


def _node_names(observed: Observations) -> set[str]:
    return {outcome.node for outcome in observed.outcomes}


def _affected_by_node_outage(
    observed: Observations, outcome: callers.Outcome
) -> bool:
    for fault in observed.faults:
        if fault.target != outcome.node:
            continue
        begin = observed.started + fault.at
        end = observed.started + fault.ends_at + EFFECT_TIME
        if fault.kind is fault_plan.FaultKind.TERM:
            # Connections still open when the grace period ends are closed.
            begin += nodes.GRACE * GRACE_SHARE - EFFECT_TIME
            end = observed.started + fault.at + nodes.GRACE + EFFECT_TIME
        elif fault.kind not in NODE_OUTAGES:
            continue
        if outcome.sent_at <= end and outcome.ended_at >= begin:
            return True
    return False


def _ended_by_replacement(
    observed: Observations, outcome: callers.Outcome
) -> bool:
    """Return whether a node ended an answer in the last part of its grace.

    One that lasts until the process is killed was taken too late.
    """
    return any(
        outcome.node == node
        and stopped_at + nodes.GRACE * GRACE_SHARE <= outcome.ended_at
        and outcome.ended_at < stopped_at + nodes.GRACE
        for node, stopped_at in observed.replacements
    )


def _affected_by_server_outage(
    observed: Observations, outcome: callers.Outcome, server_id: str
) -> bool:
    return any(
        _affects_answers(observed, outcome, fault, server_id)
        and outcome.sent_at <= observed.started + fault.ends_at + EFFECT_TIME
        and outcome.ended_at >= observed.started + fault.at
        for fault in observed.faults
    )


def _affects_answers(
    observed: Observations,
    outcome: callers.Outcome,
    fault: fault_plan.Fault,
    server_id: str,
) -> bool:
    if fault.kind is fault_plan.FaultKind.NODE_LINKS:
        return (
            server_id in fault.servers
            and fault.link_cut is not fault_plan.LinkCut.REFUSE
            and (
                fault.target == outcome.node
                or _had_cut_links(
                    observed, outcome.node, outcome.sent_at, outcome.ended_at
                )
            )
        )
    return fault.target == server_id and fault.kind in SERVER_OUTAGES


def _check_drain(observed: Observations) -> Iterable[Violation]:
    node_by_attempt = {
        outcome.id: outcome.node for outcome in observed.outcomes
    }
    for fault in observed.faults:
        if fault.kind is not fault_plan.FaultKind.SERVER_LEAVES:
            continue
        drained_at = observed.started + fault.at + DRAIN_TIME
        back_at = observed.started + fault.ends_at
        for request in observed.servers[fault.target].executed:
            attempt_id = request.headers.get("Attempt-Id", "")
            if not drained_at < request.received_at < back_at:
                continue
            senders = _possible_senders(
                observed,
                node_by_attempt.get(attempt_id, ""),
                request.received_at,
            )
            if not any(
                _node_had_outage(
                    observed,
                    sender,
                    request.received_at,
                    DRAIN_TIME + CONTACT_TIME,
                )
                for sender in senders
            ):
                yield Violation("drain", attempt_id, f"reached {fault.target}")


def _possible_senders(
    observed: Observations, node: str, at: float
) -> set[str]:
    """Return the nodes by which a node may have sent a request."""
    if _had_cut_links(observed, node, at, at):
        return {node} | _node_names(observed)
    return {node}


def _node_had_outage(
    observed: Observations, node: str, at: float, contact_time: float
) -> bool:
    """Return whether a node was out of touch before an instant.

    :param contact_time: time without an outage after which it is in touch.
    """
    return any(
        fault.target in ("", node)
        and fault.kind
        in STORE_OUTAGES | NODE_OUTAGES | {fault_plan.FaultKind.TERM}
        and observed.started + fault.at < at
        and observed.started + fault.ends_at > at - contact_time - EFFECT_TIME
        for fault in observed.faults
    )


def _check_recovery(observed: Observations) -> Iterable[Violation]:
    calm_outcomes = [
        outcome
        for outcome in observed.outcomes
        if outcome.sent_at > observed.calm_from
    ]
    if not calm_outcomes:
        yield Violation("recovery", "", "no request after the last fault")
    for outcome in calm_outcomes:
        if not outcome.served and not (
            outcome.status in DENIED and observed.may_be_denied(outcome)
        ):
            yield Violation(
                "recovery",
                outcome.id,
                f"{outcome.status} {outcome.error} from {outcome.node}",
            )


def _check_cut_nodes(observed: Observations) -> Iterable[Violation]:
    """Check that nodes without links to servers serve about as the others."""
    for begin, end in _times_of_cuts(observed):
        at_cut: list[callers.Outcome] = []
        at_others: list[callers.Outcome] = []
        for outcome in observed.outcomes:
            if (
                not begin <= outcome.sent_at < end
                or not _was_in_touch(observed, outcome)
                or observed.may_be_denied(outcome)
            ):
                continue
            if _lacks_links(observed, outcome.node, outcome.sent_at):
                if _others_reach_servers(observed, outcome):
                    at_cut.append(outcome)
            elif _reaches_servers(observed, outcome.node, outcome.sent_at):
                at_others.append(outcome)
        if not at_cut or not at_others:
            continue
        failed = sum(not outcome.served for outcome in at_cut)
        cut_rate = 1 - failed / len(at_cut)
        other_rate = sum(outcome.served for outcome in at_others) / len(
            at_others
        )
        tolerated = TOLERATED_FAILURES + TOLERATED_FAILURE_SHARE * (
            len(at_cut) + len(at_others)
        )
        if cut_rate < MIN_SERVED_RATIO * other_rate and failed > tolerated:
            yield Violation(
                "cut_nodes",
                "",
                f"{begin - observed.started:.2f} s to"
                f" {end - observed.started:.2f} s: served {cut_rate:.2f} of"
                f" {len(at_cut)} at nodes without links, {other_rate:.2f} of"
                f" {len(at_others)} at the others",
            )


def _times_of_cuts(observed: Observations) -> list[tuple[float, float]]:
    """Return the times in which nodes must have noticed that links are cut."""
    times: list[tuple[float, float]] = []
    for fault in sorted(observed.faults, key=lambda fault: fault.at):
        begin = observed.started + fault.at + CUT_CONTACT_TIME
        end = observed.started + fault.ends_at
        if not _cuts_all_servers(observed, fault) or begin >= end:
            continue
        if times and begin <= times[-1][1]:
            begin, last_end = times.pop()
            end = max(end, last_end)
        times.append((begin, end))
    return times


def _cuts_all_servers(observed: Observations, fault: fault_plan.Fault) -> bool:
    return fault.kind is fault_plan.FaultKind.NODE_LINKS and set(
        fault.servers
    ) >= set(observed.servers)


def _lacks_links(observed: Observations, node: str, at: float) -> bool:
    return any(
        fault.target == node
        and _cuts_all_servers(observed, fault)
        and fault.at + CUT_CONTACT_TIME
        <= at - observed.started
        < fault.ends_at
        for fault in observed.faults
    )


def _reaches_servers(observed: Observations, node: str, at: float) -> bool:
    return not any(
        fault.target == node
        and _cuts_all_servers(observed, fault)
        and fault.at <= at - observed.started
        and at - observed.started < fault.ends_at + CUT_CONTACT_TIME
        for fault in observed.faults
    )


def _others_reach_servers(
    observed: Observations, outcome: callers.Outcome
) -> bool:
    return any(
        _reaches_servers(observed, node, outcome.sent_at)
        and _was_in_touch(observed, dataclasses.replace(outcome, node=node))
        for node in _node_names(observed) - {outcome.node}
    )


def _was_in_touch(observed: Observations, outcome: callers.Outcome) -> bool:
    """Return whether the outcome's node ran and reached the store."""
    for fault in observed.faults:
        if fault.target not in ("", outcome.node):
            continue
        end = observed.started + fault.ends_at + EFFECT_TIME
        if fault.kind is fault_plan.FaultKind.TERM:
            end = observed.started + fault.at + nodes.GRACE + RESTART_TIME
        elif fault.kind in KILLS:
            end = observed.started + fault.at + RESTART_TIME
        elif fault.kind not in NODE_OUTAGES | STORE_OUTAGES:
            continue
        if (
            observed.started + fault.at <= outcome.ended_at
            and outcome.sent_at <= end
        ):
            return False
    return True
