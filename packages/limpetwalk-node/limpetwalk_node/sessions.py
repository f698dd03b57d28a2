"""Endpoints ``POST /v1/sessions`` and ``GET /v1/models``."""

import random

from aiohttp import web

from limpetwalk.conf import snapshot
from limpetwalk.routing import access
from limpetwalk.routing import rollout_share
from limpetwalk.routing import session_tokens

from .api import calls
from .api import request_models

SESSION_ID_BITS = 96


class SessionEndpoint:
    """Endpoint that opens a session, which fixes the version of each model.

    :param rng: source of session identifiers.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    async def __call__(self, call: calls.Call) -> web.StreamResponse:
        """Open a session for one public model or for all models.

        :raises Refused: when the workspace may not use the model.
        """
        body = await call.body()
        data = request_models.parse_json(body) if body.strip() else {}
        session_request = request_models.parse(
            request_models.SessionRequest, data
        )
        session_id = f"{self._rng.getrandbits(SESSION_ID_BITS):024x}"
        session = open_session(call, session_id, session_request.model)
        cfg = call.applied.snapshot
        answer_body = {
            "id": session.id,
            "object": "session",
            "token": session_tokens.issue_token(cfg.session_keys, session),
            "versions": session.versions,
            "generation": session.generation,
        }
        return web.json_response(answer_body, status=201)


def open_session(
    call: calls.Call,
    session_id: str,
    name: str | None,
    answered: snapshot.ModelVersion | None = None,
) -> session_tokens.Session:
    """Return a new session of the caller's workspace.

    :param name: public model name, or None for all models.
    :param answered: version that has already answered and that the session
        keeps.
    :raises Refused: when the workspace may not use the model.
    """
    cfg = call.applied.snapshot
    versions = {
        model: rollout_share.choose_version(cfg, cfg.models[model], session_id)
        for model in _models(call, name)
    }
    if answered is not None:
        versions[answered.model] = answered.version
    return session_tokens.Session(
        id=session_id,
        workspace=call.workspace.name,
        generation=call.applied.generation,
        versions=versions,
    )


def _models(call: calls.Call, name: str | None) -> list[str]:
    cfg, workspace = call.applied.snapshot, call.workspace
    if name is None:
        return sorted(workspace.models)
    cascade = access.get_cascade(cfg, workspace, name)
    return list(access.allowed_models(workspace, cascade))


async def list_models(call: calls.Call) -> web.StreamResponse:
    """List the public model names that the workspace may request."""
    cfg = call.applied.snapshot
    data = [
        {"id": name, "object": "model", "created": 0, "owned_by": "limpetwalk"}
        for name in sorted(call.workspace.cascades)
        if _is_usable(cfg, call.workspace, name)
    ]
    return web.json_response({"object": "list", "data": data})


def _is_usable(
    cfg: snapshot.Snapshot, workspace: snapshot.Workspace, name: str
) -> bool:
    cascade = cfg.cascades.get(name)
    if cascade is None:
        return False
    return any(model in workspace.models for model in cascade.models)
