"""Finds what requests that crash servers have in common.

Serves a load in which requests crash each server that begins to answer them:
either one request that is sent again and again, or requests that differ in
everything but one part of their prompts. When a server crashes, each request
that it hadn't begun to answer is a suspect, with all its traits: its
fingerprint and the prompt parts that others may share. An answer that begins
clears the traits of its request. A trait is blocked when it explains more
crashes than chance, and no other trait explains the same crashes.

Servers that lose power together are no evidence against the requests that
they had. A trait that came to a server after another one had crashed is.
"""

import collections
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
import heapq
import math
from typing import Any

# Crashes that traits must explain before requests with them are blocked.
CRASHES_TO_BLOCK = 3
# Crashes after which requests are blocked although several traits, which
# don't occur in the same requests, explain the same crashes.
CRASHES_TO_BLOCK_ALL = 4
# Time within which several servers may crash of one cause, such as a loss of
# power, in seconds.
BURST_SECONDS = 0.25
# Crashes of one trait that a node tells as known; a row holds few.
MAX_KNOWN_CRASHES = 3
# Time after its last crash for which a trait is blocked, in seconds. It
# doubles with each further crash, up to a number of times.
BLOCK_SECONDS = 300.0
MAX_DOUBLINGS = 4
# Crashes and begun answers that are remembered.
MAX_CRASHES = 400
MAX_ANSWERS = 20_000


@dataclass(frozen=True, slots=True)
class Suspect:
    """Request whose answer had not begun when its server crashed.

    :param attempt: identifier of the caller's attempt.
    :param traits: fingerprint of the request and ids of its prompt parts.
    :param known_crashes: servers that had crashed with one of its traits, as
        its node knew when it sent the request; None if the node didn't tell.
    """

    attempt: str
    traits: tuple[str, ...]
    known_crashes: frozenset[str] | None = None


@dataclass(frozen=True, slots=True)
class Block:
    """Block of requests that have some traits.

    :param traits: requests that have all of them are blocked.
    :param until: instant on the shared clock from which one may be tried
        again, in seconds.
    """

    traits: frozenset[str]
    until: float


@dataclass(slots=True)
class Crash:
    """Crash of a server, as all nodes have reported it so far.

    :param at: instant of the crash on the clock that the nodes share, in
        seconds.
    :param heard_at: instant of the first report on that clock, in seconds.
    """

    at: float
    heard_at: float
    suspects: set[Suspect] = field(default_factory=set)
    _by_trait: dict[str, list[Suspect]] = field(default_factory=dict)

    def add(self, suspect: Suspect) -> None:
        """Add a suspect, unless it is known."""
        if suspect in self.suspects:
            return
        self.suspects.add(suspect)
        for trait in suspect.traits:
            self._by_trait.setdefault(trait, []).append(suspect)

    def suspects_with(self, trait: str) -> list[Suspect]:
        """Return the suspects that have a trait."""
        return self._by_trait.get(trait, [])


