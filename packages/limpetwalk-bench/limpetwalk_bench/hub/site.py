"""Small site of stand-ins on loopback, with its configuration rows."""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from typing import Any

from aiohttp import web

from . import raw_server
from . import server
from . import store as stores

API_KEY = "key-1"
WORKSPACE = "workspace-1"
HOST = "api.example"
ENGINE = "engine"
PLAIN = "plain"
MODELS = ("small", "large")
# Headers that a streaming request has besides those of every request.
STREAM_HEADERS = {
    "Model": "*",
    "Token-Usage": "30,10",
    "Prefix-Hash": "aa:10,bb:10,cc:10",
}
SETTINGS_TEMPLATE = """
node_name = "{name}"
zone = "zone-a"
ip = "{host}"
port_range = [{peers}, {peers}]
[listen]
front_addr = "{host}:{callers}"
readiness = "{host}:{readiness}"
[bounds]
grace_s = {grace}
[platform]
address = "127.0.0.1:{store}"
"""


def settings_text(
    name: str,
    store: int,
    grace: float,
    host: str = "127.0.0.1",
    callers: int = 0,
    readiness: int = 0,
    peers: int = 0,
    limits: Mapping[str, float] | None = None,
) -> str:
    """Return the contents of an entry node's settings file (TOML).

    :param store: port of the metadata store.
    :param grace: time from SIGTERM to SIGKILL, in seconds.
    :param host: address on which the node listens.
    :param callers: port for callers; 0 for any free port.
    :param readiness: port of the readiness check; 0 for any free port.
    :param peers: port for other nodes; 0 for any free port.
    :param limits: limits of the process, by the names of the settings.
    """
    lines = [f"{name} = {limit}" for name, limit in (limits or {}).items()]
    return SETTINGS_TEMPLATE.format(
        name=name,
        store=store,
        grace=grace,
        host=host,
        callers=callers,
        readiness=readiness,
        peers=peers,
    ) + "\n".join(["[limits]", *lines, ""])


def request_headers(attempt: str, deadline_ms: int) -> dict[str, str]:
    """Return the headers of a caller's request.

    :param attempt: identifier of the caller's attempt.
    :param deadline_ms: time until the deadline, in milliseconds.
    """
    return {
        "Host": HOST,
        "Attempt-Id": attempt,
        "Deadline-Ms": str(deadline_ms),
        "Authorization": f"Token {API_KEY}",
    }


def config_row(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Return a configuration row with one route of each type.

    :param changes: fields that replace the usual ones.
    """
    row = {
        "version": version,
        "routes": [
            route("stream", "streaming", ENGINE, resumable=True, attempts=3),
            route("once", "non_idempotent", PLAIN),
            route("again", "idempotent", PLAIN, attempts=2),
        ],
        "backends": [
            {
                "name": ENGINE,
                "cold_start_s": 3.0,
                "cold_per_s": 9.0,
                "engine": {
                    "slots": 8,
                    "kv_capacity": 1000,
                    "models": [
                        {"name": name, "cost": cost}
                        for name, cost in zip(MODELS, (0.02, 0.3), strict=True)
                    ],
                },
            },
            {"name": PLAIN, "cold_start_s": 0.0, "cold_per_s": 0.0},
        ],
        "limits": {"max_body_bytes": 100_000},
        "tenants": [{"name": WORKSPACE, "api_keys": [API_KEY], "priority": 1}],
    }
    return {**row, **changes}


def route(
    name: str, kind: str, service: str, **changes: Any
) -> dict[str, Any]:
    """Return a route of a configuration.

    :param kind: type of the route.
    :param service: backend that it leads to.
    :param changes: fields that replace the usual ones.
    """
    fields: dict[str, Any] = {
        "name": name,
        "hostname": HOST,
        "prefix": f"/{name}/",
        "type": kind,
        "timeout_ms": 3000,
        "slo_ms": 1000,
        "priority": 1,
        "attempts": 1,
        "backend": service,
        "itl_slo_ms": 1000,
    }
    if kind == "streaming":
        fields["sizes"] = list(MODELS)
    return {**fields, **changes}


def server_row(service: str, port: int, **changes: Any) -> dict[str, Any]:
    """Return the row by which a backend server announces itself.

    :param service: backend that the server belongs to.
    :param changes: fields that replace the usual ones.
    """
    row = {
        "backend": service,
        "address": f"127.0.0.1:{port}",
        "zone": "zone-a",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_left_ms": 0,
        "seq": 1,
        "born": 1,
    }
    return {**row, **changes}


@dataclass
class Site:
    """Metadata store and backend servers on loopback.

    :param servers: backend servers by identifier.
    :param ports: port of each backend server, by identifier.
    """

    store: stores.Store = field(default_factory=stores.Store)
    servers: dict[str, server.Server] = field(default_factory=dict)
    ports: dict[str, int] = field(default_factory=dict)
    _runners: list[web.AppRunner] = field(default_factory=list)
    _runner_of: dict[str, web.AppRunner] = field(default_factory=dict)
    _raw_servers: list[raw_server.RawServer] = field(default_factory=list)
    store_port: int = 0

    async def start(self, services: Mapping[str, str]) -> None:
        """Start the store and one server for each identifier.

        :param services: name of the backend, by server identifier.
        """
        self.store_port = await self._serve(self.store.app())
        for server_id, service in services.items():
            await self.add_server(server_id, service)
        await self.store.put("op", "config", config_row())

    async def add_server(
        self, server_id: str, service: str, **changes: Any
    ) -> None:
        """Start a backend server and write its row to the store.

        :param changes: fields of the row that replace the usual ones.
        """
        backend_server = server.Server(server_id)
        self.servers[server_id] = backend_server
        self.ports[server_id] = await self._serve(backend_server.app())
        self._runner_of[server_id] = self._runners[-1]
        await self.store.put(
            "servers",
            server_id,
            server_row(service, self.ports[server_id], **changes),
        )

    async def crash_server(self, server_id: str) -> None:
        """Stop a backend server at once; its row stays in the store."""
        runner = self._runner_of[server_id]
        for tcp_site in list(runner.sites):
            await tcp_site.stop()
        assert runner.server is not None
        for conn in runner.server.connections:
            if conn.transport is not None:
                conn.transport.abort()

    async def add_raw_server(
        self, server_id: str, service: str, script: raw_server.Script
    ) -> raw_server.RawServer:
        """Start a server with scripted answers and write its row.

        :param script: sends the answer to a request.
        """
        raw = raw_server.RawServer(script)
        self._raw_servers.append(raw)
        self.ports[server_id] = await raw.start()
        row = server_row(service, self.ports[server_id])
        await self.store.put("servers", server_id, row)
        return raw

    async def stop(self) -> None:
        """Stop the store and all servers."""
        for raw in self._raw_servers:
            await raw.stop()
        for runner in self._runners:
            await runner.cleanup()

    async def _serve(self, app: web.Application) -> int:
        runner = web.AppRunner(
            app, shutdown_timeout=0.1, handler_cancellation=True
        )
        await runner.setup()
        tcp_site = web.TCPSite(runner, "127.0.0.1", 0)
        await tcp_site.start()
        self._runners.append(runner)
        return runner.addresses[0][1]
