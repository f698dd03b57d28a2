"""Many nodes that place generations at shared engines, in simulated time.

The nodes use the product's own classes to choose servers and to report loads.
A request that a full engine rejects is sent to another one. A brittle engine
falls over when it rejects too many. One that pauses turns all requests away
and says for how long.
"""

import collections
from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
import functools
import heapq
import itertools
import random

from result import Ok

from limpetwalk import clock as clocks
from limpetwalk.gateway import brittle_servers
from limpetwalk.gateway import call as calls
from limpetwalk.gateway import fleet
from limpetwalk.gateway import load_decisions
from limpetwalk.gateway import peer_groups
from limpetwalk.gateway import placement
from limpetwalk.gateway import prefill_time
from limpetwalk.gateway import prefix_cache
from limpetwalk.gateway import request_queue
from limpetwalk.gateway import return_time
from limpetwalk.gateway import server_load
from limpetwalk.gateway import server_pauses
from limpetwalk.gateway import server_room
from limpetwalk.gateway import types
from limpetwalk.gateway import workspace_shares

from . import engines

SERVICE = "engine"
# One-way delay of a report or request, in seconds.
DELAY = 0.001
MAX_ATTEMPTS = 3
# Time for which a caller waits, returns included, in seconds.
CALLER_PATIENCE = 10.0
# Time after a statement from which requests at its server count, in seconds.
PAUSE_HEARD_AFTER = 0.5


@dataclass(frozen=True, slots=True)
class Kind:
    """Kind of requests.

    :param rate: requests per second.
    :param shared_tokens: tokens of the part that requests share.
    :param own_tokens: mean tokens of the part of the request itself.
    :param contexts: number of different shared parts.
    :param target: target time to the first event, in seconds.
    :param priority: priority of the requests, 0 is the highest.
    """

    name: str
    rate: float
    shared_tokens: int
    own_tokens: int
    output_tokens: int
    contexts: int
    target: float
    priority: int = 0


@dataclass(frozen=True, slots=True)
class Reporting:
    """How nodes report their loads.

    :param interval: time between two reports of a node, in seconds.
    :param grouped: whether reports go to groups, rather than to all nodes.
    :param reports_per_sum: number of reports of a node for each sum of its
        group.
    """

    interval: float
    grouped: bool
    reports_per_sum: int = 1


@dataclass(frozen=True, slots=True)
class Brittleness:
    """How engines fall over.

    :param rejections: requests that an engine may reject in a second; it says
        so in its answers.
    :param queue: requests that it lets wait once the nodes have heard of it.
    :param heard_after: time until then, in seconds.
    :param down_seconds: time for which an engine that fell over is away.
    """

    rejections: int
    queue: int = 0
    heard_after: float = 3.0
    down_seconds: float = 4.0


@dataclass(frozen=True, slots=True)
class Pause:
    """Time in which some engines want no requests.

    :param at: its start, in seconds after that of the load.
    :param servers: number of engines.
    """

    at: float
    seconds: float
    servers: int


@dataclass(frozen=True, slots=True)
class Load:
    """Load of a cluster.

    :param models: share of requests and pace, by model.
    :param brittle: how engines fall over, None if they don't.
    :param pause: when engines want no requests, None if they always do;
        callers that are refused come back once.
    :param nodes_listen: whether the nodes heed what engines say.
    :param ordered: whether requests proceed by priority.
    :param workspaces: share of the requests of each workspace.
    """

    nodes: int
    zones: int
    servers: int
    kinds: tuple[Kind, ...]
    models: Mapping[str, tuple[float, float]]
    seconds: float
    speed: engines.EngineSpeed = engines.EngineSpeed()
    brittle: Brittleness | None = None
    pause: Pause | None = None
    nodes_listen: bool = True
    ordered: bool = False
    workspaces: tuple[float, ...] = (1.0,)


@dataclass(slots=True)
class Outcome:
    """What a caller got.

    :param first: seconds to the first event; None when it was refused.
    :param arrived_at: when its caller first sent it, in seconds after the
        start of the load.
    :param refused_after: seconds from each arrival to a refusal.
    """

    kind: str
    target: float
    size: int
    first: float | None
    arrived_at: float = 0.0
    refused_after: list[float] = field(default_factory=list)
    workspace: str = ""

    @property
    def in_time(self) -> bool:
        """Whether the first event came within the target."""
        return self.first is not None and self.first <= self.target


