"""Leader of roll-outs: pools the evidence of all nodes and halts bad ones.

The leader of a roll-out has a lease. Each write of the roll-out's row is
conditional on that lease, so a leader that lost the lease can't write. The
leader writes the row before it halts, so it can't halt without the lease.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
import uuid

from loguru import logger
from result import Err

from limpetwalk import clock as clocks
from limpetwalk import exceptions
from limpetwalk import leases
from limpetwalk import metrics as measures
from limpetwalk import registry
from limpetwalk.conf import editor
from limpetwalk.conf import head as heads
from limpetwalk.conf import snapshot
from limpetwalk.peers import hub as hubs
from limpetwalk.peers import loops
from limpetwalk.peers import messages
from limpetwalk.peers import rendezvous
from limpetwalk.providers import base as platform
from limpetwalk.providers import settle
from limpetwalk.rollouts import guard as guards

from . import rollout_halt
from . import rollout_rows

# Seconds for which a lease is valid, and after which it is renewed.
LEASE_TTL = 10.0
RENEW_AFTER = 3.0
# Seconds between two writes of a roll-out's row.
WRITE_INTERVAL = 3.0
# Seconds between two rounds.
ROUND_INTERVAL = 1.0
ENDED_STATES = (snapshot.RolloutState.HALTED, snapshot.RolloutState.DONE)
NOT_LEADER = "no lease"
UNKNOWN_VERSION = "unknown version"


def lease_role(name: str) -> str:
    """Return the lease role of the leader of a roll-out."""
    return f"rollout/{name}"


@dataclass(slots=True)
class _Leadership:
    """Leadership of one roll-out by this node.

    :param rollout: roll-out as it was when this node became its leader.
    :param version: version of the stored row, 0 for none.
    :param pool: evidence received so far.
    :param stored_pool: evidence in the stored row.
    :param renewed_at: monotonic time of the lease's last renewal or, before
        that, of the takeover.
    :param written_at: monotonic time of the row's last write or, before
        that, of the takeover.
    """

    rollout: snapshot.Rollout
    lease: leases.Lease
    version: int
    pool: rollout_rows.EvidencePool
    stored_pool: rollout_rows.EvidencePool
    guard: guards.Guard
    renewed_at: float
    written_at: float


class GuardedRolloutLeader:
    """Leads the roll-outs that this node owns by rendezvous hashing.

    :param hub: links to the peers.
    :param lease_manager: acquires, renews and releases leases.
    :param table: table service with the rows of evidence.
    :param store: store of the accepted configurations.
    :param config: returns the configuration in force.
    :param clock: source of time.
    :param metrics: metrics of the process.
    """

    def __init__(
        self,
        hub: hubs.Hub,
        lease_manager: leases.LeaseManager,
        table: platform.TableStore,
        store: heads.HeadStore,
        config: Callable[[], snapshot.AppliedSnapshot | None],
        clock: clocks.Clock,
        metrics: measures.Metrics,
    ) -> None:
        self._hub = hub
        self._lease_manager = lease_manager
        self._table = table
        self._config = config
        self._clock = clock
        self._editor = editor.Editor(store, f"rollout-lead/{hub.name}")
        self._leaderships: dict[str, _Leadership] = {}
        self._cleared: set[str] = set()
        self._task: asyncio.Task[None] | None = None
        self._halt_counter = metrics.counter(
            "limpetwalk_rollout_halts", "Halts by a guard.", ("cause",)
        )
        self._duplicate_counter = metrics.counter(
            "limpetwalk_evidence_duplicates",
            "Windows that came again after they were counted.",
        )
        self._request_gauge = metrics.gauge(
            "limpetwalk_rollout_requests",
            "Requests observed by the lead of a roll-out.",
            ("rollout", "version"),
        )
        hub.subscribe(messages.Evidence, self._on_evidence)

    async def start(self) -> None:
        """Start leading the roll-outs that this node owns."""
        self._task = asyncio.create_task(
            loops.run_periodically(self.run_round, lambda: ROUND_INTERVAL)
        )

    async def stop(self) -> None:
        """Write the rows and release the leases."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        for name in list(self._leaderships):
            await self._step_down(name)

    def add_window(
        self, sender: str, message: messages.Evidence
    ) -> messages.Message:
        """Count a window of evidence.

        :param sender: name of the node that counted it.
        :returns: a message with the number of the sender's newest window in
            the stored row, or a ``Failure``.
        """
        leadership = self._leaderships.get(message.subject)
        if leadership is None:
            return messages.Failure(NOT_LEADER)
        if message.version not in (
            leadership.pool.base,
            leadership.pool.candidate,
        ):
            return messages.Failure(UNKNOWN_VERSION)
        if not leadership.pool.add_window(sender, message):
            self._duplicate_counter.inc()
        self._request_gauge.labels(message.subject, message.version).set(
            leadership.pool.tally(message.version).requests
        )
        newest = leadership.stored_pool.newest_window(sender, message.version)
        return messages.Evidence(
            message.subject, message.version, newest, 0, 0, 0, 0.0, 0.0
        )

    async def run_round(self) -> None:
        """Update the leaderships and judge the roll-outs that are led."""
        applied = self._config()
        if applied is None:
            return
        owned = {
            rollout.name: rollout
            for rollout in applied.snapshot.rollouts.values()
            if rollout.state is snapshot.RolloutState.RUNNING
            and self._is_owner(rollout.name)
        }
        for name, leadership in list(self._leaderships.items()):
            if name not in owned or not leadership.pool.matches(owned[name]):
                await self._step_down(name)
        for rollout in applied.snapshot.rollouts.values():
            await self._clear_ended(rollout)
        for rollout in owned.values():
            try:
                await self._check_rollout(rollout, applied.generation)
            except exceptions.StoreError:
                # Evidence is still pooled, and the next round retries.
                continue

    async def _clear_ended(self, rollout: snapshot.Rollout) -> None:
        """Clear the stored evidence of a roll-out that ended, once.

        A roll-out that is started again is judged by new evidence only.
        """
        name = rollout.name
        if rollout.state not in ENDED_STATES:
            self._cleared.discard(name)
            return
        if name in self._cleared or not self._is_owner(name):
            return
        try:
            row = await self._table.get(rollout_rows.row_key(name))
            if row is not None:
                pool = rollout_rows.EvidencePool.model_validate_json(row.value)
                pool.sums = {}
                put = platform.Put(
                    row.key, pool.model_dump_json(), row.version
                )
                outcome = await self._table.transact([put], uuid.uuid4().hex)
                if isinstance(outcome, Err):
                    return
        except exceptions.StoreError:
            return
        self._cleared.add(name)

    async def _on_evidence(
        self, sender: str, message: messages.Message
    ) -> messages.Message | None:
        assert isinstance(message, messages.Evidence)
        return self.add_window(sender, message)

    def _is_owner(self, name: str) -> bool:
        names = [peer.name for peer in self._hub.candidates()]
        owner = rendezvous.owner(lease_role(name), [*names, self._hub.name])
        return owner == self._hub.name

    async def _check_rollout(
        self, rollout: snapshot.Rollout, generation: int
    ) -> None:
        leadership = self._leaderships.get(rollout.name)
        if leadership is None:
            leadership = await self._take_over(rollout)
        elif not await self._renew(leadership):
            return
        if leadership is None:
            return
        verdict = leadership.guard.judge(
            leadership.pool.tally(rollout.base),
            leadership.pool.tally(rollout.candidate),
        )
        if verdict is not None:
            await self._halt(leadership, verdict, generation)
        elif self._clock.monotonic() - leadership.written_at >= WRITE_INTERVAL:
            await self._write(leadership)

    async def _take_over(
        self, rollout: snapshot.Rollout
    ) -> _Leadership | None:
        outcome = await self._lease_manager.acquire(
            lease_role(rollout.name), LEASE_TTL
        )
        if isinstance(outcome, Err):
            return None
        row = await self._table.get(rollout_rows.row_key(rollout.name))
        pool = rollout_rows.EvidencePool.for_rollout(rollout)
        if row is not None:
            stored_pool = rollout_rows.EvidencePool.model_validate_json(
                row.value
            )
            pool = stored_pool if stored_pool.matches(rollout) else pool
        now = self._clock.monotonic()
        leadership = _Leadership(
            rollout,
            outcome.ok_value,
            0 if row is None else row.version,
            pool,
            pool.model_copy(deep=True),
            registry.get(registry.Kind.ROLLOUT_GUARD, rollout.guard)(),
            now,
            now,
        )
        self._leaderships[rollout.name] = leadership
        logger.info(
            "became the leader of roll-out {} with fencing token {}",
            rollout.name,
            leadership.lease.fencing,
        )
        return leadership

    async def _renew(self, leadership: _Leadership) -> bool:
        now = self._clock.monotonic()
        if now - leadership.renewed_at < RENEW_AFTER:
            return True
        outcome = await self._lease_manager.renew(leadership.lease)
        if isinstance(outcome, Err):
            self._drop_leadership(leadership)
            return False
        leadership.lease = outcome.ok_value
        leadership.renewed_at = now
        return True

    async def _write(
        self, leadership: _Leadership, force: bool = False
    ) -> bool:
        """Write the row if it changed; return whether this node still leads.

        :param force: write an unchanged row too, which checks the lease.
        """
        written = leadership.pool.model_copy(deep=True)
        if written == leadership.stored_pool and not force:
            return True
        put = platform.Put(
            rollout_rows.row_key(leadership.rollout.name),
            written.model_dump_json(),
            leadership.version,
        )
        outcome = await settle.transact_settled(
            self._table, [put, leadership.lease.guard()], uuid.uuid4().hex
        )
        if isinstance(outcome, Err):
            self._drop_leadership(leadership)
            return False
        leadership.version += 1
        leadership.stored_pool = written
        leadership.written_at = self._clock.monotonic()
        return True

    def _drop_leadership(self, leadership: _Leadership) -> None:
        """Drop a leadership whose lease was lost.

        The senders keep the windows that aren't in the stored row.
        """
        self._leaderships.pop(leadership.rollout.name, None)
        logger.warning(
            "lost lease {}; no longer leading its roll-out",
            leadership.lease.role,
        )

    async def _halt(
        self, leadership: _Leadership, verdict: guards.Halt, generation: int
    ) -> None:
        """Halt the roll-out unless the lease was lost or it was edited."""
        if not await self._write(leadership, force=True):
            return
        edit = rollout_halt.GuardHalt(leadership.rollout, verdict.cause.value)
        outcome = await self._editor.edit(edit, generation)
        if isinstance(outcome, Err) or not outcome.ok_value.changes:
            # The roll-out is judged again once this node has applied the
            # newer configuration.
            return
        self._halt_counter.labels(verdict.cause.value).inc()
        logger.warning(
            "halted roll-out {} because of its {} after {} requests",
            leadership.rollout.name,
            verdict.cause.value,
            verdict.requests,
        )
        # If the roll-out is started again, it is judged by new evidence only.
        leadership.pool.sums = {}
        await self._write(leadership)

    async def _step_down(self, name: str) -> None:
        """Write the row and release the lease, if the store is available."""
        leadership = self._leaderships[name]
        try:
            if await self._write(leadership):
                await self._lease_manager.release(leadership.lease)
                logger.info("released lease {}", leadership.lease.role)
        except exceptions.StoreError:
            logger.warning(
                "store error while stepping down; lease {} was not released",
                leadership.lease.role,
            )
        self._leaderships.pop(name, None)
