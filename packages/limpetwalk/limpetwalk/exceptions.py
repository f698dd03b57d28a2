"""Exceptions of the kernel, named after the failure."""


class LimpetwalkError(Exception):
    """Base of the exceptions raised by this project."""


class DuplicatePlugin(LimpetwalkError):
    """Two plug-ins were registered under the same kind and name."""

    def __init__(self, kind: str, name: str) -> None:
        super().__init__(f"{kind} {name!r} is registered already")


class UnknownPlugin(LimpetwalkError):
    """No plug-in is registered under the requested name."""

    def __init__(self, kind: str, name: str, known: list[str]) -> None:
        super().__init__(
            f"unknown {kind} {name!r}; expected one of {', '.join(known)}"
        )


class StoreError(LimpetwalkError):
    """An operation of the table service or the object store failed."""


class StoreUnavailable(StoreError):
    """The store did not apply the operation."""


class StoreOutcomeUnknown(StoreError):
    """The store may or may not have applied a write."""


class HistoryLost(StoreError):
    """The store no longer has the changes since a version."""


class SettingsError(LimpetwalkError):
    """The settings are invalid.

    :param findings: descriptions of the errors, each with its location.
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
