"""Checks that warn of entries that no request can reach."""

from collections.abc import Iterable
from collections.abc import Iterator

from .. import refusals
from .. import registry
from ..routing import service_routes
from . import checks
from . import document
from . import findings
from . import snapshot

# Index of the only model that the policies without escalation use.
_SINGLE_STEP = {"always_cheap": 0, "always_strong": -1}


@registry.register(registry.Kind.CONFIG_CHECK, "reach.routes")
def check_routes(config: checks.CheckInput) -> Iterator[findings.Finding]:
    """Warn of routes whose calls an earlier route matches, or none can."""
    for name, section in config.effective.services.items():
        routes = tuple(
            snapshot.ServiceRoute(**dict(route)) for route in section.routes
        )
        service = snapshot.Service(name, routes, section.timeout)
        for index, route in enumerate(routes):
            path: findings.KeyPath = ("services", name, "routes", index)
            matched = _matching_index(service, route)
            if matched is None:
                yield checks.warning(
                    "route-unmatched",
                    (*path, "path"),
                    f"{route.path!r}, which no call matches",
                    "segments that are not empty, '.' or '..' and have no "
                    "encoded slash, backslash or dot",
                )
            elif matched != index:
                yield checks.warning(
                    "route-shadowed",
                    path,
                    f"{route.method} {route.path!r}, all of whose calls "
                    f"match route {matched}",
                    "a route that an earlier one does not cover",
                    "put it before that route, or remove it",
                )


@registry.register(registry.Kind.CONFIG_CHECK, "reach.cascades")
def check_cascades(config: checks.CheckInput) -> Iterator[findings.Finding]:
    """Warn of models that the policy of their cascade never uses."""
    for name, cascade in config.effective.cascades.items():
        if cascade.policy not in _SINGLE_STEP:
            continue
        used = cascade.models[_SINGLE_STEP[cascade.policy]]
        for index, model in enumerate(cascade.models):
            if model != used:
                yield checks.warning(
                    "step-unreachable",
                    ("cascades", name, "models", index),
                    f"{model!r}, which policy {cascade.policy!r} never uses",
                    f"only {used!r}, or a policy that escalates",
                )


@registry.register(registry.Kind.CONFIG_CHECK, "reach.workspaces")
def check_workspaces(config: checks.CheckInput) -> Iterator[findings.Finding]:
    """Warn of cascades and services that no workspace may use."""
    doc = config.effective
    sections: dict[str, Iterable[str]] = {
        "cascades": doc.cascades,
        "services": doc.services,
    }
    for section, declared in sections.items():
        used = {
            name
            for workspace in doc.workspaces.values()
            for name in getattr(workspace, section)
        }
        for name in declared:
            if name not in used:
                yield checks.warning(
                    "no-workspace",
                    (section, name),
                    "an entry that no workspace may use",
                    f"a workspace that has it in its {section}",
                )


@registry.register(registry.Kind.CONFIG_CHECK, "reach.models")
def check_models(config: checks.CheckInput) -> Iterator[findings.Finding]:
    """Warn of models that no cascade uses, for any or for one workspace."""
    doc = config.effective
    used = {
        model for cascade in doc.cascades.values() for model in cascade.models
    }
    for name in doc.models:
        if name not in used:
            yield checks.warning(
                "no-cascade",
                ("models", name),
                "a model that no cascade uses",
                "a cascade that has it in its models",
            )
    for workspace_name, workspace in doc.workspaces.items():
        requested = {
            model
            for cascade in workspace.cascades
            if cascade in doc.cascades
            for model in doc.cascades[cascade].models
        }
        for index, name in enumerate(workspace.models):
            if name in used and name not in requested:
                yield checks.warning(
                    "model-unused",
                    ("workspaces", workspace_name, "models", index),
                    f"{name!r}, which none of its cascades uses",
                    "a model of its cascades",
                    "add a cascade that uses it, or remove it",
                )


@registry.register(registry.Kind.CONFIG_CHECK, "reach.versions")
def check_versions(config: checks.CheckInput) -> Iterator[findings.Finding]:
    """Warn of live versions without servers and of servers without any."""
    doc = config.effective
    served = {
        (model, version)
        for server in doc.servers.values()
        for model, versions in server.serves.items()
        for version in versions
    }
    for name, model in doc.models.items():
        for version, section in model.versions.items():
            if (
                section.state is snapshot.VersionState.LIVE
                and version != model.default_version
                and (name, version) not in served
            ):
                yield checks.warning(
                    "version-unserved",
                    ("models", name, "versions", version),
                    "a live version that no server serves",
                    "a server for it, or state: withdrawn",
                )
    for name, server in doc.servers.items():
        states = list(_served_states(doc, server))
        if states and snapshot.VersionState.LIVE not in states:
            yield checks.warning(
                "server-unused",
                ("servers", name, "serves"),
                "only withdrawn versions",
                "a version that is live",
                "remove the server, or restore a version",
            )


@registry.register(registry.Kind.CONFIG_CHECK, "reach.rollouts")
def check_rollouts(config: checks.CheckInput) -> Iterator[findings.Finding]:
    """Warn of running roll-outs whose candidate receives no sessions."""
    for name, rollout in config.effective.rollouts.items():
        is_running = rollout.state is snapshot.RolloutState.RUNNING
        if is_running and not rollout.share:
            yield checks.warning(
                "no-share",
                ("rollouts", name, "share"),
                "0 in a running roll-out",
                "a share above 0, or state: paused",
            )


def _matching_index(
    service: snapshot.Service, route: snapshot.ServiceRoute
) -> int | None:
    """Return the index of the route that gets the calls of a route.

    The path of the route itself stands for its calls: its wildcards are
    matched by those of other routes only.
    """
    path = "/" + route.path.strip("/")
    try:
        matched = service_routes.match_route(service, route.method, path)
    except refusals.Refused:
        return None
    # Equal routes are told apart by identity.
    return next(
        index
        for index, candidate in enumerate(service.routes)
        if candidate is matched
    )


def _served_states(
    doc: document.Document, server: document.ServerSection
) -> Iterator[snapshot.VersionState]:
    """Yield the states of the declared versions that a server serves."""
    for name, versions in server.serves.items():
        model = doc.models.get(name)
        for version in versions:
            if model is not None and version in model.versions:
                yield model.versions[version].state
