"""Decoding of the platform's rows, headers and settings."""

import json
import math
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

VERSION = types.Version(1, 9)


def encode_json(value: Any) -> bytes:
    return json.dumps(value).encode()


class ConfigRow(unittest.TestCase):
    """The operator's configuration."""

    def decode(self, value: Any) -> Any:
        return rows.operator_entry("config", encode_json(value), VERSION)

    def test_route_types_decide_whether_retries_are_allowed(self) -> None:
        config = self.decode(site.config_row(version=7))
        self.assertEqual(7, config.version)
        routes = {route.name: route for route in config.routes}
        self.assertTrue(routes["stream"].retryable)
        self.assertEqual(site.MODELS, routes["stream"].models)
        self.assertFalse(routes["once"].retryable)
        self.assertTrue(routes["again"].retryable)
        self.assertEqual(3.0, routes["once"].timeout)
        self.assertEqual(((site.PLAIN, 1),), routes["once"].targets)

    def test_unknown_route_types_are_never_retried(self) -> None:
        value = site.config_row()
        value["routes"] = [site.route("r", "some_new_kind", site.PLAIN)]
        self.assertFalse(self.decode(value).routes[0].retryable)

    def test_split_routes_keep_their_weights(self) -> None:
        value = site.config_row()
        route = site.route("r", "idempotent", site.PLAIN)
        del route["backend"]
        route["split"] = [
            {"backend": "a", "weight": 90},
            {"backend": "b", "weight": 10},
        ]
        value["routes"] = [route]
        decoded = self.decode(value).routes[0]
        self.assertEqual((("a", 90), ("b", 10)), decoded.targets)

    def test_api_keys_map_to_their_workspace(self) -> None:
        config = self.decode(site.config_row())
        self.assertEqual(site.WORKSPACE, config.keys[site.API_KEY].name)
        self.assertEqual(1, config.keys[site.API_KEY].priority)

    def test_key_list_of_null_takes_the_keys_of_its_workspace_away(
        self,
    ) -> None:
        other = {"name": "other", "api_keys": ["key-2"]}
        for tenants, keys in (
            ([{"name": site.WORKSPACE, "api_keys": None}], set()),
            ([{"name": site.WORKSPACE, "api_keys": None}, other], {"key-2"}),
            ([{"name": site.WORKSPACE}], set()),
            (None, set()),
        ):
            with self.subTest(tenants=tenants):
                config = self.decode(site.config_row(tenants=tenants))
                assert isinstance(config, types.Config)
                self.assertEqual(keys, set(config.keys))
                self.assertTrue(config.keys_required)

    def test_route_whose_flag_is_null_is_not_public(self) -> None:
        value = site.config_row()
        value["routes"][1]["public"] = None
        config = self.decode(value)
        assert isinstance(config, types.Config)
        self.assertFalse(config.routes[1].public)

    def test_key_of_two_workspaces_is_counted(self) -> None:
        for keys, shared in (
            (["key-1"], 1),
            (["key-1", "key-1"], 1),
            (["key-2"], 0),
            (["key-2", "key-2"], 0),
        ):
            tenants = [
                {"name": "one", "api_keys": ["key-1"]},
                {"name": "two", "api_keys": keys},
            ]
            config = self.decode(site.config_row(tenants=tenants))
            with self.subTest(keys=keys):
                self.assertEqual(shared, config.shared_keys)
                self.assertEqual("two", config.keys[keys[0]].name)

    def test_findings_name_the_invalid_field(self) -> None:
        value = site.config_row()
        value["routes"][1]["prefix"] = 5
        del value["version"]
        decoded = self.decode(value)
        assert isinstance(decoded, ports.Unreadable)
        findings = " ".join(decoded.findings)
        self.assertIn("routes.1.prefix", findings)
        self.assertIn("version", findings)

    def test_odd_numbers_are_unreadable_with_findings(self) -> None:
        odd = (math.inf, -math.inf, math.nan, -1, 10**400, 1e300)
        for place, name in (
            ("routes", "timeout_ms"),
            ("routes", "slo_ms"),
            ("routes", "itl_slo_ms"),
            ("routes", "attempts"),
            ("backends", "cold_start_s"),
            ("backends", "cold_per_s"),
            ("limits", "max_header_bytes"),
            ("limits", "max_body_bytes"),
            ("limits", "header_timeout_ms"),
            ("limits", "idle_timeout_ms"),
            ("", "version"),
        ):
            for number in odd:
                value = site.config_row()
                part = value[place] if place else value
                (part[0] if isinstance(part, list) else part)[name] = number
                with self.subTest(name=name, number=str(number)[:9]):
                    decoded = self.decode(value)
                    assert isinstance(decoded, ports.Unreadable)
                    self.assertTrue(all(decoded.findings))

    def test_odd_weights_priorities_and_periods_are_unreadable(self) -> None:
        for number in (math.inf, math.nan, -(10**400), 10**400):
            value = site.config_row()
            value["routes"][0]["split"] = [{"backend": "a", "weight": number}]
            self.assertIsInstance(self.decode(value), ports.Unreadable)
            value = site.config_row()
            value["routes"][0]["priority"] = number
            self.assertIsInstance(self.decode(value), ports.Unreadable)
            value = site.config_row()
            value["tenants"][0]["priority"] = number
            self.assertIsInstance(self.decode(value), ports.Unreadable)
            order = {"backend": "s", "to": "v2", "period_s": number}
            decoded = rows.operator_entry(
                "rollout/s", encode_json(order), VERSION
            )
            self.assertIsInstance(decoded, ports.Unreadable)

    def test_other_operator_rows(self) -> None:
        order = {"backend": "s", "to": "v2", "period_s": 12}
        self.assertEqual(
            types.RolloutOrder("s", "v2", 12.0, "1.9", VERSION),
            rows.operator_entry("rollout/s", encode_json(order), VERSION),
        )
        self.assertEqual(
            ports.ZoneEvacuated("z"),
            rows.operator_entry("evacuate/z", b"{}", VERSION),
        )
        self.assertIsNone(rows.operator_entry("news/x", b"{}", VERSION))


