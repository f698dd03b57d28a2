"""Operators at once, under lost and late writes, crashes and outages."""

import asyncio
from collections.abc import Sequence
import enum

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
from result import Ok
from result import Result

from limpetwalk import clock as clocks
from limpetwalk import exceptions
from limpetwalk.conf import document
from limpetwalk.conf import editor
from limpetwalk.conf import edits
from limpetwalk.conf import head
from limpetwalk.conf import rollout_edits
from limpetwalk.conf import snapshot
from limpetwalk.conf import version_edits
from limpetwalk.providers import base as platform
from limpetwalk.providers import memory

from . import sites

OPERATORS = ("ilona", "bence", "zsofi")
TICKS = 40
SMALL = sites.small()


def _folder(queue_length: int) -> edits.Edit:
    tuning = SMALL.tuning.model_copy(update={"queue_length": queue_length})
    files = SMALL.model_copy(update={"tuning": tuning})
    return edits.ReplaceFiles(files, f"folder {queue_length}")


EDITS: tuple[edits.Edit, ...] = (
    _folder(1),
    _folder(2),
    _folder(3),
    _folder(4),
    edits.SetPlacement(
        edits.PlacementTarget.ZONE, "z1", snapshot.PlacementState.OUT
    ),
    edits.SetPlacement(
        edits.PlacementTarget.ZONE, "z1", snapshot.PlacementState.IN
    ),
    edits.SetPlacement(
        edits.PlacementTarget.SERVER, "e1", snapshot.PlacementState.OUT
    ),
    version_edits.SetVersion("cheap", "2", snapshot.VersionState.WITHDRAWN),
    rollout_edits.ChangeRollout("cheap-2", rollout_edits.RolloutAction.PAUSE),
    rollout_edits.ChangeRollout("cheap-2", rollout_edits.RolloutAction.RESUME),
)


class Fault(enum.Enum):
    """What can fail around an operator."""

    CRASH = "crash"
    TABLE_DOWN = "table down"
    ANSWER_LOST = "answer lost"
    WRITE_LATE = "write late"
    LATE_WRITE_ARRIVES = "late write arrives"
    OBJECTS_DOWN = "objects down"
    OBJECT_ANSWERS_LOST = "object answers lost"


class Connection:
    """One operator's connection to the table, a step at a time.

    :param rows: rows of the table.
    """

    def __init__(self, rows: memory.Rows) -> None:
        self.rows = rows
        self.failures = 0
        self.next_write: Fault | None = None
        self.seen = 0
        self.late: list[tuple[tuple[platform.Write, ...], str]] = []
        self._gate = asyncio.Event()

    def step(self) -> None:
        """Let the operation that waits take its effect."""
        self._gate.set()

    async def _pass(self) -> None:
        await self._gate.wait()
        self._gate.clear()
        if self.failures > 0:
            self.failures -= 1
            raise exceptions.StoreUnavailable("switched off")

    async def get(self, key: platform.RowKey) -> platform.Row | None:
        """Return a row."""
        await self._pass()
        row = self.rows.get(key)
        if not self.seen and row is not None:
            self.seen = row.version
        return row

    async def query(
        self,
        partition: str,
        after: str = "",
        prefix: str = "",
        limit: int = 1000,
        descending: bool = False,
    ) -> list[platform.Row]:
        """Return rows."""
        await self._pass()
        return self.rows.query(partition, after, prefix, limit, descending)

    async def transact(
        self, writes: Sequence[platform.Write], write_id: str
    ) -> Result[None, platform.Conflict]:
        """Apply, lose the answer of, or delay a write."""
        await self._pass()
        fate, self.next_write = self.next_write, None
        if fate is Fault.WRITE_LATE:
            self.late.append((tuple(writes), write_id))
            raise exceptions.StoreOutcomeUnknown("late")
        outcome = self.rows.transact(writes, write_id)
        if fate is Fault.ANSWER_LOST:
            raise exceptions.StoreOutcomeUnknown("lost")
        return outcome

    async def close(self) -> None:
        """Do nothing."""


