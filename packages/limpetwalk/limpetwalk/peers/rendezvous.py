"""Rendezvous hashing: every node picks the same owner without agreement."""

from collections.abc import Iterable

import xxhash


def _weight(subject: str, name: str) -> tuple[int, str]:
    text = f"{subject}\0{name}"
    return xxhash.xxh64_intdigest(text.encode()), name


def rank(subject: str, names: Iterable[str]) -> list[str]:
    """Return names ordered by their weight for a subject, heaviest first.

    The loss of a name moves only the subjects that it came first for.

    :param subject: what an owner is wanted for.
    :param names: candidates.
    """
    return sorted(
        names,
        key=lambda name: _weight(subject, name),
        reverse=True,
    )


def owner(subject: str, names: Iterable[str]) -> str | None:
    """Return the heaviest name for a subject, or None without names."""
    return max(
        names,
        key=lambda name: _weight(subject, name),
        default=None,
    )
