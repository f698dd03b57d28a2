"""A small deployment on loopback: store, nodes, replicas and clients."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import json
import os
import pathlib
import signal
import socket
import sys
import tempfile
import time
import tomllib

import store
import wire

ROOT = pathlib.Path(__file__).resolve().parents[2]
HERE = pathlib.Path(__file__).resolve().parent
HEARTBEAT_S = 1.2
BROKEN, HELD, NOT_RUN = 1, 0, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

SETTINGS = """\
node_name = "{name}"
role = "edge"
machine_class = "edge"
serves = ["edge"]
ip = "{host}"
zone = "{zone}"
region = "hu-central"
port_range = [{peer_port},{peer_port}]
seeds = []
bootstrap = true
heartbeat_ms = 1200
[zones]
hu-central-a = "hu-central"
hu-central-b = "hu-central"
hu-central-c = "hu-central"
[listen]
front_addr = "{host}:{front_port}"
readiness = "{host}:{ready_port}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
contact_ms = 3000
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
retry_ratio = 0.9
retry_window_s = 10
retry_extra = 58
exposure_share = 0.15
exposure_extra = 30
revert_ms = 5000
cold_factor = 1.5
cold_extra = 5
evacuate_ms = 5000
recover_s = 12
reuse_window_s = 9.2
session_s = 5
[platform]
address = "{store}"
form = "table"
writes_per_s = 400
reads_per_s = 2000
tx_ms = 3.0
row_bytes = 65536
across = true
history_s = 20
"""


class CannotRun(Exception):
    """The case could not be set up."""


def free_port(host: str) -> int:
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


def deploy_command(listen: str) -> list[str]:
    """Return the command of the deploy file's one role."""
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    run = deploy["roles"]["edge"]["run"]
    return run.replace("{{listen.front_addr}}", listen).split()


class Node:
    """Entry node, started with the command of the deploy file."""

    def __init__(self, site: "Site", number: int) -> None:
        self.site = site
        # The port of the metrics page is fixed, so each node has an address.
        self.host = f"127.{1 + os.getpid() % 250}.0.{10 + number}"
        zone = "abc"[number % 3]
        self.name = f"edge-hu-central-{zone}-{number}"
        self.front_port = free_port(self.host)
        self.ready_port = free_port(self.host)
        self._settings = site.folder / f"{self.name}.toml"
        self._fields = {
            "name": self.name,
            "host": self.host,
            "zone": f"hu-central-{zone}",
            "front_port": self.front_port,
            "ready_port": self.ready_port,
            "peer_port": free_port(self.host),
        }
        self.process: asyncio.subprocess.Process | None = None
        self.log = site.folder / f"{self.name}.log"

    def write_settings(self, extra: str = "") -> None:
        text = SETTINGS.format(store=self.site.store.address, **self._fields)
        self._settings.write_text(text + extra)

    async def start(self) -> None:
        if not self._settings.exists():
            self.write_settings()
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["LIMPETWALK_CONFIG"] = str(self._settings)
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *deploy_command(f"{self.host}:{self.front_port}"),
                stdout=log,
                stderr=log,
                env=env,
                cwd=ROOT,
            )
        self.site.note("node started", node=self.name)

    async def kill(self, number: int = signal.SIGKILL) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            await self.process.wait()

    async def is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(
                self.host, self.ready_port
            )
        except OSError:
            return False
        try:
            writer.write(
                wire.request(
                    "GET",
                    "/v1/readyz",
                    [("Host", "x"), ("Connection", "close")],
                    b"",
                )
            )
            async with asyncio.timeout(1):
                answer = await wire.read_response(reader)
            return answer.status == 200
        except (OSError, EOFError, TimeoutError):
            return False
        finally:
            writer.close()

    async def await_ready(self, timeout: float = 20) -> None:
        until = time.monotonic() + timeout
        while not await self.is_ready():
            if time.monotonic() > until:
                raise CannotRun(f"{self.name} is not ready")
            await asyncio.sleep(0.05)


