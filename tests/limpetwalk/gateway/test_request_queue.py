"""Order of requests whose service is short of room."""

import asyncio
import collections
import random
import unittest

import hypothesis
from hypothesis import strategies as st
from result import Err
from result import Ok

from limpetwalk import clock as clocks
from limpetwalk.gateway import call as calls
from limpetwalk.gateway import refusal
from limpetwalk.gateway import request_queue
from limpetwalk.gateway import types
from limpetwalk.gateway import workspace_shares

from . import builders

SERVICE = "s"
# Target latencies in seconds, by priority.
TARGETS = (1.0, 1.5, 4.0)
TIMEOUT = 8.0


class Room:
    """Room that a test sets."""

    def __init__(self) -> None:
        self.places = 0.0

    def rank(self, service: str, priority: int) -> int:
        """Return the priority, as all priorities have requests."""
        return priority

    def is_ranked(self, service: str) -> bool:
        """Return that priorities differ."""
        return True

    def free(self, service: str, rank: int) -> float:
        """Return the room that the test has set."""
        return self.places


class QueueCase(unittest.IsolatedAsyncioTestCase):
    """Queue of a node with a clock and room that the test sets."""

    nodes = 1

    def setUp(self) -> None:
        self.create()

    def create(self) -> None:
        self.clock = clocks.ManualClock()
        self.room = Room()
        self.shares = workspace_shares.WorkspaceShares(self.clock)
        self.enabled = True
        self.needed = 0.5
        self.waits: list[tuple[str, request_queue.Outcome]] = []
        self.settled: dict[str, list[request_queue.Entry]] = (
            collections.defaultdict(list)
        )
        self.order: list[str] = []
        self.queue = request_queue.OrderedRequests(
            lambda: self.enabled,
            self.room,
            self.shares,
            lambda: self.nodes,
            lambda service: self.needed,
            self.clock,
            random.Random(1),
            lambda call, seconds, outcome: self.waits.append(
                (call.caller_attempt_id, outcome)
            ),
        )

    def call(
        self,
        name: str,
        priority: int = 1,
        workspace: str = "w",
        timeout: float = TIMEOUT,
    ) -> calls.Call:
        now = self.clock.monotonic()
        route = builders.route(
            priority=priority,
            target_latency=TARGETS[priority],
            streaming=True,
        )
        return calls.Call(
            caller_attempt_id=name,
            method="POST",
            target="/r/",
            headers=(),
            body=b"",
            route=route,
            service=SERVICE,
            workspace=types.Workspace(workspace, None),
            config_version=1,
            arrived_at=now,
            deadline=now + timeout,
            prompt=types.Prompt(),
            last_event="",
            session="",
            fingerprint="",
        )

    def add(
        self,
        name: str,
        priority: int = 1,
        workspace: str = "w",
        timeout: float = TIMEOUT,
    ) -> request_queue.Waiting:
        def settle(entry: request_queue.Entry) -> None:
            self.settled[name].append(entry)
            if isinstance(entry, Ok):
                self.order.append(name)

        return self.queue.add(
            self.call(name, priority, workspace, timeout), settle
        )

    def advance(self, seconds: float) -> None:
        """Let time pass, with a look for room at each interval."""
        end = self.clock.monotonic() + seconds
        while self.clock.monotonic() < end:
            self.clock.advance(request_queue.CHECK_INTERVAL)
            self.queue.advance(SERVICE)


class Order(QueueCase):
    """Which request proceeds first."""

    def test_nothing_waits_while_there_is_room(self) -> None:
        self.room.places = 5
        for number in range(5):
            self.add(str(number), priority=2)
        self.assertEqual(5, len(self.order))
        self.assertEqual([], self.waits)

    def test_most_urgent_never_waits(self) -> None:
        self.add("idle", priority=2)
        self.add("urgent", priority=0)
        self.assertEqual(["urgent"], self.order)

    def test_urgent_proceeds_before_earlier_ones(self) -> None:
        self.add("late", priority=2)
        self.add("soon", priority=1)
        self.room.places = 1
        self.advance(request_queue.REPORT_DELAY)
        self.assertEqual("soon", self.order[0])

    def test_shortest_time_to_the_target_goes_first(self) -> None:
        self.add("first")
        self.clock.advance(0.01)
        self.add("second")
        self.room.places = 1
        self.advance(2 * request_queue.REPORT_DELAY)
        self.assertEqual(["first", "second"], self.order)

    def test_least_urgent_is_not_starved_by_urgent_ones(self) -> None:
        self.add("patient", priority=2)
        for number in range(200):
            self.add(str(number), priority=0)
            self.advance(0.025)
        self.assertIn("patient", self.order)

    def test_workspace_that_floods_waits_behind_its_own(self) -> None:
        for _ in range(20):
            self.shares.start(SERVICE, "flood")
        self.shares.start(SERVICE, "other")
        for number in range(5):
            self.add(f"flood-{number}", workspace="flood")
        self.clock.advance(0.01)
        self.add("other", workspace="other")
        self.room.places = 1
        self.advance(request_queue.REPORT_DELAY)
        self.assertEqual("other", self.order[0])

    def test_flood_is_served_when_nobody_else_waits(self) -> None:
        for _ in range(20):
            self.shares.start(SERVICE, "flood")
        self.room.places = 1
        self.add("flood", workspace="flood")
        self.assertEqual(["flood"], self.order)


