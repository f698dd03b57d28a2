"""Evidence of roll-outs, and the leader that advances them.

The node that holds the lease is the leader.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import json
import math
from typing import Any
from typing import Protocol

from result import Err

from limpetwalk import clock as clocks
from limpetwalk import exceptions
from limpetwalk.gateway import json_decoder
from limpetwalk.gateway import peer_groups
from limpetwalk.gateway import pooled_evidence
from limpetwalk.gateway import ports
from limpetwalk.gateway import rollout
from limpetwalk.gateway import rollout_policy
from limpetwalk.gateway import types
from limpetwalk.gateway import version_tallies
from limpetwalk.peers import rendezvous
from limpetwalk.rollouts import evidence

from . import cluster_state
from . import events
from . import logs

# Interval between two evidence reports of a node, seconds: the first while a
# small share of work uses the new version, the second while all work
# goes to it. Every ROWS_PER_INTERVAL rows add one more interval to it.
REPORT_INTERVAL = 1.2
REPORT_INTERVAL_FULL = 0.6
ROWS_PER_INTERVAL = 16
# Interval between two checks of the leader, seconds.
CHECK_INTERVAL = 0.5
# Lifetime of the lease, seconds. It spans a few checks, so that another node
# takes a lost lease over within the time in which a bad version must be
# stopped.
LEASE_TTL = 2.5
# Longest time left of a lease that is respected, in seconds.
MAX_LEASE_TIME = 20.0
# Number of nodes on standby as leader, and the seconds by which each checks
# later than the one ranked above it.
STANDBY_NODES = 5
STANDBY_DELAY = 0.5
LEASE_KEY = "lease/rollouts"
TALLY_PREFIX = "tally/"

FINAL_STATES = {
    rollout.Phase.COMPLETE: types.RolloutState.COMPLETE,
    rollout.Phase.REVERTED: types.RolloutState.REVERTED,
}


class EvidenceExchange(Protocol):
    """Sends evidence to the collectors of groups of nodes."""

    on_evidence: Callable[[str, str, str], None] | None

    def collector(self, subject: str) -> str:
        """Return the node of this node's group that collects evidence."""
        ...

    def send_evidence(self, receiver: str, order: str, report: str) -> None:
        """Send this node's evidence to a collector; it may get lost."""
        ...


