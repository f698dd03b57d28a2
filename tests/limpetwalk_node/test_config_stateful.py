"""Property test of the configuration in force under interleaved faults."""

import asyncio

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from limpetwalk import clock as clocks
from limpetwalk import exceptions
from limpetwalk.peers import messages
from tests.limpetwalk.peers import fakes
from tests.limpetwalk_node import test_config

MAX_GENERATION = 12


class ConfigManagerMachine(stateful.RuleBasedStateMachine):
    """One configuration manager, its store and one peer, with faults.

    The peer may be behind, ahead or unreachable, and may reply with other
    bytes than those requested.
    """

    def __init__(self):
        super().__init__()
        self.runner = asyncio.Runner()
        self.clock = clocks.ManualClock()
        self.node = test_config.Node(
            "a", fakes.FakeInstances(), clock=self.clock
        )
        self.node.hub.request = self.ask_peer
        self.store = self.node.store
        self.accepted = {}
        self.handed_over = {}
        self.peer_sends_other_bytes = False
        self.sequence = 0
        self.highest = 0

    def teardown(self):
        self.runner.close()

    def run(self, coroutine):
        return self.runner.run(coroutine)

    async def ask_peer(self, peer, message, timeout):
        if self.peer_sends_other_bytes:
            return messages.SnapshotReply(message.digest, b'{"lie": 1}')
        data = self.store.blobs.get(message.digest)
        if data is None:
            raise exceptions.PeerUnavailable("has none")
        return messages.SnapshotReply(message.digest, data)

    @stateful.rule(broken=strategies.booleans())
    def accept(self, broken):
        number = len(self.accepted) + 1
        if number > MAX_GENERATION:
            return
        data = test_config.document(f"accepted {number}")
        if broken:
            data = f"broken {number}".encode()
        self.accepted[number] = data
        self.store.accept(number, data)

    @stateful.rule(head=strategies.booleans(), objects=strategies.booleans())
    def set_outages(self, head, objects):
        self.store.head_down = head
        self.store.objects_down = objects

    @stateful.rule(number=strategies.integers(1, MAX_GENERATION))
    def read_stale_head(self, number):
        """Make the table return the head of an earlier generation."""
        if number in self.accepted:
            self.store.head = test_config.FakeHead(
                number, test_config.digest_of(self.accepted[number])
            )

    @stateful.rule(sends_other_bytes=strategies.booleans())
    def change_peer(self, sends_other_bytes):
        self.peer_sends_other_bytes = sends_other_bytes

    @stateful.rule()
    def poll(self):
        self.run(self.node.config_manager.poll())

    @stateful.rule(
        number=strategies.integers(1, MAX_GENERATION),
        age=strategies.sampled_from((0.0, 100.0, float("inf"))),
    )
    def receive_heartbeat(self, number, age):
        if number not in self.accepted:
            return
        self.sequence += 1
        self.node.hub.members.record_heartbeat(
            "b",
            messages.Heartbeat(
                zone="z2",
                address="127.0.0.1:1",
                boot_id="boot",
                sequence=self.sequence,
                generation=number,
                digest=test_config.digest_of(self.accepted[number]),
                leaving=False,
                confirmed_age=age,
            ),
        )
        self.run(self.node.config_manager.follow_peers())

    @stateful.rule(
        number=strategies.integers(1, MAX_GENERATION),
        as_accepted=strategies.booleans(),
    )
    def hand_over(self, number, as_accepted):
        data = test_config.document(f"handed over {number}")
        if as_accepted and number in self.accepted:
            data = self.accepted[number]
        if self.run(
            self.node.config_manager.apply_from_operator(number, data)
        ):
            self.handed_over.setdefault(number, set()).add(data)

    @stateful.rule(seconds=strategies.sampled_from((0.5, 1.5, 5.0, 70.0)))
    def pass_time(self, seconds):
        self.clock.advance(seconds)
        fresh = self.node.config_manager.is_fresh()
        assert not (fresh and seconds > 2.0), (
            "the configuration is fresh right after a pause"
        )

    @stateful.invariant()
    def generation_never_goes_back(self):
        assert self.node.generation >= self.highest
        self.highest = self.node.generation

    @stateful.invariant()
    def bytes_in_force_are_of_that_generation(self):
        applied = self.node.config_manager.current()
        if applied is None:
            assert not self.node.config_manager.is_fresh()
            return
        allowed = set(self.handed_over.get(applied.generation, ()))
        if applied.generation in self.accepted:
            allowed.add(self.accepted[applied.generation])
        digests = {test_config.digest_of(data) for data in allowed}
        assert applied.snapshot.digest in digests


ConfigManagerTest = ConfigManagerMachine.TestCase
ConfigManagerTest.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=60,
    stateful_step_count=40,
)
