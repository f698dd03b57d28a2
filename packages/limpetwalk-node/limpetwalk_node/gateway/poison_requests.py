"""Quarantine of requests that crash the servers that run them."""

import asyncio
from collections.abc import Callable
import json

from limpetwalk import clock as clocks
from limpetwalk import exceptions
from limpetwalk.gateway import call as calls
from limpetwalk.gateway import fleet
from limpetwalk.gateway import ports

from . import cluster_state
from . import events
from . import logs
from . import upstream

# Number of crashed servers after which no node sends a request any more. The
# platform allows three.
CRASHES_TO_BLOCK = 3
# Timeout of the connection that distinguishes a crashed server from a lost
# answer, seconds.
PROBE_TIMEOUT = 0.25


class PoisonRequests:
    """Counts the servers that each request crashed, over all nodes.

    :param shared: returns the table that the nodes share.
    :param clock: source of monotonic time.
    """

    def __init__(
        self,
        state: cluster_state.ClusterState,
        shared: Callable[[], ports.SharedTable],
        journal: logs.Journal,
        clock: clocks.Clock,
    ) -> None:
        self._clock = clock
        self._cluster_state = state
        self._shared = shared
        self._journal = journal
        self._tasks: set[asyncio.Task[None]] = set()

    def is_blocked(self, fingerprint: str) -> bool:
        """Whether a request has crashed too many servers to be sent again."""
        crashed = self._cluster_state.crashes.get(fingerprint, ())
        return len(crashed) >= CRASHES_TO_BLOCK

    def check_server(self, call: calls.Call, member: fleet.Member) -> None:
        """Check in the background whether a server crashed.

        :param member: server whose answer broke off.
        """
        answered_ms = -1
        if call.answering_since is not None:
            answered = self._clock.monotonic() - call.answering_since
            answered_ms = int(answered * 1000)
        task = asyncio.create_task(
            self._probe_server(call, member, answered_ms)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _probe_server(
        self, call: calls.Call, member: fleet.Member, answered_ms: int
    ) -> None:
        try:
            exchange = await upstream.Exchange.connect(
                member.entry.host, member.entry.port, PROBE_TIMEOUT
            )
        except upstream.ServerUnreachable:
            await self._record_crash(call, member, answered_ms)
        else:
            exchange.close()

    async def _record_crash(
        self, call: calls.Call, member: fleet.Member, answered_ms: int
    ) -> None:
        crashed = self._cluster_state.crashes.setdefault(
            call.fingerprint, set()
        )
        if member.id in crashed:
            return
        crashed.add(member.id)
        self._journal.emit(
            events.CrashSuspected(
                call.caller_attempt_id,
                call.fingerprint,
                member.id,
                len(crashed),
                call.prompt.shared_parts,
                answered_ms,
            )
        )
        put = ports.SharedPut(
            f"{cluster_state.CRASH_PREFIX}{call.fingerprint}/{member.id}",
            json.dumps({"request": call.caller_attempt_id}),
        )
        try:
            await self._shared().put([put])
        except exceptions.StoreError as exc:
            self._journal.emit(
                events.UnexpectedError(
                    "publishing a crash", str(exc), call.caller_attempt_id
                )
            )
