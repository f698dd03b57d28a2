"""Tests that the configuration's reference page is complete."""

import unittest

from limpetwalk.conf import document

from . import sites

REFERENCE = sites.ROOT / "docs" / "reference" / "configuration.md"


class ReferenceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.text = REFERENCE.read_text()

    def test_each_section_has_a_chapter(self) -> None:
        for name in document.Document.model_fields:
            self.assertIn(f"\n## {name}\n", self.text)

    def test_each_key_is_listed(self) -> None:
        for name, section in vars(document).items():
            if name.endswith("Section") and not name.startswith("_"):
                for key in section.model_fields:
                    with self.subTest(f"{name}.{key}"):
                        self.assertRegex(self.text, rf"\b{key}\b")

    def test_defaults_of_tuning(self) -> None:
        for key, field in document.TuningSection.model_fields.items():
            with self.subTest(key):
                row = f"| `{key}` | {field.default:g} |"
                if isinstance(field.default, int):
                    row = f"| `{key}` | {field.default} |"
                self.assertIn(row, self.text)