class EvidenceReporter:
    """Reports evidence of roll-outs to the leader.

    In a cluster of several groups, a node sends its evidence to the collector
    of its group, which writes a row for all of them.

    :param tallies: results of this node by version.
    :param rate: returns the requests per second that this node sends to a
        service.
    :param work_table: table that holds the rows.
    """

    def __init__(
        self,
        node: str,
        state: cluster_state.ClusterState,
        tallies: version_tallies.VersionTallies,
        rate: Callable[[str], float],
        work_table: ports.SharedTable,
        exchange: EvidenceExchange,
        journal: logs.Journal,
    ) -> None:
        self._node = node
        self._cluster_state = state
        self._tallies = tallies
        self._rate = rate
        self._work_table = work_table
        self._exchange = exchange
        self._journal = journal
        self._reported: dict[str, str] = {}
        self._pools: dict[str, pooled_evidence.Pool] = {}
        exchange.on_evidence = self._receive
        # The copy may hold earlier evidence, which the next report replaces.
        state.on_restoration(lambda rows: self._reported.clear())

    async def run(self) -> None:
        """Report evidence until cancelled."""
        while True:
            await asyncio.sleep(self._pause())
            for service, order in list(
                self._cluster_state.rollouts.orders.items()
            ):
                if _is_open(self._cluster_state.rollouts.stage(service)):
                    await self._report(service, order)

    def _pause(self) -> float:
        is_full = any(
            stage.phase is rollout.Phase.FULL
            for stage in self._cluster_state.rollouts.stages.values()
        )
        pause = REPORT_INTERVAL_FULL if is_full else REPORT_INTERVAL
        nodes = len(self._cluster_state.nodes)
        if peer_groups.has_groups(nodes):
            # A group has a single row.
            nodes = math.isqrt(nodes)
        return pause * (1 + nodes // ROWS_PER_INTERVAL)

    async def _report(self, service: str, order: types.RolloutOrder) -> None:
        stage = self._cluster_state.rollouts.stage(service)
        phase = stage.phase.value if stage else ""
        payload = self._tallies.report_json(
            service, order.target, phase, self._rate(service)
        )
        subject = f"{service}/{order.order_id}"
        collector = self._node
        if peer_groups.has_groups(len(self._cluster_state.nodes)):
            collector = self._exchange.collector(subject)
        if collector != self._node:
            self._exchange.send_evidence(collector, subject, payload)
            self._pools.pop(subject, None)
            return
        pool = self._pools.setdefault(subject, pooled_evidence.Pool())
        pool.add_json(self._node, payload)
        await self._write(
            f"{TALLY_PREFIX}{subject}/{self._node}", pool.to_row()
        )

    async def _write(self, key: str, row: str) -> None:
        if self._reported.get(key) == row:
            return
        try:
            await self._work_table.put([ports.SharedPut(key, row)])
        except exceptions.StoreError as exc:
            self._journal.emit(
                events.UnexpectedError("reporting evidence", str(exc)[:200])
            )
        else:
            self._reported[key] = row

    def _receive(self, sender: str, subject: str, report: str) -> None:
        """Keep the evidence of a member of this node's group."""
        known_orders = {
            f"{service}/{order.order_id}"
            for service, order in self._cluster_state.rollouts.orders.items()
        }
        if subject in known_orders:
            pool = self._pools.setdefault(subject, pooled_evidence.Pool())
            pool.add_json(sender, report)


class RolloutLeader:
    """Advances roll-outs while this node holds the lease.

    :param rate: returns the estimated requests per second of a service.
    """

    def __init__(
        self,
        platform: ports.Platform,
        state: cluster_state.ClusterState,
        clock: clocks.Clock,
        journal: logs.Journal,
        rate: Callable[[str], float],
    ) -> None:
        self._rate = rate
        self._platform = platform
        self._node = platform.settings.name
        self._cluster_state = state
        self._clock = clock
        self._journal = journal
        self._leading = False
        self._logged_evidence: dict[str, events.RolloutEvidence] = {}

    async def run(self) -> None:
        """Lead the roll-outs, or be on standby, until cancelled."""
        while True:
            await asyncio.sleep(self.pause())
            if not (self._open_orders() or self._known_rollouts.lost_stages):
                continue
            if not self._leading and self._rank() >= STANDBY_NODES:
                continue
            try:
                await self._check()
            except exceptions.StoreError as exc:
                self._set_leading(False, str(exc)[:200])
            except Exception as exc:
                # The next check may succeed, and other nodes are on standby.
                self._journal.emit(
                    events.UnexpectedError(
                        "leading roll-outs", repr(exc)[:500]
                    )
                )

    def pause(self) -> float:
        """Return the pause before the next check, in seconds.

        Nodes on standby check later the lower they rank. The leader must
        renew its lease and act on evidence, whatever its rank.
        """
        if self._leading:
            return CHECK_INTERVAL
        return CHECK_INTERVAL + STANDBY_DELAY * self._rank()

    def _rank(self) -> int:
        nodes = self._cluster_state.nodes | {self._node}
        return rendezvous.rank(LEASE_KEY, nodes).index(self._node)

    @property
    def _known_rollouts(self) -> rollout.Rollouts:
        return self._cluster_state.rollouts

    def _open_orders(self) -> list[types.RolloutOrder]:
        return [
            order
            for order in self._known_rollouts.orders.values()
            if _is_open(self._known_rollouts.stage(order.service))
        ]

    async def _check(self) -> None:
        table = await self._platform.work.read()
        rows = {
            change.key: (change.entry.value, change.version)
            for change in table.changes
            if isinstance(change.entry, ports.SharedRow)
        }
        version = await self._acquire_lease(rows, table)
        if version is None:
            return
        for service in sorted(self._known_rollouts.lost_stages):
            await self._publish(
                service, self._known_rollouts.stages[service], version
            )
        for order in self._open_orders():
            await self._advance_rollout(order, rows, version, table.now)

    async def _acquire_lease(
        self,
        rows: Mapping[str, tuple[str, types.Version]],
        table: ports.Batch[ports.SharedRow],
    ) -> types.Version | None:
        """Acquire or renew the lease.

        :param rows: values and versions of the table's rows, by key.
        :param table: the table as it was read just now.
        :returns: the version of the lease row, or None when another node
            holds the lease.
        """
        now = table.now
        payload, version = rows.get(
            LEASE_KEY, ("{}", types.Version(table.version.era))
        )
        lease = _parse_mapping(payload)
        is_holder = lease.get("holder") == self._node
        seconds_left = _seconds_left(lease.get("until"), now)
        if not is_holder and seconds_left > 0:
            self._set_leading(False, f"held by {lease.get('holder')}")
            return None
        if is_holder and seconds_left > LEASE_TTL / 2 and self._leading:
            return version
        value = json.dumps({"holder": self._node, "until": now + LEASE_TTL})
        put = ports.SharedPut(LEASE_KEY, value, version)
        put_result = await self._platform.work.put([put])
        if isinstance(put_result, Err):
            self._set_leading(False, "another node took it")
            return None
        self._set_leading(True, "")
        return put_result.ok_value

    async def _advance_rollout(
        self,
        order: types.RolloutOrder,
        rows: Mapping[str, tuple[str, types.Version]],
        lease_version: types.Version,
        now: float,
    ) -> None:
        stage = self._known_rollouts.stage(order.service)
        observed = self._collect_evidence(order, stage, rows)
        self._log_evidence(order, observed)
        fleet = self._cluster_state.fleet
        ready = any(
            member.entry.version == order.target
            for member in fleet.usable(order.service)
        )
        proven_versions = fleet.proven_versions(order.service)
        decided_stage = rollout_policy.next_stage(
            stage,
            order,
            observed,
            self._platform.settings.bounds,
            ready,
            self._known_rollouts.order_age(order.service),
            now,
            self._known_rollouts.base_state(order.service, proven_versions),
        )
        if decided_stage is not None:
            await self._publish(order.service, decided_stage, lease_version)

    async def _publish(
        self, service: str, stage: rollout.Stage, lease_version: types.Version
    ) -> None:
        """Write a stage to the operator and the nodes."""
        payload = stage.to_json()
        # The status and the stage are written atomically, so a stage that
        # nodes know has been reported to the operator.
        published = await self._platform.rollouts.publish(
            service,
            stage.target,
            FINAL_STATES.get(stage.phase, types.RolloutState.IN_PROGRESS),
            ports.SharedPut(
                cluster_state.ROLLOUT_PREFIX + service,
                payload,
                self._known_rollouts.stage_versions.get(
                    service, types.Version(lease_version.era)
                ),
            ),
            ports.SharedPut(LEASE_KEY, "", lease_version),
        )
        if isinstance(published, Err):
            self._set_leading(False, "the stage or the lease has changed")
            return
        # The feed may deliver the stage only some checks later.
        self._cluster_state.apply_stage(service, payload, published.ok_value)

    def _log_evidence(
        self, order: types.RolloutOrder, observed: rollout_policy.Evidence
    ) -> None:
        line = events.RolloutEvidence(
            order.service,
            order.target,
            _counts(observed.base),
            _counts(observed.candidate),
            _counts(observed.base_paces),
            _counts(observed.candidate_paces),
            round(observed.rate, 1),
        )
        logged = self._logged_evidence.get(order.service)
        if logged is None or logged.candidate != line.candidate:
            self._logged_evidence[order.service] = line
            self._journal.emit(line)

    def _collect_evidence(
        self,
        order: types.RolloutOrder,
        stage: rollout.Stage | None,
        rows: Mapping[str, tuple[str, types.Version]],
    ) -> rollout_policy.Evidence:
        prefix = f"{TALLY_PREFIX}{order.service}/{order.order_id}/"
        pool = pooled_evidence.Pool()
        for key, (payload, _) in rows.items():
            if key.startswith(prefix):
                pool.add_row(payload)
        total = pool.total()
        nodes = len(self._cluster_state.nodes)
        rate = self._rate(order.service)
        if pool.nodes:
            rate = total.rate * max(1.0, nodes / pool.nodes)
        reported_nodes = pool.nodes_in_phase(
            stage.phase.value if stage else ""
        )
        return rollout_policy.Evidence(
            total.base,
            total.candidate,
            total.old_in_flight,
            reported_nodes >= self._cluster_state.nodes,
            rate,
            total.base_paces,
            total.candidate_paces,
        )

    def _set_leading(self, leads: bool, reason: str) -> None:
        if leads is not self._leading:
            self._leading = leads
            self._journal.emit(events.LeaseChanged("rollouts", leads, reason))


def _is_open(stage: rollout.Stage | None) -> bool:
    return stage is None or stage.phase not in FINAL_STATES


def _counts(tally: evidence.Tally) -> tuple[int, int]:
    return tally.failures, tally.successes


def _seconds_left(until: Any, now: float) -> float:
    """Return the time until a lease ends, in seconds.

    A lease with an end that no node writes has ended.
    """
    try:
        return json_decoder.number(until, 0, now + MAX_LEASE_TIME) - now
    except ValueError:
        return 0.0


def _parse_mapping(payload: str) -> dict[str, Any]:
    try:
        value = json_decoder.decode(payload)
    except ValueError:
        return {}
    return value if isinstance(value, dict) else {}
