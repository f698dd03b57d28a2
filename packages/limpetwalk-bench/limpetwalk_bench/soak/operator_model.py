"""Reference model of what the operator's configurations allow, by time.

Written from the platform's promises. It does no I/O and shares no code with
the nodes.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field

# Time after its acknowledgement from which a node in touch follows a
# configuration or an evacuation, in seconds: the operator's figures with some
# margin for a busy machine.
APPLY_TIME = 3.0
EVACUATE_TIME = 6.0


@dataclass(frozen=True, slots=True)
class Rules:
    """What one configuration allows.

    :param keys: workspace by API key.
    :param routes: whether callers need no key, by name of the route.
    """

    keys: Mapping[str, str]
    routes: Mapping[str, bool]

    def allow(self, route: str, key: str) -> bool:
        """Return whether a request may run.

        :param key: key of the caller, empty for none.
        """
        if route not in self.routes:
            return False
        return self.routes[route] or key in self.keys


@dataclass(frozen=True, slots=True)
class _Written:
    """Configuration with the times of its writing and acknowledgement."""

    rules: Rules
    sent_at: float
    acknowledged_at: float


@dataclass(slots=True)
class Evacuation:
    """Evacuation of a zone.

    :param servers: servers in the zone.
    :param removed_at: instant at which it is taken back.
    """

    servers: frozenset[str]
    acknowledged_at: float
    removed_at: float


@dataclass(slots=True)
class History:
    """What the operator has written, in order.

    :param first: what is allowed from the beginning.
    """

    first: Rules
    evacuations: list[Evacuation] = field(default_factory=list)
    _written: list[_Written] = field(default_factory=list)

    def write(
        self, rules: Rules, sent_at: float, acknowledged_at: float
    ) -> None:
        """Record a configuration."""
        self._written.append(_Written(rules, sent_at, acknowledged_at))

    def in_force(
        self, sent_at: float, ended_at: float, in_touch: bool
    ) -> list[Rules]:
        """Return all rules that may decide about a request.

        :param sent_at: instant at which its caller sent it.
        :param ended_at: instant at which its answer or connection ended.
        :param in_touch: whether its node must follow what was acknowledged.
        """
        possible = [self.first]
        for written in self._written:
            if written.sent_at > ended_at:
                break
            if in_touch and written.acknowledged_at < sent_at - APPLY_TIME:
                possible.clear()
            possible.append(written.rules)
        return possible

    def was_evacuated(self, server: str, at: float) -> bool:
        """Return whether nodes in touch must not send to a server."""
        return any(
            server in evacuation.servers
            and evacuation.acknowledged_at + EVACUATE_TIME < at
            and at < evacuation.removed_at
            for evacuation in self.evacuations
        )
