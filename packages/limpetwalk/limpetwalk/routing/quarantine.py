"""Quarantine of requests that crash the backend servers that run them.

When a server crashes, each request that it ran is suspected, since it is
unknown which one caused the crash. A suspected request is retried separately
from the others. An answer clears it; crashes of enough servers quarantine it.
"""

import collections
from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
import json
from typing import Any

from loguru import logger
import xxhash

from .. import clock as clocks

MAX_FINGERPRINTS = 4096
LIFETIME_SECONDS = 3600.0
IGNORED_FIELDS = ("stream", "stream_options")


def engine_fingerprint(body: Mapping[str, Any]) -> str:
    """Return the fingerprint of a chat completion, equal for a retry."""
    relevant = {key: body[key] for key in body if key not in IGNORED_FIELDS}
    canonical = json.dumps(relevant, sort_keys=True, default=str)
    return xxhash.xxh3_128_hexdigest(canonical.encode())


def service_fingerprint(method: str, path: str, body: bytes) -> str:
    """Return the fingerprint of a call of a plain service."""
    return xxhash.xxh3_128_hexdigest(f"{method} {path}\n".encode() + body)


@dataclass(slots=True)
class _Suspicion:
    until: float
    servers: set[str] = field(default_factory=set)


class Quarantine:
    """Crashed servers by the fingerprint of the requests that they ran.

    :param on_crash: called with fingerprint, server and boot id of each crash
        that this node observed, to report it to the peers.
    :param max_fingerprints: maximum number of fingerprints; the oldest are
        removed.
    :param lifetime: seconds after the last crash until a fingerprint is
        removed.
    """

    def __init__(
        self,
        on_crash: Callable[[str, str, str], None] | None = None,
        max_fingerprints: int = MAX_FINGERPRINTS,
        lifetime: float = LIFETIME_SECONDS,
        clock: clocks.Clock | None = None,
    ) -> None:
        self.on_crash = on_crash
        self._max_fingerprints = max_fingerprints
        self._lifetime = lifetime
        self._clock = clock or clocks.SystemClock()
        self._suspicions: collections.OrderedDict[str, _Suspicion] = (
            collections.OrderedDict()
        )

    def crashed_servers(self, fingerprint: str) -> frozenset[str]:
        """Return the names of the servers that crashed with a request."""
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is None:
            return frozenset()
        if suspicion.until <= self._clock.monotonic():
            del self._suspicions[fingerprint]
            return frozenset()
        return frozenset(suspicion.servers)

    def is_quarantined(self, fingerprint: str, limit: int) -> bool:
        """Return whether a request has crashed at least ``limit`` servers."""
        return len(self.crashed_servers(fingerprint)) >= limit

    def record_crash(
        self, fingerprint: str, server: str, boot_id: str
    ) -> None:
        """Record a crash that this node observed and report it to peers."""
        self.merge_crash(fingerprint, server, boot_id)
        if self.on_crash is not None:
            self.on_crash(fingerprint, server, boot_id)

    def merge_crash(
        self, fingerprint: str, server: str, boot_id: str = ""
    ) -> None:
        """Record a crash that a peer observed; it is not reported again."""
        until = self._clock.monotonic() + self._lifetime
        suspicion = self._suspicions.setdefault(fingerprint, _Suspicion(until))
        suspicion.until = until
        if server not in suspicion.servers:
            suspicion.servers.add(server)
            logger.warning(
                "server {} crashed while it ran request {}",
                server,
                fingerprint,
            )
        self._suspicions.move_to_end(fingerprint)
        while len(self._suspicions) > self._max_fingerprints:
            self._suspicions.popitem(last=False)

    def clear(self, fingerprint: str) -> None:
        """Remove the suspicion of a request that was answered."""
        self._suspicions.pop(fingerprint, None)