class ServerRow(unittest.TestCase):
    """Entries of servers, not all of them written by servers."""

    def test_complete_entry(self) -> None:
        server = rows.server_entry(
            "i-1",
            encode_json(
                site.server_row("s", 8080, cold_left_ms=1500, born=42)
            ),
        )
        assert isinstance(server, types.Server)
        self.assertEqual(
            ("i-1", 8080, 1.5, 42),
            (server.id, server.port, server.cold_left, server.boot_ms),
        )
        self.assertFalse(server.leaving)

    def test_server_with_an_empty_list_of_models_serves_none(self) -> None:
        row = site.server_row("s", 8080)
        for models, names in (
            ([], ()),
            (None, ()),
            ([{"name": "m", "version": 1}], ("m",)),
        ):
            entry = rows.server_entry(
                "i-1", encode_json({**row, "models": models})
            )
            assert isinstance(entry, types.Server)
            self.assertEqual(names, entry.models, models)
        entry = rows.server_entry("i-1", encode_json(row))
        assert isinstance(entry, types.Server)
        self.assertIsNone(entry.models)

    def test_invalid_entries_are_unreadable(self) -> None:
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
            decoded = rows.server_entry(
                "i-1", encode_json({**site.server_row("s", 1), **change})
            )
            self.assertIsInstance(decoded, ports.Unreadable, change)
        for value in (b"", b"\xff", b"[]", b"null", b'{"state": "ready"}'):
            decoded = rows.server_entry("i-1", value)
            self.assertIsInstance(decoded, ports.Unreadable, value)

    def test_odd_entries_are_unreadable_with_findings(self) -> None:
        for change in (
            {"address": "127.0.0.1:99999"},
            {"address": "127.0.0.1:-1"},
            {"address": "127.0.0.1:0"},
            {"address": "127.0.0.1:+80"},
            {"address": f"127.0.0.1:{'9' * 5000}"},
            {"address": ":80"},
            {"address": f"{'a' * 64}.example:80"},
            {"address": "a..b:80"},
            {"address": "a\0b:80"},
            {"slots": -5},
            {"slots": int("9" * 400)},
            {"cold_left_ms": math.inf},
            {"cold_left_ms": math.nan},
            {"cold_left_ms": -1},
            {"cold_left_ms": 1e300},
            {"born": 10**30},
            {"born": -1},
            {"seq": 10**30},
            {"zone": "\ud800"},
            {"version": "\ud800"},
            {"backend": "\ud800"},
            {"models": [{"name": "\udfff"}]},
        ):
            with self.subTest(change=str(change)[:60]):
                decoded = rows.server_entry(
                    "i-1", encode_json({**site.server_row("s", 1), **change})
                )
                assert isinstance(decoded, ports.Unreadable)
                self.assertTrue(all(decoded.findings))
        for address in ("10.0.0.1:80", "h-1.example:65535", "localhost:1"):
            row = {**site.server_row("s", 1), "address": address}
            decoded = rows.server_entry("i-1", encode_json(row))
            self.assertIsInstance(decoded, types.Server, address)

    def test_number_beyond_every_type_is_unreadable(self) -> None:
        for name in ("slots", "born", "seq", "cold_left_ms", "unknown"):
            for number in ("9" * 5000, "1e999"):
                row = {**site.server_row("s", 1), name: "N"}
                value = encode_json(row).replace(b'"N"', number.encode())
                decoded = rows.server_entry("i-1", value)
                self.assertIsInstance(decoded, ports.Unreadable, name)


