"""Callers on kept connections, and what they get."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
import random
import time

import aiohttp

from ..hub import site
from . import nodes

# Time that callers give a request, seconds, and how much longer they listen
# before they call it unanswered.
DEADLINE = 2.5
HANG_SLACK = 1.0
# Pauses between two requests of a caller, seconds.
SHORTEST_PAUSE = 0.02
LONGEST_PAUSE = 0.2
# Part of a caller's requests for which it changes to another node.
MOVE_SHARE = 0.05
KINDS = ("once", "again", "stream")


@dataclass(slots=True)
class Outcome:
    """One request and what became of it.

    :param kind: name of its route.
    :param node: node that it was sent to.
    :param sent: instant at which it was sent.
    :param ended: instant at which its answer or connection ended.
    :param status: status of the answer, 0 without one.
    :param seal: mark of the server that answered, or empty.
    :param echoed: attempt that the answer names.
    :param whole: whether the answer ended as a whole one does.
    :param hung: whether nothing came long after the deadline.
    """

    id: str
    kind: str
    node: str
    sent: float
    ended: float = 0.0
    status: int = 0
    seal: str = ""
    echoed: str = ""
    body: bytes = b""
    whole: bool = False
    hung: bool = False
    error: str = ""

    @property
    def served(self) -> bool:
        """Whether the caller has a whole answer of a server."""
        return self.status == 200 and self.whole


class Caller:
    """Sends one request after another.

    :param outcomes: list that takes what becomes of them.
    """

    def __init__(
        self,
        name: str,
        held: Sequence[nodes.Node],
        rng: random.Random,
        outcomes: list[Outcome],
    ) -> None:
        self._name = name
        self._nodes = held
        self._rng = rng
        self._outcomes = outcomes
        self._sent = 0

    async def run(self) -> None:
        """Send until cancelled."""
        node = self._rng.choice(self._nodes)
        async with aiohttp.ClientSession() as http:
            while True:
                outcome = await self._send(http, node)
                self._outcomes.append(outcome)
                if not outcome.status or self._rng.random() < MOVE_SHARE:
                    node = self._rng.choice(self._nodes)
                pause = self._rng.uniform(SHORTEST_PAUSE, LONGEST_PAUSE)
                await asyncio.sleep(pause)

    async def _send(
        self, http: aiohttp.ClientSession, node: nodes.Node
    ) -> Outcome:
        self._sent += 1
        kind = self._rng.choice(KINDS)
        outcome = Outcome(
            f"{self._name}-{self._sent}", kind, node.name, time.monotonic()
        )
        try:
            async with asyncio.timeout(DEADLINE + HANG_SLACK):
                await self._exchange(http, node, outcome)
        except TimeoutError:
            outcome.hung = True
        except (aiohttp.ClientError, OSError) as exc:
            outcome.error = repr(exc)
        outcome.ended = time.monotonic()
        return outcome

    async def _exchange(
        self, http: aiohttp.ClientSession, node: nodes.Node, outcome: Outcome
    ) -> None:
        async with http.post(
            f"http://{node.host}:{node.callers}/{outcome.kind}/x",
            headers={
                **site.request_headers(outcome.id, int(DEADLINE * 1000)),
                **(site.STREAM_HEADERS if outcome.kind == "stream" else {}),
            },
            data=outcome.id.encode(),
        ) as resp:
            outcome.status = resp.status
            outcome.seal = resp.headers.get("Server-Seal", "")
            outcome.echoed = resp.headers.get("Attempt-Id", "")
            async for data in resp.content.iter_any():
                outcome.body += data
            outcome.whole = True
