"""Cluster state known to this node, updated by rows of the platform."""

from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
import ipaddress
import json
import math
from typing import Any

from limpetwalk import clock as clocks
from limpetwalk import metrics as metrics_
from limpetwalk.gateway import catalog
from limpetwalk.gateway import crash_suspects
from limpetwalk.gateway import fleet
from limpetwalk.gateway import json_decoder
from limpetwalk.gateway import peer_groups
from limpetwalk.gateway import ports
from limpetwalk.gateway import rollout
from limpetwalk.gateway import types

from . import events
from . import logs

# Key prefixes of the rows that nodes share.
NODE_PREFIX = "node/"
CRASH_PREFIX = "crashed/"
ANSWER_PREFIX = "answered/"
ROLLOUT_PREFIX = "rollout/"
# Key of the row with the version of the configuration that was in force before
# the store was restored from an older copy.
CONFIG_IN_FORCE_KEY = "config/in_force"
# Time for which a node that starts waits for that version, in seconds; the
# operator writes it again within a few.
CONFIG_REWRITE_TIMEOUT = 10.0
# Longest time for which a row may ask nodes that start to wait, in seconds.
MAX_CONFIG_WAIT = 60.0
# Time for which a node that starts waits for the rows that nodes share, in
# seconds: after a restoration of the store, and without one. Callers wait for
# the node a little longer than the shorter one.
SHARED_ROWS_TIMEOUT = 1.0
SHARED_ROWS_GRACE = 0.1

RowOwner = Callable[[Mapping[str, str]], None]

# Largest version, and largest instant on the store's clock, in seconds.
MAX_INTEGER = 2**63 - 1
MAX_PORT = 65535
# Stands for a node whose row can't be read: a local port that is not in use.
NO_PEER = peer_groups.Peer(("127.0.0.1", 9))
# What decoding a row of this project may raise.
ROW_ERRORS = (AttributeError, KeyError, TypeError, ValueError)

# Published answers that are remembered, so that no other node publishes them.
MAX_PUBLISHED_ANSWERS = 1000


@dataclass(frozen=True, slots=True)
class ConfigInForce:
    """Configuration in force when the store was restored.

    :param until: instant on the store's clock until which nodes that start
        wait for it, in seconds.
    """

    version: int = 0
    until: float = -math.inf


