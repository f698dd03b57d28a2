"""Checks that each name is declared."""

from collections.abc import Iterable
from collections.abc import Iterator

from .. import registry
from . import checks
from . import findings


@registry.register(registry.Kind.CONFIG_CHECK, "names.servers")
def check_servers(subject: checks.Subject) -> Iterator[findings.Finding]:
    """Servers stand in declared zones and serve what is declared."""
    doc = subject.effective
    for name, server in doc.servers.items():
        path: findings.KeyPath = ("servers", name)
        yield from declared((*path, "zone"), server.zone, doc.zones)
        if server.service is not None:
            yield from declared(
                (*path, "service"), server.service, doc.services
            )
        for model, versions in server.serves.items():
            place = (*path, "serves", model)
            yield from declared(place, model, doc.models)
            if model in doc.models:
                for index, version in enumerate(versions):
                    yield from declared(
                        (*place, index), version, doc.models[model].versions
                    )


@registry.register(registry.Kind.CONFIG_CHECK, "names.models")
def check_models(subject: checks.Subject) -> Iterator[findings.Finding]:
    """The default version of a model is one of its versions."""
    for name, model in subject.effective.models.items():
        path = ("models", name, "default_version")
        yield from declared(path, model.default_version, model.versions)


@registry.register(registry.Kind.CONFIG_CHECK, "names.cascades")
def check_cascades(subject: checks.Subject) -> Iterator[findings.Finding]:
    """Cascades climb over declared models, each once."""
    doc = subject.effective
    for name, cascade in doc.cascades.items():
        for index, model in enumerate(cascade.models):
            path = ("cascades", name, "models", index)
            yield from declared(path, model, doc.models)
            if model in cascade.models[:index]:
                yield checks.error(
                    "cascade-repeats", path, repr(model), "each model once"
                )


@registry.register(registry.Kind.CONFIG_CHECK, "names.workspaces")
def check_workspaces(subject: checks.Subject) -> Iterator[findings.Finding]:
    """Workspaces name what is declared, and own their keys alone."""
    doc = subject.effective
    owners: dict[str, str] = {}
    for name, workspace in doc.workspaces.items():
        path = ("workspaces", name)
        yield from _each_declared(
            (*path, "cascades"), workspace.cascades, doc.cascades
        )
        yield from _each_declared(
            (*path, "models"), workspace.models, doc.models
        )
        yield from _each_declared(
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
    subject: checks.Subject,
) -> Iterator[findings.Finding]:
    """A workspace may use each model that its cascades need."""
    doc = subject.effective
    for name, workspace in doc.workspaces.items():
        for index, asked in enumerate(workspace.cascades):
            cascade = doc.cascades.get(asked)
            if cascade is None:
                continue
            for model in cascade.models:
                if model not in workspace.models:
                    yield checks.error(
                        "model-not-allowed",
                        ("workspaces", name, "cascades", index),
                        f"cascade {asked!r}, which needs model {model!r}",
                        "a cascade of models that the workspace may use",
                        f"add {model!r} to its models",
                    )


def declared(
    path: findings.KeyPath, name: str, known: Iterable[str]
) -> Iterator[findings.Finding]:
    """Yield a finding when a name is not among the declared ones."""
    if name not in known:
        yield checks.error(
            "undeclared", path, repr(name), checks.one_of(known)
        )


def _each_declared(
    path: findings.KeyPath, names: Iterable[str], known: Iterable[str]
) -> Iterator[findings.Finding]:
    for index, name in enumerate(names):
        yield from declared((*path, index), name, known)
