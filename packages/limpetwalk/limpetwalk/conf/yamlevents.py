"""Checks the events of a YAML text before a tree is built from them.

A tree is built by recursion, and an alias may expand to any number of values,
so depth and aliases are checked on the flat sequence of events.
"""

import yaml

from . import findings
from . import yamltree

MAX_DEPTH = 16


class EventChecker:
    """Checks the events of one file in their order.

    :param path: path of the file, for the locations of findings.
    """

    def __init__(self, path: str) -> None:
        self._path = path
        self._depth = 0
        self._documents = 0

    def check(self, event: yaml.Event) -> findings.Finding | None:
        """Return the finding of an event, or None when it is valid."""
        if isinstance(event, yaml.AliasEvent):
            got = f"alias *{event.anchor}"
            return self._finding(event, "alias", got, "the value written out")
        if isinstance(event, yaml.DocumentStartEvent):
            return self._start_document(event)
        if isinstance(event, yaml.CollectionStartEvent):
            return self._start_collection(event)
        if isinstance(event, yaml.CollectionEndEvent):
            self._depth -= 1
        return None

    def _start_document(self, event: yaml.Event) -> findings.Finding | None:
        self._documents += 1
        if self._documents != 2:
            return None
        return self._finding(
            event, "documents", "a second document", "one document in a file"
        )

    def _start_collection(self, event: yaml.Event) -> findings.Finding | None:
        self._depth += 1
        if self._depth != MAX_DEPTH + 1:
            return None
        return self._finding(
            event,
            "depth",
            f"more than {MAX_DEPTH} levels",
            f"at most {MAX_DEPTH} levels",
        )

    def _finding(
        self, event: yaml.Event, ident: str, got: str, expected: str
    ) -> findings.Finding:
        line = yamltree.line_of(event.start_mark)
        return findings.Finding(
            ident,
            findings.Level.ERROR,
            (),
            got,
            expected,
            location=findings.Location(self._path, line),
        )
