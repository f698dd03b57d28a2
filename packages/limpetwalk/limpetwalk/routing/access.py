"""Access checks of workspaces against the configuration in force.

Access is checked when a request arrives and again right before each attempt,
so that a denial or withdrawal in between takes effect.
"""

from .. import refusals
from ..conf import snapshot


def _denied(
    reason: refusals.Reason, status: int, message: str
) -> refusals.Refused:
    return refusals.Refused(
        refusals.Refusal(reason, refusals.RunState.NOT_RUN, status, message)
    )


def get_workspace(cfg: snapshot.Snapshot, name: str) -> snapshot.Workspace:
    """Return a workspace.

    :raises Refused: when the configuration no longer declares it.
    """
    workspace = cfg.workspaces.get(name)
    if workspace is None:
        raise _denied(
            refusals.Reason.WRONG_KEY,
            401,
            "The key belongs to no workspace that is configured now.",
        )
    return workspace


def get_cascade(
    cfg: snapshot.Snapshot, workspace: snapshot.Workspace, name: str
) -> snapshot.Cascade:
    """Return the cascade that a workspace requested by its public name.

    :raises Refused: when it does not exist or the workspace may not use it.
    """
    cascade = cfg.cascades.get(name)
    if cascade is None:
        raise _denied(
            refusals.Reason.UNKNOWN_MODEL,
            404,
            f"No model is named {name!r}; GET /v1/models lists them.",
        )
    if name not in workspace.cascades:
        raise _denied(
            refusals.Reason.MODEL_NOT_ALLOWED,
            403,
            f"Workspace {workspace.name} may not use model {name}.",
        )
    return cascade


def allowed_models(
    workspace: snapshot.Workspace, cascade: snapshot.Cascade
) -> tuple[str, ...]:
    """Return the models of a cascade that may run a workspace's requests.

    :returns: models from the cheapest to the strongest, at least one.
    :raises Refused: when the workspace may use none of them.
    """
    models = tuple(name for name in cascade.models if name in workspace.models)
    if not models:
        raise _denied(
            refusals.Reason.MODEL_NOT_ALLOWED,
            403,
            f"Workspace {workspace.name} may use none of the models behind"
            f" {cascade.name}.",
        )
    return models


def check_version(
    cfg: snapshot.Snapshot,
    workspace_name: str,
    cascade_name: str,
    target: snapshot.ModelVersion,
) -> None:
    """Check that a version may run a request of a workspace now.

    :raises Refused: when the workspace may not use the model any more or
        the version is withdrawn.
    """
    workspace = get_workspace(cfg, workspace_name)
    cascade = get_cascade(cfg, workspace, cascade_name)
    if target.model not in allowed_models(workspace, cascade):
        raise _denied(
            refusals.Reason.MODEL_NOT_ALLOWED,
            403,
            f"Workspace {workspace.name} may not use model {target.model}.",
        )
    check_live(cfg, target)


def check_live(cfg: snapshot.Snapshot, target: snapshot.ModelVersion) -> None:
    """Check that a version may receive new work.

    :raises Refused: when the version is unknown or withdrawn.
    """
    model = cfg.models.get(target.model)
    state = model.versions.get(target.version) if model else None
    if state is not snapshot.VersionState.LIVE:
        raise _denied(
            refusals.Reason.VERSION_WITHDRAWN,
            409,
            f"Version {target.version} of model {target.model} is withdrawn."
            " Open a new session with POST /v1/sessions and send its token"
            " in X-Session.",
        )


def get_service(
    cfg: snapshot.Snapshot, workspace: snapshot.Workspace, name: str
) -> snapshot.Service:
    """Return a plain service that a workspace requested.

    :raises Refused: when it does not exist or the workspace may not call it.
    """
    service = cfg.services.get(name)
    if service is None:
        raise _denied(
            refusals.Reason.UNKNOWN_SERVICE,
            404,
            f"No service is named {name!r}.",
        )
    if name not in workspace.services:
        raise _denied(
            refusals.Reason.SERVICE_NOT_ALLOWED,
            403,
            f"Workspace {workspace.name} may not call service {name}.",
        )
    return service


def check_service(
    cfg: snapshot.Snapshot, workspace_name: str, name: str
) -> None:
    """Check that a workspace may call a plain service now.

    :raises Refused: when it may not.
    """
    get_service(cfg, get_workspace(cfg, workspace_name), name)