class NestedRow(unittest.TestCase):
    """Rows whose contents are nested very deeply."""

    def test_deeply_nested_rows_are_unreadable(self) -> None:
        nested = b"[" * 1100 + b"]" * 1100
        contents = {
            "config": site.config_row(),
            "rollout/s": {"backend": "s", "to": "v2", "period_s": 12},
            "i-1": site.server_row("s", 1),
        }
        for key, content in contents.items():
            value = encode_json({**content, "unknown": "N"})
            value = value.replace(b'"N"', nested)
            with self.subTest(key=key):
                decoded = (
                    rows.server_entry(key, value)
                    if key == "i-1"
                    else rows.operator_entry(key, value, VERSION)
                )
                assert isinstance(decoded, ports.Unreadable)
                self.assertIn("nested", decoded.findings[0])


class HeaderValues(unittest.TestCase):
    """Formats of the headers."""

    header_format = headers.Headers()

    def test_keys(self) -> None:
        for value, key in (
            ("Token abc", "abc"),
            ("token abc ", "abc"),
            ("Bearer abc", None),
            ("Token ", None),
            ("", None),
        ):
            parsed = self.header_format.api_key({"Authorization": value})
            self.assertEqual(key, parsed, value)

    def test_prompts(self) -> None:
        prompt = self.header_format.prompt(
            {
                "Token-Usage": "1460,80",
                "Prefix-Hash": "5c:800, 91:410,e4:250",
            }
        )
        self.assertEqual(
            (1460, 80), (prompt.input_tokens, prompt.output_tokens)
        )
        self.assertEqual(
            [800, 410, 250], [part.tokens for part in prompt.parts]
        )
        self.assertEqual("91", prompt.shared_key)

    def test_unreadable_values_are_zero(self) -> None:
        prompt = self.header_format.prompt(
            {"Token-Usage": "x,-5", "Prefix-Hash": ",,a:b,c"}
        )
        self.assertEqual((0, 0), (prompt.input_tokens, prompt.output_tokens))
        self.assertEqual(
            [("a", 0), ("c", 0)],
            [(part.id, part.tokens) for part in prompt.parts],
        )


class SettingsFile(unittest.TestCase):
    """Settings file that the platform writes on a machine."""

    def load(self, text: str) -> settings.PlatformFile:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "node.toml"
            path.write_text(text)
            environment = {settings.PATH_VARIABLE: str(path)}
            with mock.patch.dict(os.environ, environment):
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

    def test_durations_are_converted_to_seconds(self) -> None:
        loaded = self.load(self.text).decoded()
        self.assertEqual(("10.0.0.1", 80), loaded.callers)
        self.assertEqual(("10.0.0.1", 7340), loaded.peers)
        self.assertEqual(4.0, loaded.bounds.contact)
        self.assertEqual(0.12, loaded.bounds.exposure_share)

    def test_all_findings_are_reported_at_once(self) -> None:
        text = self.text.replace('zone = "z"', "zone = 5").replace(
            'address = "10.0.0.9:8223"', ""
        )
        with self.assertRaises(exceptions.SettingsError) as caught:
            self.load(text)
        findings = " ".join(caught.exception.findings)
        self.assertIn("zone", findings)
        self.assertIn("platform.address", findings)

    def test_odd_files_are_reported(self) -> None:
        for old, new in (
            ("10.0.0.1:80", "10.0.0.1:99999"),
            ("10.0.0.1:81", "10.0.0.1:-1"),
            ("10.0.0.1:80", "10.0.0.1"),
            ("10.0.0.1:80", "10.0.0.1:http"),
            ("10.0.0.9:8223", "10.0.0.9:99999"),
            ("10.0.0.9:8223", "10.0.0.9"),
            ("7340", "99999"),
            ("7340", "-1"),
            ("4000", "inf"),
            ("4000", "nan"),
            ("4000", "-1"),
            ("0.12", "-0.12"),
            ("0.12", "nan"),
            ('"ignored"', "[" * 1100 + "]" * 1100),
            ("4000", "9" * 5000),
        ):
            with self.subTest(new=new[:20]):
                with self.assertRaises(exceptions.SettingsError) as caught:
                    self.load(self.text.replace(old, new)).decoded()
                self.assertTrue(caught.exception.findings)

    def test_missing_and_malformed_files(self) -> None:
        with self.assertRaises(exceptions.SettingsError):
            self.load("not = = toml")
        with mock.patch.dict(os.environ, {settings.PATH_VARIABLE: ""}):
            with self.assertRaises(exceptions.SettingsError):
                settings.decode(settings.read())
