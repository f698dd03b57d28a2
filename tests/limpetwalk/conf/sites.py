"""Folders of configuration for tests."""

import pathlib
import tempfile
import textwrap
import unittest

from limpetwalk.conf import document
from limpetwalk.conf import findings
from limpetwalk.conf import loader

ROOT = pathlib.Path(__file__).parents[3]
BERCVAR = ROOT / "examples" / "bercvar"
NAVARRETE = ROOT / "examples" / "navarrete"

SMALL = """\
zones:
  z1: {region: r1}
  z2: {region: r1}
models:
  cheap:
    versions: {"1": {}, "2": {}, "0": {state: withdrawn}}
    default_version: "1"
  strong:
    versions: {"5": {}}
    default_version: "5"
servers:
  e1:
    kind: engine
    protocol: openai
    address: 127.0.0.1:9001
    zone: z1
    serves: {cheap: ["1", "2"], strong: ["5"]}
  s1:
    kind: service
    protocol: plain
    address: 127.0.0.1:9002
    zone: z2
    service: orders
cascades:
  ask: {policy: fixed, models: [cheap, strong], target: 0.5}
services:
  orders:
    routes: [{method: POST, path: /orders, idempotent: false}]
workspaces:
  desk:
    key_digests:
      - a000000000000000000000000000000000000000000000000000000000000001
    models: [cheap, strong]
    cascades: [ask]
    services: [orders]
rollouts:
  cheap-2:
    model: cheap
    base: "1"
    candidate: "2"
    share: 0.1
    state: running
    guard: window
session_keys:
  k1: {secret: 0123456789abcdef-secret}
"""


class FolderCase(unittest.TestCase):
    """Test case with a temporary folder."""

    def setUp(self) -> None:
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.folder = pathlib.Path(temporary.name)

    def write(self, name: str, text: str) -> pathlib.Path:
        """Write a dedented text to a file of the folder."""
        path = self.folder / name
        path.write_text(textwrap.dedent(text))
        return path

    def findings(self) -> list[str]:
        """Load the folder and return its findings, with relative paths."""
        outcome = loader.load_document(str(self.folder))
        prefix = f"{self.folder}/"
        return [
            str(finding).removeprefix(prefix)
            for finding in outcome.err() or []
        ]

    def warnings(self, *edits: tuple[str, str]) -> list[tuple[str, str]]:
        """Return the ids and paths of the warnings of an edited ``SMALL``.

        :param edits: texts to replace once, and their replacements.
        """
        text = SMALL
        for old, new in edits:
            self.assertIn(old, text)
            text = text.replace(old, new, 1)
        self.write("site.yaml", text)
        outcome = loader.load_folder_with_locations(str(self.folder))
        self.assertTrue(outcome.is_ok(), outcome)
        items = outcome.unwrap().warnings
        for item in items:
            self.assertRegex(str(item), r"site\.yaml:\d+: .*\(warning\)")
        return [(item.id, findings.format_path(item.path)) for item in items]


def small() -> document.Document:
    """Return the document of ``SMALL``."""
    with tempfile.TemporaryDirectory() as folder:
        pathlib.Path(folder, "site.yaml").write_text(SMALL)
        return loader.load_document(folder).unwrap()
