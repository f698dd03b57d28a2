"""Lead of roll-outs: pools the evidence of all nodes and halts.

The lead of a roll-out holds a lease. Each write of its row carries the
lease's condition, so a lead that lost the role can't write, and it writes
the row before it halts.
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

LEASE_TTL = 10.0
RENEW_AFTER = 3.0
WRITE_INTERVAL = 3.0
TICK_INTERVAL = 1.0
ENDED = (snapshot.RolloutState.HALTED, snapshot.RolloutState.DONE)
NO_LEASE = "no lease"
UNKNOWN_VERSION = "unknown version"


def role_of(name: str) -> str:
    """Return the role of the lead of a roll-out."""
    return f"rollout/{name}"


@dataclass(slots=True)
class _Run:
    """Roll-out that this node leads.

    ``stored`` is what the row holds, ``pool`` what is known by now.
    """

    rollout: snapshot.Rollout
    lease: leases.Lease
    version: int
    pool: rollout_rows.Pool
    stored: rollout_rows.Pool
    guard: guards.Guard
    renewed_at: float
    written_at: float


class GuardedRolloutLeader:
    """Leads the roll-outs that fall to this node.

    :param hub: links to the peers.
    :param keeper: keeper of leases.
    :param table: table service with the rows of evidence.
    :param store: accepted configurations.
    :param config: returns the configuration in force.
    :param clock: source of time.
    :param metrics: metrics of the process.
    """

    def __init__(
        self,
        hub: hubs.Hub,
        keeper: leases.LeaseKeeper,
        table: platform.TableStore,
        store: heads.HeadStore,
        config: Callable[[], snapshot.Applied | None],
        clock: clocks.Clock,
        metrics: measures.Metrics,
    ) -> None:
        self._hub = hub
        self._keeper = keeper
        self._table = table
        self._config = config
        self._clock = clock
        self._editor = editor.Editor(store, f"rollout-lead/{hub.name}")
        self._runs: dict[str, _Run] = {}
        self._cleared: set[str] = set()
        self._task: asyncio.Task[None] | None = None
        self._halts = metrics.counter(
            "limpetwalk_rollout_halts", "Halts by a guard.", ("cause",)
        )
        self._duplicates = metrics.counter(
            "limpetwalk_evidence_duplicates",
            "Windows that came again after they were counted.",
        )
        self._requests = metrics.gauge(
            "limpetwalk_rollout_requests",
            "Requests observed by the lead of a roll-out.",
            ("rollout", "version"),
        )
        hub.subscribe(messages.Evidence, self._on_evidence)

    async def start(self) -> None:
        """Lead what falls to this node from now on."""
        self._task = asyncio.create_task(
            loops.repeat(self.tick, lambda: TICK_INTERVAL)
        )

    async def stop(self) -> None:
        """Write the rows and release the leases."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        for name in list(self._runs):
            await self._leave(name)

    def take(
        self, sender: str, message: messages.Evidence
    ) -> messages.Message:
        """Count a window.

        :returns: the message with the number of the sender's newest window
            that the row holds, or a ``Failure``.
        """
        run = self._runs.get(message.subject)
        if run is None:
            return messages.Failure(NO_LEASE)
        if message.version not in (run.pool.base, run.pool.candidate):
            return messages.Failure(UNKNOWN_VERSION)
        if not run.pool.take(sender, message):
            self._duplicates.inc()
        self._requests.labels(message.subject, message.version).set(
            run.pool.total(message.version).requests
        )
        mark = run.stored.mark(sender, message.version)
        return messages.Evidence(
            message.subject, message.version, mark, 0, 0, 0, 0.0, 0.0
        )

    async def tick(self) -> None:
        """Take, keep or leave roles, and judge what is led."""
        applied = self._config()
        if applied is None:
            return
        led = {
            rollout.name: rollout
            for rollout in applied.snapshot.rollouts.values()
            if rollout.state is snapshot.RolloutState.RUNNING
            and self._is_owner(rollout.name)
        }
        for name, run in list(self._runs.items()):
            if name not in led or not run.pool.fits(led[name]):
                await self._leave(name)
        for rollout in applied.snapshot.rollouts.values():
            await self._clear(rollout)
        for rollout in led.values():
            try:
                await self._lead(rollout, applied.generation)
            except exceptions.StoreError:
                # The evidence is pooled on; the next round tries again.
                continue

    async def _clear(self, rollout: snapshot.Rollout) -> None:
        """Drop the sums of a roll-out that ended, once.

        When it is started again it is judged by new evidence.
        """
        name = rollout.name
        if rollout.state not in ENDED:
            self._cleared.discard(name)
            return
        if name in self._cleared or not self._is_owner(name):
            return
        try:
            row = await self._table.get(rollout_rows.key_of(name))
            if row is not None:
                pool = rollout_rows.Pool.model_validate_json(row.value)
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
        return self.take(sender, message)

    def _is_owner(self, name: str) -> bool:
        names = [peer.name for peer in self._hub.candidates()]
        owner = rendezvous.owner(role_of(name), [*names, self._hub.name])
        return owner == self._hub.name

    async def _lead(self, rollout: snapshot.Rollout, generation: int) -> None:
        run = self._runs.get(rollout.name)
        if run is None:
            run = await self._take_over(rollout)
        elif not await self._renew(run):
            return
        if run is None:
            return
        verdict = run.guard.judge(
            run.pool.total(rollout.base), run.pool.total(rollout.candidate)
        )
        if verdict is not None:
            await self._halt(run, verdict, generation)
        elif self._clock.monotonic() - run.written_at >= WRITE_INTERVAL:
            await self._write(run)

    async def _take_over(self, rollout: snapshot.Rollout) -> _Run | None:
        outcome = await self._keeper.acquire(role_of(rollout.name), LEASE_TTL)
        if isinstance(outcome, Err):
            return None
        row = await self._table.get(rollout_rows.key_of(rollout.name))
        pool = rollout_rows.Pool.of(rollout)
        if row is not None:
            held = rollout_rows.Pool.model_validate_json(row.value)
            pool = held if held.fits(rollout) else pool
        now = self._clock.monotonic()
        run = _Run(
            rollout,
            outcome.ok_value,
            0 if row is None else row.version,
            pool,
            pool.model_copy(deep=True),
            registry.get(registry.Kind.ROLLOUT_GUARD, rollout.guard)(),
            now,
            now,
        )
        self._runs[rollout.name] = run
        logger.info(
            "this node leads roll-out {} by lease {}",
            rollout.name,
            run.lease.fencing,
        )
        return run

    async def _renew(self, run: _Run) -> bool:
        now = self._clock.monotonic()
        if now - run.renewed_at < RENEW_AFTER:
            return True
        outcome = await self._keeper.renew(run.lease)
        if isinstance(outcome, Err):
            self._lose(run)
            return False
        run.lease = outcome.ok_value
        run.renewed_at = now
        return True

    async def _write(self, run: _Run, is_needed: bool = False) -> bool:
        """Put the row if this node still leads; return whether it does."""
        written = run.pool.model_copy(deep=True)
        if written == run.stored and not is_needed:
            return True
        put = platform.Put(
            rollout_rows.key_of(run.rollout.name),
            written.model_dump_json(),
            run.version,
        )
        outcome = await settle.transact_settled(
            self._table, [put, run.lease.guard()], uuid.uuid4().hex
        )
        if isinstance(outcome, Err):
            self._lose(run)
            return False
        run.version += 1
        run.stored = written
        run.written_at = self._clock.monotonic()
        return True

    def _lose(self, run: _Run) -> None:
        """Forget a run; the senders hold what the row does not."""
        self._runs.pop(run.rollout.name, None)
        logger.warning("lease {} was lost", run.lease.role)

    async def _halt(
        self, run: _Run, verdict: guards.Halt, generation: int
    ) -> None:
        """Halt, unless the role or the configuration changed meanwhile."""
        if not await self._write(run, is_needed=True):
            return
        edit = rollout_halt.GuardHalt(run.rollout, verdict.cause.value)
        outcome = await self._editor.edit(edit, generation)
        if isinstance(outcome, Err) or not outcome.ok_value.changes:
            # Judged anew once this node has the newer configuration.
            return
        self._halts.labels(verdict.cause.value).inc()
        logger.warning(
            "roll-out {} is halted for its {} after {} requests",
            run.rollout.name,
            verdict.cause.value,
            verdict.requests,
        )
        # A later start of the same roll-out is judged by new evidence.
        run.pool.sums = {}
        await self._write(run)

    async def _leave(self, name: str) -> None:
        """Write the row and release the lease, as far as the store lets."""
        run = self._runs[name]
        try:
            if await self._write(run):
                await self._keeper.release(run.lease)
                logger.info("lease {} was released", run.lease.role)
        except exceptions.StoreError:
            logger.warning("lease {} was not released", run.lease.role)
        self._runs.pop(name, None)
