"""Operators' edits of roll-outs."""

from dataclasses import dataclass
import enum

from result import Err
from result import Ok

from . import checks
from . import document
from . import edits
from . import operations
from . import snapshot

_State = snapshot.RolloutState


class RolloutAction(enum.Enum):
    """What an operator does with a roll-out."""

    START = "start"
    PAUSE = "pause"
    RESUME = "resume"
    HALT = "halt"
    FINISH = "finish"


# For each action the states that it may be taken in, and the next one. An
# action that finds the next state already is no change.
_MOVES = {
    RolloutAction.START: (
        (_State.PAUSED, _State.HALTED, _State.RUNNING),
        _State.RUNNING,
    ),
    RolloutAction.PAUSE: ((_State.RUNNING, _State.PAUSED), _State.PAUSED),
    RolloutAction.RESUME: ((_State.PAUSED, _State.RUNNING), _State.RUNNING),
    RolloutAction.HALT: (
        (_State.RUNNING, _State.PAUSED, _State.HALTED),
        _State.HALTED,
    ),
    RolloutAction.FINISH: (
        (_State.RUNNING, _State.PAUSED, _State.DONE),
        _State.DONE,
    ),
}


@dataclass(frozen=True, slots=True)
class ChangeRollout(edits.OverlayEdit):
    """Moves a roll-out to another state or share.

    :param name: name of the roll-out.
    :param action: what is done with it.
    :param share: share of new sessions for the candidate; None keeps it.
    """

    name: str
    action: RolloutAction
    share: float | None = None

    @property
    def protective(self) -> bool:
        """Whether the edit keeps new sessions from the candidate."""
        return self.action in (RolloutAction.HALT, RolloutAction.PAUSE)

    @property
    def summary(self) -> str:
        """The change in a few words."""
        share = "" if self.share is None else f" at share {self.share:g}"
        return f"rollout {self.name} {self.action.value}{share}"

    def apply(self, doc: document.Document) -> edits.Edited:
        """Return the document with the roll-out moved."""
        if self.name not in doc.rollouts:
            return edits.undeclared(("rollouts",), self.name, doc.rollouts)
        held = operations.effective(doc).rollouts[self.name]
        allowed, state = _MOVES[self.action]
        path = ("rollouts", self.name)
        if held.state not in allowed:
            expected = checks.one_of(item.value for item in allowed)
            found = checks.error(
                "rollout-state",
                (*path, "state"),
                f"{self.action.value} of a roll-out that is "
                f"{held.state.value}",
                expected,
            )
            return Err([found])
        share = held.share if self.share is None else self.share
        if state is _State.RUNNING and share == 0:
            found = checks.error(
                "rollout-share",
                (*path, "share"),
                "0",
                "a share of new sessions above 0",
                "give one with --share",
            )
            return Err([found])
        overlay = document.RolloutOverlay(state=state, share=share)
        declared = doc.rollouts[self.name]
        overlays = dict(doc.operations.rollouts)
        if (held.state, held.share) == (state, share):
            return Ok(doc)
        if (declared.state, declared.share) == (state, share):
            overlays.pop(self.name, None)
        else:
            overlays[self.name] = overlay
        return Ok(edits.with_operations(doc, {"rollouts": overlays}))
