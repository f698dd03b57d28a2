"""Construction of a serving node's components from its settings."""

import random
from typing import Any

import aiomisc

from limpetwalk import clock as clocks
from limpetwalk import leases
from limpetwalk import metrics as measures
from limpetwalk import plugins
from limpetwalk.conf import compiler
from limpetwalk.conf import head as heads
from limpetwalk.conf import snapshot
from limpetwalk.ledger import partition
from limpetwalk.peers import hub as hubs
from limpetwalk.providers import factory
from limpetwalk.records import store as record_stores
from limpetwalk.routing import dispatch_core
from limpetwalk.routing import dispatchers
from limpetwalk.routing import quarantine
from limpetwalk.routing import replicas

from . import app
from . import settings
from .billing import bill_spill
from .billing import bill_sweeper
from .billing import ledger_biller
from .configuration import config_manager
from .operations import status
from .records import holder_liveness
from .rollouts import evidence_recorder
from .rollouts import rollout_leader
from .servers import crash_sharing
from .servers import instance_list
from .servers import load_reporter
from .servers import server_outcomes
from .warmup import permit_grantor
from .warmup import permits


class Node(aiomisc.Service):
    """All components of a node behind its HTTP interfaces.

    :param cfg: settings of the node.
    :param platform: clients of the platform's services.
    """

    __required__ = ("cfg", "platform")

    cfg: settings.NodeSettings
    platform: factory.Platform

    def __init__(self, **kwargs: Any) -> None:
        super().__init__(**kwargs)
        plugins.load()
        self.clock = clocks.SystemClock()
        self.metrics = measures.Metrics()
        self.rng = random.Random()
        self._instances = instance_list.TrackedInstanceList(
            self.platform.instances
        )
        self.hub = hubs.Hub(
            hubs.HubSettings(
                self.cfg.name,
                self.cfg.zone,
                str(self.cfg.peers.host),
                self.cfg.peers.port,
            ),
            self._instances,
            self.clock,
            self.rng,
            self.metrics,
        )
        self.config_manager = config_manager.ConfigManager(
            self.hub,
            heads.HeadStore(
                self.platform.table, self.platform.objects, self.clock
            ),
            compiler.compile_document,
            self.clock,
            self.rng,
            self.metrics,
        )
        self._holders = holder_liveness.HolderLiveness(self.hub)
        self._spill_store = bill_spill.SpillStore(
            self.platform.objects, self.hub.boot_id, self.clock
        )
        self.biller = self._make_biller()
        self._spill_sweeper = bill_sweeper.SpillSweeper(
            self.hub, self._spill_store, self._open_partition, self.metrics
        )
        self._permit_grantor = permit_grantor.PermitGrantor(
            self.hub,
            leases.LeaseManager(
                self.platform.table, self.clock, self._holders.own_holder
            ),
            self.config_manager.current,
            self.clock,
            self.metrics,
        )
        self._permits = permits.SharedPermits(
            self.hub, self._permit_grantor, self.clock, self.metrics
        )
        self._quarantine = quarantine.Quarantine(clock=self.clock)
        self._crash_sharing = crash_sharing.CrashSharing(
            self.hub,
            self._quarantine,
            self.platform.table,
            self.clock,
            self.metrics,
        )
        self._rollout_leader = self._make_rollout_leader()
        self._evidence_recorder = evidence_recorder.EvidenceRecorder(
            self.hub,
            self._rollout_leader,
            self.config_manager.current,
            self.clock,
            self.rng,
            self.metrics,
        )
        self._dispatch_core = self._make_dispatch_core()
        self._load_reporter = load_reporter.LoadReporter(
            self.hub,
            self._dispatch_core.directory,
            lambda: self.config_manager.current() is not None,
            self.clock,
            self.rng,
            self.metrics,
            self._dispatch_core.apply_load_report,
        )
        self.interfaces = app.compose(self._make_components())

    async def start(self) -> None:
        """Join the peers and start to follow the accepted configuration."""
        await self.hub.start()
        await self.config_manager.start()
        await self.biller.start()
        await self._spill_sweeper.start()
        await self._crash_sharing.start()
        await self._load_reporter.start()
        await self._rollout_leader.start()
        await self._evidence_recorder.start()

    async def stop(self, exception: Exception | None = None) -> None:
        """Release leases, disconnect from peers and close all connections."""
        await self._evidence_recorder.stop()
        await self._rollout_leader.stop()
        await self._load_reporter.stop()
        await self._crash_sharing.stop()
        await self._permits.stop()
        await self._permit_grantor.stop()
        await self._spill_sweeper.stop()
        await self.biller.stop()
        await self.config_manager.stop()
        await self.hub.stop()
        await self._dispatch_core.close()
        await self.platform.close()

    def _current_config(self) -> snapshot.AppliedSnapshot:
        applied = self.config_manager.current()
        # The callers only run once there is a configuration.
        assert applied is not None
        return applied

    def _open_partition(self, number: int) -> partition.LedgerPartition:
        return partition.LedgerPartition(
            self.platform.table, number, self.clock
        )

    def _make_biller(self) -> ledger_biller.LedgerBiller:
        return ledger_biller.LedgerBiller(
            self.hub,
            self._open_partition,
            self._current_tuning,
            self.clock,
            self.rng,
            self.metrics,
            self._spill_store,
        )

    def _make_rollout_leader(self) -> rollout_leader.GuardedRolloutLeader:
        platform = self.platform
        return rollout_leader.GuardedRolloutLeader(
            self.hub,
            leases.LeaseManager(
                platform.table, self.clock, self._holders.own_holder
            ),
            platform.table,
            heads.HeadStore(platform.table, platform.objects, self.clock),
            self.config_manager.current,
            self.clock,
            self.metrics,
        )

    def _current_tuning(self) -> snapshot.Tuning:
        applied = self.config_manager.current()
        return applied.snapshot.tuning if applied else snapshot.Tuning()

    def _count_known_nodes(self) -> int:
        """Return the number of known entry nodes, live or not.

        A shared allowance is divided by this number. All known nodes count,
        so that a node that loses contact with the others doesn't use their
        part of the allowance.
        """
        return len(self.hub.members.known().keys() | {self.cfg.name})

    def _make_dispatch_core(self) -> dispatch_core.DispatchCore:
        node_context = replicas.NodeContext(
            self.cfg.zone,
            self._count_known_nodes,
            self._instances.leaving_addresses,
        )
        return dispatch_core.DispatchCore(
            self._current_config,
            self._permits,
            self._quarantine,
            self.clock,
            self.metrics,
            self.rng,
            node_context,
        )

    def _make_components(self) -> app.NodeComponents:
        core = self._dispatch_core
        dispatcher_args = (
            self._current_config,
            self._permits,
            core.quarantine,
            self.clock,
            self.metrics,
            self.rng,
            core,
        )
        holders = self._holders
        return app.NodeComponents(
            name=self.cfg.name,
            holder=holders.own_holder,
            config=self.config_manager,
            apply_config=self.config_manager.apply_from_operator,
            engines=dispatchers.EngineDispatcher(*dispatcher_args),
            services=dispatchers.ServiceDispatcher(*dispatcher_args),
            ratings=self.platform.ratings,
            records=record_stores.TableRecordStore(
                self.platform.table,
                self.clock,
                holders.own_holder,
                holders.is_live,
                lambda: self._current_tuning().record_ttl,
                self.platform.objects,
            ),
            biller=self.biller,
            is_holder_live=holders.is_live,
            fetch_answer=server_outcomes.ServerOutcomes(core.directory).fetch,
            is_full=lambda: self.biller.is_full,
            status=status.Status(self.cfg, self.config_manager, self.hub.live),
            clock=self.clock,
            metrics=self.metrics,
            rng=self.rng,
            observer=self._evidence_recorder,
        )
