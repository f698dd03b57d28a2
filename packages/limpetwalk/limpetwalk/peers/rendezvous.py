"""Rendezvous hashing: nodes choose the same owner without coordination."""

from collections.abc import Iterable

import xxhash


def _weight(subject: str, name: str) -> tuple[int, str]:
    hashed = f"{subject}\0{name}"
    return xxhash.xxh64_intdigest(hashed.encode()), name


def rank(subject: str, names: Iterable[str]) -> list[str]:
    """Return names in descending order of their weight for a subject.

    When a name is removed, only the subjects that it was first for get
    another first name.

    :param subject: what an owner is to be chosen for.
    :param names: names of the candidates.
    """
    return sorted(
        names,
        key=lambda name: _weight(subject, name),
        reverse=True,
    )


def owner(subject: str, names: Iterable[str]) -> str | None:
    """Return the name with the greatest weight, or None without names."""
    return max(
        names,
        key=lambda name: _weight(subject, name),
        default=None,
    )
