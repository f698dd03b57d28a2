"""Checks that the names that sections refer to are declared."""

from collections.abc import Iterable
from collections.abc import Iterator

from .. import registry
from . import checks
from . import findings


@registry.register(registry.Kind.CONFIG_CHECK, "names.servers")
def check_servers(config: checks.CheckInput) -> Iterator[findings.Finding]:
    """Check that zones, services and versions of servers are declared."""
    doc = config.effective
    for name, server in doc.servers.items():
        path: findings.KeyPath = ("servers", name)
        yield from check_declared((*path, "zone"), server.zone, doc.zones)
        if server.service is not None:
            yield from check_declared(
                (*path, "service"), server.service, doc.services
            )
        for model, versions in server.serves.items():
            model_path = (*path, "serves", model)
            yield from check_declared(model_path, model, doc.models)
            if model in doc.models:
                for index, version in enumerate(versions):
                    yield from check_declared(
                        (*model_path, index),
                        version,
                        doc.models[model].versions,
                    )


@registry.register(registry.Kind.CONFIG_CHECK, "names.models")
def check_models(config: checks.CheckInput) -> Iterator[findings.Finding]:
    """Check that the default version of a model is one of its versions."""
    for name, model in config.effective.models.items():
        path = ("models", name, "default_version")
        yield from check_declared(path, model.default_version, model.versions)


@registry.register(registry.Kind.CONFIG_CHECK, "names.cascades")
def check_cascades(config: checks.CheckInput) -> Iterator[findings.Finding]:
    """Check that cascades list declared models, each once."""
    doc = config.effective
    for name, cascade in doc.cascades.items():
        for index, model in enumerate(cascade.models):
            path = ("cascades", name, "models", index)
            yield from check_declared(path, model, doc.models)
            if model in cascade.models[:index]:
                yield checks.error(
                    "cascade-repeats", path, repr(model), "each model once"
                )


@registry.register(registry.Kind.CONFIG_CHECK, "names.workspaces")
def check_workspaces(config: checks.CheckInput) -> Iterator[findings.Finding]:
    """Check that workspaces use declared names and share no API keys."""
    doc = config.effective
    owners: dict[str, str] = {}
    for name, workspace in doc.workspaces.items():
        path = ("workspaces", name)
        yield from _check_all_declared(
            (*path, "cascades"), workspace.cascades, doc.cascades
        )
        yield from _check_all_declared(
            (*path, "models"), workspace.models, doc.models
        )
        yield from _check_all_declared(
            (*path, "services"), workspace.services, doc.services
        )
        for index, digest in enumerate(workspace.key_digests):
            owner = owners.setdefault(digest, name)
            if owner != name:
                yield checks.error(
                    "key-shared",
                    (*path, "key_digests", index),
                    f"a key that workspace {owner!r} has too",
                    "a key of this workspace alone",
                )


@registry.register(registry.Kind.CONFIG_CHECK, "names.workspace_models")
def check_workspace_models(
    config: checks.CheckInput,
) -> Iterator[findings.Finding]:
    """Check that a workspace may use each model that its cascades need."""
    doc = config.effective
    for name, workspace in doc.workspaces.items():
        for index, cascade_name in enumerate(workspace.cascades):
            cascade = doc.cascades.get(cascade_name)
            if cascade is None:
                continue
            for model in cascade.models:
                if model not in workspace.models:
                    yield checks.error(
                        "model-not-allowed",
                        ("workspaces", name, "cascades", index),
                        f"cascade {cascade_name!r}, which needs model "
                        f"{model!r}",
                        "a cascade of models that the workspace may use",
                        f"add {model!r} to its models",
                    )


def check_declared(
    path: findings.KeyPath, name: str, declared: Iterable[str]
) -> Iterator[findings.Finding]:
    """Yield a finding when a name is not among the declared ones."""
    if name not in declared:
        yield checks.error(
            "undeclared", path, repr(name), checks.one_of(declared)
        )


def _check_all_declared(
    path: findings.KeyPath, names: Iterable[str], declared: Iterable[str]
) -> Iterator[findings.Finding]:
    for index, name in enumerate(names):
        yield from check_declared((*path, index), name, declared)
