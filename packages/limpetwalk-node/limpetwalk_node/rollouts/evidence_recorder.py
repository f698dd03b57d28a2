"""Recorder of this node's evidence of the versions in running roll-outs."""

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

# Seconds between two windows, and the random addition to it at most.
WINDOW_INTERVAL = 2.0
WINDOW_JITTER = 0.2
# Closed windows of a roll-out that are kept until the leader stores them.
MAX_WINDOWS = 64
# Seconds to wait for the leader's reply to a window.
SEND_TIMEOUT = 0.5
# Steps a second of the Unix time that gives the first window its number.
WINDOW_NUMBERS_PER_S = 1000


@dataclass(slots=True)
class _RolloutWindows:
    """Evidence of one roll-out that the leader hasn't stored yet.

    :param open_tallies: tallies of the open window by version.
    :param closed_windows: closed windows, the oldest first.
    """

    open_tallies: dict[str, evidence.Tally] = field(default_factory=dict)
    closed_windows: list[messages.Evidence] = field(default_factory=list)


class EvidenceRecorder:
    """Counts outcomes in numbered windows and sends them to the leader.

    A window is kept until it is in the row that the leader stores, so no
    window is lost when a leader fails.

    :param hub: links to the peers.
    :param leader: leader on this node, for the roll-outs that it leads.
    :param config: returns the configuration in force.
    :param clock: source of time.
    :param rng: source of the jitter between the nodes' windows.
    :param metrics: metrics of the process.
    """

    def __init__(
        self,
        hub: hubs.Hub,
        leader: rollout_leader.GuardedRolloutLeader,
        config: Callable[[], snapshot.AppliedSnapshot | None],
        clock: clocks.Clock,
        rng: random.Random,
        metrics: measures.Metrics,
    ) -> None:
        self._hub = hub
        self._leader = leader
        self._config = config
        self._rng = rng
        self._rollouts: dict[str, _RolloutWindows] = {}
        # The numbers keep growing over a restart, since windows are closed
        # far more slowly than the starting number grows.
        self._window = int(clock.wall() * WINDOW_NUMBERS_PER_S)
        self._task: asyncio.Task[None] | None = None
        self._window_counter = metrics.counter(
            "limpetwalk_evidence_windows",
            "Windows of evidence: sent, stored in the row, lost for want of "
            "a lead, or dropped as their roll-out ended.",
            ("outcome",),
        )

    async def start(self) -> None:
        """Start closing and sending windows periodically."""
        self._task = asyncio.create_task(
            loops.run_periodically(self.flush, self._next_interval)
        )

    async def stop(self) -> None:
        """Stop, and try once to send the remaining windows."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            await self.flush()

    def finished(self, target: snapshot.ModelVersion) -> None:
        """Count a complete answer that was in time."""
        for tally in self._open_tallies(target):
            tally.observe(True)

    def failed(self, target: snapshot.ModelVersion) -> None:
        """Count a request that the version's backend servers failed."""
        for tally in self._open_tallies(target):
            tally.observe(False)

    def rated(self, target: snapshot.ModelVersion, score: float) -> None:
        """Add the rating of an answer that has been counted already.

        :param score: rating, 0.0 to 1.0.
        """
        for tally in self._open_tallies(target):
            tally.add(evidence.Tally(0, 0, 1, score, score * score))

    async def flush(self) -> None:
        """Close the window of each running roll-out and send the windows."""
        self._window += 1
        running = {rollout.name for rollout in self._running()}
        for name in list(self._rollouts):
            if name not in running:
                ended = self._rollouts.pop(name)
                self._window_counter.labels("ended").inc(
                    len(ended.closed_windows)
                )
                continue
            self._close_window(name, self._rollouts[name])
            await self._send_windows(name, self._rollouts[name])

    def _next_interval(self) -> float:
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

    def _open_tallies(
        self, target: snapshot.ModelVersion
    ) -> list[evidence.Tally]:
        tallies = []
        for rollout in self._running():
            if rollout.model != target.model:
                continue
            if target.version not in (rollout.base, rollout.candidate):
                continue
            windows = self._rollouts.setdefault(
                rollout.name, _RolloutWindows()
            )
            tallies.append(
                windows.open_tallies.setdefault(
                    target.version, evidence.Tally()
                )
            )
        return tallies

    def _close_window(self, name: str, windows: _RolloutWindows) -> None:
        for version, tally in windows.open_tallies.items():
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
            windows.closed_windows.append(message)
        windows.open_tallies = {}
        excess = max(0, len(windows.closed_windows) - MAX_WINDOWS)
        self._window_counter.labels("lost").inc(excess)
        del windows.closed_windows[:excess]

    async def _send_windows(self, name: str, windows: _RolloutWindows) -> None:
        """Send the windows in order until the leader doesn't accept one.

        The order matters because the leader keeps only the number of the
        newest window of each sender.
        """
        for message in list(windows.closed_windows):
            reply = await self._send(message)
            if not isinstance(reply, messages.Evidence):
                return
            unstored = [
                window
                for window in windows.closed_windows
                if window.version != reply.version
                or window.window > reply.window
            ]
            stored = len(windows.closed_windows) - len(unstored)
            self._window_counter.labels("stored").inc(stored)
            windows.closed_windows = unstored

    async def _send(
        self, message: messages.Evidence
    ) -> messages.Message | None:
        names = [peer.name for peer in self._hub.candidates()]
        owner = rendezvous.owner(
            rollout_leader.lease_role(message.subject),
            [*names, self._hub.name],
        )
        self._window_counter.labels("sent").inc()
        if owner is None or owner == self._hub.name:
            return self._leader.add_window(self._hub.name, message)
        try:
            return await self._hub.request(owner, message, SEND_TIMEOUT)
        except exceptions.PeerUnavailable:
            return None
