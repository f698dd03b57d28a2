"""Configuration in force at this node.

The head row in the table service says which generation is accepted. A node
polls it, announces a newer generation to its peers at once, and fetches the
bytes from the object store or from peers. The generation in force never
decreases.
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

# Durations are in seconds.
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
    :param compile_: compiles bytes to a snapshot; if it raises an exception,
        the configuration in force stays.
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
        self._rejected_digest = ""
        self._subscribers: list[
            Callable[[snapshot.AppliedSnapshot], None]
        ] = []
        self._tasks: list[asyncio.Task[None]] = []
        # Monotonic instants: of the last confirmation that this generation is
        # the newest, of the last read of the table service that confirmed it,
        # and of the end of the last pause that no confirmation has followed.
        self._confirmed_at = -math.inf
        self._store_read_at = -math.inf
        self._unconfirmed_pause_at: float | None = None
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
        hub.report_config(self._status)
        hub.pause_detector.subscribe(self._on_pause)
        hub.subscribe(messages.ConfigHead, self._on_head)
        hub.subscribe(messages.SnapshotRequest, self._on_request)

    async def start(self) -> None:
        """Start following the accepted configuration."""
        self._tasks = [
            asyncio.create_task(
                loops.run_periodically(self.poll, self._poll_interval)
            ),
            asyncio.create_task(
                loops.run_periodically(
                    self.follow_peers, lambda: TICK_INTERVAL
                )
            ),
        ]

    async def stop(self) -> None:
        """Stop following the accepted configuration."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def current(self) -> snapshot.AppliedSnapshot | None:
        """Return the configuration in force, or None before the first."""
        return self._in_force.applied if self._in_force else None

    def is_fresh(self) -> bool:
        """Return whether the configuration may be used for new work.

        It may be when it was confirmed within the last ``tuning.stale_after``
        seconds and, if the process was paused, also after the pause.
        """
        self._hub.pause_detector.check()
        if self._in_force is None or self._unconfirmed_pause_at is not None:
            return False
        max_age = self._in_force.applied.snapshot.tuning.stale_after
        return self._clock.monotonic() - self._confirmed_at <= max_age

    def subscribe(
        self, callback: Callable[[snapshot.AppliedSnapshot], None]
    ) -> None:
        """Register a callback for configurations that come into force."""
        self._subscribers.append(callback)

    async def apply_from_operator(self, generation: int, data: bytes) -> bool:
        """Apply an accepted configuration that an operator hands over.

        :param generation: generation as which it was accepted.
        :param data: bytes of the configuration.
        :returns: whether it is in force now.
        """
        digest = config_fetch.digest_of(data)
        if self._is_in_force(generation, digest):
            return True
        if generation <= self._current_generation():
            return False
        try:
            head = await self._store.read()
        except exceptions.StoreError:
            # The hand-over exists for this case: the store failed after it
            # had accepted the change, so the operator's request is trusted.
            pass
        else:
            if (head.generation, head.digest) != (generation, digest):
                self._errors.labels("offer_not_accepted").inc()
                return False
        return self._apply(generation, digest, data, "operator")

    async def poll(self) -> None:
        """Read the head once and put a newer generation in force."""
        started_at = self._clock.monotonic()
        try:
            head = await self._store.read()
        except exceptions.LimpetwalkError:
            self._errors.labels("head_unavailable").inc()
            return
        if head.generation == 0:
            return
        if head.generation < self._current_generation():
            self._errors.labels("head_behind").inc()
            return
        if await self._update_to(head.generation, head.digest, "store", ""):
            self._store_read_at = max(self._store_read_at, started_at)
            self._confirm(started_at)

    async def follow_peers(self) -> None:
        """Update to a peer's newer generation, or confirm the one in force."""
        self._hub.pause_detector.check()
        heartbeats = self._hub.members.live_heartbeats()
        ahead = {
            name: heartbeat
            for name, heartbeat in heartbeats.items()
            if heartbeat.generation > self._current_generation()
            and heartbeat.digest != self._rejected_digest
        }
        if ahead:
            name = max(ahead, key=lambda name: ahead[name].generation)
            heartbeat = ahead[name]
            await self._update_to(
                heartbeat.generation, heartbeat.digest, "peer", name
            )
            return
        for name, heartbeat in heartbeats.items():
            await self._confirm_by_peer(name, heartbeat)
        if self._in_force is not None and self._is_quorum_reachable():
            self._confirm(self._clock.monotonic())

    async def _confirm_by_peer(
        self, name: str, heartbeat: messages.Heartbeat
    ) -> None:
        if (
            heartbeat.generation != self._current_generation()
            or self._in_force is None
        ):
            return
        read_at = self._clock.monotonic() - heartbeat.confirmed_age
        if heartbeat.digest == self._in_force.digest:
            self._store_read_at = max(self._store_read_at, read_at)
            self._confirm(read_at)
        elif math.isfinite(read_at) and not math.isfinite(self._store_read_at):
            # An operator handed this node a configuration that the store never
            # accepted; the peer has the one accepted as that generation.
            await self._update_to(
                heartbeat.generation, heartbeat.digest, "peer", name
            )

    def _is_quorum_reachable(self) -> bool:
        """Return whether the reachable peers can confirm the generation.

        When the table service is down for all nodes, no change can be
        accepted, and the nodes go on with the generation in force. A group of
        nodes cut off from the others must not confirm it among themselves,
        so more than half of the nodes have to be reachable, and one of them
        in another zone if there is another zone.
        """
        live = self._hub.live()
        expected = self._hub.expected_peers()
        if not live or 2 * (len(live) + 1) <= len(expected) + 1:
            return False
        own_zone = self._hub.zone
        has_other_zones = any(peer.zone != own_zone for peer in expected)
        return not has_other_zones or any(
            peer.zone != own_zone for peer in live
        )

    def _poll_interval(self) -> float:
        return POLL_INTERVAL * self._rng.uniform(0.9, 1.1)

    def _current_generation(self) -> int:
        return self._in_force.applied.generation if self._in_force else 0

    def _is_in_force(self, generation: int, digest: str) -> bool:
        return (
            self._in_force is not None
            and generation == self._in_force.applied.generation
            and digest == self._in_force.digest
        )

    def _confirm(self, confirmed_at: float) -> None:
        self._confirmed_at = max(self._confirmed_at, confirmed_at)
        if (
            self._unconfirmed_pause_at is not None
            and confirmed_at >= self._unconfirmed_pause_at
        ):
            self._unconfirmed_pause_at = None

    def _on_pause(self) -> None:
        self._unconfirmed_pause_at = self._clock.monotonic()

    def _status(self) -> hub_status.ConfigStatus:
        if self._in_force is None:
            return hub_status.ConfigStatus()
        return hub_status.ConfigStatus(
            generation=self._in_force.applied.generation,
            digest=self._in_force.digest,
            confirmed_age=self._clock.monotonic() - self._store_read_at,
        )

    async def _on_head(
        self, sender: str, message: messages.Message
    ) -> messages.Message | None:
        assert isinstance(message, messages.ConfigHead)
        if message.generation > self._current_generation():
            await self._update_to(
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

    async def _update_to(
        self, generation: int, digest: str, source: str, peer: str
    ) -> bool:
        """Fetch a generation and put it in force.

        :returns: whether this generation is in force or is known not to
            compile, so that no newer one is known that could be in force.
        """
        if (
            self._is_in_force(generation, digest)
            or digest == self._rejected_digest
        ):
            return True
        data = await self._fetcher.fetch(digest, peer)
        if data is None:
            self._errors.labels("fetch_failed").inc()
            return False
        in_force = self._apply(generation, digest, data, source)
        return in_force or digest == self._rejected_digest

    def _apply(
        self, generation: int, digest: str, data: bytes, source: str
    ) -> bool:
        if self._is_in_force(generation, digest):
            return True
        if generation < self._current_generation():
            return False
        try:
            compiled = self._compile(data)
        except Exception as exc:
            self._errors.labels("compile_failed").inc()
            self._rejected_digest = digest
            logger.error(
                "configuration generation {} does not compile: {}",
                generation,
                exc,
            )
            return False
        applied = snapshot.AppliedSnapshot(
            generation=generation, snapshot=compiled
        )
        self._in_force = _InForce(applied, digest, data)
        self._store_read_at = -math.inf
        self._confirmed_at = max(self._confirmed_at, self._clock.monotonic())
        self._generation.set(generation)
        self._applied.labels(source).inc()
        logger.info(
            "configuration generation {} is in force; source: {}",
            generation,
            source,
        )
        self._hub.broadcast(messages.ConfigHead(generation, digest))
        for callback in self._subscribers:
            callback(applied)
        return True
