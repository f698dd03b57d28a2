"""Compiles an accepted document into the snapshot that nodes serve from."""

import hashlib

import pydantic

from .. import exceptions
from . import document
from . import operations
from . import snapshot
from . import validation


class InvalidDocument(exceptions.LimpetwalkError):
    """The bytes of a configuration do not validate in this release."""

    @classmethod
    def from_validation_error(
        cls, exc: pydantic.ValidationError
    ) -> "InvalidDocument":
        """Return the exception that reports the errors of a validation."""
        first = validation.from_error(exc, document.Document)[0]
        return cls(
            f"got a document with {exc.error_count()} errors, expected one "
            f"of this release; the first: {first}"
        )


def digest_of(data: bytes) -> str:
    """Return the SHA-256 of a document's canonical bytes, in hexadecimal."""
    return hashlib.sha256(data).hexdigest()


def compile_document(data: bytes) -> snapshot.Snapshot:
    """Return the snapshot of a document with operators' changes applied.

    :param data: canonical bytes of the document.
    :raises InvalidDocument: when the bytes do not validate.
    """
    try:
        doc = document.Document.from_bytes(data)
    except pydantic.ValidationError as exc:
        raise InvalidDocument.from_validation_error(exc) from None
    doc = operations.effective(doc)
    return snapshot.Snapshot(
        digest=digest_of(data),
        models={name: _model(name, s) for name, s in doc.models.items()},
        servers={name: _server(name, s) for name, s in doc.servers.items()},
        cascades={name: _cascade(name, s) for name, s in doc.cascades.items()},
        services={name: _service(name, s) for name, s in doc.services.items()},
        workspaces={
            name: _workspace(name, s) for name, s in doc.workspaces.items()
        },
        rollouts={name: _rollout(name, s) for name, s in doc.rollouts.items()},
        zones={
            name: snapshot.Zone(name=name, **dict(s))
            for name, s in doc.zones.items()
        },
        session_keys=_session_keys(doc),
        tuning=snapshot.Tuning(**dict(doc.tuning)),
    )


def _model(name: str, section: document.ModelSection) -> snapshot.Model:
    return snapshot.Model(
        name=name,
        versions={
            version: version_section.state
            for version, version_section in section.versions.items()
        },
        default_version=section.default_version,
        input_price=section.input_price,
        output_price=section.output_price,
    )


def _server(name: str, section: document.ServerSection) -> snapshot.Server:
    return snapshot.Server(
        name=name,
        kind=section.kind,
        protocol=section.protocol,
        address=section.address,
        zone=section.zone,
        state=section.state,
        serves=frozenset(
            snapshot.ModelVersion(model, version)
            for model, versions in section.serves.items()
            for version in versions
        ),
        service=section.service or "",
        concurrency=section.concurrency,
        warmup=snapshot.WarmUp(
            section.warmup.concurrency, section.warmup.duration
        ),
        fencing=section.fencing,
    )


def _cascade(name: str, section: document.CascadeSection) -> snapshot.Cascade:
    return snapshot.Cascade(name=name, **dict(section))


def _service(name: str, section: document.ServiceSection) -> snapshot.Service:
    routes = tuple(
        snapshot.ServiceRoute(**dict(route)) for route in section.routes
    )
    return snapshot.Service(name=name, routes=routes, timeout=section.timeout)


def _workspace(
    name: str, section: document.WorkspaceSection
) -> snapshot.Workspace:
    return snapshot.Workspace(
        name=name,
        key_digests=section.key_digests,
        cascades=frozenset(section.cascades),
        models=frozenset(section.models),
        services=frozenset(section.services),
        rate=section.rate,
        concurrency=section.concurrency,
        priority=section.priority,
    )


def _rollout(name: str, section: document.RolloutSection) -> snapshot.Rollout:
    """Return a roll-out with the share that is in force.

    The document keeps the share of a paused or halted roll-out, so that it
    can resume with that share.
    """
    shares_in_force = {
        snapshot.RolloutState.RUNNING: section.share,
        snapshot.RolloutState.DONE: 1.0,
    }
    values = dict(section) | {"share": shares_in_force.get(section.state, 0.0)}
    return snapshot.Rollout(name=name, **values)


def _session_keys(
    doc: document.Document,
) -> tuple[snapshot.SessionKey, ...]:
    """Return the session keys, the one that signs new tokens first."""
    ordered = sorted(
        doc.session_keys.items(), key=lambda item: not item[1].primary
    )
    return tuple(
        snapshot.SessionKey(name, section.secret) for name, section in ordered
    )
