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

from . import beliefs
from . import events
from . import logs

# Pause between two rounds of evidence of a node, seconds, while a small share
# of work tries the new version and while all does, and nodes for which it
# grows by another such pause.
TELL_PAUSE = 1.2
TELL_PAUSE_EXPOSED = 0.6
NODES_PER_PAUSE = 16
# Pause between two looks of the lead, seconds.
LEAD_PAUSE = 0.5
# Lifetime of the lease, seconds: a few looks, so that a lost one is taken
# over within the time in which a bad version must be stopped.
LEASE_TTL = 2.5
# Nodes that stand by for the lead, and how much later each looks.
STAND_BY = 5
STAND_BY_PAUSE = 0.5
LEASE_KEY = "lease/rollouts"
TALLY_PREFIX = "tally/"

STATES = {
    rollout.Phase.COMPLETE: types.RolloutState.COMPLETE,
    rollout.Phase.REVERTED: types.RolloutState.REVERTED,
}


class RolloutTeller:
    """Tells the lead what this node sees of a roll-out."""

    def __init__(
        self,
        node: str,
        held: beliefs.Beliefs,
        counts: version_tallies.VersionTallies,
        work: ports.SharedTable,
        journal: logs.Journal,
    ) -> None:
        self._node = node
        self._beliefs = held
        self._counts = counts
        self._work = work
        self._journal = journal
        self._told: dict[str, str] = {}

    async def run(self) -> None:
        """Tell what changed, until cancelled."""
        while True:
            await asyncio.sleep(self._pause())
            for service, order in list(self._beliefs.rollouts.orders.items()):
                if _is_open(self._beliefs.rollouts.stage(service)):
                    await self._tell(service, order)

    def _pause(self) -> float:
        exposed = any(
            stage.phase is rollout.Phase.FULL
            for stage in self._beliefs.rollouts.stages.values()
        )
        pause = TELL_PAUSE_EXPOSED if exposed else TELL_PAUSE
        return pause * (1 + len(self._beliefs.nodes) // NODES_PER_PAUSE)

    async def _tell(self, service: str, order: types.RolloutOrder) -> None:
        stage = self._beliefs.rollouts.stage(service)
        phase = stage.phase.value if stage else ""
        text = self._counts.to_json(service, order.target, phase)
        key = f"{TALLY_PREFIX}{service}/{order.order_id}/{self._node}"
        if self._told.get(key) == text:
            return
        try:
            await self._work.put([ports.SharedPut(key, text)])
        except exceptions.StoreError as exc:
            self._journal.emit(
                events.Unexpected("telling evidence", str(exc)[:200])
            )
        else:
            self._told[key] = text


class RolloutLead:
    """Moves roll-outs on while this node holds the lease.

    :param rate: returns the requests a second that a service gets, about.
    """

    def __init__(
        self,
        platform: ports.Platform,
        held: beliefs.Beliefs,
        clock: clocks.Clock,
        journal: logs.Journal,
        rate: Callable[[str], float],
    ) -> None:
        self._rate = rate
        self._platform = platform
        self._node = platform.settings.name
        self._beliefs = held
        self._clock = clock
        self._journal = journal
        self._leads = False

    async def run(self) -> None:
        """Lead or stand by, until cancelled."""
        while True:
            await asyncio.sleep(self.pause())
            if not self._open_orders():
                continue
            if not self._leads and self._rank() >= STAND_BY:
                continue
            try:
                await self._look()
            except exceptions.StoreError as exc:
                self._note_lease(False, str(exc)[:200])
            except Exception as exc:
                # Another look may succeed, and others stand by.
                self._journal.emit(
                    events.Unexpected("leading roll-outs", repr(exc)[:500])
                )

    def pause(self) -> float:
        """Return the pause before the next look, in seconds.

        Nodes that stand by look later the lower they rank; one that leads
        must renew its lease and act on evidence, whatever its rank.
        """
        if self._leads:
            return LEAD_PAUSE
        return LEAD_PAUSE + STAND_BY_PAUSE * self._rank()

    def _rank(self) -> int:
        nodes = self._beliefs.nodes | {self._node}
        return rendezvous.rank(LEASE_KEY, nodes).index(self._node)

    def _open_orders(self) -> list[types.RolloutOrder]:
        held = self._beliefs.rollouts
        return [
            order
            for order in held.orders.values()
            if _is_open(held.stage(order.service))
        ]

    async def _look(self) -> None:
        table = await self._platform.work.read()
        rows = {
            change.key: (change.entry.value, change.version)
            for change in table.changes
            if isinstance(change.entry, ports.SharedRow)
        }
        version = await self._hold_lease(rows, table.now)
        if version is None:
            return
        for order in self._open_orders():
            await self._advance(order, rows, version, table.now)

    async def _hold_lease(
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
            self._note_lease(False, f"held by {lease.get('holder')}")
            return None
        if mine and left > LEASE_TTL / 2 and self._leads:
            return version
        value = json.dumps({"holder": self._node, "until": now + LEASE_TTL})
        put = ports.SharedPut(LEASE_KEY, value, version)
        written = await self._platform.work.put([put])
        if isinstance(written, Err):
            self._note_lease(False, "another node took it")
            return None
        self._note_lease(True, "")
        return written.ok_value

    async def _advance(
        self,
        order: types.RolloutOrder,
        rows: Mapping[str, tuple[str, int]],
        lease_version: int,
        now: float,
    ) -> None:
        held = self._beliefs.rollouts
        stage = held.stage(order.service)
        found = self._pool(order, stage, rows)
        ready = any(
            member.entry.version == order.target
            for member in self._beliefs.fleet.usable(order.service)
        )
        following = rollout_policy.next_stage(
            stage,
            order,
            found,
            self._platform.settings.bounds,
            ready,
            held.order_age(order.service),
            now,
        )
        if following is None:
            return
        text = following.to_json()
        # The report stands or falls with the stage, so that a stage that is
        # known has been reported.
        published = await self._platform.rollouts.publish(
            order,
            STATES.get(following.phase, types.RolloutState.IN_PROGRESS),
            ports.SharedPut(
                beliefs.ROLLOUT_PREFIX + order.service,
                text,
                held.stage_versions.get(order.service, 0),
            ),
            ports.SharedPut(LEASE_KEY, "", lease_version),
        )
        if isinstance(published, Err):
            self._note_lease(False, "the stage or the lease has changed")
            return
        # The feed may bring it some looks later.
        self._beliefs.apply_stage(order.service, text, published.ok_value)

    def _pool(
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
            heard >= self._beliefs.nodes,
            self._rate(order.service),
        )

    def _note_lease(self, leads: bool, reason: str) -> None:
        if leads is not self._leads:
            self._leads = leads
            self._journal.emit(events.LeaseChanged("rollouts", leads, reason))


def _is_open(stage: rollout.Stage | None) -> bool:
    return stage is None or stage.phase not in STATES


def _mapping(text: str) -> dict[str, Any]:
    try:
        held = json.loads(text)
    except ValueError:
        return {}
    return held if isinstance(held, dict) else {}
