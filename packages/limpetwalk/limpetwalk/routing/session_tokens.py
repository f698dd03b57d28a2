"""Session tokens, which contain the versions that a session is pinned to.

A token is ``<key name>.<payload>.<MAC>``. Any node with the configuration can
verify it, so opening a session stores nothing.
"""

import base64
import binascii
from collections.abc import Sequence
import hashlib
import hmac

import pydantic

from .. import refusals
from ..conf import snapshot

TOKEN_LIMIT_BYTES = 6144


class Session(pydantic.BaseModel):
    """Session as its token contains it.

    :param id: identifier of the session.
    :param workspace: workspace that opened it.
    :param generation: configuration generation when it was opened.
    :param versions: version of each model, chosen when it was opened.
    """

    model_config = pydantic.ConfigDict(frozen=True, extra="forbid")

    id: str
    workspace: str
    generation: int
    versions: dict[str, str]

    def version(self, model: str) -> str:
        """Return the version of a model that the session is pinned to.

        :raises Refused: when the session was opened before the workspace
            could use the model.
        """
        version = self.versions.get(model)
        if version is None:
            raise _unknown_session(
                f"The session pins no version of model {model}, which came"
                " later. Open a new session with POST /v1/sessions."
            )
        return version


def issue_token(keys: Sequence[snapshot.SessionKey], session: Session) -> str:
    """Return the token of a session, signed with the first key.

    :raises Refused: when no key is configured.
    """
    if not keys:
        raise refusals.Refused(
            refusals.Refusal(
                refusals.Reason.NOT_READY,
                refusals.RunState.NOT_RUN,
                503,
                "Sessions can't be opened: no session key is configured.",
            )
        )
    payload = _encode(session.model_dump_json().encode())
    signed = f"{keys[0].name}.{payload}"
    return f"{signed}.{_encode(_mac(keys[0], signed))}"


def verify_token(
    keys: Sequence[snapshot.SessionKey], token: str, workspace: str
) -> Session:
    """Return the session of a token.

    :param workspace: workspace of the caller, which must have opened it.
    :raises Refused: when the token is not authentic, its key is no longer
        configured, or another workspace opened the session.
    """
    if len(token) > TOKEN_LIMIT_BYTES:
        raise _unknown_session("The session token is too long.")
    signed, _, mac = token.rpartition(".")
    name, _, payload = signed.rpartition(".")
    key = next((item for item in keys if item.name == name), None)
    if key is None or not _is_authentic(key, signed, mac):
        raise _unknown_session(
            "The session token is not one of this router's."
        )
    try:
        session = Session.model_validate_json(_decode(payload))
    except ValueError:
        raise _unknown_session("The session token can't be read.") from None
    if session.workspace != workspace:
        raise _unknown_session("The session belongs to another workspace.")
    return session


def _is_authentic(key: snapshot.SessionKey, signed: str, mac: str) -> bool:
    try:
        return hmac.compare_digest(_decode(mac), _mac(key, signed))
    except ValueError:
        return False


def _mac(key: snapshot.SessionKey, signed: str) -> bytes:
    secret = key.secret.encode()
    return hmac.digest(secret, signed.encode(), hashlib.sha256)


def _encode(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).decode().rstrip("=")


def _decode(encoded: str) -> bytes:
    padded = encoded + "=" * (-len(encoded) % 4)
    try:
        return base64.b64decode(padded, altchars=b"-_", validate=True)
    except binascii.Error as exc:
        raise ValueError(str(exc)) from exc


def _unknown_session(message: str) -> refusals.Refused:
    return refusals.Refused(
        refusals.Refusal(
            refusals.Reason.UNKNOWN_SESSION,
            refusals.RunState.NOT_RUN,
            400,
            message,
        )
    )
