"""Checks of roll-outs and of versions that receive new work."""

from collections.abc import Iterator

from .. import registry
from . import checks
from . import checks_names
from . import document
from . import findings
from . import snapshot

_ACTIVE = (snapshot.RolloutState.RUNNING, snapshot.RolloutState.PAUSED)
# Allows for shares such as 0.1 that floats can't hold exactly.
_SUM_TOLERANCE = 1e-9


@registry.register(registry.Kind.CONFIG_CHECK, "rollouts.names")
def check_names(subject: checks.Subject) -> Iterator[findings.Finding]:
    """Roll-outs name a declared model, and its versions."""
    doc = subject.effective
    for name, rollout in doc.rollouts.items():
        path: findings.KeyPath = ("rollouts", name)
        model = doc.models.get(rollout.model)
        yield from checks_names.declared(
            (*path, "model"), rollout.model, doc.models
        )
        if model is not None:
            for key in ("base", "candidate"):
                yield from checks_names.declared(
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
def check_shares(subject: checks.Subject) -> Iterator[findings.Finding]:
    """Active roll-outs of a model leave no more than all to share out."""
    for model, active in _active_by_model(subject.effective).items():
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
def check_running(subject: checks.Subject) -> Iterator[findings.Finding]:
    """One roll-out of a model runs at a time, so evidence is not mixed."""
    for model, active in _active_by_model(subject.effective).items():
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
def check_base(subject: checks.Subject) -> Iterator[findings.Finding]:
    """An active roll-out starts from the version in force."""
    doc = subject.effective
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
def check_done(subject: checks.Subject) -> Iterator[findings.Finding]:
    """At most one roll-out of a model is done, so its result is plain."""
    first: dict[str, str] = {}
    for name, rollout in sorted(subject.effective.rollouts.items()):
        if rollout.state is not snapshot.RolloutState.DONE:
            continue
        held = first.setdefault(rollout.model, name)
        if held != name:
            yield checks.error(
                "two-done",
                ("rollouts", name, "state"),
                f"done, as {held!r} of the same model is",
                "one finished roll-out of a model",
                f"make the result of {held!r} the default version in the "
                f"files and remove that roll-out",
            )


@registry.register(registry.Kind.CONFIG_CHECK, "versions.withdrawn")
def check_withdrawn(subject: checks.Subject) -> Iterator[findings.Finding]:
    """No withdrawn version is routed to."""
    doc = subject.effective
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
    section = doc.models.get(model)
    held = section.versions.get(version) if section else None
    return held is not None and held.state is snapshot.VersionState.WITHDRAWN


def _active_by_model(
    doc: document.Document,
) -> dict[str, list[tuple[str, document.RolloutSection]]]:
    active: dict[str, list[tuple[str, document.RolloutSection]]] = {}
    for name, rollout in sorted(doc.rollouts.items()):
        if rollout.state in _ACTIVE:
            active.setdefault(rollout.model, []).append((name, rollout))
    return active
