"""Choice of a version for a new session or a request without one."""

import xxhash

from ..conf import snapshot

_HASH_RANGE = 2**64


def choose_version(
    cfg: snapshot.Snapshot, model: snapshot.Model, subject: str
) -> str:
    """Return the version that a new session or request starts on.

    Each node makes the same choice for the same subject, and a subject that
    a share takes in stays in when the share grows.

    :param subject: session id, or request id without a session.
    """
    rollout = running_rollout(cfg, model.name)
    if rollout is None:
        return model.default_version
    if _takes_in(rollout, subject) and _is_live(model, rollout.candidate):
        return rollout.candidate
    if _is_live(model, rollout.base):
        return rollout.base
    return model.default_version


def running_rollout(
    cfg: snapshot.Snapshot, model: str
) -> snapshot.Rollout | None:
    """Return the running roll-out of a model, if there is one."""
    for rollout in cfg.rollouts.values():
        running = rollout.state is snapshot.RolloutState.RUNNING
        if running and rollout.model == model:
            return rollout
    return None


def _takes_in(rollout: snapshot.Rollout, subject: str) -> bool:
    point = xxhash.xxh3_64_intdigest(f"{rollout.name}:{subject}".encode())
    return point / _HASH_RANGE < rollout.share


def _is_live(model: snapshot.Model, version: str) -> bool:
    return model.versions.get(version) is snapshot.VersionState.LIVE
