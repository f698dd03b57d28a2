"""Stored row with the pooled evidence of a roll-out."""

import pydantic

from limpetwalk.conf import snapshot
from limpetwalk.peers import messages
from limpetwalk.providers import base as platform
from limpetwalk.rollouts import evidence

PARTITION = "rollout"


class EvidencePool(pydantic.BaseModel):
    """Tally of each version, and the newest window counted of each sender.

    A sender sends its windows in order, so the number of the newest one tells
    which windows are counted, and the row doesn't grow with their number.

    :param base: base version of the roll-out.
    :param candidate: candidate version of the roll-out.
    :param sums: tallies by version.
    :param marks: newest counted window by version and sender.
    """

    base: str
    candidate: str
    sums: dict[str, evidence.Tally] = {}
    marks: dict[str, dict[str, int]] = {}

    @classmethod
    def for_rollout(cls, rollout: snapshot.Rollout) -> "EvidencePool":
        """Return an empty pool for a roll-out."""
        return cls(base=rollout.base, candidate=rollout.candidate)

    def matches(self, rollout: snapshot.Rollout) -> bool:
        """Return whether the pool is for the roll-out's two versions."""
        return (self.base, self.candidate) == (rollout.base, rollout.candidate)

    def newest_window(self, sender: str, version: str) -> int:
        """Return the number of a sender's newest counted window, or 0."""
        return self.marks.get(version, {}).get(sender, 0)

    def add_window(self, sender: str, message: messages.Evidence) -> bool:
        """Add a window to the tally; return False if it was counted before."""
        if message.window <= self.newest_window(sender, message.version):
            return False
        self.marks.setdefault(message.version, {})[sender] = message.window
        self.tally(message.version).add(
            evidence.Tally(
                failures=message.failures,
                successes=message.successes,
                rated=message.rated,
                total=message.total,
                squares=message.squares,
            )
        )
        return True

    def tally(self, version: str) -> evidence.Tally:
        """Return the tally of a version."""
        return self.sums.setdefault(version, evidence.Tally())


def row_key(name: str) -> platform.RowKey:
    """Return the key of a roll-out's row."""
    return platform.RowKey(PARTITION, name)
