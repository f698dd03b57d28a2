"""Choice of a version for a new session or a request without one."""

import xxhash

from ..conf import snapshot

_HASH_RANGE = 2**64


def choose_version(
    cfg: snapshot.Snapshot, model: snapshot.Model, subject: str
) -> str:
    """Return the version that a new session or request starts on.

    All nodes make the same choice for the same subject, and a subject on the
    candidate stays there when the share of the roll-out grows.

    :param subject: session id, or request id without a session.
    """
    rollout = running_rollout(cfg, model.name)
    if rollout is None:
        return model.default_version
    if _is_in_share(rollout, subject) and _is_live(model, rollout.candidate):
        return rollout.candidate
    if _is_live(model, rollout.base):
        return rollout.base
    return model.default_version


def running_rollout(
    cfg: snapshot.Snapshot, model: str
) -> snapshot.Rollout | None:
    """Return the running roll-out of a model, or None."""
    for rollout in cfg.rollouts.values():
        running = rollout.state is snapshot.RolloutState.RUNNING
        if running and rollout.model == model:
            return rollout
    return None


def _is_in_share(rollout: snapshot.Rollout, subject: str) -> bool:
    hash_value = xxhash.xxh3_64_intdigest(f"{rollout.name}:{subject}".encode())
    return hash_value / _HASH_RANGE < rollout.share


def _is_live(model: snapshot.Model, version: str) -> bool:
    return model.versions.get(version) is snapshot.VersionState.LIVE