class Operators(stateful.RuleBasedStateMachine):
    """Each rule is a step of one operator or a fault.

    An operator's name in the history is made unique by a number, so that
    each generation tells which edit made it.
    """

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.rows = memory.Rows()
        self.objects = memory.MemoryObjects()
        self.connections: dict[str, Connection] = {}
        self.tasks: dict[str, asyncio.Task[Result]] = {}
        self.running: dict[str, str] = {}
        self.edits: dict[str, edits.Edit] = {}
        self.maybe: set[str] = set()
        self.refused: set[str] = set()
        self.accepted: dict[str, int] = {}
        self.checked: list[head.Head] = []
        self.newest = document.Document()
        self.direct = head.HeadStore(
            memory.MemoryTable(self.rows),
            memory.MemoryObjects(self.objects.blobs),
            clocks.ManualClock(),
        )
        self.run(self.direct.accept(SMALL.to_bytes(), 0, "first"))

    def run(self, work: object) -> object:
        """Run a coroutine to its end."""
        return self.loop.run_until_complete(work)  # type: ignore[arg-type]

    def tick(self) -> None:
        """Run all tasks until each waits at its connection or is done."""

        async def turns() -> None:
            for _ in range(TICKS):
                await asyncio.sleep(0)

        self.run(turns())
        for name in [n for n, task in self.tasks.items() if task.done()]:
            self.finish(name, self.tasks.pop(name))

    def finish(self, name: str, task: "asyncio.Task[Result]") -> None:
        """Note what an operator was told."""
        author = self.running.pop(name)
        if task.cancelled():
            self.maybe.add(author)
            return
        error = task.exception()
        if isinstance(error, exceptions.StoreOutcomeUnknown):
            self.maybe.add(author)
        elif isinstance(error, exceptions.StoreUnavailable):
            self.refused.add(author)
        elif error is not None:
            raise error
        elif isinstance(task.result(), Ok):
            outcome: editor.AcceptedEdit = task.result().ok_value
            if outcome.changes:
                self.accepted[author] = outcome.head.generation
                self.check_base(name, author, outcome.head.generation)
        else:
            self.refused.add(author)

    def check_base(self, name: str, author: str, generation: int) -> None:
        """A folder takes the place of the files that its operator saw."""
        if isinstance(self.edits[author], edits.ReplaceFiles):
            seen = self.files_of(self.connections[name].seen)
            assert seen == self.files_of(generation - 1)

    def files_of(self, generation: int) -> document.Document:
        """Return a generation's document without operators' changes."""
        held = self.run(self.direct.read_generation(generation))
        doc = self.run(
            self.direct.load_document(held)  # type: ignore[arg-type]
        )
        assert isinstance(doc, document.Document)
        return doc.model_copy(update={"operations": document.Operations()})

    @stateful.rule(
        name=st.sampled_from(OPERATORS),
        number=st.integers(min_value=0, max_value=len(EDITS) - 1),
        steps=st.integers(min_value=1, max_value=5),
    )
    def work(self, name: str, number: int, steps: int) -> None:
        """An operator starts an edit, or goes on, and comes steps far."""
        if name not in self.tasks:
            self.start(name, EDITS[number])
        for _ in range(steps):
            self.connections[name].step()
            self.tick()

    @stateful.rule(
        name=st.sampled_from(OPERATORS), fault=st.sampled_from(Fault)
    )
    def disturb(self, name: str, fault: Fault) -> None:
        """Something fails around one operator."""
        held = self.connections.get(name)
        if held is None:
            return
        if fault is Fault.CRASH and name in self.tasks:
            self.tasks[name].cancel()
            self.tick()
        elif fault is Fault.TABLE_DOWN:
            held.failures = 1
        elif fault in (Fault.ANSWER_LOST, Fault.WRITE_LATE):
            held.next_write = fault
        elif fault is Fault.LATE_WRITE_ARRIVES:
            for writes, write_id in held.late:
                self.rows.transact(writes, write_id)
            held.late.clear()
        elif fault is Fault.OBJECTS_DOWN:
            self.objects.faults.refuse_writes = 1
        elif fault is Fault.OBJECT_ANSWERS_LOST:
            self.objects.faults.lose_answers = head.PUT_ATTEMPTS

    def start(self, name: str, edit: edits.Edit) -> None:
        """Begin an edit."""
        author = f"{name}-{len(self.edits)}"
        self.edits[author] = edit
        self.running[name] = author
        held = self.connections.setdefault(name, Connection(self.rows))
        held.seen = 0
        store = head.HeadStore(held, self.objects, clocks.ManualClock())
        work = editor.Editor(store, author).edit(edit)
        self.tasks[name] = self.loop.create_task(work)
        self.tick()

    @stateful.invariant()
    def generations_only_grow(self) -> None:
        """The head and the history only go on, one generation at a time."""
        held = self.run(self.direct.read())
        history = self.history()
        assert history[: len(self.checked)] == self.checked
        assert history[-1] == held
        numbers = [item.generation for item in history]
        assert numbers == list(range(1, len(history) + 1))

    @stateful.invariant()
    def history_holds_each_change_once(self) -> None:
        """What was told as accepted is there, what was refused is not."""
        made = [item.author for item in self.history()]
        assert len(made) == len(set(made))
        for author, generation in self.accepted.items():
            assert made[generation - 1] == author
        assert not self.refused.intersection(made)
        possible = {"first", *self.accepted, *self.maybe}
        assert set(made) <= possible.union(self.running.values())

    @stateful.invariant()
    def no_change_is_lost(self) -> None:
        """Each generation is its edit made on the one before."""
        for item in self.history()[len(self.checked) :]:
            now = self.run(self.direct.load_document(item))
            assert isinstance(now, document.Document)
            if item.author != "first":
                made = self.edits[item.author].apply(self.newest)
                assert made.ok_value == now
            self.newest = now
            self.checked.append(item)

    def history(self) -> list[head.Head]:
        """Return all generations, oldest first."""
        found = self.run(self.direct.history(10_000))
        assert isinstance(found, list)
        return found[::-1]

    def teardown(self) -> None:
        """End the tasks that still wait."""
        for task in self.tasks.values():
            task.cancel()
        self.tick()
        self.loop.close()


OperatorsTest = Operators.TestCase
OperatorsTest.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    database=None,
    # Shrinking takes minutes and tells little more than the steps do.
    phases=(hypothesis.Phase.explicit, hypothesis.Phase.generate),
    max_examples=100,
    stateful_step_count=30,
)
