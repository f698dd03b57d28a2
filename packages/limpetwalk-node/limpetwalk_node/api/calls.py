"""Authenticated request of a caller and its parsed headers."""

from dataclasses import dataclass

from aiohttp import web

from limpetwalk import refusals
from limpetwalk.conf import snapshot
from limpetwalk.routing import session_tokens

from . import bodies

SESSION_HEADER = "X-Session"
IDEMPOTENCY_HEADER = "Idempotency-Key"
CLASS_HEADER = "X-Request-Class"
TIMEOUT_HEADER = "X-Request-Timeout"
IDEMPOTENCY_KEY_LIMIT = 255


@dataclass(slots=True)
class Call:
    """Authenticated and admitted request.

    :param req: HTTP request.
    :param request_id: identifier assigned by this node.
    :param applied: configuration in force when the request arrived.
    :param workspace: workspace of the caller.
    :param incoming: its body.
    """

    req: web.BaseRequest
    request_id: str
    applied: snapshot.AppliedSnapshot
    workspace: snapshot.Workspace
    incoming: bodies.IncomingBody

    async def body(self) -> bytes:
        """Return the complete body.

        :raises Refused: when it is too large, incomplete or has no room.
        """
        limit_bytes = self.applied.snapshot.tuning.body_limit_bytes
        return await self.incoming.read(self.req, limit_bytes)

    def session(self) -> session_tokens.Session | None:
        """Return the session that the request belongs to, if any.

        :raises Refused: when the token is not valid for this workspace.
        """
        token = self.req.headers.get(SESSION_HEADER)
        if token is None:
            return None
        keys = self.applied.snapshot.session_keys
        return session_tokens.verify_token(keys, token, self.workspace.name)

    def idempotency_key(self) -> str | None:
        """Return the caller's idempotency key, if any.

        :raises Refused: when it is empty, too long or not printable.
        """
        key = self.req.headers.get(IDEMPOTENCY_HEADER)
        if key is None:
            return None
        usable = key.isascii() and key.isprintable() and key
        if not usable or len(key) > IDEMPOTENCY_KEY_LIMIT:
            raise _bad_header(
                f"{IDEMPOTENCY_HEADER} takes 1 to {IDEMPOTENCY_KEY_LIMIT}"
                " printable ASCII characters."
            )
        return key

    def timeout(self, max_timeout: float) -> float:
        """Return the timeout of the request in seconds.

        :param max_timeout: upper bound, and the timeout of a request that
            sets none.
        :raises Refused: when the header is not a positive number.
        """
        header = self.req.headers.get(TIMEOUT_HEADER)
        if header is None:
            return max_timeout
        try:
            seconds = float(header)
        except ValueError:
            seconds = 0.0
        if not seconds > 0:
            raise _bad_header(f"{TIMEOUT_HEADER} takes seconds above 0.")
        return min(seconds, max_timeout)


def _bad_header(message: str) -> refusals.Refused:
    return refusals.Refused(
        refusals.Refusal(
            refusals.Reason.MALFORMED_BODY,
            refusals.RunState.NOT_RUN,
            400,
            message,
        )
    )
