"""Evidence of roll-outs, and their lead on the node that holds the lease."""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import json
from typing import Any

from result import Err

from limpetwalk import clock as clocks
from limpetwalk import exceptions
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

# Pause between two rounds of evidence of a node, seconds, while a small share
# of work tries the new version and while all does, and nodes for which it
# grows by another such pause.
REPORT_INTERVAL = 1.2
REPORT_INTERVAL_FULL = 0.6
NODES_PER_PAUSE = 16
# Pause between two looks of the lead, seconds.
CHECK_INTERVAL = 0.5
# Lifetime of the lease, seconds: a few looks, so that a lost one is taken
# over within the time in which a bad version must be stopped.
LEASE_TTL = 2.5
# Nodes that stand by for the lead, and how much later each looks.
STANDBY_NODES = 5
STANDBY_DELAY = 0.5
LEASE_KEY = "lease/rollouts"
TALLY_PREFIX = "tally/"

FINAL_STATES = {
    rollout.Phase.COMPLETE: types.RolloutState.COMPLETE,
    rollout.Phase.REVERTED: types.RolloutState.REVERTED,
}


class EvidenceReporter:
    """Tells the lead what this node sees of a roll-out."""

    def __init__(
        self,
        node: str,
        state: cluster_state.ClusterState,
        counts: version_tallies.VersionTallies,
        work: ports.SharedTable,
        journal: logs.Journal,
    ) -> None:
        self._node = node
        self._cluster_state = state
        self._counts = counts
        self._work = work
        self._journal = journal
        self._told: dict[str, str] = {}

    async def run(self) -> None:
        """Tell what changed, until cancelled."""
        while True:
            await asyncio.sleep(self._pause())
            for service, order in list(
                self._cluster_state.rollouts.orders.items()
            ):
                if _is_open(self._cluster_state.rollouts.stage(service)):
                    await self._tell(service, order)

    def _pause(self) -> float:
        exposed = any(
            stage.phase is rollout.Phase.FULL
            for stage in self._cluster_state.rollouts.stages.values()
        )
        pause = REPORT_INTERVAL_FULL if exposed else REPORT_INTERVAL
        return pause * (1 + len(self._cluster_state.nodes) // NODES_PER_PAUSE)

    async def _tell(self, service: str, order: types.RolloutOrder) -> None:
        stage = self._cluster_state.rollouts.stage(service)
        phase = stage.phase.value if stage else ""
        text = self._counts.to_json(service, order.target, phase)
        key = f"{TALLY_PREFIX}{service}/{order.order_id}/{self._node}"
        if self._told.get(key) == text:
            return
        try:
            await self._work.put([ports.SharedPut(key, text)])
        except exceptions.StoreError as exc:
            self._journal.emit(
                events.UnexpectedError("telling evidence", str(exc)[:200])
            )
        else:
            self._told[key] = text


class RolloutLeader:
    """Moves roll-outs on while this node holds the lease.

    :param rate: returns the requests a second that a service gets, about.
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

    async def run(self) -> None:
        """Lead or stand by, until cancelled."""
        while True:
            await asyncio.sleep(self.pause())
            if not self._open_orders():
                continue
            if not self._leading and self._rank() >= STANDBY_NODES:
                continue
            try:
                await self._check()
            except exceptions.StoreError as exc:
                self._set_leading(False, str(exc)[:200])
            except Exception as exc:
                # Another look may succeed, and others stand by.
                self._journal.emit(
                    events.UnexpectedError(
                        "leading roll-outs", repr(exc)[:500]
                    )
                )

    def pause(self) -> float:
        """Return the pause before the next look, in seconds.

        Nodes that stand by look later the lower they rank; one that leads
        must renew its lease and act on evidence, whatever its rank.
        """
        if self._leading:
            return CHECK_INTERVAL
        return CHECK_INTERVAL + STANDBY_DELAY * self._rank()

    def _rank(self) -> int:
        nodes = self._cluster_state.nodes | {self._node}
        return rendezvous.rank(LEASE_KEY, nodes).index(self._node)

    def _open_orders(self) -> list[types.RolloutOrder]:
        known = self._cluster_state.rollouts
        return [
            order
            for order in known.orders.values()
            if _is_open(known.stage(order.service))
        ]

    async def _check(self) -> None:
        table = await self._platform.work.read()
        rows = {
            change.key: (change.entry.value, change.version)
            for change in table.changes
            if isinstance(change.entry, ports.SharedRow)
        }
        version = await self._acquire_lease(rows, table.now)
        if version is None:
            return
        for order in self._open_orders():
            await self._advance(order, rows, version, table.now)

    async def _acquire_lease(
        self, rows: Mapping[str, tuple[str, int]], now: float
    ) -> int | None:
        """Take or renew the lease.

        :returns: the version of its row, None when another node has it.
        """
        text, version = rows.get(LEASE_KEY, ("{}", 0))
        lease = _mapping(text)
        mine = lease.get("holder") == self._node
        left = float(lease.get("until", 0.0)) - now
        if not mine and left > 0:
            self._set_leading(False, f"held by {lease.get('holder')}")
            return None
        if mine and left > LEASE_TTL / 2 and self._leading:
            return version
        value = json.dumps({"holder": self._node, "until": now + LEASE_TTL})
        put = ports.SharedPut(LEASE_KEY, value, version)
        written = await self._platform.work.put([put])
        if isinstance(written, Err):
            self._set_leading(False, "another node took it")
            return None
        self._set_leading(True, "")
        return written.ok_value

    async def _advance(
        self,
        order: types.RolloutOrder,
        rows: Mapping[str, tuple[str, int]],
        lease_version: int,
        now: float,
    ) -> None:
        known = self._cluster_state.rollouts
        stage = known.stage(order.service)
        found = self._collect_evidence(order, stage, rows)
        ready = any(
            member.entry.version == order.target
            for member in self._cluster_state.fleet.usable(order.service)
        )
        following = rollout_policy.next_stage(
            stage,
            order,
            found,
            self._platform.settings.bounds,
            ready,
            known.order_age(order.service),
            now,
        )
        if following is None:
            return
        text = following.to_json()
        # The report stands or falls with the stage, so that a stage that is
        # known has been reported.
        published = await self._platform.rollouts.publish(
            order,
            FINAL_STATES.get(following.phase, types.RolloutState.IN_PROGRESS),
            ports.SharedPut(
                cluster_state.ROLLOUT_PREFIX + order.service,
                text,
                known.stage_versions.get(order.service, 0),
            ),
            ports.SharedPut(LEASE_KEY, "", lease_version),
        )
        if isinstance(published, Err):
            self._set_leading(False, "the stage or the lease has changed")
            return
        # The feed may bring it some looks later.
        self._cluster_state.apply_stage(
            order.service, text, published.ok_value
        )

    def _collect_evidence(
        self,
        order: types.RolloutOrder,
        stage: rollout.Stage | None,
        rows: Mapping[str, tuple[str, int]],
    ) -> rollout_policy.Evidence:
        base, candidate = evidence.Tally(), evidence.Tally()
        prefix = f"{TALLY_PREFIX}{order.service}/{order.order_id}/"
        phase = stage.phase.value if stage else ""
        old_in_flight, heard = 0, set()
        for key, (text, _) in rows.items():
            if not key.startswith(prefix):
                continue
            told = version_tallies.EvidenceReport.from_json(text)
            base.add(told.base)
            candidate.add(told.candidate)
            old_in_flight += told.old_in_flight
            if told.phase == phase:
                heard.add(key.removeprefix(prefix))
        return rollout_policy.Evidence(
            base,
            candidate,
            old_in_flight,
            heard >= self._cluster_state.nodes,
            self._rate(order.service),
        )

    def _set_leading(self, leads: bool, reason: str) -> None:
        if leads is not self._leading:
            self._leading = leads
            self._journal.emit(events.LeaseChanged("rollouts", leads, reason))


def _is_open(stage: rollout.Stage | None) -> bool:
    return stage is None or stage.phase not in FINAL_STATES


def _mapping(text: str) -> dict[str, Any]:
    try:
        value = json.loads(text)
    except ValueError:
        return {}
    return value if isinstance(value, dict) else {}
