"""Quarantine of requests that crash the servers that run them."""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
import json
import math
import random
from typing import Any

from limpetwalk import exceptions
from limpetwalk.gateway import call as calls
from limpetwalk.gateway import crash_suspects
from limpetwalk.gateway import fleet
from limpetwalk.gateway import ports
from limpetwalk.peers import rendezvous

from . import cluster_state
from . import connector
from . import events
from . import logs
from . import upstream

# Time for which requests that broke off at the same server are collected,
# seconds. A crash breaks them off within a few milliseconds.
COLLECT_SECONDS = 0.03
# Timeout of the connection that distinguishes a crashed server from a lost
# answer, seconds.
PROBE_TIMEOUT = 0.25
# Finding of a check that its server has crashed.
CRASHED = "crashed"
# Servers for which this node remembers the suspects that it has reported.
MAX_REPORTS = 200
# Largest size of a report, bytes; a row holds 64 KiB after encoding. Suspects
# that don't fit are left out.
MAX_REPORT_BYTES = 40_000
# Largest number of suspects in a report.
MAX_SUSPECTS = 200
# Attempts to publish a report while the store doesn't answer, and the pause
# between two, in seconds.
PUBLISH_ATTEMPTS = 30
PUBLISH_PAUSE = 1.0
# Upper bound of the random delay before an answer is published, seconds for
# each node and altogether. Most nodes find meanwhile that another one was
# faster.
ANSWER_DELAY_PER_NODE = 0.01
MAX_ANSWER_DELAY = 1.5
# Time between two trials of a blocked request, at one node and between the
# nodes, in seconds. It covers a run, the check of its server and the time
# until all nodes know of the crash.
TRIAL_INTERVAL = 10.0
# Blocks whose latest trial is remembered.
MAX_TRIALS = 1000
# Published answers of this node that are written again if they get lost.
MAX_OWN_ANSWERS = 200


@dataclass(slots=True)
class _Report:
    """Suspects of one crash that this node knows.

    :param at: instant of the crash on the store's clock, in seconds.
    :param unchecked: calls that broke off, until it is known why.
    """

    at: float
    suspects: list[crash_suspects.Suspect] = field(default_factory=list)
    unchecked: list[calls.Call] = field(default_factory=list)
    check: asyncio.Task[None] | None = None

    def to_row(self) -> str:
        """Return the report as JSON, with the suspects that fit in a row."""
        suspects, known_crashes, size = [], [], 0
        for suspect in self.suspects:
            entry = [suspect.attempt, *suspect.traits]
            known = sorted(suspect.known_crashes or ())
            size += len(json.dumps([entry, known])) + 2
            if size > MAX_REPORT_BYTES:
                break
            suspects.append(entry)
            known_crashes.append(known)
        # A field of its own, since nodes of older versions take all of an
        # entry for traits.
        return json.dumps(
            {
                "at": self.at,
                "suspects": suspects,
                "known_crashes": known_crashes,
            }
        )