@dataclass(slots=True)
class Result:
    """Outcomes of a run, and what it cost.

    :param rejected: attempts that full engines rejected.
    :param reports: reports that were sent.
    :param falls: number of times that an engine fell over.
    :param unwanted: requests that reached an engine while it wanted none and
        the node had heard so, by node and engine.
    :param ended_pause: arrivals at engines that have paused, in seconds after
        the end of the pause.
    """

    outcomes: list[Outcome] = field(default_factory=list)
    rejected: int = 0
    reports: int = 0
    falls: int = 0
    unwanted: collections.Counter[tuple[int, str]] = field(
        default_factory=collections.Counter
    )
    ended_pause: list[float] = field(default_factory=list)

    def served_share(self) -> float:
        """Return the share of requests that got a first event."""
        served = sum(o.first is not None for o in self.outcomes)
        return served / max(1, len(self.outcomes))

    def in_time_share(self, kind: str = "", workspace: str = "") -> float:
        """Return the share of requests that were answered in time."""
        chosen = [
            o
            for o in self.outcomes
            if kind in ("", o.kind) and workspace in ("", o.workspace)
        ]
        return sum(o.in_time for o in chosen) / max(1, len(chosen))

    def paused(self, pause: Pause) -> list[Outcome]:
        """Return the outcomes of requests that came during a pause."""
        return [
            outcome
            for outcome in self.outcomes
            if 0 <= outcome.arrived_at - pause.at < pause.seconds
        ]

    def first_after(self, pause: Pause) -> float:
        """Return the seconds from the end of a pause to the next answer."""
        end = pause.at + pause.seconds
        return min(
            outcome.arrived_at + outcome.first - end
            for outcome in self.outcomes
            if outcome.first is not None
            and outcome.arrived_at + outcome.first >= end
        )

    def first_quantile(self, share: float) -> float:
        """Return a quantile of the time to the first event, in seconds."""
        times = sorted(
            o.first if o.first is not None else float("inf")
            for o in self.outcomes
        )
        return times[min(len(times) - 1, int(share * len(times)))]


class _Node:
    def __init__(
        self,
        zone: str,
        servers: fleet.Fleet,
        clock: clocks.Clock,
        names: frozenset[str],
        demand: float,
        rng: random.Random,
        routes: Mapping[str, types.Route],
        ordered: bool,
    ) -> None:
        self.loads = server_load.ServerLoads(clock)
        self.ordered = ordered
        known_routes = tuple(routes.values())
        self.room = server_room.ServerRoom(
            servers, self.loads, lambda: known_routes, clock
        )
        self.shares = workspace_shares.WorkspaceShares(clock)
        self.queue = request_queue.OrderedRequests(
            lambda: ordered,
            self.room,
            self.shares,
            lambda: len(names),
            lambda service: self.loads.mean_duration(
                member.id for member in servers.usable(service)
            ),
            clock,
            rng,
        )
        self.pauses = server_pauses.ServerPauses(clock, rng)
        self.told_at: dict[str, float] = {}
        self.memory = prefix_cache.PrefixCacheTracker(clock, 9.3)
        self.times = prefill_time.PrefillTimes()
        self.brittle = brittle_servers.BrittleServers(
            lambda: names,
            self.loads,
            clock,
            lambda server: demand,
            rng,
            lambda server, rejections: None,
        )
        self.placer = placement.Placer(
            zone,
            servers,
            self.memory,
            self.loads,
            self.times,
            clock,
            lambda member: (
                not member.is_cold(clock.monotonic())
                and not self.pauses.is_paused(member.id)
            ),
            self.brittle.with_room,
            self.room.with_room if ordered else lambda members, _: members,
        )


@dataclass(slots=True)
class _Request:
    node: _Node
    kind: Kind
    work: engines.Work
    prompt: types.Prompt
    arrived_at: float
    sent_at: float
    refused_after: list[float] = field(default_factory=list)
    tried: set[str] = field(default_factory=set)
    choice: placement.Choice | None = None
    started: bool = False
    probe: brittle_servers.Probe | None = None
    workspace: str = ""
    permit: load_decisions.Permit | None = None


@dataclass(slots=True)
class _Site:
    """Engine at its place, with the requests there.

    :param rejected_at: instants of the rejections in the last second.
    """

    engine: engines.Engine
    queued: list[_Request] = field(default_factory=list)
    running: list[_Request] = field(default_factory=list)
    rejected_at: collections.deque[float] = field(
        default_factory=collections.deque
    )


