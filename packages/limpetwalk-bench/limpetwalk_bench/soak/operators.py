"""Operator of a soak, who writes configurations and evacuates zones."""

import collections
import enum
import math
import time
from typing import Any

from ..hub import site
from . import operator_model

# Second workspace, its keys, and a route of its own.
WORKSPACE = "workspace-2"
KEYS = ("key-2a", "key-2b")
ROUTE = "extra"
# Key that no configuration ever holds.
STRANGE_KEY = "key-of-nobody"
# Zone that may be evacuated.
ZONE = "zone-b"


class Change(enum.Enum):
    """Difference of a configuration from the usual one, for some time.

    :cvar TAKE_KEY: one key of a workspace is taken away.
    :cvar TAKE_LAST: a workspace loses all its keys.
    :cvar NULL_KEYS: the same, written as null.
    :cvar TAKE_ALL: nobody holds a key.
    :cvar NO_WORKSPACES: the list of workspaces is empty.
    :cvar MOVE_KEY: a key belongs to another workspace.
    :cvar DROP_ROUTE: a route is missing.
    :cvar OPEN_ROUTE: a route is public.
    """

    TAKE_KEY = "take_key"
    TAKE_LAST = "take_last"
    NULL_KEYS = "null_keys"
    TAKE_ALL = "take_all"
    NO_WORKSPACES = "no_workspaces"
    MOVE_KEY = "move_key"
    DROP_ROUTE = "drop_route"
    OPEN_ROUTE = "open_route"


class Operator:
    """Writes what the changes in force make of the usual configuration.

    :param stand_ins: site whose store gets the configurations.
    :ivar history: what was written, and when.
    """

    def __init__(self, stand_ins: site.Site) -> None:
        self._site = stand_ins
        self._version = 1
        self._active: collections.Counter[Change] = collections.Counter()
        self.history = operator_model.History(self._rules())

    async def write(self) -> None:
        """Write the present configuration under a new version."""
        self._version += 3
        row = site.config_row(self._version, tenants=self._workspaces())
        if not self._has(Change.DROP_ROUTE):
            row["routes"].append(
                site.route(
                    ROUTE,
                    "idempotent",
                    site.PLAIN,
                    attempts=2,
                    public=self._has(Change.OPEN_ROUTE),
                )
            )
        # A route that nobody uses makes each configuration another one.
        row["routes"].append(
            site.route(f"more-{self._version}", "idempotent", site.PLAIN)
        )
        rules, sent_at = self._rules(), time.monotonic()
        await self._site.store.put("op", "config", row)
        self.history.write(rules, sent_at, time.monotonic())

    async def begin(self, change: Change) -> None:
        """Write a configuration with a change."""
        self._active[change] += 1
        await self.write()

    async def end(self, change: Change) -> None:
        """Write a configuration without a change."""
        self._active[change] -= 1
        await self.write()

    async def evacuate(self, servers: frozenset[str]) -> None:
        """Order that nothing is sent to the servers of the zone."""
        await self._site.store.put("op", f"evacuate/{ZONE}", {})
        self.history.evacuations.append(
            operator_model.Evacuation(servers, time.monotonic(), math.inf)
        )

    async def end_evacuation(self) -> None:
        """Take the evacuation back."""
        now = time.monotonic()
        for evacuation in self.history.evacuations:
            evacuation.removed_at = min(evacuation.removed_at, now)
        await self._site.store.remove("op", f"evacuate/{ZONE}")

    def _has(self, change: Change) -> bool:
        return self._active[change] > 0

    def _workspaces(self) -> list[dict[str, Any]]:
        if self._has(Change.NO_WORKSPACES):
            return []
        own, others = [site.API_KEY], list(KEYS)
        if self._has(Change.TAKE_KEY):
            others.remove(KEYS[0])
        if self._has(Change.MOVE_KEY):
            others.remove(KEYS[1])
            own.append(KEYS[1])
        if self._has(Change.TAKE_LAST) or self._has(Change.NULL_KEYS):
            others = []
        if self._has(Change.TAKE_ALL):
            own, others = [], []
        is_null = self._has(Change.NULL_KEYS) and not others
        return [
            {"name": site.WORKSPACE, "api_keys": own, "priority": 1},
            {"name": WORKSPACE, "api_keys": None if is_null else others},
        ]

    def _rules(self) -> operator_model.Rules:
        routes = {"once": False, "again": False, "stream": False}
        if not self._has(Change.DROP_ROUTE):
            routes[ROUTE] = self._has(Change.OPEN_ROUTE)
        return operator_model.Rules(
            {
                key: workspace["name"]
                for workspace in self._workspaces()
                for key in workspace["api_keys"] or ()
            },
            routes,
        )
