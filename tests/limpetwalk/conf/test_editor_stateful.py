"""Concurrent edits of several operators while their stores fail.

Answers are lost, writes arrive late, operators crash and stores are down.
No accepted change may be lost, applied twice or applied to another document
than the one before it.
"""

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
# Enough for each task to run until it waits at its connection.
LOOP_ITERATIONS = 40
SMALL = sites.small()


def _replace_files(queue_length: int) -> edits.Edit:
    tuning = SMALL.tuning.model_copy(update={"queue_length": queue_length})
    files = SMALL.model_copy(update={"tuning": tuning})
    return edits.ReplaceFiles(files, f"folder {queue_length}")


EDITS: tuple[edits.Edit, ...] = (
    _replace_files(1),
    _replace_files(2),
    _replace_files(3),
    _replace_files(4),
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
    """Fault that an operator's edit can run into."""

    CRASH = "crash"
    TABLE_DOWN = "table down"
    ANSWER_LOST = "answer lost"
    WRITE_LATE = "write late"
    LATE_WRITE_ARRIVES = "late write arrives"
    OBJECTS_DOWN = "objects down"
    OBJECT_ANSWERS_LOST = "object answers lost"


class Connection:
    """One operator's connection to the table, run step by step.

    Each operation waits for ``step`` before it takes effect.

    :param rows: rows of the table.
    """

    def __init__(self, rows: memory.Rows) -> None:
        self.rows = rows
        self.failures = 0
        self.next_write: Fault | None = None
        self.first_generation_read = 0
        self.late_writes: list[tuple[tuple[platform.Write, ...], str]] = []
        self._step_allowed = asyncio.Event()

    def step(self) -> None:
        """Let the waiting operation take effect."""
        self._step_allowed.set()

    async def _wait_for_step(self) -> None:
        await self._step_allowed.wait()
        self._step_allowed.clear()
        if self.failures > 0:
            self.failures -= 1
            raise exceptions.StoreUnavailable("the table is down")

    async def get(self, key: platform.RowKey) -> platform.Row | None:
        """Return a row."""
        await self._wait_for_step()
        row = self.rows.get(key)
        if not self.first_generation_read and row is not None:
            # The head row is read first; its version is the generation.
            self.first_generation_read = row.version
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
        await self._wait_for_step()
        return self.rows.query(partition, after, prefix, limit, descending)

    async def transact(
        self, writes: Sequence[platform.Write], write_id: str
    ) -> Result[None, platform.Conflict]:
        """Apply a write, or delay it, or lose its answer."""
        await self._wait_for_step()
        fault, self.next_write = self.next_write, None
        if fault is Fault.WRITE_LATE:
            self.late_writes.append((tuple(writes), write_id))
            raise exceptions.StoreOutcomeUnknown("the write is delayed")
        outcome = self.rows.transact(writes, write_id)
        if fault is Fault.ANSWER_LOST:
            raise exceptions.StoreOutcomeUnknown("the answer was lost")
        return outcome

    async def close(self) -> None:
        """Do nothing."""


class Operators(stateful.RuleBasedStateMachine):
    """Each rule is a step of one operator or a fault.

    An operator's author name in the history has a unique number, so that the
    edit that made a generation can be found by its author.
    """

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.rows = memory.Rows()
        self.objects = memory.MemoryObjects()
        self.connections: dict[str, Connection] = {}
        self.tasks: dict[str, asyncio.Task[Result]] = {}
        # Authors of the edits in progress, by operator.
        self.running: dict[str, str] = {}
        self.edits: dict[str, edits.Edit] = {}
        # Authors whose edit may have been accepted.
        self.unknown: set[str] = set()
        self.refused: set[str] = set()
        # Generations of accepted edits, by author.
        self.accepted: dict[str, int] = {}
        self.checked: list[head.Head] = []
        self.checked_document = document.Document()
        # Store without faults, through which the checks read.
        self.store = head.HeadStore(
            memory.MemoryTable(self.rows),
            memory.MemoryObjects(self.objects.blobs),
            clocks.ManualClock(),
        )
        self.run(self.store.accept(SMALL.to_bytes(), 0, "first"))

    def run(self, coroutine: object) -> object:
        """Run a coroutine to completion."""
        return self.loop.run_until_complete(
            coroutine  # type: ignore[arg-type]
        )

    def run_tasks(self) -> None:
        """Run all tasks until each waits at its connection or is done."""

        async def run_loop() -> None:
            for _ in range(LOOP_ITERATIONS):
                await asyncio.sleep(0)

        self.run(run_loop())
        for name in [n for n, task in self.tasks.items() if task.done()]:
            self.record_result(name, self.tasks.pop(name))

    def record_result(self, name: str, task: "asyncio.Task[Result]") -> None:
        """Record the result of an operator's edit."""
        author = self.running.pop(name)
        if task.cancelled():
            self.unknown.add(author)
            return
        error = task.exception()
        if isinstance(error, exceptions.StoreOutcomeUnknown):
            self.unknown.add(author)
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
        """Check that a folder replaced the files that its operator read."""
        if isinstance(self.edits[author], edits.ReplaceFiles):
            files_read = self.files_of(
                self.connections[name].first_generation_read
            )
            assert files_read == self.files_of(generation - 1)

    def files_of(self, generation: int) -> document.Document:
        """Return a generation's document without operators' changes."""
        accepted = self.run(self.store.read_generation(generation))
        doc = self.run(
            self.store.load_document(accepted)  # type: ignore[arg-type]
        )
        assert isinstance(doc, document.Document)
        return doc.model_copy(update={"operations": document.Operations()})

    @stateful.rule(
        name=st.sampled_from(OPERATORS),
        number=st.integers(min_value=0, max_value=len(EDITS) - 1),
        steps=st.integers(min_value=1, max_value=5),
    )
    def work(self, name: str, number: int, steps: int) -> None:
        """Start an operator's edit if none is running; run some steps."""
        if name not in self.tasks:
            self.start(name, EDITS[number])
        for _ in range(steps):
            self.connections[name].step()
            self.run_tasks()

    @stateful.rule(
        name=st.sampled_from(OPERATORS), fault=st.sampled_from(Fault)
    )
    def inject_fault(self, name: str, fault: Fault) -> None:
        """Inject a fault for one operator."""
        connection = self.connections.get(name)
        if connection is None:
            return
        if fault is Fault.CRASH and name in self.tasks:
            self.tasks[name].cancel()
            self.run_tasks()
        elif fault is Fault.TABLE_DOWN:
            connection.failures = 1
        elif fault in (Fault.ANSWER_LOST, Fault.WRITE_LATE):
            connection.next_write = fault
        elif fault is Fault.LATE_WRITE_ARRIVES:
            for writes, write_id in connection.late_writes:
                self.rows.transact(writes, write_id)
            connection.late_writes.clear()
        elif fault is Fault.OBJECTS_DOWN:
            self.objects.faults.refuse_writes = 1
        elif fault is Fault.OBJECT_ANSWERS_LOST:
            self.objects.faults.lose_answers = head.PUT_ATTEMPTS

    def start(self, name: str, edit: edits.Edit) -> None:
        """Start an operator's edit."""
        author = f"{name}-{len(self.edits)}"
        self.edits[author] = edit
        self.running[name] = author
        connection = self.connections.setdefault(name, Connection(self.rows))
        connection.first_generation_read = 0
        store = head.HeadStore(connection, self.objects, clocks.ManualClock())
        coroutine = editor.Editor(store, author).edit(edit)
        self.tasks[name] = self.loop.create_task(coroutine)
        self.run_tasks()

    @stateful.invariant()
    def generations_only_grow(self) -> None:
        """Check that history only grows, by one generation at a time."""
        current = self.run(self.store.read())
        history = self.history()
        assert history[: len(self.checked)] == self.checked
        assert history[-1] == current
        numbers = [accepted.generation for accepted in history]
        assert numbers == list(range(1, len(history) + 1))

    @stateful.invariant()
    def history_has_each_change_once(self) -> None:
        """Check that history has all accepted and no refused changes."""
        authors = [accepted.author for accepted in self.history()]
        assert len(authors) == len(set(authors))
        for author, generation in self.accepted.items():
            assert authors[generation - 1] == author
        assert not self.refused.intersection(authors)
        possible = {"first", *self.accepted, *self.unknown}
        assert set(authors) <= possible.union(self.running.values())

    @stateful.invariant()
    def no_change_is_lost(self) -> None:
        """Check that each generation is its edit applied to the last one."""
        for accepted in self.history()[len(self.checked) :]:
            doc = self.run(self.store.load_document(accepted))
            assert isinstance(doc, document.Document)
            if accepted.author != "first":
                edited = self.edits[accepted.author].apply(
                    self.checked_document
                )
                assert edited.ok_value == doc
            self.checked_document = doc
            self.checked.append(accepted)

    def history(self) -> list[head.Head]:
        """Return all generations, oldest first."""
        newest_first = self.run(self.store.history(10_000))
        assert isinstance(newest_first, list)
        return newest_first[::-1]

    def teardown(self) -> None:
        """Cancel the tasks that still wait."""
        for task in self.tasks.values():
            task.cancel()
        self.run_tasks()
        self.loop.close()


OperatorsTest = Operators.TestCase
OperatorsTest.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    database=None,
    # Shrinking takes minutes and shows little more than the failing steps.
    phases=(hypothesis.Phase.explicit, hypothesis.Phase.generate),
    max_examples=100,
    stateful_step_count=30,
)
