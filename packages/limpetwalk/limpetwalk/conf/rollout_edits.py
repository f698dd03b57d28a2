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
    """Action of an operator on a roll-out."""

    START = "start"
    PAUSE = "pause"
    RESUME = "resume"
    HALT = "halt"
    FINISH = "finish"


# For each action the states that it is allowed in, and the state that it
# leads to. An action on a roll-out that is in that state already changes
# nothing unless it gives another share.
_TRANSITIONS = {
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
    """Changes the state or the share of a roll-out.

    :param name: name of the roll-out.
    :param action: action that leads to the new state.
    :param share: share of new sessions for the candidate, 0.0 to 1.0; None
        leaves it unchanged.
    """

    name: str
    action: RolloutAction
    share: float | None = None

    @property
    def protective(self) -> bool:
        """Whether the edit stops new sessions on the candidate."""
        return self.action in (RolloutAction.HALT, RolloutAction.PAUSE)

    @property
    def summary(self) -> str:
        """Short description of the change."""
        share = "" if self.share is None else f" at share {self.share:g}"
        return f"rollout {self.name} {self.action.value}{share}"

    def apply(self, doc: document.Document) -> edits.EditResult:
        """Return the document with the roll-out's new state and share."""
        if self.name not in doc.rollouts:
            return edits.undeclared(("rollouts",), self.name, doc.rollouts)
        current = operations.effective(doc).rollouts[self.name]
        allowed, state = _TRANSITIONS[self.action]
        path = ("rollouts", self.name)
        if current.state not in allowed:
            expected = checks.one_of(member.value for member in allowed)
            finding = checks.error(
                "rollout-state",
                (*path, "state"),
                f"{self.action.value} of a roll-out that is "
                f"{current.state.value}",
                expected,
            )
            return Err([finding])
        share = current.share if self.share is None else self.share
        if state is _State.RUNNING and share == 0:
            finding = checks.error(
                "rollout-share",
                (*path, "share"),
                "0",
                "a share of new sessions above 0",
                "give one with --share",
            )
            return Err([finding])
        overlay = document.RolloutOverlay(state=state, share=share)
        section = doc.rollouts[self.name]
        overlays = dict(doc.operations.rollouts)
        if (current.state, current.share) == (state, share):
            return Ok(doc)
        if (section.state, section.share) == (state, share):
            overlays.pop(self.name, None)
        else:
            overlays[self.name] = overlay
        return Ok(edits.with_operations(doc, {"rollouts": overlays}))
