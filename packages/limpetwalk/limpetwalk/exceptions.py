"""Exceptions of the kernel, named for what went wrong."""


class LimpetwalkError(Exception):
    """Base of the exceptions raised by this project."""


class DuplicatePlugin(LimpetwalkError):
    """Two plug-ins asked for one name."""

    def __init__(self, kind: str, name: str) -> None:
        super().__init__(f"{kind} {name!r} is registered already")


class UnknownPlugin(LimpetwalkError):
    """No plug-in has the name that was asked for."""

    def __init__(self, kind: str, name: str, known: list[str]) -> None:
        super().__init__(
            f"unknown {kind} {name!r}; expected one of {', '.join(known)}"
        )


class StoreError(LimpetwalkError):
    """The platform's table service or object store gave no answer."""


class StoreUnavailable(StoreError):
    """The store did not apply the operation."""


class StoreOutcomeUnknown(StoreError):
    """The store may or may not have applied a write."""


class HistoryLost(StoreError):
    """The store no longer knows what changed since a version."""


class SettingsError(LimpetwalkError):
    """Settings can't be used.

    :param findings: what is wrong, each with its place.
    """

    def __init__(self, findings: list[str]) -> None:
        super().__init__("; ".join(findings))
        self.findings = findings


class PeerUnavailable(LimpetwalkError):
    """A peer did not answer within the timeout."""


class RatingUnavailable(LimpetwalkError):
    """The rating service gave no score within the timeout."""


class InstanceListUnavailable(LimpetwalkError):
    """The platform's instance list could not be read."""