class Cluster:
    """Runs a load.

    :param seed: seed of arrivals and sizes.
    """

    def __init__(self, load: Load, reporting: Reporting, seed: int) -> None:
        self._load = load
        self._reporting = reporting
        self._rng = random.Random(seed)
        self._clock = clocks.ManualClock()
        self._started_at = self._clock.monotonic()
        self._arrivals_end = self._started_at + load.seconds
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._sequence = itertools.count(1)
        self._fleet = fleet.Fleet(self._clock)
        self._sites: dict[str, _Site] = {}
        for number in range(load.servers):
            self._add_server(number)
        self._routes = {kind.name: _route(kind) for kind in load.kinds}
        names = [f"n{number:03d}" for number in range(load.nodes)]
        self._nodes = {
            name: _Node(
                f"z{number % load.zones}",
                self._fleet,
                self._clock,
                frozenset(names),
                sum(kind.rate for kind in load.kinds),
                random.Random(f"{seed} {name}"),
                self._routes,
                load.ordered,
            )
            for number, name in enumerate(names)
        }
        self._exchanges = self._plan_exchanges()
        self._result = Result()

    def run(self) -> Result:
        """Run the load, until all requests have ended."""
        for kind in self._load.kinds:
            self._arrive(kind)
        for name in self._nodes:
            start = self._rng.uniform(0, self._reporting.interval)
            self._after(start, functools.partial(self._report, name, 1))
        if self._load.ordered:
            self._after(request_queue.CHECK_INTERVAL, self._check_queues)
        while self._events:
            at, _, action = heapq.heappop(self._events)
            self._clock.advance(max(0.0, at - self._clock.monotonic()))
            action()
        return self._result

    def _plan_exchanges(self) -> dict[str, peer_groups.Exchange]:
        if not self._reporting.grouped:
            names = frozenset(self._nodes)
            return {
                name: peer_groups.Exchange(name, names - {name}, frozenset())
                for name in names
            }
        peers = {
            name: peer_groups.Peer(("", 0), f"z{number % self._load.zones}")
            for number, name in enumerate(self._nodes)
        }
        return {name: peer_groups.plan(name, peers) for name in peers}

    def _at(self, at: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._order), action))

    def _after(self, delay: float, action: Callable[[], None]) -> None:
        self._at(self._clock.monotonic() + delay, action)

    def _arrive(self, kind: Kind) -> None:
        pause = self._rng.expovariate(kind.rate)
        if self._clock.monotonic() + pause > self._arrivals_end:
            return
        self._after(pause, lambda: self._admit(kind))

    def _admit(self, kind: Kind) -> None:
        self._arrive(kind)
        context = int(kind.contexts * self._rng.random() ** 1.3)
        own = int(self._rng.lognormvariate(0, 0.8) * kind.own_tokens)
        number = next(self._order)
        parts = (
            (f"{kind.name}-{context}", kind.shared_tokens),
            (f"own-{number}", own),
        )
        model, pace = self._draw_model()
        req = _Request(
            self._rng.choice(list(self._nodes.values())),
            kind,
            engines.Work(model, pace, parts, kind.output_tokens),
            types.Prompt(
                sum(tokens for _, tokens in parts),
                kind.output_tokens,
                tuple(types.PromptPart(*part) for part in parts),
            ),
            self._clock.monotonic(),
            self._clock.monotonic(),
            workspace=self._draw_workspace(),
        )
        if self._load.ordered:
            self._enter(req)
        else:
            self._place(req)

    def _draw_workspace(self) -> str:
        weights = self._load.workspaces
        if len(weights) == 1:
            return "w0"
        (number,) = self._rng.choices(range(len(weights)), weights)
        return f"w{number}"

    def _enter(self, req: _Request) -> None:
        """Let a request wait at its node until it may proceed."""

        def settle(entry: request_queue.Entry) -> None:
            if isinstance(entry, Ok):
                req.permit = entry.ok_value
                self._place(req)
            else:
                self._finish(req, None)

        req.node.queue.add(self._call(req), settle)

    def _call(self, req: _Request) -> calls.Call:
        return calls.Call(
            "",
            "POST",
            "/",
            (),
            b"",
            self._routes[req.kind.name],
            SERVICE,
            types.Workspace(req.workspace, None),
            1,
            req.arrived_at,
            req.arrived_at + CALLER_PATIENCE,
            req.prompt,
            "",
            "",
            "",
        )

    def _check_queues(self) -> None:
        waiting = False
        for node in self._nodes.values():
            node.queue.advance(SERVICE)
            waiting = waiting or node.queue.waiting > 0
        if waiting or self._clock.monotonic() < self._arrivals_end:
            self._after(request_queue.CHECK_INTERVAL, self._check_queues)

    def _draw_model(self) -> tuple[str, float]:
        draw = self._rng.random()
        for model, (share, pace) in self._load.models.items():
            draw -= share
            if draw < 0:
                break
        return model, pace

    def _place(self, req: _Request) -> None:
        choice = req.node.placer.choose(
            placement.Need(
                SERVICE,
                None,
                req.work.model,
                req.prompt,
                req.tried,
                req.kind.priority,
            )
        )
        if choice is None or len(req.tried) >= MAX_ATTEMPTS:
            self._refuse(req)
            return
        req.choice = choice
        req.tried.add(choice.member.id)
        req.node.loads.start_request(choice.member.id, choice.prefill_seconds)
        req.probe = req.node.brittle.start_probe(choice.member.id)
        self._after(DELAY, lambda: self._reach(req))

    def _reach(self, req: _Request) -> None:
        server_id = _server_id(req)
        site = self._sites.get(server_id)
        if site is None:
            self._end_at_server(req)
            self._place(req)
        elif self._pause_left(server_id) > 0:
            self._turn_away(req, server_id)
        elif not site.queued and site.engine.has_slot(req.work):
            self._begin(site, req)
        elif len(site.queued) < self._queue_size():
            site.queued.append(req)
            if self._load.ordered:
                site.queued.sort(key=lambda queued: queued.kind.priority)
        else:
            self._result.rejected += 1
            self._hear(req)
            req.node.brittle.record_rejection(server_id)
            self._end_at_server(req)
            self._reject(server_id, site)
            self._place(req)

    def _pause_left(self, server_id: str) -> float:
        """Return how long an engine wants no requests, in seconds."""
        pause = self._load.pause
        if pause is None or int(server_id[1:]) >= pause.servers:
            return 0.0
        left = self._started_at + pause.at + pause.seconds
        left -= self._clock.monotonic()
        if left <= 0:
            self._result.ended_pause.append(-left)
        return left if left <= pause.seconds else 0.0

    def _turn_away(self, req: _Request, server_id: str) -> None:
        """Turn a request away and say for how long none is wanted."""
        node, now = req.node, self._clock.monotonic()
        told_at = node.told_at.setdefault(server_id, now)
        if now - told_at > PAUSE_HEARD_AFTER:
            self._result.unwanted[id(node), server_id] += 1
        if self._load.nodes_listen:
            node.pauses.record(server_id, self._pause_left(server_id))
        self._result.rejected += 1
        self._end_at_server(req)
        self._place(req)

    def _refuse(self, req: _Request) -> None:
        """Refuse a request; its caller comes back once after a pause."""
        now = self._clock.monotonic()
        req.refused_after.append(now - req.sent_at)
        if self._load.pause is None or len(req.refused_after) > 1:
            self._finish(req, None)
            return
        seconds = return_time.retry_after(
            self._fleet.usable(SERVICE),
            CALLER_PATIENCE - (now - req.arrived_at),
            now,
            self._rng,
            lambda member: req.node.pauses.until(member.id),
        )
        req.tried.clear()
        req.sent_at = now + seconds
        self._after(seconds, lambda: self._place(req))

    def _queue_size(self) -> int:
        brittle = self._load.brittle
        now = self._clock.monotonic()
        if brittle and now >= self._started_at + brittle.heard_after:
            return brittle.queue
        return self._load.speed.queue

    def _reject(self, server_id: str, site: _Site) -> None:
        brittle = self._load.brittle
        now = self._clock.monotonic()
        if not brittle or now < self._started_at + brittle.heard_after:
            return
        site.rejected_at.append(now)
        while site.rejected_at[0] < now - 1.0:
            site.rejected_at.popleft()
        if len(site.rejected_at) > brittle.rejections:
            self._fall(server_id, brittle.down_seconds)

    def _fall(self, server_id: str, down_seconds: float) -> None:
        self._result.falls += 1
        site = self._sites.pop(server_id)
        self._fleet.remove(server_id)
        for req in site.queued + site.running:
            if req.started:
                req.node.loads.end_request(server_id)
            else:
                self._end_at_server(req)
                self._finish(req, None)
        number = next(self._order)
        self._after(down_seconds, lambda: self._add_server(number))

    def _add_server(self, number: int) -> None:
        name = f"s{number}"
        self._sites[name] = _Site(engines.Engine(self._load.speed))
        self._fleet.put(
            _server(name, number, self._load), types.Version(1, number + 1)
        )

    def _begin(self, site: _Site, req: _Request) -> None:
        site.running.append(req)
        first, end = site.engine.begin(req.work, self._clock.monotonic())
        self._at(first, lambda: self._first_event(req))
        self._at(end, lambda: self._end(req))

    def _first_event(self, req: _Request) -> None:
        assert req.choice is not None
        if _server_id(req) not in self._sites:
            return
        now = self._clock.monotonic()
        req.started = True
        self._hear(req)
        req.node.brittle.end_probe(req.probe, accepted=True)
        req.node.loads.finish_prefill(
            _server_id(req), req.choice.prefill_seconds
        )
        member = req.choice.member
        if not req.node.ordered or req.node.room.is_calm(member):
            req.node.times.record(
                req.work.model, req.prompt.own_tokens, now - req.arrived_at
            )
        req.node.memory.record_read(
            _server_id(req), req.work.model, req.prompt
        )
        self._finish(req, now - req.arrived_at)

    def _hear(self, req: _Request) -> None:
        """Let the node of a request read its answer's headers."""
        brittle = self._load.brittle
        if brittle and self._load.nodes_listen:
            req.node.brittle.record_answer(
                _server_id(req), str(brittle.rejections)
            )

    def _end(self, req: _Request) -> None:
        site = self._sites.get(_server_id(req))
        if site is None:
            return
        site.engine.end(req.work)
        site.running.remove(req)
        req.node.loads.end_request(_server_id(req))
        self._leave(req)
        while site.queued and site.engine.has_slot(site.queued[0].work):
            self._begin(site, site.queued.pop(0))

    def _end_at_server(self, req: _Request) -> None:
        assert req.choice is not None
        server_id = _server_id(req)
        req.node.brittle.end_probe(req.probe, accepted=False)
        req.node.loads.finish_prefill(server_id, req.choice.prefill_seconds)
        req.node.loads.end_request(server_id)

    def _leave(self, req: _Request) -> None:
        if req.permit is not None:
            permit, req.permit = req.permit, None
            req.node.queue.leave(permit)

    def _finish(self, req: _Request, first: float | None) -> None:
        if first is None:
            self._leave(req)
        self._result.outcomes.append(
            Outcome(
                req.kind.name,
                req.kind.target,
                req.prompt.input_tokens,
                first,
                req.arrived_at - self._started_at,
                req.refused_after,
                req.workspace,
            )
        )

    def _report(self, name: str, turn: int) -> None:
        if self._clock.monotonic() > self._arrivals_end:
            return
        node, exchange = self._nodes[name], self._exchanges[name]
        self._send(
            name,
            server_load.Source(name),
            node.loads.own_loads(),
            node.shares.own_usage(),
            exchange.members,
        )
        if exchange.partners and turn % self._reporting.reports_per_sum == 0:
            self._send(
                name,
                server_load.Source(exchange.group, True),
                node.loads.group_loads(),
                node.shares.group_usage(),
                exchange.partners,
            )
        self._after(
            self._reporting.interval, lambda: self._report(name, turn + 1)
        )

    def _send(
        self,
        sender: str,
        source: server_load.Source,
        loads: Mapping[str, server_load.Load],
        usage: Mapping[str, workspace_shares.Usage],
        receivers: frozenset[str],
    ) -> None:
        sequence = next(self._sequence)
        stated = self._nodes[sender].brittle.observed(
            max_hops=1 if source.is_group else 0
        )
        self._result.reports += len(receivers)

        def deliver() -> None:
            for name in receivers:
                self._nodes[name].loads.apply_report(
                    source, sender, sequence, loads
                )
                self._nodes[name].shares.apply_report(
                    source, sender, sequence, usage
                )
                self._nodes[name].brittle.merge(
                    stated, hops=2 if source.is_group else 1
                )

        self._after(DELAY, deliver)


def _server_id(req: _Request) -> str:
    assert req.choice is not None
    return req.choice.member.id


def _server(name: str, number: int, load: Load) -> types.Server:
    return types.Server(
        id=name,
        service=SERVICE,
        host="127.0.0.1",
        port=number,
        zone=f"z{number % load.zones}",
        version="v1",
        slots=load.speed.slots,
        leaving=False,
        cold_left=0.0,
        boot_ms=1,
        models=tuple(load.models),
    )


def _route(kind: Kind) -> types.Route:
    """Return the route of a kind of requests."""
    return types.Route(
        name=kind.name,
        host="",
        prefix="/",
        idempotency=types.Idempotency.IDEMPOTENT,
        streaming=True,
        resumable=True,
        timeout=CALLER_PATIENCE,
        target_latency=kind.target,
        largest_gap=0.0,
        attempts=MAX_ATTEMPTS,
        priority=kind.priority,
        public=False,
        models=(),
        targets=((SERVICE, 1),),
    )