class ClusterState:
    """Holds the configuration, servers, roll-outs and nodes that are known.

    :param clock: source of time.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        journal: logs.Journal,
        metrics: metrics_.Metrics,
    ) -> None:
        self._journal = journal
        self.catalog: catalog.Catalog | None = None
        self.fleet = fleet.Fleet(clock)
        self.rollouts = rollout.Rollouts(clock)
        self.peers: dict[str, peer_groups.Peer] = {}
        self.nodes: frozenset[str] = frozenset()
        self.crash_suspects = crash_suspects.CrashSuspects()
        self.published_answers: dict[str, float] = {}
        self._clock = clock
        self._store_offset = 0.0
        self._ready = False
        self._shared_rows_read = False
        self._was_restored = False
        self._platform_read_at: float | None = None
        self._in_force = ConfigInForce()
        self.on_older_config: Callable[[], None] = lambda: None
        self._row_owners: list[RowOwner] = []
        self._evacuated: dict[str, str] = {}
        self._unreadable = metrics.counter(
            "limpetwalk_unreadable_rows",
            "Rows that could not be decoded, by table.",
            ("table",),
        )
        metrics.gauge(
            "limpetwalk_config_version", "Version in force."
        ).set_function(lambda: self.catalog.version if self.catalog else 0)
        metrics.gauge(
            "limpetwalk_servers", "Backend servers known."
        ).set_function(lambda: len(self.fleet))

    @property
    def ready(self) -> bool:
        """Whether configuration and servers are known, so requests can run.

        A node that starts while a restored store holds an older configuration
        than was in force waits for that one.
        """
        self._ready = self._ready or self._may_start()
        return self._ready

    def _may_start(self) -> bool:
        if self.catalog is None or not self.fleet.fully_read:
            return False
        now = self._clock.monotonic()
        if self._platform_read_at is None:
            self._platform_read_at = now
        if not self._shared_rows_read:
            longest = SHARED_ROWS_GRACE
            if self._was_restored:
                longest = SHARED_ROWS_TIMEOUT
            return now - self._platform_read_at > longest
        return not self.needs_config(self.catalog.version)

    def needs_config(self, version: int) -> bool:
        """Return whether a later configuration was in force lately."""
        if self.store_time() > self._in_force.until:
            return False
        return version < self._in_force.version

    def apply_operator(self, batch: ports.Batch[ports.OperatorEntry]) -> None:
        """Apply configuration, roll-out orders and evacuations of zones."""
        self._was_restored = batch.version.era > 0
        zones = {} if batch.full_read else dict(self._evacuated)
        if batch.full_read:
            self.rollouts.retain_orders(
                {
                    change.entry.service
                    for change in batch.changes
                    if isinstance(change.entry, types.RolloutOrder)
                }
            )
        if batch.restored and self._is_older_copy(batch):
            self.on_older_config()

        def apply(change: ports.Change[ports.OperatorEntry]) -> None:
            entry = change.entry
            if isinstance(entry, types.Config):
                self._apply_config(entry, batch.full_read)
            elif isinstance(entry, types.RolloutOrder):
                self.rollouts.apply_order(entry, batch.restored)
            elif isinstance(entry, ports.ZoneEvacuated):
                zones[change.key] = entry.zone
            elif isinstance(entry, ports.Removed):
                zones.pop(change.key, None)
                self.rollouts.remove_order(change.key)
            else:
                self._log_unreadable("operator", entry)

        self._apply_each("operator", batch, apply)
        self._apply_zones(zones)

    def _apply_each(
        self,
        table: str,
        batch: ports.Batch[Any],
        apply: Callable[[Any], None],
    ) -> None:
        """Apply each change; one that fails costs no other."""
        for change in batch.changes:
            try:
                apply(change)
            except Exception as exc:
                self._unreadable.labels(table).inc()
                self._journal.emit(
                    events.UnexpectedError(
                        f"applying {change.key} of {table}", repr(exc)[:200]
                    )
                )

    def _is_older_copy(self, batch: ports.Batch[ports.OperatorEntry]) -> bool:
        """Return whether a restored store lacks the known configuration."""
        versions = [
            change.entry.version
            for change in batch.changes
            if isinstance(change.entry, types.Config)
        ]
        known = self.catalog.version if self.catalog else 0
        return max(versions, default=0) < known

    def apply_servers(self, batch: ports.Batch[types.Server]) -> None:
        """Apply entries of backend servers."""
        present = set()
        if batch.restored:
            self.fleet.doubt_entries()

        def apply(change: ports.Change[types.Server]) -> None:
            entry = change.entry
            if isinstance(entry, types.Server):
                present.add(change.key)
                if batch.restored and self.fleet.is_outdated(entry):
                    self._log_server(entry, "outdated", change.version)
                    return
                self._update_server(entry, change.version)
                return
            if isinstance(entry, ports.Unreadable):
                self._log_unreadable("servers", entry)
            self._remove_server(change.key, change.version)

        self._apply_each("servers", batch, apply)
        if batch.full_read:
            for server_id in self.fleet.retain_only(present):
                self._log_removed(server_id, batch.version)

    def apply_shared(self, batch: ports.Batch[ports.SharedRow]) -> None:
        """Apply rows that the nodes share: peers, crashes and stages."""
        self._store_offset = batch.now - self._clock.monotonic()
        if batch.restored:
            self._record_restoration(batch)
        peers = {} if batch.full_read else dict(self.peers)

        def apply(change: ports.Change[ports.SharedRow]) -> None:
            kind, slash, name = change.key.partition("/")
            prefix = kind + slash
            row = change.entry
            if not isinstance(row, ports.SharedRow):
                if prefix == NODE_PREFIX:
                    peers.pop(name, None)
            elif change.key == CONFIG_IN_FORCE_KEY:
                self._apply_config_in_force(row.value)
            elif prefix == NODE_PREFIX:
                peers[name] = self._peer(name, row.value)
            elif prefix == CRASH_PREFIX:
                server, _, node = name.rpartition("/")
                self._apply_crash(server, node, row.value)
            elif prefix == ANSWER_PREFIX:
                self._apply_answer(name, row.value)
            elif prefix == ROLLOUT_PREFIX:
                self.apply_stage(name, row.value, change.version)

        self._apply_each("shared", batch, apply)
        self._shared_rows_read = True
        self.peers = peers
        self.nodes = frozenset(peers)

    def on_restoration(self, owner: "RowOwner") -> None:
        """Call a function when the store was restored from a copy.

        :param owner: called with the shared rows of the copy, contents by
            key, so that it can write again what the copy lacks.
        """
        self._row_owners.append(owner)

    def _record_restoration(self, batch: ports.Batch[ports.SharedRow]) -> None:
        self.rollouts.record_restoration(batch.version)
        rows = {
            change.key: change.entry.value
            for change in batch.changes
            if isinstance(change.entry, ports.SharedRow)
        }
        for owner in self._row_owners:
            owner(rows)

    def store_time(self) -> float:
        """Return the current instant on the store's clock, in seconds."""
        return self._clock.monotonic() + self._store_offset

    def apply_stage(
        self, service: str, text: str, version: types.Version
    ) -> None:
        """Apply a stage of a roll-out, unless it is already known.

        :param text: the stage as JSON.
        :param version: version of its row.
        """
        try:
            rollout.Stage.from_json(text)
        except ValueError as exc:
            self._log_unreadable(
                "shared",
                ports.Unreadable(ROLLOUT_PREFIX + service, (str(exc),)),
            )
        stage = self.rollouts.apply_stage(service, text, version)
        if stage is None:
            return
        self._journal.emit(
            events.RolloutChanged(
                service=service,
                target=stage.target,
                phase=stage.phase.value,
                share=stage.share,
                failures=stage.failures,
                successes=stage.successes,
                reason=stage.reason,
            )
        )

    def _peer(self, node: str, text: str) -> peer_groups.Peer:
        """Return a node from its row; an unreadable row gives ``NO_PEER``."""
        try:
            return _parse_peer(text)
        except ROW_ERRORS as exc:
            self._log_unreadable(
                "shared", ports.Unreadable(NODE_PREFIX + node, (repr(exc),))
            )
            return NO_PEER

    def _apply_crash(self, server: str, node: str, text: str) -> None:
        """Apply a node's report of the suspects of a crash.

        :param server: identifies the server and its start.
        :param node: name of the node.
        """
        try:
            row = json_decoder.decode(text)
            suspects = _suspects(row)
            at = _instant(row["at"])
        except ROW_ERRORS as exc:
            self._log_unreadable(
                "shared", ports.Unreadable(server, (repr(exc),))
            )
            return
        now = self.store_time()
        self.crash_suspects.record_crash(server, at, suspects, now)
        age_ms = int((now - at) * 1000)
        self._journal.emit(
            events.CrashReported(node, server, len(suspects), age_ms)
        )

    def config_in_force_row(self) -> str:
        """Return the row that tells other nodes of this node's configuration.

        Nodes that start wait for it while it is missing in the store.
        """
        version = self.catalog.version if self.catalog else 0
        until = self.store_time() + CONFIG_REWRITE_TIMEOUT
        return json.dumps({"version": version, "until": until})

    def _apply_config_in_force(self, text: str) -> None:
        try:
            row = json_decoder.decode(text)
            in_force = ConfigInForce(
                json_decoder.integer(row["version"], 0, MAX_INTEGER),
                json_decoder.number(
                    row["until"],
                    -MAX_INTEGER,
                    self.store_time() + MAX_CONFIG_WAIT,
                ),
            )
        except ROW_ERRORS as exc:
            self._log_unreadable(
                "shared", ports.Unreadable(CONFIG_IN_FORCE_KEY, (repr(exc),))
            )
            return
        self._in_force = in_force

    def _apply_answer(self, trait: str, text: str) -> None:
        """Apply the news that a request with a trait was answered."""
        try:
            at = _instant(json_decoder.decode(text)["at"])
        except ROW_ERRORS as exc:
            self._log_unreadable(
                "shared", ports.Unreadable(trait, (repr(exc),))
            )
            return
        self.published_answers[trait] = at
        if len(self.published_answers) > MAX_PUBLISHED_ANSWERS:
            oldest = min(
                self.published_answers, key=self.published_answers.__getitem__
            )
            del self.published_answers[oldest]
        self.crash_suspects.record_published_answer(trait, at)

    def _apply_config(self, config: types.Config, full_read: bool) -> None:
        previous = self.catalog.version if self.catalog else 0
        if config.version <= previous:
            if config.version < previous:
                self._journal.emit(
                    events.ConfigIgnored(config.version, previous)
                )
            return
        self.catalog = catalog.Catalog(config)
        self._journal.emit(
            events.ConfigApplied(
                version=config.version,
                before=previous,
                routes=len(config.routes),
                keys_required=config.keys_required,
                workspaces=config.workspaces,
                keys=len(config.keys),
                shared_keys=config.shared_keys,
                whole_read=full_read,
            )
        )

    def _apply_zones(self, zones: dict[str, str]) -> None:
        self._evacuated = zones
        evacuated = frozenset(zones.values())
        if evacuated != self.fleet.evacuated:
            self.fleet.evacuated = evacuated
            self._journal.emit(
                events.EvacuatedZonesChanged(tuple(sorted(evacuated)))
            )

    def _update_server(
        self, entry: types.Server, version: types.Version
    ) -> None:
        previous = self.fleet.get(entry.id)
        previous_state = (
            (
                previous.entry.leaving,
                previous.entry.boot_ms,
                previous.entry.cold_left,
            )
            if previous
            else None
        )
        member = self.fleet.put(entry, version)
        if member is None:
            return
        if previous_state != (entry.leaving, entry.boot_ms, entry.cold_left):
            state = "cold" if entry.cold_left > 0 else "ready"
            self._log_server(
                entry, "leaving" if entry.leaving else state, version
            )

    def _remove_server(self, server_id: str, version: types.Version) -> None:
        member = self.fleet.get(server_id)
        if member is None:
            return
        removed = self.fleet.remove(server_id)
        self._log_server(
            member.entry, "gone" if removed else "lapsed", version
        )

    def _log_removed(self, server_id: str, version: types.Version) -> None:
        self._journal.emit(
            events.ServerChanged(server_id, "", "gone", "", "", str(version))
        )

    def _log_server(
        self, entry: types.Server, state: str, version: types.Version
    ) -> None:
        self._journal.emit(
            events.ServerChanged(
                server=entry.id,
                service=entry.service,
                state=state,
                zone=entry.zone,
                version=entry.version,
                row_version=str(version),
            )
        )

    def _log_unreadable(self, table: str, entry: ports.Unreadable) -> None:
        self._unreadable.labels(table).inc()
        self._journal.emit(
            events.RowUnreadable(table, entry.key, entry.findings[:5])
        )


