"""Evidence of the versions in running roll-outs, counted at this node."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import random

from limpetwalk import clock as clocks
from limpetwalk import exceptions
from limpetwalk import metrics as measures
from limpetwalk.conf import snapshot
from limpetwalk.peers import hub as hubs
from limpetwalk.peers import loops
from limpetwalk.peers import messages
from limpetwalk.peers import rendezvous
from limpetwalk.rollouts import evidence

from . import rollout_leader

WINDOW_INTERVAL = 2.0
WINDOW_JITTER = 0.2
MAX_WINDOWS = 64
SEND_TIMEOUT = 0.5
WINDOWS_PER_S = 1000


@dataclass(slots=True)
class _Subject:
    """Open tallies by version, and closed windows, the oldest first."""

    open: dict[str, evidence.Tally] = field(default_factory=dict)
    closed: list[messages.Evidence] = field(default_factory=list)


class EvidenceRecorder:
    """Counts outcomes in numbered windows and sends them to the lead.

    A window is kept until the lead's row holds it, so that a lead that is
    lost takes none with it.

    :param hub: links to the peers.
    :param lead: this node's own lead, for roll-outs that it leads.
    :param config: returns the configuration in force.
    :param clock: source of time.
    :param rng: spreads the windows of the nodes.
    :param metrics: metrics of the process.
    """

    def __init__(
        self,
        hub: hubs.Hub,
        lead: rollout_leader.GuardedRolloutLeader,
        config: Callable[[], snapshot.Applied | None],
        clock: clocks.Clock,
        rng: random.Random,
        metrics: measures.Metrics,
    ) -> None:
        self._hub = hub
        self._lead = lead
        self._config = config
        self._rng = rng
        self._subjects: dict[str, _Subject] = {}
        # Numbers go on growing over a restart, as windows are far rarer.
        self._window = int(clock.wall() * WINDOWS_PER_S)
        self._task: asyncio.Task[None] | None = None
        self._windows = metrics.counter(
            "limpetwalk_evidence_windows",
            "Windows of evidence: sent, stored in the row, lost for want of "
            "a lead, or dropped as their roll-out ended.",
            ("outcome",),
        )

    async def start(self) -> None:
        """Close and send windows from now on."""
        self._task = asyncio.create_task(
            loops.repeat(self.round, self._interval)
        )

    async def stop(self) -> None:
        """Send what is left once and stop."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            await self.round()

    def finished(self, target: snapshot.ModelVersion) -> None:
        """Count a whole answer in time."""
        for tally in self._tallies(target):
            tally.observe(True)

    def failed(self, target: snapshot.ModelVersion) -> None:
        """Count a request that the version's backend servers failed."""
        for tally in self._tallies(target):
            tally.observe(False)

    def rated(self, target: snapshot.ModelVersion, score: float) -> None:
        """Add the rating of an answer that was counted already.

        :param score: rating, 0.0 to 1.0.
        """
        for tally in self._tallies(target):
            tally.add(evidence.Tally(0, 0, 1, score, score * score))

    async def round(self) -> None:
        """Close the window of each running roll-out and send it."""
        self._window += 1
        running = {rollout.name for rollout in self._running()}
        for name in list(self._subjects):
            if name not in running:
                ended = self._subjects.pop(name)
                self._windows.labels("ended").inc(len(ended.closed))
                continue
            self._close(name, self._subjects[name])
            await self._send_all(name, self._subjects[name])

    def _interval(self) -> float:
        return WINDOW_INTERVAL + self._rng.uniform(0, WINDOW_JITTER)

    def _running(self) -> list[snapshot.Rollout]:
        applied = self._config()
        if applied is None:
            return []
        return [
            rollout
            for rollout in applied.snapshot.rollouts.values()
            if rollout.state is snapshot.RolloutState.RUNNING
        ]

    def _tallies(self, target: snapshot.ModelVersion) -> list[evidence.Tally]:
        found = []
        for rollout in self._running():
            if rollout.model != target.model:
                continue
            if target.version not in (rollout.base, rollout.candidate):
                continue
            subject = self._subjects.setdefault(rollout.name, _Subject())
            found.append(
                subject.open.setdefault(target.version, evidence.Tally())
            )
        return found

    def _close(self, name: str, subject: _Subject) -> None:
        for version, tally in subject.open.items():
            message = messages.Evidence(
                subject=name,
                version=version,
                window=self._window,
                successes=tally.successes,
                failures=tally.failures,
                rated=tally.rated,
                total=tally.total,
                squares=tally.squares,
            )
            subject.closed.append(message)
        subject.open = {}
        excess = max(0, len(subject.closed) - MAX_WINDOWS)
        self._windows.labels("lost").inc(excess)
        del subject.closed[:excess]

    async def _send_all(self, name: str, subject: _Subject) -> None:
        """Send windows in order; the lead only keeps the newest number."""
        for message in list(subject.closed):
            reply = await self._send(message)
            if not isinstance(reply, messages.Evidence):
                return
            kept = [
                held
                for held in subject.closed
                if held.version != reply.version or held.window > reply.window
            ]
            stored = len(subject.closed) - len(kept)
            self._windows.labels("stored").inc(stored)
            subject.closed = kept

    async def _send(
        self, message: messages.Evidence
    ) -> messages.Message | None:
        names = [peer.name for peer in self._hub.candidates()]
        owner = rendezvous.owner(
            rollout_leader.role_of(message.subject), [*names, self._hub.name]
        )
        self._windows.labels("sent").inc()
        if owner is None or owner == self._hub.name:
            return self._lead.take(self._hub.name, message)
        try:
            return await self._hub.request(owner, message, SEND_TIMEOUT)
        except exceptions.PeerUnavailable:
            return None
