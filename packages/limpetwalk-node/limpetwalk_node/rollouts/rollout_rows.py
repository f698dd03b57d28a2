"""Row with the pooled evidence of a roll-out."""

import pydantic

from limpetwalk.conf import snapshot
from limpetwalk.peers import messages
from limpetwalk.providers import base as platform
from limpetwalk.rollouts import evidence

PARTITION = "rollout"


class Pool(pydantic.BaseModel):
    """Sums by version, and the newest window of each sender in them.

    A sender sends its windows in order, so its newest number tells which
    are counted, and the memory does not grow with the windows.
    """

    base: str
    candidate: str
    sums: dict[str, evidence.Tally] = {}
    marks: dict[str, dict[str, int]] = {}

    @classmethod
    def of(cls, rollout: snapshot.Rollout) -> "Pool":
        """Return an empty pool for a roll-out."""
        return cls(base=rollout.base, candidate=rollout.candidate)

    def fits(self, rollout: snapshot.Rollout) -> bool:
        """Tell whether it holds evidence of these two versions."""
        return (self.base, self.candidate) == (rollout.base, rollout.candidate)

    def mark(self, sender: str, version: str) -> int:
        """Return a sender's newest counted window; 0 without one."""
        return self.marks.get(version, {}).get(sender, 0)

    def take(self, sender: str, message: messages.Evidence) -> bool:
        """Count a window; return False when it was counted before."""
        if message.window <= self.mark(sender, message.version):
            return False
        self.marks.setdefault(message.version, {})[sender] = message.window
        self.total(message.version).add(
            evidence.Tally(
                failures=message.failures,
                successes=message.successes,
                rated=message.rated,
                total=message.total,
                squares=message.squares,
            )
        )
        return True

    def total(self, version: str) -> evidence.Tally:
        """Return the sums of a version."""
        return self.sums.setdefault(version, evidence.Tally())


def key_of(name: str) -> platform.RowKey:
    """Return the key of a roll-out's row."""
    return platform.RowKey(PARTITION, name)
