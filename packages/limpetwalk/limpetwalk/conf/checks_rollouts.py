"""Checks of roll-outs and of the versions that receive new work."""

from collections.abc import Iterator

from .. import registry
from . import checks
from . import checks_names
from . import document
from . import findings
from . import snapshot

_ACTIVE = (snapshot.RolloutState.RUNNING, snapshot.RolloutState.PAUSED)
# Allows for shares such as 0.1 that a float can't represent exactly.
_SUM_TOLERANCE = 1e-9


@registry.register(registry.Kind.CONFIG_CHECK, "rollouts.names")
def check_names(config: checks.CheckInput) -> Iterator[findings.Finding]:
    """Check that roll-outs name a declared model and two of its versions."""
    doc = config.effective
    for name, rollout in doc.rollouts.items():
        path: findings.KeyPath = ("rollouts", name)
        model = doc.models.get(rollout.model)
        yield from checks_names.check_declared(
            (*path, "model"), rollout.model, doc.models
        )
        if model is not None:
            for key in ("base", "candidate"):
                yield from checks_names.check_declared(
                    (*path, key), getattr(rollout, key), model.versions
                )
        if rollout.base == rollout.candidate:
            yield checks.error(
                "same-version",
                (*path, "candidate"),
                repr(rollout.candidate),
                "another version than the base",
            )


@registry.register(registry.Kind.CONFIG_CHECK, "rollouts.shares")
def check_shares(config: checks.CheckInput) -> Iterator[findings.Finding]:
    """Check that shares of a model's active roll-outs sum to at most 1."""
    for model, active in _active_by_model(config.effective).items():
        total = 0.0
        for name, rollout in active:
            total += rollout.share
            if total > 1 + _SUM_TOLERANCE:
                yield checks.error(
                    "shares-above-one",
                    ("rollouts", name, "share"),
                    f"{rollout.share:g}, in all {total:g} for {model!r}",
                    "shares of one model's roll-outs of at most 1 in all",
                )


@registry.register(registry.Kind.CONFIG_CHECK, "rollouts.running")
def check_running(config: checks.CheckInput) -> Iterator[findings.Finding]:
    """Check that at most one roll-out of a model is running.

    With two, the evidence of one would be mixed with that of the other.
    """
    for model, active in _active_by_model(config.effective).items():
        running = [
            name
            for name, rollout in active
            if rollout.state is snapshot.RolloutState.RUNNING
        ]
        for name in running[1:]:
            yield checks.error(
                "two-running",
                ("rollouts", name, "state"),
                f"running, as {running[0]!r} of model {model!r} is",
                "one running roll-out of a model",
            )


@registry.register(registry.Kind.CONFIG_CHECK, "rollouts.base")
def check_base(config: checks.CheckInput) -> Iterator[findings.Finding]:
    """Check that the base of active roll-outs is the default version."""
    doc = config.effective
    for name, rollout in doc.rollouts.items():
        model = doc.models.get(rollout.model)
        if model is None or rollout.state not in _ACTIVE:
            continue
        if rollout.base != model.default_version:
            yield checks.error(
                "base-not-default",
                ("rollouts", name, "base"),
                repr(rollout.base),
                f"the default version {model.default_version!r}",
            )


@registry.register(registry.Kind.CONFIG_CHECK, "rollouts.done")
def check_done(config: checks.CheckInput) -> Iterator[findings.Finding]:
    """Check that at most one roll-out of a model is done.

    With two, it would be unclear whose candidate is the default version.
    """
    first_done: dict[str, str] = {}
    for name, rollout in sorted(config.effective.rollouts.items()):
        if rollout.state is not snapshot.RolloutState.DONE:
            continue
        first_name = first_done.setdefault(rollout.model, name)
        if first_name != name:
            yield checks.error(
                "two-done",
                ("rollouts", name, "state"),
                f"done, as {first_name!r} of the same model is",
                "one finished roll-out of a model",
                f"make the result of {first_name!r} the default version in "
                f"the files and remove that roll-out",
            )


@registry.register(registry.Kind.CONFIG_CHECK, "versions.withdrawn")
def check_withdrawn(config: checks.CheckInput) -> Iterator[findings.Finding]:
    """Check that no withdrawn version receives new sessions."""
    doc = config.effective
    for name, model in doc.models.items():
        if _is_withdrawn(doc, name, model.default_version):
            yield checks.error(
                "withdrawn-routed",
                ("models", name, "default_version"),
                f"withdrawn version {model.default_version!r}",
                "a version that is live",
                "choose another default version with it, by --default",
            )
    for name, rollout in doc.rollouts.items():
        if rollout.state not in _ACTIVE:
            continue
        for key in ("base", "candidate"):
            version = getattr(rollout, key)
            if _is_withdrawn(doc, rollout.model, version):
                yield checks.error(
                    "withdrawn-routed",
                    ("rollouts", name, key),
                    f"withdrawn version {version!r}",
                    "a version that is live",
                    "halt the roll-out",
                )


def _is_withdrawn(doc: document.Document, model: str, version: str) -> bool:
    model_section = doc.models.get(model)
    section = model_section.versions.get(version) if model_section else None
    return (
        section is not None
        and section.state is snapshot.VersionState.WITHDRAWN
    )


def _active_by_model(
    doc: document.Document,
) -> dict[str, list[tuple[str, document.RolloutSection]]]:
    """Return the active roll-outs with their names by their model."""
    active: dict[str, list[tuple[str, document.RolloutSection]]] = {}
    for name, rollout in sorted(doc.rollouts.items()):
        if rollout.state in _ACTIVE:
            active.setdefault(rollout.model, []).append((name, rollout))
    return active
