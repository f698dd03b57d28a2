"""Checks of backend servers and session keys."""

from collections.abc import Iterator

from .. import registry
from . import checks
from . import document
from . import findings
from . import snapshot


@registry.register(registry.Kind.CONFIG_CHECK, "servers.addresses")
def check_addresses(config: checks.CheckInput) -> Iterator[findings.Finding]:
    """Check that no two servers have the same address."""
    owners: dict[str, str] = {}
    for name, server in sorted(config.effective.servers.items()):
        owner = owners.setdefault(server.address, name)
        if owner != name:
            yield checks.error(
                "duplicate-address",
                ("servers", name, "address"),
                f"{server.address}, the address of server {owner!r}",
                "an address of its own",
            )


@registry.register(registry.Kind.CONFIG_CHECK, "servers.kinds")
def check_kinds(config: checks.CheckInput) -> Iterator[findings.Finding]:
    """Check that engines serve versions, and other servers a service."""
    for name, server in config.effective.servers.items():
        path: findings.KeyPath = ("servers", name)
        if server.kind is snapshot.ServerKind.ENGINE:
            yield from _check_engine(path, server)
        else:
            yield from _check_service(path, server)


@registry.register(registry.Kind.CONFIG_CHECK, "servers.warmup")
def check_warmup(config: checks.CheckInput) -> Iterator[findings.Finding]:
    """Check that a cold server is not allowed more than a warm one."""
    for name, server in config.effective.servers.items():
        if server.warmup.concurrency > server.concurrency:
            yield checks.error(
                "warmup-above-limit",
                ("servers", name, "warmup", "concurrency"),
                str(server.warmup.concurrency),
                f"at most the server's concurrency, {server.concurrency}",
            )


@registry.register(registry.Kind.CONFIG_CHECK, "servers.versions")
def check_versions(config: checks.CheckInput) -> Iterator[findings.Finding]:
    """Warn of default versions that no available server serves."""
    doc = config.effective
    served = {
        (model, version)
        for server in _available_servers(doc)
        for model, versions in server.serves.items()
        for version in versions
    }
    for name, model in doc.models.items():
        if (name, model.default_version) not in served:
            yield checks.warning(
                "not-served",
                ("models", name, "default_version"),
                f"{model.default_version!r}, which no server that is in "
                f"serves",
                "a server for it in a zone that is in",
            )


@registry.register(registry.Kind.CONFIG_CHECK, "servers.services")
def check_services(config: checks.CheckInput) -> Iterator[findings.Finding]:
    """Warn of plain services without an available server."""
    doc = config.effective
    served = {server.service for server in _available_servers(doc)}
    for name in doc.services:
        if name not in served:
            yield checks.warning(
                "not-served",
                ("services", name),
                "a service without a server that is in",
                "a server for it in a zone that is in",
            )


@registry.register(registry.Kind.CONFIG_CHECK, "sessions.keys")
def check_session_keys(
    config: checks.CheckInput,
) -> Iterator[findings.Finding]:
    """Check that one session key signs new tokens."""
    keys = config.effective.session_keys
    primary = [name for name, key in sorted(keys.items()) if key.primary]
    if len(keys) > 1 and not primary:
        yield checks.error(
            "no-primary-key",
            ("session_keys",),
            "no primary key",
            "one key with primary: true",
        )
    for name in primary[1:]:
        yield checks.error(
            "two-primary-keys",
            ("session_keys", name, "primary"),
            f"a second primary key beside {primary[0]!r}",
            "one key with primary: true",
        )
    if not keys and config.effective.models:
        yield checks.error(
            "no-session-key",
            ("session_keys",),
            "no key",
            "at least one session key",
        )


def _available_servers(
    doc: document.Document,
) -> Iterator[document.ServerSection]:
    """Yield the servers that may receive new work."""
    for server in doc.servers.values():
        zone = doc.zones.get(server.zone)
        states = (server.state, zone.state if zone else None)
        if snapshot.PlacementState.OUT not in states:
            yield server


def _check_engine(
    path: findings.KeyPath, server: document.ServerSection
) -> Iterator[findings.Finding]:
    if not any(server.serves.values()):
        yield checks.error(
            "serves-nothing",
            (*path, "serves"),
            "no version",
            "the versions that the engine serves",
        )
    if server.service is not None:
        yield checks.error(
            "engine-with-service",
            (*path, "service"),
            repr(server.service),
            "no service on a server of kind engine",
        )


def _check_service(
    path: findings.KeyPath, server: document.ServerSection
) -> Iterator[findings.Finding]:
    if server.service is None:
        yield checks.error(
            "no-service",
            (*path, "service"),
            "nothing",
            "the service that the server is a replica of",
        )
    if server.serves:
        yield checks.error(
            "service-with-versions",
            (*path, "serves"),
            "versions",
            "none on a server of kind service",
        )