def _instant(value: Any) -> float:
    """Return an instant on the store's clock.

    :raises ValueError: when the value is none.
    """
    return json_decoder.number(value, -MAX_INTEGER, MAX_INTEGER)


def _suspects(row: Mapping[str, Any]) -> list[crash_suspects.Suspect]:
    """Return the suspects of a report of a crash.

    :raises ValueError: when a field is invalid; other errors of
        ``ROW_ERRORS`` when one is missing.
    """
    entries = row["suspects"]
    known = row.get("known_crashes")
    if known is None:
        # A node of an older version wrote the row.
        known = [None] * len(entries)
    return [
        crash_suspects.Suspect(
            str(attempt),
            tuple(map(str, traits)),
            None if servers is None else frozenset(map(str, servers)),
        )
        for (attempt, *traits), servers in zip(entries, known, strict=True)
    ]


def _parse_peer(text: str) -> peer_groups.Peer:
    """Return a node from its row.

    :raises ValueError: when a field is invalid; other errors of
        ``ROW_ERRORS`` when one is missing.
    """
    row = json_decoder.decode(text)
    zone, secret = row.get("zone", ""), row.get("secret", "")
    for text_field in (row["host"], zone, secret):
        if not isinstance(text_field, str):
            raise ValueError("host, zone and secret must be strings")
    ipaddress.ip_address(row["host"])
    port = json_decoder.integer(row["port"], 0, MAX_PORT)
    # A node at no port of its own takes no datagrams.
    address = (row["host"], port) if port else NO_PEER.address
    return peer_groups.Peer(address, zone, secret)
