"""Edit of the configuration by which a guard halts a roll-out."""

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
    """Halts a roll-out that is still running with the same versions.

    :param rollout: roll-out as it was when the guard judged it.
    :param cause: cause that the guard gave.
    """

    rollout: snapshot.Rollout
    cause: str

    @property
    def summary(self) -> str:
        """Short description of the edit."""
        return f"rollout {self.rollout.name} halt: {self.cause}"

    def apply(self, doc: document.Document) -> edits.EditResult:
        """Return the document with the roll-out halted.

        The document stays unchanged when the roll-out isn't running or has
        other versions now.
        """
        current = operations.effective(doc).rollouts.get(self.rollout.name)
        if (
            current is None
            or current.state is not snapshot.RolloutState.RUNNING
        ):
            return Ok(doc)
        versions = (self.rollout.base, self.rollout.candidate)
        if (current.base, current.candidate) != versions:
            return Ok(doc)
        halt = rollout_edits.ChangeRollout(
            self.rollout.name, rollout_edits.RolloutAction.HALT
        )
        return halt.apply(doc)

    def conflicts(
        self, ours: Sequence[diff.Change], theirs: Sequence[diff.Change]
    ) -> bool:
        """Return False, since ``apply`` checks the newest document."""
        return False