class ManyNodes(QueueCase):
    """Room that 90 nodes see at the same time."""

    nodes = 90

    def test_nodes_do_not_send_more_than_the_room_together(self) -> None:
        self.room.places = 9
        for number in range(40):
            self.add(str(number), priority=2)
        self.advance(request_queue.REPORT_DELAY)
        self.assertLessEqual(len(self.order) * self.nodes, 2 * 9 + self.nodes)

    def test_all_that_wait_do_not_proceed_into_room_for_few(self) -> None:
        for number in range(40):
            self.add(str(number), priority=2)
        self.room.places = 2.0 * self.nodes
        self.queue.advance(SERVICE)
        self.assertLessEqual(len(self.order), 2)

    def test_little_room_is_used_in_the_end(self) -> None:
        self.room.places = 9
        self.add("only", priority=2, timeout=30.0)
        self.advance(10 * request_queue.REPORT_DELAY)
        self.assertEqual(["only"], self.order)


class Refusals(QueueCase):
    """Requests that can't be served in time."""

    def refused(self, name: str) -> refusal.Refusal:
        (entry,) = self.settled[name]
        assert isinstance(entry, Err)
        return entry.err_value

    def test_request_without_time_for_an_answer_is_refused_at_once(
        self,
    ) -> None:
        self.needed = 3.0
        self.add("hopeless", priority=2, timeout=2.0)
        self.assertIs(refusal.Reason.NO_ROOM, self.refused("hopeless").reason)

    def test_caller_is_told_when_to_return(self) -> None:
        self.needed = 3.0
        self.add("hopeless", priority=2, timeout=2.0)
        retry_after = self.refused("hopeless").retry_after
        assert retry_after is not None
        self.assertGreaterEqual(retry_after, request_queue.MIN_RETRY_AFTER)
        self.assertLess(retry_after, 2.0)

    def test_callers_return_at_different_times(self) -> None:
        self.needed = 3.0
        times = set()
        for number in range(10):
            self.add(str(number), priority=2, timeout=6.0)
        self.needed = 30.0
        self.queue.advance(SERVICE)
        for number in range(10):
            times.add(self.refused(str(number)).retry_after)
        self.assertGreater(len(times), 3)

    def test_number_that_waits_is_bounded(self) -> None:
        for number in range(3 * request_queue.MAX_WAITING):
            self.add(str(number), priority=2)
        self.assertLessEqual(self.queue.waiting, request_queue.MAX_WAITING)

    def test_least_urgent_is_refused_when_too_many_wait(self) -> None:
        self.add("first", priority=2)
        for number in range(request_queue.MAX_WAITING):
            self.add(str(number), priority=1)
        self.refused("first")


class Waits(QueueCase):
    """Awaited entries."""

    async def test_order_is_off_unless_it_is_asked_for(self) -> None:
        self.enabled = False
        entry = await self.queue.enter(self.call("a", priority=2))
        self.assertEqual(0, self.queue.waiting)
        self.queue.leave(entry.unwrap())
        self.assertEqual({}, self.shares.own_usage())

    async def test_request_waits_until_there_is_room(self) -> None:
        entry = asyncio.ensure_future(self.queue.enter(self.call("a")))
        await asyncio.sleep(0)
        self.assertFalse(entry.done())
        self.room.places = 1
        self.advance(request_queue.REPORT_DELAY)
        permit = (await entry).unwrap()
        self.assertEqual("w", permit.workspace)
        self.queue.leave(permit)
        self.assertEqual({}, self.shares.own_usage())

    async def test_caller_that_leaves_gives_up_its_place(self) -> None:
        entry = asyncio.ensure_future(self.queue.enter(self.call("a")))
        await asyncio.sleep(0)
        entry.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await entry
        self.assertEqual(0, self.queue.waiting)
        self.assertEqual([("a", request_queue.Outcome.LEFT)], self.waits)

    async def test_caller_that_leaves_as_it_may_proceed_keeps_no_room(
        self,
    ) -> None:
        entry = asyncio.ensure_future(self.queue.enter(self.call("a")))
        await asyncio.sleep(0)
        self.room.places = 1
        self.advance(request_queue.REPORT_DELAY)
        entry.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await entry
        self.assertEqual({}, self.shares.own_usage())


EVENTS = st.lists(
    st.one_of(
        st.tuples(
            st.just("add"), st.integers(0, 2), st.sampled_from("abcdef")
        ),
        st.tuples(st.just("room"), st.integers(0, 5), st.just("")),
        st.tuples(st.just("wait"), st.integers(1, 400), st.just("")),
        st.tuples(st.just("end"), st.integers(0, 100), st.just("")),
    ),
    max_size=120,
)


class AnyOrder(QueueCase):
    """What holds under any order of events."""

    @hypothesis.given(EVENTS, st.integers(1, 100))
    def test_each_request_is_settled_once_and_in_bounded_time(
        self, steps: list[tuple[str, int, str]], nodes: int
    ) -> None:
        self.create()
        self.nodes = nodes
        added: dict[str, int] = {}
        for number, (kind, value, workspace) in enumerate(steps):
            if kind == "add":
                added[str(number)] = value
                self.add(str(number), value, workspace)
            elif kind == "room":
                self.room.places = value
            elif kind == "wait":
                self.advance(value / 100)
            elif self.order:
                entry = self.settled[self.order[value % len(self.order)]][0]
                self.queue.leave(entry.unwrap())
            self.assertLessEqual(self.queue.waiting, request_queue.MAX_WAITING)
        self.room.places = 0
        self.advance(max(TARGETS) * 2)
        self.assertEqual(0, self.queue.waiting)
        self.assertEqual(set(added), set(self.settled))
        for name, priority in added.items():
            self.assertEqual(1, len(self.settled[name]))
            if priority == 0:
                self.assertIsInstance(self.settled[name][0], Ok)
