"""Requests that crash the backend servers that run them."""

import collections
from collections.abc import Callable
from collections.abc import Mapping
import json
from typing import Any

import xxhash

KEPT = 4096


def engine_fingerprint(body: Mapping[str, Any]) -> str:
    """Return the fingerprint of a chat completion, equal for a repeat."""
    kept = {key: body[key] for key in sorted(body) if key != "stream"}
    text = json.dumps(kept, sort_keys=True, default=str)
    return xxhash.xxh3_128_hexdigest(text.encode())


def service_fingerprint(method: str, path: str, body: bytes) -> str:
    """Return the fingerprint of a call of a plain service."""
    return xxhash.xxh3_128_hexdigest(f"{method} {path}\n".encode() + body)


class Quarantine:
    """Counts of crashed backend servers by request fingerprint.

    :param share: called with fingerprint, server and boot id of each crash
        that this node saw, to tell the peers.
    :param kept: most fingerprints held; the oldest are forgotten.
    """

    def __init__(
        self,
        share: Callable[[str, str, str], None] | None = None,
        kept: int = KEPT,
    ) -> None:
        self._share = share
        self._kept = kept
        self._crashed: collections.OrderedDict[str, set[str]] = (
            collections.OrderedDict()
        )

    def blocks(self, fingerprint: str, limit: int) -> bool:
        """Whether a request has crashed as many servers as are allowed."""
        return len(self._crashed.get(fingerprint, ())) >= limit

    def record(self, fingerprint: str, server: str, boot_id: str) -> None:
        """Count a crash that this node saw, and share it."""
        self.merge(fingerprint, server)
        if self._share is not None:
            self._share(fingerprint, server, boot_id)

    def merge(self, fingerprint: str, server: str) -> None:
        """Count a crash that a peer saw."""
        self._crashed.setdefault(fingerprint, set()).add(server)
        self._crashed.move_to_end(fingerprint)
        while len(self._crashed) > self._kept:
            self._crashed.popitem(last=False)