class CrashSuspects:
    """Evidence about traits of requests that crash servers."""

    def __init__(self) -> None:
        self._crashes: dict[str, Crash] = {}
        self._servers: dict[str, set[str]] = collections.defaultdict(set)
        self._answered: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        # Crashes of traits that this node has cleared, and that others and
        # the store may still hold against them.
        self._cleared_here: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._blocks: list[Block] | None = []

    def record_crash(
        self,
        server: str,
        at: float,
        suspects: Iterable[Suspect],
        heard_at: float = math.inf,
    ) -> None:
        """Record one node's report of a crash.

        :param server: identifies the server and its start.
        :param at: instant of the crash on the shared clock, in seconds.
        :param heard_at: instant of the report on that clock, in seconds.
        """
        crash = self._crashes.setdefault(server, Crash(at, heard_at))
        crash.at = min(crash.at, at)
        for suspect in suspects:
            crash.add(suspect)
            for trait in suspect.traits:
                if self._answered.get(trait, -math.inf) < crash.at:
                    self._servers[trait].add(server)
        if len(self._crashes) > MAX_CRASHES:
            self._forget(next(iter(self._crashes)))
        self._blocks = None

    def record_answer(self, traits: Iterable[str], at: float) -> list[str]:
        """Clear the traits of a request whose answer has begun.

        :param at: instant of its first byte on the shared clock, in seconds.
        :returns: the traits that other nodes, also those that start later,
            may be about to block.
        """
        exposed = []
        for trait in traits:
            standing = len(self._servers.get(trait, ()))
            cleared_here = self._cleared_here.pop(trait, 0)
            cleared = self._clear(trait, at)
            if standing + cleared_here >= CRASHES_TO_BLOCK - 1:
                exposed.append(trait)
            elif cleared + cleared_here:
                self._cleared_here[trait] = cleared + cleared_here
        _bound(self._cleared_here, MAX_ANSWERS)
        return exposed

    def record_published_answer(self, trait: str, at: float) -> None:
        """Clear a trait of a request that any node has answered."""
        self._clear(trait, at)
        self._cleared_here.pop(trait, None)

    def crash_count(self, traits: Iterable[str]) -> int:
        """Return the largest number of crashes that one trait explains."""
        return max(
            (len(self._servers.get(trait, ())) for trait in traits), default=0
        )

    def _crashed_at(self, server: str) -> float:
        return self._crashes[server].at

    def counted(self, traits: Iterable[str]) -> int:
        """Return the length of the longest row of crashes of one trait."""
        return max(
            (
                self._crashes_in_row(trait, self._servers[trait])
                for trait in traits
                if trait in self._servers
            ),
            default=0,
        )

    def known_crashes(self, traits: Iterable[str]) -> frozenset[str]:
        """Return the servers that crashed lately with one of some traits."""
        known: set[str] = set()
        for trait in traits:
            servers = self._servers.get(trait)
            if servers:
                known.update(
                    heapq.nlargest(
                        MAX_KNOWN_CRASHES, servers, self._crashed_at
                    )
                )
        return frozenset(known)

    def blocking(self, traits: Collection[str]) -> frozenset[str]:
        """Return the traits for which a request is blocked, or none.

        :param traits: traits of the request.
        """
        block = self.block(traits)
        return block.traits if block else frozenset()

    def block(self, traits: Collection[str]) -> Block | None:
        """Return the block that holds for a request, or None.

        :param traits: traits of the request.
        """
        if self._blocks is None:
            self._blocks = self._find_blocks()
        for block in self._blocks:
            if block.traits.issubset(traits):
                return block
        return None

    def _clear(self, trait: str, at: float) -> int:
        """Drop the crashes before an answer from a trait's.

        :returns: the number of crashes that were dropped.
        """
        answered_at = max(at, self._answered.pop(trait, -math.inf))
        self._answered[trait] = answered_at
        _bound(self._answered, MAX_ANSWERS)
        servers = self._servers.get(trait, set())
        remaining = {
            server
            for server in servers
            if self._crashes[server].at > answered_at
        }
        cleared = len(servers) - len(remaining)
        if cleared:
            self._blocks = None
        if remaining:
            self._servers[trait] = remaining
        else:
            self._servers.pop(trait, None)
        return cleared

    def _forget(self, server: str) -> None:
        crash = self._crashes.pop(server)
        for suspect in crash.suspects:
            for trait in suspect.traits:
                servers = self._servers.get(trait)
                if servers is None:
                    continue
                servers.discard(server)
                if not servers:
                    del self._servers[trait]

    def _find_blocks(self) -> list[Block]:
        """Return the blocks that the evidence demands.

        The traits that explain most crashes come first. What they explain is
        no evidence against the traits of requests that were at the same
        servers by chance.
        """
        unexplained = {
            trait: set(servers)
            for trait, servers in self._servers.items()
            if len(servers) >= CRASHES_TO_BLOCK
        }
        blocks: list[Block] = []
        while unexplained:
            guilty = {
                trait: self._crashes_in_row(trait, servers)
                for trait, servers in unexplained.items()
                if self._is_guilty(trait, servers)
            }
            if not guilty:
                break
            trait = max(
                guilty,
                key=lambda name: (guilty[name], len(unexplained[name]), name),
            )
            servers = unexplained[trait]
            equal = frozenset(
                name
                for name, others in unexplained.items()
                if others == servers
            )
            alternatives = self._alternatives(equal, servers)
            if len(alternatives) == 1 or guilty[trait] >= CRASHES_TO_BLOCK_ALL:
                until = self._blocked_until(servers)
                blocks += [Block(subset, until) for subset in alternatives]
            unexplained = _without(unexplained, servers)
        return blocks

    def _blocked_until(self, servers: Collection[str]) -> float:
        """Return the instant until which the traits of crashes are blocked.

        An instant that lies ahead of the shared clock doesn't prolong it.
        """
        last_crash_at = max(
            min(self._crashes[server].at, self._crashes[server].heard_at)
            for server in servers
        )
        doublings = min(len(servers) - CRASHES_TO_BLOCK, MAX_DOUBLINGS)
        return last_crash_at + BLOCK_SECONDS * 2**doublings

    def _is_guilty(self, trait: str, servers: Collection[str]) -> bool:
        """Whether crashes of servers with a trait were no coincidence.

        Requests that went to a server after another one had crashed tell a
        trait that crashes servers from servers that lose power together. One
        that was ever answered may still meet servers that are stopped in turn.
        """
        if len(servers) < CRASHES_TO_BLOCK:
            return False
        gap = BURST_SECONDS if trait in self._answered else -math.inf
        return self._crashes_in_row(trait, servers, gap) > 1

    def _crashes_in_row(
        self, trait: str, servers: Collection[str], gap: float = -math.inf
    ) -> int:
        """Return the length of the longest row of crashes, at most 4.

        A row goes on with a crash of a server that got the trait from a node
        which knew of the crash before.

        :param gap: shortest time between two crashes of a row, in seconds.
        """
        earlier = {
            server: [
                other
                for other in self._known_crashes(trait, server, servers)
                if self._crashes[server].at - self._crashes[other].at >= gap
            ]
            for server in servers
        }
        length, ends = 0, set(servers)
        while ends and length < CRASHES_TO_BLOCK_ALL:
            length += 1
            ends = {
                server
                for server, others in earlier.items()
                if not ends.isdisjoint(others)
            }
        return length

    def _known_crashes(
        self, trait: str, server: str, servers: Collection[str]
    ) -> set[str]:
        """Return the crashes before a trait was sent to a server.

        :param servers: servers that crashed with the trait.
        """
        known: set[str] = set()
        at = self._crashes[server].at
        for suspect in self._crashes[server].suspects_with(trait):
            if suspect.known_crashes is not None:
                known |= suspect.known_crashes.intersection(servers)
                continue
            known.update(
                other
                for other in servers
                if at - self._crashes[other].at >= BURST_SECONDS
                or self._has_attempt(other, trait, suspect.attempt, at)
            )
        known.discard(server)
        return known

    def _has_attempt(
        self, server: str, trait: str, attempt: str, before: float
    ) -> bool:
        crash = self._crashes[server]
        return crash.at < before and any(
            suspect.attempt == attempt
            for suspect in crash.suspects_with(trait)
        )

    def _alternatives(
        self, traits: frozenset[str], servers: Collection[str]
    ) -> list[frozenset[str]]:
        """Split traits of equal evidence by the requests that have them."""
        found = {
            traits.intersection(suspect.traits)
            for server in servers
            for trait in traits
            for suspect in self._crashes[server].suspects_with(trait)
        }
        return sorted(
            (
                subset
                for subset in found
                if subset and not any(subset < other for other in found)
            ),
            key=sorted,
        )


def _bound(entries: "collections.OrderedDict[str, Any]", most: int) -> None:
    """Drop the oldest entries beyond a number."""
    while len(entries) > most:
        entries.popitem(last=False)


def _without(
    unexplained: Mapping[str, set[str]], servers: Collection[str]
) -> dict[str, set[str]]:
    """Return the crashes of each trait that remain to be explained."""
    remaining = {
        trait: others.difference(servers)
        for trait, others in unexplained.items()
    }
    return {
        trait: others
        for trait, others in remaining.items()
        if len(others) >= CRASHES_TO_BLOCK
    }
