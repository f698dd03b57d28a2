"""Requests that crash the backend servers that run them.

When a server crashes, each request that it ran is a suspect, since nobody
can tell which one did it. A suspect is run again apart from the others; an
answer clears it, and crashes of enough servers quarantine it.
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
    """Return the fingerprint of a chat completion, equal for a repeat."""
    kept = {key: body[key] for key in body if key not in IGNORED_FIELDS}
    text = json.dumps(kept, sort_keys=True, default=str)
    return xxhash.xxh3_128_hexdigest(text.encode())


def service_fingerprint(method: str, path: str, body: bytes) -> str:
    """Return the fingerprint of a call of a plain service."""
    return xxhash.xxh3_128_hexdigest(f"{method} {path}\n".encode() + body)


@dataclass(slots=True)
class _Suspicion:
    until: float
    servers: set[str] = field(default_factory=set)


class Quarantine:
    """Servers that crashed, by the fingerprint of what they ran.

    :param on_crash: called with fingerprint, server and boot id of each crash
        that this node saw, to tell the peers.
    :param max_fingerprints: most fingerprints held; the oldest are forgotten.
    :param lifetime: seconds after which a fingerprint is forgotten.
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
        self._held: collections.OrderedDict[str, _Suspicion] = (
            collections.OrderedDict()
        )

    def crashed_servers(self, fingerprint: str) -> frozenset[str]:
        """Return the servers that crashed while they ran a request."""
        found = self._held.get(fingerprint)
        if found is None:
            return frozenset()
        if found.until <= self._clock.monotonic():
            del self._held[fingerprint]
            return frozenset()
        return frozenset(found.servers)

    def is_quarantined(self, fingerprint: str, limit: int) -> bool:
        """Whether a request has crashed as many servers as are allowed."""
        return len(self.crashed_servers(fingerprint)) >= limit

    def record_crash(
        self, fingerprint: str, server: str, boot_id: str
    ) -> None:
        """Count a crash that this node saw, and share it."""
        self.merge_crash(fingerprint, server, boot_id)
        if self.on_crash is not None:
            self.on_crash(fingerprint, server, boot_id)

    def merge_crash(
        self, fingerprint: str, server: str, boot_id: str = ""
    ) -> None:
        """Count a crash that a peer saw."""
        until = self._clock.monotonic() + self._lifetime
        found = self._held.setdefault(fingerprint, _Suspicion(until))
        found.until = until
        if server not in found.servers:
            found.servers.add(server)
            logger.warning(
                "{} crashed while it ran request {}", server, fingerprint
            )
        self._held.move_to_end(fingerprint)
        while len(self._held) > self._max_fingerprints:
            self._held.popitem(last=False)

    def clear(self, fingerprint: str) -> None:
        """Forget the suspicion of a request that was answered."""
        self._held.pop(fingerprint, None)
