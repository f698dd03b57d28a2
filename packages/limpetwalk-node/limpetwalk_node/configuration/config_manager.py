"""Configuration in force at this node.

The head row in the table service says which generation is accepted. A node
polls it, tells its peers of a newer one at once, and fetches the bytes from
the object store or from peers. The generation in force only grows.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
import math
import random

from loguru import logger

from limpetwalk import clock as clocks
from limpetwalk import exceptions
from limpetwalk import metrics as metrics_
from limpetwalk.conf import snapshot
from limpetwalk.peers import hub as hubs
from limpetwalk.peers import hub_status
from limpetwalk.peers import loops
from limpetwalk.peers import messages

from . import config_fetch

POLL_INTERVAL = 2.0
TICK_INTERVAL = 0.5


Compile = Callable[[bytes], snapshot.Snapshot]


@dataclass(frozen=True, slots=True)
class _InForce:
    applied: snapshot.AppliedSnapshot
    digest: str
    data: bytes


class ConfigManager:
    """Keeps the accepted configuration in force.

    :param hub: links to the peers.
    :param store: the accepted configuration in the platform's stores.
    :param compile_: makes a snapshot of bytes; what it raises makes the node
        keep the configuration that it has.
    :param clock: source of time.
    :param rng: source of random numbers.
    :param metrics: metrics of the process.
    """

    def __init__(
        self,
        hub: hubs.Hub,
        store: config_fetch.HeadSource,
        compile_: Compile,
        clock: clocks.Clock,
        rng: random.Random,
        metrics: metrics_.Metrics,
    ) -> None:
        self._hub = hub
        self._store = store
        self._compile = compile_
        self._clock = clock
        self._rng = rng
        self._in_force: _InForce | None = None
        self._rejected = ""
        self._subscribers: list[
            Callable[[snapshot.AppliedSnapshot], None]
        ] = []
        self._tasks: list[asyncio.Task[None]] = []
        # Monotonic instants: of the last sign that this generation is the
        # newest, of the last read in the table service that said so, and of
        # the end of the last pause that no sign has followed yet.
        self._fresh_at = -math.inf
        self._read_at = -math.inf
        self._paused_at: float | None = None
        self._errors = metrics.counter(
            "limpetwalk_config_errors",
            "Steps towards a newer configuration that failed.",
            ("reason",),
        )
        self._fetcher = config_fetch.SnapshotFetcher(
            hub, store, rng, self._errors
        )
        self._applied = metrics.counter(
            "limpetwalk_config_applied",
            "Configurations that came into force, by where they came from.",
            ("source",),
        )
        self._generation = metrics.gauge(
            "limpetwalk_config_generation",
            "Configuration generation in force.",
        )
        hub.report(self._report)
        hub.pauses.subscribe(self._paused)
        hub.subscribe(messages.ConfigHead, self._on_head)
        hub.subscribe(messages.SnapshotRequest, self._on_request)

    async def start(self) -> None:
        """Begin to follow the accepted configuration."""
        self._tasks = [
            asyncio.create_task(loops.repeat(self.poll, self._poll_interval)),
            asyncio.create_task(
                loops.repeat(self.follow_peers, lambda: TICK_INTERVAL)
            ),
        ]

    async def stop(self) -> None:
        """Stop following."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def current(self) -> snapshot.AppliedSnapshot | None:
        """Return the configuration in force, None before the first."""
        return self._in_force.applied if self._in_force else None

    def fresh(self) -> bool:
        """Tell whether the configuration may be used for new work.

        It may when it was confirmed within ``tuning.stale_after``, and
        again since the process was paused, if it was.
        """
        self._hub.pauses.check()
        if self._in_force is None or self._paused_at is not None:
            return False
        bound = self._in_force.applied.snapshot.tuning.stale_after
        return self._clock.monotonic() - self._fresh_at <= bound

    def subscribe(
        self, callback: Callable[[snapshot.AppliedSnapshot], None]
    ) -> None:
        """Call back with each configuration that comes into force."""
        self._subscribers.append(callback)

    async def apply_from_operator(self, generation: int, data: bytes) -> bool:
        """Take an accepted configuration that an operator hands over.

        :param generation: generation that it was accepted as.
        :param data: its bytes.
        :returns: whether it is in force now.
        """
        digest = config_fetch.digest_of(data)
        if self._stands(generation, digest):
            return True
        if generation <= self._number():
            return False
        try:
            head = await self._store.read()
        except exceptions.StoreError:
            # The hand-over exists for this case: the store failed after it
            # had accepted the change. The operator's word must do.
            pass
        else:
            if (head.generation, head.digest) != (generation, digest):
                self._errors.labels("offer_not_accepted").inc()
                return False
        return self._put_in_force(generation, digest, data, "operator")

    async def poll(self) -> None:
        """Read the head once and put a newer one in force."""
        asked_at = self._clock.monotonic()
        try:
            head = await self._store.read()
        except exceptions.LimpetwalkError:
            self._errors.labels("head_unavailable").inc()
            return
        if head.generation == 0:
            return
        if head.generation < self._number():
            self._errors.labels("head_behind").inc()
            return
        if await self._reach(head.generation, head.digest, "store", ""):
            self._read_at = max(self._read_at, asked_at)
            self._confirm(asked_at)

    async def follow_peers(self) -> None:
        """Catch up with peers, or let them confirm what is in force."""
        self._hub.pauses.check()
        beats = self._hub.members.live_beats()
        ahead = {
            name: beat
            for name, beat in beats.items()
            if beat.generation > self._number()
            and beat.digest != self._rejected
        }
        if ahead:
            name = max(ahead, key=lambda name: ahead[name].generation)
            beat = ahead[name]
            await self._reach(beat.generation, beat.digest, "peer", name)
            return
        for name, beat in beats.items():
            await self._compare(name, beat)
        if self._in_force is not None and self._peers_suffice():
            self._confirm(self._clock.monotonic())

    async def _compare(self, name: str, beat: messages.Heartbeat) -> None:
        if beat.generation != self._number() or self._in_force is None:
            return
        read_at = self._clock.monotonic() - beat.confirmed_age
        if beat.digest == self._in_force.digest:
            self._read_at = max(self._read_at, read_at)
            self._confirm(read_at)
        elif math.isfinite(read_at) and not math.isfinite(self._read_at):
            # This node was handed a configuration that the store never
            # accepted; the peer has the accepted one of that generation.
            await self._reach(beat.generation, beat.digest, "peer", name)

    def _peers_suffice(self) -> bool:
        """Tell whether the reachable peers stand for the whole system.

        When the table service is down for all, no change can be accepted
        and the system goes on. A group that is cut off must not take its
        own members' word for it, so more than half of the nodes have to be
        reachable, with one in another zone if there is any.
        """
        live = self._hub.live()
        expected = self._hub.expected()
        if not live or 2 * (len(live) + 1) <= len(expected) + 1:
            return False
        own = self._hub.zone
        elsewhere = any(peer.zone != own for peer in expected)
        return not elsewhere or any(peer.zone != own for peer in live)

    def _poll_interval(self) -> float:
        return POLL_INTERVAL * self._rng.uniform(0.9, 1.1)

    def _number(self) -> int:
        return self._in_force.applied.generation if self._in_force else 0

    def _stands(self, generation: int, digest: str) -> bool:
        return (
            self._in_force is not None
            and generation == self._in_force.applied.generation
            and digest == self._in_force.digest
        )

    def _confirm(self, seen_at: float) -> None:
        self._fresh_at = max(self._fresh_at, seen_at)
        if self._paused_at is not None and seen_at >= self._paused_at:
            self._paused_at = None

    def _paused(self) -> None:
        self._paused_at = self._clock.monotonic()

    def _report(self) -> hub_status.InForce:
        if self._in_force is None:
            return hub_status.InForce()
        return hub_status.InForce(
            generation=self._in_force.applied.generation,
            digest=self._in_force.digest,
            confirmed_age=self._clock.monotonic() - self._read_at,
        )

    async def _on_head(
        self, sender: str, message: messages.Message
    ) -> messages.Message | None:
        assert isinstance(message, messages.ConfigHead)
        if message.generation > self._number():
            await self._reach(
                message.generation, message.digest, "peer", sender
            )
        return None

    async def _on_request(
        self, sender: str, message: messages.Message
    ) -> messages.Message | None:
        assert isinstance(message, messages.SnapshotRequest)
        data = b""
        if self._in_force and message.digest == self._in_force.digest:
            data = self._in_force.data
        return messages.SnapshotReply(digest=message.digest, data=data)

    async def _reach(
        self, generation: int, digest: str, source: str, peer: str
    ) -> bool:
        """Put a generation in force.

        :returns: whether no newer generation is known that could be in
            force: this one is, or it is known not to compile.
        """
        if self._stands(generation, digest) or digest == self._rejected:
            return True
        data = await self._fetcher.fetch(digest, peer)
        if data is None:
            self._errors.labels("fetch_failed").inc()
            return False
        in_force = self._put_in_force(generation, digest, data, source)
        return in_force or digest == self._rejected

    def _put_in_force(
        self, generation: int, digest: str, data: bytes, source: str
    ) -> bool:
        if self._stands(generation, digest):
            return True
        if generation < self._number():
            return False
        try:
            compiled = self._compile(data)
        except Exception as exc:
            self._errors.labels("compile_failed").inc()
            self._rejected = digest
            logger.error("generation {} does not compile: {}", generation, exc)
            return False
        applied = snapshot.AppliedSnapshot(
            generation=generation, snapshot=compiled
        )
        self._in_force = _InForce(applied, digest, data)
        self._read_at = -math.inf
        self._fresh_at = max(self._fresh_at, self._clock.monotonic())
        self._generation.set(generation)
        self._applied.labels(source).inc()
        logger.info("generation {} is in force, by {}", generation, source)
        self._hub.broadcast(messages.ConfigHead(generation, digest))
        for callback in self._subscribers:
            callback(applied)
        return True
