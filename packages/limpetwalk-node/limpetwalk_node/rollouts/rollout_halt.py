"""Edit by which a guard halts a roll-out."""

from collections.abc import Sequence
from dataclasses import dataclass

from result import Ok

from limpetwalk.conf import diff
from limpetwalk.conf import document
from limpetwalk.conf import edits
from limpetwalk.conf import operations
from limpetwalk.conf import rollout_edits
from limpetwalk.conf import snapshot


@dataclass(frozen=True, slots=True)
class GuardHalt:
    """Halts a roll-out that still runs; leaves any other alone.

    :param rollout: roll-out as it was when it was judged.
    :param cause: what the guard saw.
    """

    rollout: snapshot.Rollout
    cause: str

    @property
    def summary(self) -> str:
        """The change in a few words."""
        return f"rollout {self.rollout.name} halt: {self.cause}"

    def apply(self, doc: document.Document) -> edits.Edited:
        """Return the document with the roll-out halted, if it runs."""
        held = operations.effective(doc).rollouts.get(self.rollout.name)
        if held is None or held.state is not snapshot.RolloutState.RUNNING:
            return Ok(doc)
        versions = (self.rollout.base, self.rollout.candidate)
        if (held.base, held.candidate) != versions:
            return Ok(doc)
        move = rollout_edits.MoveRollout(
            self.rollout.name, rollout_edits.RolloutAction.HALT
        )
        return move.apply(doc)

    def clashes(
        self, ours: Sequence[diff.Change], theirs: Sequence[diff.Change]
    ) -> bool:
        """Return False: each attempt looks at the newest state."""
        return False
