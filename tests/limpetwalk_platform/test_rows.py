"""Decoding of the platform's rows, headers and settings."""

import json
import os
import pathlib
import tempfile
from typing import Any
import unittest
from unittest import mock

from limpetwalk import exceptions
from limpetwalk.gateway import ports
from limpetwalk.gateway import types
from limpetwalk_bench.hub import site
from limpetwalk_platform import headers
from limpetwalk_platform import rows
from limpetwalk_platform import settings


def encoded(value: Any) -> bytes:
    return json.dumps(value).encode()


class ConfigRow(unittest.TestCase):
    """The operator's configuration."""

    def decode(self, value: Any) -> Any:
        return rows.operator_entry("config", encoded(value), 3)

    def test_routes_say_what_may_be_repeated(self) -> None:
        config = self.decode(site.config(version=7))
        self.assertEqual(7, config.version)
        kinds = {each.name: each for each in config.routes}
        self.assertTrue(kinds["stream"].repeatable)
        self.assertEqual(site.MODELS, kinds["stream"].models)
        self.assertFalse(kinds["once"].repeatable)
        self.assertTrue(kinds["again"].repeatable)
        self.assertEqual(3.0, kinds["once"].timeout)
        self.assertEqual(((site.PLAIN, 1),), kinds["once"].targets)

    def test_kinds_that_are_not_known_are_never_repeated(self) -> None:
        value = site.config()
        value["routes"] = [site.route("r", "some_new_kind", site.PLAIN)]
        self.assertFalse(self.decode(value).routes[0].repeatable)

    def test_split_routes_keep_their_weights(self) -> None:
        value = site.config()
        route = site.route("r", "idempotent", site.PLAIN)
        del route["backend"]
        route["split"] = [
            {"backend": "a", "weight": 90},
            {"backend": "b", "weight": 10},
        ]
        value["routes"] = [route]
        held = self.decode(value).routes[0]
        self.assertEqual((("a", 90), ("b", 10)), held.targets)

    def test_keys_lead_to_their_workspace(self) -> None:
        config = self.decode(site.config())
        self.assertEqual(site.WORKSPACE, config.keys[site.KEY].name)
        self.assertEqual(1, config.keys[site.KEY].priority)

    def test_findings_name_their_place(self) -> None:
        value = site.config()
        value["routes"][1]["prefix"] = 5
        del value["version"]
        found = self.decode(value)
        assert isinstance(found, ports.Unreadable)
        text = " ".join(found.findings)
        self.assertIn("routes.1.prefix", text)
        self.assertIn("version", text)

    def test_other_rows_of_the_operator(self) -> None:
        order = {"backend": "s", "to": "v2", "period_s": 12}
        self.assertEqual(
            types.RolloutOrder("s", "v2", 12.0, 9),
            rows.operator_entry("rollout/s", encoded(order), 9),
        )
        self.assertEqual(
            ports.ZoneEvacuated("z"),
            rows.operator_entry("evacuate/z", b"{}", 9),
        )
        self.assertIsNone(rows.operator_entry("news/x", b"{}", 9))


class ServerRow(unittest.TestCase):
    """Entries of servers, some of them by other writers."""

    def test_whole_entry(self) -> None:
        held = rows.server_entry(
            "i-1",
            encoded(site.entry("s", 8080, cold_left_ms=1500, born=42)),
        )
        assert isinstance(held, types.Server)
        self.assertEqual(
            ("i-1", 8080, 1.5, 42),
            (held.id, held.port, held.cold_left, held.boot_ms),
        )
        self.assertFalse(held.leaving)

    def test_spoilt_entries_name_no_server(self) -> None:
        for change in (
            {"state": "asleep"},
            {"state": None},
            {"address": "nowhere"},
            {"address": 5},
            {"slots": "8"},
            {"version": 2},
            {"born": "now"},
            {"cold_left_ms": "1"},
            {"zone": None},
        ):
            held = rows.server_entry(
                "i-1", encoded({**site.entry("s", 1), **change})
            )
            self.assertIsInstance(held, ports.Unreadable, change)
        for value in (b"", b"\xff", b"[]", b"null", b'{"state": "ready"}'):
            held = rows.server_entry("i-1", value)
            self.assertIsInstance(held, ports.Unreadable, value)


class HeaderValues(unittest.TestCase):
    """Formats of the headers."""

    wire = headers.Headers()

    def test_keys(self) -> None:
        for value, key in (
            ("Token abc", "abc"),
            ("token abc ", "abc"),
            ("Bearer abc", None),
            ("Token ", None),
            ("", None),
        ):
            found = self.wire.api_key({"Authorization": value})
            self.assertEqual(key, found, value)

    def test_prompts(self) -> None:
        held = self.wire.prompt(
            {
                "Token-Usage": "1460,80",
                "Prefix-Hash": "5c:800, 91:410,e4:250",
            }
        )
        self.assertEqual((1460, 80), (held.input_tokens, held.output_tokens))
        self.assertEqual([800, 410, 250], [p.tokens for p in held.parts])
        self.assertEqual("91", held.shared_key)

    def test_unreadable_values_are_zero(self) -> None:
        held = self.wire.prompt(
            {"Token-Usage": "x,-5", "Prefix-Hash": ",,a:b,c"}
        )
        self.assertEqual((0, 0), (held.input_tokens, held.output_tokens))
        self.assertEqual(
            [("a", 0), ("c", 0)], [(p.id, p.tokens) for p in held.parts]
        )


class SettingsFile(unittest.TestCase):
    """The settings that the platform lays on a machine."""

    def load(self, text: str) -> settings.PlatformFile:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "node.toml"
            path.write_text(text)
            held = {settings.PATH_VARIABLE: str(path)}
            with mock.patch.dict(os.environ, held):
                return settings.decode(settings.read())

    text = """
node_name = "n"
zone = "z"
ip = "10.0.0.1"
port_range = [7340, 7355]
news = "ignored"
[listen]
front_addr = "10.0.0.1:80"
readiness = "10.0.0.1:81"
[bounds]
contact_ms = 4000
exposure_share = 0.12
[platform]
address = "10.0.0.9:8223"
"""

    def test_units_are_seconds(self) -> None:
        held = self.load(self.text).decoded()
        self.assertEqual(("10.0.0.1", 80), held.callers)
        self.assertEqual(("10.0.0.1", 7340), held.peers)
        self.assertEqual(4.0, held.bounds.contact)
        self.assertEqual(0.12, held.bounds.exposure_share)

    def test_all_findings_are_told_at_once(self) -> None:
        text = self.text.replace('zone = "z"', "zone = 5").replace(
            'address = "10.0.0.9:8223"', ""
        )
        with self.assertRaises(exceptions.SettingsError) as caught:
            self.load(text)
        told = " ".join(caught.exception.findings)
        self.assertIn("zone", told)
        self.assertIn("platform.address", told)

    def test_missing_and_broken_files(self) -> None:
        with self.assertRaises(exceptions.SettingsError):
            self.load("not = = toml")
        with mock.patch.dict(os.environ, {settings.PATH_VARIABLE: ""}):
            with self.assertRaises(exceptions.SettingsError):
                settings.decode(settings.read())
