"""Authentication of callers by the bearer key of their workspace."""

from dataclasses import dataclass
import hashlib
import hmac

from limpetwalk import refusals
from limpetwalk.conf import snapshot

SCHEME = "bearer "
# Keys are looked up by this prefix of their digest; the full digest is then
# compared in constant time.
PREFIX_BYTES = 8


@dataclass(frozen=True, slots=True)
class _KeyEntry:
    digest: bytes
    workspace: str


class KeyDirectory:
    """Maps keys to workspaces; rebuilt when the configuration changes."""

    def __init__(self) -> None:
        self._applied: snapshot.AppliedSnapshot | None = None
        self._entries: dict[bytes, _KeyEntry] = {}

    def authenticate(
        self, applied: snapshot.AppliedSnapshot, header: str | None
    ) -> snapshot.Workspace:
        """Return the workspace whose key an Authorization header carries.

        :raises Refused: when the key is missing or belongs to no workspace.
        """
        if applied is not self._applied:
            self._rebuild(applied)
        if header is None or not header.lower().startswith(SCHEME):
            raise _refused(
                refusals.Reason.MISSING_KEY,
                "Send the workspace's key as 'Authorization: Bearer <key>'.",
            )
        key = header[len(SCHEME) :].strip()
        # Bytes of a header that are not UTF-8 are decoded as surrogates.
        key_bytes = key.encode("utf-8", "surrogateescape")
        digest = hashlib.sha256(key_bytes).digest()
        name = self._find_workspace(digest)
        if name is None:
            raise _refused(
                refusals.Reason.WRONG_KEY, "The key belongs to no workspace."
            )
        return applied.snapshot.workspaces[name]

    def _find_workspace(self, digest: bytes) -> str | None:
        entry = self._entries.get(digest[:PREFIX_BYTES])
        if entry is None or not hmac.compare_digest(entry.digest, digest):
            return None
        return entry.workspace

    def _rebuild(self, applied: snapshot.AppliedSnapshot) -> None:
        self._entries = {
            bytes.fromhex(digest)[:PREFIX_BYTES]: _KeyEntry(
                bytes.fromhex(digest), workspace.name
            )
            for workspace in applied.snapshot.workspaces.values()
            for digest in workspace.key_digests
        }
        self._applied = applied


def _refused(reason: refusals.Reason, message: str) -> refusals.Refused:
    return refusals.Refused(
        refusals.Refusal(reason, refusals.RunState.NOT_RUN, 401, message)
    )
