"""Boots of backend servers, which tell whether a server is cold.

A server whose boot id is unknown counts as cold. It is warm once its declared
warm-up time has passed since this node's first request to that boot.
"""

from ..conf import snapshot


class Boot:
    """Current boot of one backend server, as far as this node knows it."""

    def __init__(self) -> None:
        self.boot_id = ""
        self._confirmed = False
        self._first_sent_at: float | None = None
        self._reported_at = float("-inf")

    def is_cold(self, warmup: snapshot.WarmUp, now: float) -> bool:
        """Return whether requests to the server need permits.

        :param now: monotonic instant in seconds.
        """
        if not self._confirmed or self._first_sent_at is None:
            return True
        return now < self._first_sent_at + warmup.duration

    def note_sent(self, now: float) -> None:
        """Record that a request was sent."""
        if self._first_sent_at is None:
            self._first_sent_at = now

    def update(
        self, boot_id: str, reported_at: float, sent_at: float | None = None
    ) -> bool:
        """Update the boot id from a report or an answer of the server.

        :param reported_at: monotonic instant of the report; reports older
            than the last one are ignored.
        :param sent_at: monotonic instant of the request whose answer
            contained the boot id; None for a load report.
        :returns: whether the server has restarted.
        """
        if not boot_id or reported_at < self._reported_at:
            return False
        self._confirmed = True
        self._reported_at = reported_at
        if boot_id == self.boot_id:
            return False
        is_restart = self.boot_id != ""
        self.boot_id = boot_id
        self._first_sent_at = sent_at
        return is_restart

    def mark_unconfirmed(self) -> None:
        """Count the server as cold until its boot id is reported again."""
        self._confirmed = False

    def mark_cold(self) -> None:
        """Count the server as cold from its next request on."""
        self._first_sent_at = None
