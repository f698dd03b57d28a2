"""Callers on persistent connections, and the outcomes that they record."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
import random
import time

import aiohttp

from ..hub import site
from . import nodes
from . import operators

# Deadline of each request, and the additional time after which a request
# without an answer counts as hung, in seconds.
DEADLINE = 2.5
HANG_SLACK = 1.0
# Shortest and longest pause between two requests of a caller, in seconds.
MIN_PAUSE = 0.02
MAX_PAUSE = 0.2
# Share of its requests after which a caller chooses a node again.
NODE_CHANGE_SHARE = 0.05
# Names of the routes that requests use.
ROUTES = ("once", "again", "stream")
# Share of the requests of the second workspace, some to its own route; a part
# of them with a key that nobody holds, and without a key.
OTHERS_SHARE = 0.15
OTHER_KEYS = (*operators.KEYS, *operators.KEYS, operators.STRANGE_KEY, "")


@dataclass(slots=True)
class Outcome:
    """Outcome of one request.

    :param id: identifier of the caller's attempt.
    :param route: name of its route.
    :param node: name of the node that it was sent to.
    :param key: key that it was sent with; empty for none.
    :param sent_at: monotonic time at which it was sent, in seconds.
    :param ended_at: monotonic time at which its answer or connection ended.
    :param status: HTTP status of the answer; 0 without one.
    :param seal: ``Server-Seal`` of the answer; empty without one.
    :param answered_attempt_id: ``Attempt-Id`` that the answer carries.
    :param complete: whether the answer was read to its regular end.
    :param hung: whether the request had not ended ``HANG_SLACK`` after its
        deadline.
    :param error: connection error, or empty.
    """

    id: str
    route: str
    node: str
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    seal: str = ""
    answered_attempt_id: str = ""
    body: bytes = b""
    complete: bool = False
    hung: bool = False
    error: str = ""
    key: str = site.API_KEY

    @property
    def served(self) -> bool:
        """Whether the caller has a complete answer of a server."""
        return self.status == 200 and self.complete


class Caller:
    """Caller that sends one request after another.

    :param entry_nodes: nodes to choose from.
    :param rng: source of all random choices.
    :param outcomes: list to which the outcomes are appended.
    """

    def __init__(
        self,
        name: str,
        entry_nodes: Sequence[nodes.Node],
        rng: random.Random,
        outcomes: list[Outcome],
    ) -> None:
        self._name = name
        self._nodes = entry_nodes
        self._rng = rng
        self._outcomes = outcomes
        self._sent_count = 0

    async def run(self) -> None:
        """Send requests until cancelled."""
        node = self._rng.choice(self._nodes)
        async with aiohttp.ClientSession() as http:
            while True:
                outcome = await self._send(http, node)
                self._outcomes.append(outcome)
                if (
                    not outcome.status
                    or self._rng.random() < NODE_CHANGE_SHARE
                ):
                    node = self._rng.choice(self._nodes)
                pause = self._rng.uniform(MIN_PAUSE, MAX_PAUSE)
                await asyncio.sleep(pause)

    async def _send(
        self, http: aiohttp.ClientSession, node: nodes.Node
    ) -> Outcome:
        self._sent_count += 1
        route, key = self._rng.choice(ROUTES), site.API_KEY
        if self._rng.random() < OTHERS_SHARE:
            route = self._rng.choice((*ROUTES, operators.ROUTE))
            key = self._rng.choice(OTHER_KEYS)
        outcome = Outcome(
            f"{self._name}-{self._sent_count}",
            route,
            node.name,
            time.monotonic(),
            key=key,
        )
        try:
            async with asyncio.timeout(DEADLINE + HANG_SLACK):
                await self._exchange(http, node, outcome)
        except TimeoutError:
            outcome.hung = True
        except (aiohttp.ClientError, OSError) as exc:
            outcome.error = repr(exc)
        outcome.ended_at = time.monotonic()
        return outcome

    async def _exchange(
        self, http: aiohttp.ClientSession, node: nodes.Node, outcome: Outcome
    ) -> None:
        headers = {
            **site.request_headers(outcome.id, int(DEADLINE * 1000)),
            **(site.STREAM_HEADERS if outcome.route == "stream" else {}),
            "Authorization": f"Token {outcome.key}",
        }
        if not outcome.key:
            del headers["Authorization"]
        async with http.post(
            f"http://{node.host}:{node.caller_port}/{outcome.route}/x",
            headers=headers,
            data=outcome.id.encode(),
        ) as resp:
            outcome.status = resp.status
            outcome.seal = resp.headers.get("Server-Seal", "")
            outcome.answered_attempt_id = resp.headers.get("Attempt-Id", "")
            async for data in resp.content.iter_any():
                outcome.body += data
            outcome.complete = True