class Server:
    """Backend server process, with its entry in the store."""

    def __init__(
        self, site: "Site", name: str, service: str, zone: str, *args: str
    ) -> None:
        self.site, self.id = site, name
        self._service, self._zone, self._args = service, zone, args
        self.version = "v1"
        self.process: asyncio.subprocess.Process | None = None
        self._tasks: list[asyncio.Task] = []
        self._entry: dict = {}
        self._seq = 0

    async def start(self) -> None:
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(HERE / "replica.py"),
            f"--id={self.id}",
            *self._args,
            stdout=asyncio.subprocess.PIPE,
        )
        assert self.process.stdout is not None
        address = (await self.process.stdout.readline()).decode().strip()
        self._entry = {
            "backend": self._service,
            "address": address,
            "zone": self._zone,
            "version": self.version,
            "slots": 6,
            "state": "ready",
            "cold_left_ms": 0,
            "born": int(time.time() * 1000),
        }
        self._tasks = [
            asyncio.create_task(self._read()),
            asyncio.create_task(self._beat()),
        ]

    async def _read(self) -> None:
        assert self.process is not None and self.process.stdout is not None
        async for line in self.process.stdout:
            event = json.loads(line)
            self.site.note("server", server=self.id, **event)
            if event["what"] == "run":
                self.site.runs.setdefault(event["id"], []).append(
                    (time.monotonic(), self.id, event)
                )

    async def _beat(self) -> None:
        """Write the entry while the process lives, and let it expire."""
        assert self.process is not None
        while self.process.returncode is None:
            self._seq += 1
            entry = {**self._entry, "seq": self._seq}
            self.site.store.put("servers", self.id, entry)
            await asyncio.sleep(HEARTBEAT_S)
        await asyncio.sleep(2 * HEARTBEAT_S)
        self.site.store.remove("servers", self.id)

    async def kill(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        self.site.note("server killed", server=self.id)


class Site:
    """Holds what a case has started, and its record."""

    def __init__(self, record: pathlib.Path) -> None:
        self._folder = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._folder.name)
        self.store = store.Store()
        self.nodes: list[Node] = []
        self.servers: list[Server] = []
        self.runs: dict[str, list] = {}
        self._record = record.open("w")
        self._began = time.monotonic()

    @property
    def now(self) -> float:
        return time.monotonic() - self._began

    def note(self, event_: str, **fields: object) -> None:
        line = " ".join(f"{name}={value!r}" for name, value in fields.items())
        self._record.write(f"{self.now:8.3f} {event_} {line}\n")
        self._record.flush()

    async def start(self, nodes: int) -> None:
        await self.store.start("127.0.0.1")
        self.nodes = [Node(self, number) for number in range(nodes)]

    async def add_server(self, *args: str, version: str = "v1") -> Server:
        server = Server(self, *args)
        server.version = version
        self.servers.append(server)
        await server.start()
        return server

    def expire_entries(self) -> None:
        """Remove the entries of servers that have ended."""
        for server in self.servers:
            ended = server.process is None or server.process.returncode
            if ended is not None and ("servers", server.id) in self.store.rows:
                self.store.remove("servers", server.id)

    async def close(self) -> None:
        for process in [
            *(node.process for node in self.nodes),
            *(server.process for server in self.servers),
        ]:
            if process is not None and process.returncode is None:
                process.kill()
                await process.wait()
        await asyncio.sleep(0.1)
        self._record.close()
        self._folder.cleanup()

    async def send(
        self,
        node: Node,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes = b"",
        timeout: float = 10.0,
    ) -> wire.Message | None:
        """Send a request on a new connection; None when none was answered."""
        attempt = dict(headers).get("Attempt-Id", "")
        self.note("sent", id=attempt, node=node.name, target=target)
        try:
            async with asyncio.timeout(timeout):
                reader, writer = await asyncio.open_connection(
                    node.host, node.front_port
                )
                try:
                    writer.write(wire.request(method, target, headers, body))
                    answer = await wire.read_response(reader)
                finally:
                    writer.close()
        except (OSError, EOFError, TimeoutError) as exc:
            self.note("no answer", id=attempt, why=repr(exc))
            return None
        self.note(
            "answered",
            id=attempt,
            status=answer.status,
            sealed="server-seal" in answer.headers,
            complete=answer.complete,
            body=answer.body[:60],
        )
        return answer


def run(case: Callable[[Site], Awaitable[int]], folder: str) -> None:
    """Run a case and exit with its result."""

    async def main() -> int:
        record = (
            os.environ.get("RECORD") or pathlib.Path(folder) / "record.txt"
        )
        site = Site(pathlib.Path(record))
        try:
            async with asyncio.timeout(115):
                return await case(site)
        except Exception as exc:
            # Python's own exit code for an error is that of a broken rule.
            site.note("could not run", why=repr(exc))
            print(f"could not run: {exc!r}")
            return NOT_RUN
        finally:
            await site.close()

    sys.exit(asyncio.run(main()))