class PoisonRequests:
    """Blocks requests that crash servers, by the evidence of all nodes.

    :param node: name of this node.
    :param shared: returns the table that the nodes share.
    :param connections: opens connections to servers.
    :param rng: random source for the delay of writes.
    """

    def __init__(
        self,
        node: str,
        state: cluster_state.ClusterState,
        shared: Callable[[], ports.SharedTable],
        connections: connector.Connector,
        journal: logs.Journal,
        rng: random.Random,
    ) -> None:
        self._node = node
        self._connector = connections
        self._cluster_state = state
        self._shared = shared
        self._journal = journal
        self._rng = rng
        self._reports: collections.OrderedDict[str, _Report] = (
            collections.OrderedDict()
        )
        self._own_answers: collections.OrderedDict[str, str] = (
            collections.OrderedDict()
        )
        self._trials: collections.OrderedDict[frozenset[str], float] = (
            collections.OrderedDict()
        )
        self._tasks: set[asyncio.Task[None]] = set()
        state.on_restoration(self._write_lost_rows)

    def is_blocked(self, call: calls.Call) -> bool:
        """Whether requests like a call have crashed too many servers."""
        block = self._cluster_state.crash_suspects.block(call.traits)
        if block is None:
            return False
        self._journal.emit(
            events.RequestBlocked(
                call.caller_attempt_id, tuple(sorted(block.traits))
            )
        )
        return True

    def may_start(self, call: calls.Call) -> bool:
        """Whether a call may be sent: it isn't blocked, or is a trial.

        When the time of a block is over, the nodes let one request through
        after another. An answer ends the block, a crash prolongs it.
        """
        block = self._cluster_state.crash_suspects.block(call.traits)
        if block is None:
            return True
        if self._is_trial(block):
            self._journal.emit(
                events.RequestTrial(
                    call.caller_attempt_id, tuple(sorted(block.traits))
                )
            )
            return True
        return not self.is_blocked(call)

    def _is_trial(self, block: crash_suspects.Block) -> bool:
        """Whether this node lets one request through a block now."""
        nodes = self._cluster_state.nodes | {self._node}
        order = rendezvous.rank(",".join(sorted(block.traits)), nodes)
        now = self._cluster_state.store_time()
        due = block.until + TRIAL_INTERVAL * order.index(self._node)
        due = max(
            due, self._trials.get(block.traits, -math.inf) + TRIAL_INTERVAL
        )
        if now < due:
            return False
        self._trials[block.traits] = now
        self._trials.move_to_end(block.traits)
        while len(self._trials) > MAX_TRIALS:
            self._trials.popitem(last=False)
        return True

    def record_sent(self, call: calls.Call, server_id: str) -> None:
        """Remember which crashes were known when a call was sent.

        Servers at which a call broke off that is being checked count too.
        """
        known = set(
            self._cluster_state.crash_suspects.known_crashes(call.traits)
        )
        for server, report in self._reports.items():
            if report.unchecked and any(
                not set(call.traits).isdisjoint(broken.traits)
                for broken in report.unchecked
            ):
                known.add(server)
        call.known_crashes[server_id] = frozenset(known)

    def check_server(self, call: calls.Call, member: fleet.Member) -> None:
        """Check in the background whether a call crashed its server.

        A call whose answer had begun is no suspect.

        :param member: server whose answer broke off.
        """
        if call.answering_since is not None:
            return
        entry = member.entry
        server = entry.start
        report = self._reports.get(server)
        if report is None:
            report = _Report(self._cluster_state.store_time())
            self._reports[server] = report
            if len(self._reports) > MAX_REPORTS:
                oldest, _ = self._reports.popitem(last=False)
                self._spawn(self._remove_report(oldest))
        if len(report.suspects) >= MAX_SUSPECTS:
            return
        if not report.unchecked:
            report.check = self._spawn(
                self._report_crash(server, member, report)
            )
        report.unchecked.append(call)

    async def wait_for_check(self, call: calls.Call) -> None:
        """Wait until it is known whether a call crashed its server.

        Only calls that one more crash may block wait, since the check delays
        a retry.
        """
        crashes = self._cluster_state.crash_suspects.crash_count(call.traits)
        if crashes < crash_suspects.CRASHES_TO_BLOCK - 1:
            return
        checks = [
            report.check
            for report in self._reports.values()
            if report.check is not None
            and any(unchecked is call for unchecked in report.unchecked)
        ]
        if checks:
            await asyncio.wait(checks, timeout=COLLECT_SECONDS + PROBE_TIMEOUT)

    def close(self) -> None:
        """Cancel checks and writes that are under way."""
        for task in self._tasks:
            task.cancel()

    def record_answer(self, call: calls.Call) -> None:
        """Clear the traits of a call whose answer has begun."""
        exposed = self._cluster_state.crash_suspects.record_answer(
            call.traits, self._cluster_state.store_time()
        )
        if exposed:
            self._spawn(self._publish_answer(call, exposed))

    async def _report_crash(
        self, server: str, member: fleet.Member, report: _Report
    ) -> None:
        """Report the calls that broke off, if their server has crashed."""
        await asyncio.sleep(COLLECT_SECONDS)
        broken_calls = list(report.unchecked)
        finding = await self._probe(member)
        del report.unchecked[: len(broken_calls)]
        if report.unchecked:
            # These broke off after the connection that tells.
            report.check = self._spawn(
                self._report_crash(server, member, report)
            )
        self._journal.emit(
            events.ServerChecked(
                member.id,
                len(broken_calls),
                finding,
                int((self._cluster_state.store_time() - report.at) * 1000),
            )
        )
        if finding != CRASHED:
            if not report.suspects and not report.unchecked:
                self._reports.pop(server, None)
            return
        suspects = [
            crash_suspects.Suspect(
                call.caller_attempt_id,
                call.traits,
                call.known_crashes.get(member.id, frozenset()),
            )
            for call in broken_calls
        ]
        report.suspects += suspects
        evidence = self._cluster_state.crash_suspects
        now = self._cluster_state.store_time()
        evidence.record_crash(server, report.at, suspects, now)
        for call in broken_calls:
            self._journal.emit(
                events.CrashSuspected(
                    call.caller_attempt_id,
                    call.fingerprint,
                    member.id,
                    evidence.crash_count(call.traits),
                    evidence.counted(call.traits),
                    call.prompt.shared_parts,
                )
            )
        put = ports.SharedPut(self._report_key(server), report.to_row())
        await self._publish("publishing a crash", [put])

    async def _probe(self, member: fleet.Member) -> str:
        """Return what a connection to a server tells about it.

        A server that is silent, or that lost links lead to, may be up.
        """
        try:
            exchange = await self._connector.connect(member, PROBE_TIMEOUT)
        except upstream.ServerUnreachable as exc:
            if exc.link_lost:
                return "link_lost"
            return CRASHED if exc.refused else "unreached"
        exchange.close()
        return "accepts"

    def _report_key(self, server: str) -> str:
        return f"{cluster_state.CRASH_PREFIX}{server}/{self._node}"

    def _write_lost_rows(self, rows: Mapping[str, str]) -> None:
        """Publish again what a restored store lacks of this node's rows.

        :param rows: shared rows of the store by key.
        """
        own_rows = {
            self._report_key(server): report.to_row()
            for server, report in self._reports.items()
            if report.suspects
        }
        lost = {
            key: value
            for key, value in (own_rows | self._own_answers).items()
            if rows.get(key) != value
        }
        if lost:
            self._spawn(self._publish_again(lost))

    async def _publish_again(self, rows: Mapping[str, str]) -> None:
        await asyncio.sleep(self._random_delay())
        for key, value in rows.items():
            put = ports.SharedPut(key, value)
            await self._publish("publishing a lost row", [put])

    def _random_delay(self) -> float:
        """Return a delay that spreads the writes of all nodes, in seconds."""
        longest = ANSWER_DELAY_PER_NODE * len(self._cluster_state.nodes)
        return self._rng.uniform(0.0, min(MAX_ANSWER_DELAY, longest))

    async def _remove_report(self, server: str) -> None:
        try:
            await self._shared().remove(self._report_key(server))
        except exceptions.StoreError as exc:
            self._journal.emit(
                events.UnexpectedError("removing a crash", str(exc))
            )

    async def _publish_answer(
        self, call: calls.Call, traits: list[str]
    ) -> None:
        """Tell the other nodes that a request with these traits was sound."""
        state = self._cluster_state
        answered_at = state.store_time()
        await asyncio.sleep(self._random_delay())
        puts = [
            ports.SharedPut(
                cluster_state.ANSWER_PREFIX + trait,
                json.dumps({"at": answered_at}),
            )
            for trait in traits
            if state.published_answers.get(trait, 0.0) < answered_at
        ]
        if puts:
            self._own_answers.update((put.key, put.value) for put in puts)
            while len(self._own_answers) > MAX_OWN_ANSWERS:
                self._own_answers.popitem(last=False)
            await self._publish("publishing an answer", puts)

    async def _publish(self, place: str, puts: list[ports.SharedPut]) -> None:
        """Write rows, again and again while the store doesn't answer."""
        for attempt in range(PUBLISH_ATTEMPTS):
            try:
                await self._shared().put(puts)
            except exceptions.StoreError as exc:
                if not attempt:
                    self._journal.emit(events.UnexpectedError(place, str(exc)))
                await asyncio.sleep(PUBLISH_PAUSE)
            else:
                return

    def _spawn(
        self, coroutine: Coroutine[Any, Any, None]
    ) -> asyncio.Task[None]:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
