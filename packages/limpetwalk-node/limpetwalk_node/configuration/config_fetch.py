"""Fetches the bytes of a configuration by their digest."""

import asyncio
import hashlib
import random
from typing import Protocol

import prometheus_client

from limpetwalk import exceptions
from limpetwalk.peers import hub as hubs
from limpetwalk.peers import messages

FETCH_TIMEOUT = 2.0  # seconds
MAX_PEERS_ASKED = 3


class Head(Protocol):
    """Accepted generation as stored in the table service."""

    @property
    def generation(self) -> int:
        """Number of the generation; 0 when none has been accepted yet."""
        ...

    @property
    def digest(self) -> str:
        """SHA-256 of the configuration's bytes, in hexadecimal."""
        ...


class HeadSource(Protocol):
    """Source of the accepted configuration."""

    async def read(self) -> Head:
        """Return the head.

        :raises StoreUnavailable: when the table service does not answer.
        """
        ...

    async def load(self, digest: str) -> bytes | None:
        """Return the bytes with a digest, or None when they are absent.

        :raises StoreUnavailable: when the object store does not answer.
        """
        ...


def digest_of(data: bytes) -> str:
    """Return the SHA-256 of bytes, in hexadecimal."""
    return hashlib.sha256(data).hexdigest()


class SnapshotFetcher:
    """Fetches snapshots from peers and from the object store.

    :param hub: links to the peers.
    :param store: the accepted configuration in the platform's stores.
    :param rng: source of random numbers.
    :param errors: counter of failed steps, by reason.
    """

    def __init__(
        self,
        hub: hubs.Hub,
        store: HeadSource,
        rng: random.Random,
        errors: prometheus_client.Counter,
    ) -> None:
        self._hub = hub
        self._store = store
        self._rng = rng
        self._errors = errors
        self._fetches: dict[str, asyncio.Task[bytes | None]] = {}

    async def fetch(self, digest: str, peer: str) -> bytes | None:
        """Return the bytes with a digest, or None when no source has them.

        Concurrent calls for the same digest share one fetch.

        :param peer: name of the peer to ask first, or empty.
        """
        task = self._fetches.get(digest)
        if task is None:
            task = asyncio.create_task(self._fetch(digest, peer))
            self._fetches[digest] = task
            task.add_done_callback(lambda _: self._fetches.pop(digest, None))
        return await asyncio.shield(task)

    async def _fetch(self, digest: str, peer: str) -> bytes | None:
        if peer:
            data = await self._fetch_from_peer(digest, peer)
            if data is not None:
                return data
        data = await self._fetch_from_store(digest)
        if data is not None:
            return data
        others = [
            name
            for name, beat in self._hub.members.live_heartbeats().items()
            if beat.digest == digest and name != peer
        ]
        self._rng.shuffle(others)
        for name in others[:MAX_PEERS_ASKED]:
            data = await self._fetch_from_peer(digest, name)
            if data is not None:
                return data
        return None

    async def _fetch_from_store(self, digest: str) -> bytes | None:
        try:
            data = await self._store.load(digest)
        except exceptions.LimpetwalkError:
            self._errors.labels("objects_unavailable").inc()
            return None
        return self._verified(digest, data or b"")

    async def _fetch_from_peer(self, digest: str, peer: str) -> bytes | None:
        try:
            reply = await self._hub.request(
                peer, messages.SnapshotRequest(digest), FETCH_TIMEOUT
            )
        except exceptions.PeerUnavailable:
            self._errors.labels("peer_unavailable").inc()
            return None
        if not isinstance(reply, messages.SnapshotReply):
            return None
        return self._verified(digest, reply.data)

    def _verified(self, digest: str, data: bytes) -> bytes | None:
        if not data:
            return None
        if digest_of(data) != digest:
            self._errors.labels("wrong_digest").inc()
            return None
        return data
