"""Decoding of JSON that others wrote."""

import json
import unittest

from limpetwalk.gateway import json_decoder


class Documents(unittest.TestCase):
    """Documents that can and can't be decoded."""

    def test_sound_documents(self) -> None:
        value = {"a": [1, 2.5, None, "\u00e9\U0001f600\\ud"], "b": {"c": True}}
        for ascii_only in (True, False):
            text = json.dumps(value, ensure_ascii=ascii_only)
            self.assertEqual(value, json_decoder.decode(text))
            self.assertEqual(value, json_decoder.decode(text.encode()))

    def test_odd_documents_raise_value_errors(self) -> None:
        for text in (
            "",
            "[",
            "[" * 1100 + "]" * 1100,
            '{"a":' * 100_000 + "1" + "}" * 100_000,
            "1e999",
            "-1e999",
            "NaN",
            "[Infinity]",
            "9" * 5000,
            '"\\ud800"',
            '{"\\uDC00": 1}',
            b"\xff",
            b'"\xed\xa0\x80"',
        ):
            with self.subTest(text=text[:20]):
                with self.assertRaises(ValueError):
                    json_decoder.decode(text)

    def test_numbers_have_a_type_and_bounds(self) -> None:
        self.assertEqual(5, json_decoder.integer(5, 0, 9))
        self.assertEqual(5.0, json_decoder.number(5, 0, 9))
        for value in (True, "5", None, 10, -1, 10**400):
            with self.assertRaises(ValueError):
                json_decoder.integer(value, 0, 9)
            with self.assertRaises(ValueError):
                json_decoder.number(value, 0, 9)
