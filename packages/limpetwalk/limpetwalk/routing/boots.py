"""Boots of backend servers: which are cold.

A server whose boot id is unknown counts as cold. It is warm once the
declared time has passed since this node's first request to that boot.
"""

from ..conf import snapshot


class Boot:
    """Current boot of one backend server, as far as it is known."""

    def __init__(self) -> None:
        self.boot_id = ""
        self._confirmed = False
        self._first: float | None = None
        self._learned_at = float("-inf")

    def is_cold(self, warmup: snapshot.WarmUp, now: float) -> bool:
        """Whether the server may only be sent what it has permits for.

        :param now: monotonic instant in seconds.
        """
        if not self._confirmed or self._first is None:
            return True
        return now < self._first + warmup.duration

    def note_sent(self, now: float) -> None:
        """Note that a request was sent."""
        if self._first is None:
            self._first = now

    def update(
        self, boot_id: str, seen_at: float, sent_at: float | None = None
    ) -> bool:
        """Note the boot id that the server shows.

        :param seen_at: instant at which it was shown; older news than what
            is known are skipped.
        :param sent_at: instant of the request whose answer showed it.
        :returns: whether the server has started anew.
        """
        if not boot_id or seen_at < self._learned_at:
            return False
        self._confirmed = True
        self._learned_at = seen_at
        if boot_id == self.boot_id:
            return False
        renewed = self.boot_id != ""
        self.boot_id = boot_id
        self._first = sent_at
        return renewed

    def mark_unconfirmed(self) -> None:
        """Count the boot as unknown until the server shows its id again."""
        self._confirmed = False

    def mark_cold(self) -> None:
        """Count the server as cold from its next request on."""
        self._first = None
