"""Tests of the folder loader and of the findings that it reports."""

import os
import pathlib
from unittest import mock

from limpetwalk.conf import loader
from limpetwalk.conf import located
from limpetwalk.conf import yamlfile

from . import sites

# Text to replace in the small site, its replacement, and part of a finding.
EDITS = [
    ("zones:\n", "zonez: {}\nzones:\n", "zonez: got unknown key 'zonez'"),
    ("{region: r1}", "{regio: r1}", "zones.z1.region: got nothing"),
    ("{region: r1}", "{region: r1, x: 1}", "zones.z1.x: got unknown key 'x'"),
    ("{region: r1}", "{region: 5}", "zones.z1.region: got 5, expected a "),
    ("{region: r1}", "[r1]", "zones.z1: got a list, expected a mapping"),
    ("{region: r1}", "", "zones.z1: got nothing, expected a mapping"),
    ("  z2: {", "  'a b': {", "zones.a b: got key 'a b', expected a name"),
    ("zone: z1", "zone: z9", "e1.zone: got 'z9', expected one of z1, z2"),
    ("service: orders", "service: x", "s1.service: got 'x', expected one"),
    ('cheap: ["1"', 'cheap: ["9"', "serves.cheap.0: got '9', expected one"),
    ('strong: ["5"]', 'none: ["5"]', "serves.none: got 'none', expected"),
    ('version: "1"', 'version: "7"', "default_version: got '7', expected"),
    ('version: "1"', 'version: "0"', "got withdrawn version '0'"),
    ('version: "1"', "version: 1", "put the value in quotes"),
    ("models: [cheap, strong], t", "models: [x], t", "models.0: got 'x'"),
    ("cascades: [ask]", "cascades: [x]", "cascades.0: got 'x', expected"),
    ("services: [orders]", "services: [x]", "services.0: got 'x', expected"),
    (
        "models: [cheap, strong]\n",
        "models: [cheap]\n",
        "cascades.0: got cascade 'ask', which needs model 'strong'",
    ),
    ("model: cheap", "model: x", "cheap-2.model: got 'x', expected one of"),
    ('candidate: "2"', 'candidate: "8"', "candidate: got '8', expected"),
    ('candidate: "2"', 'candidate: "0"', "got withdrawn version '0'"),
    ('base: "1"', 'base: "2"', "candidate: got '2', expected another"),
    ("share: 0.1", "share: 1.5", "share: got 1.5, expected less than or eq"),
    ("share: 0.1", "share: -1", "share: got -1, expected greater than or e"),
    ("share: 0.1", "share: .nan", "share: got nan, expected a finite number"),
    ("share: 0.1", "share: yes", "share: got True, expected a valid number"),
    ("state: running", "state: jogging", "state: got 'jogging', expected"),
    ("zone: z1", "zone: z1\n    concurrency: -4", "concurrency: got -4"),
    ("127.0.0.1:9002", "127.0.0.1:9001", "the address of server 'e1'"),
    ("127.0.0.1:9002", "somewhere:80", "expected an IP number and port"),
    ("127.0.0.1:9002", "::1:9002", "expected an IP number and port"),
    ("127.0.0.1:9002", "'[::g]:9002'", "expected an IP number and port"),
    ("127.0.0.1:9002", "127.1:9002", "expected an IP number and port"),
    ("127.0.0.1:9002", '"127.0.0.1\\0:9002"', "expected an IP number and"),
    ("127.0.0.1:9002", "127.0.0.1:0", "expected a port from 1 to 65535"),
    ("127.0.0.1:9002", "127.0.0.1:99999999", "a port from 1 to 65535"),
    ("127.0.0.1:9002", "127.0.0.1", "expected an IP number and port"),
    ("kind: service", "kind: engine", "e: got 'orders', expected no service"),
    ("target: 0.5", "target: 2", "target: got 2, expected less than or eq"),
    ("  k1: {secret: 0123", "  k1: {secret: '', x: 0123", "secret: got ''"),
    (
        "session_keys:\n",
        "session_keys:\n  k2: {secret: fedcba9876543210}\n",
        "session_keys: got no primary key",
    ),
    (
        "rollouts:\n",
        "rollouts:\n  more: {model: cheap, base: '1', candidate: '2', "
        "share: 0.95, state: running, guard: window}\n",
        "more.share: got 0.95, in all 1.05 for 'cheap'",
    ),
    ("protocol: plain", "protocol: smtp", "got 'smtp', expected a backend pr"),
    ("policy: fixed", "policy: dice", "got 'dice', expected a cascade policy"),
    ("guard: window", "guard: dog", "got 'dog', expected a rollout guard"),
    ("zone: z1", "zone: &a z1\n    service: *a", "got alias *a, expected"),
    ("zone: z1", "zone: !!binary aGk=", "got tag tag:yaml.org,2002:binary"),
    ("zone: z1", "<<: {zone: z1}", "got <<, expected keys written out"),
    ("zone: z1", "zone: z1\n    zone: z2", "key 'zone' again, first on line"),
    ("zone: z1", "zone: z1\n    [a]: z2", "got a list, expected a text as"),
    ("zones:\n", "operations: {}\nzones:\n", "got section 'operations'"),
    ("zones:\n", "--- {}\n---\nzones:\n", "got a second document"),
    ("share: 0.1", "share: 0b_", "share: got '0b_', expected plain data"),
    ("share: 0.1", "share: 1" + "0" * 30, "got a number out of range"),
]


class FindingsTest(sites.FolderCase):
    def test_small_site_has_no_findings(self) -> None:
        self.write("site.yaml", sites.SMALL)
        self.assertEqual(self.findings(), [])

    def test_each_edit_is_reported_with_its_line(self) -> None:
        for old, new, expected in EDITS:
            with self.subTest(new):
                self.assertIn(old, sites.SMALL)
                text = sites.SMALL.replace(old, new, 1)
                self.write("site.yaml", text)
                texts = self.findings()
                self.assertTrue(any(expected in item for item in texts), texts)
                for item in texts:
                    self.assertRegex(item, r"^site\.yaml:\d+: .*got .*expect")

    def test_addresses_of_both_families(self) -> None:
        for address in ("10.0.0.1:1", "'[::1]:65535'", "'[fe80::2]:80'"):
            with self.subTest(address):
                text = sites.SMALL.replace("127.0.0.1:9002", address)
                self.write("site.yaml", text)
                self.assertEqual(self.findings(), [])

    def test_locations_are_file_and_line(self) -> None:
        self.write("a.yaml", "zones:\n  z1:\n    region: r1\n    x: 1\n")
        self.write("b.yaml", "tuning:\n  queue_length: -1\n")
        self.assertEqual(
            self.findings(),
            [
                "a.yaml:4: zones.z1.x: got unknown key 'x', "
                "expected one of region, state",
                "b.yaml:2: tuning.queue_length: got -1, "
                "expected greater than or equal to 0",
            ],
        )

    def test_all_kinds_of_findings_are_reported_at_once(self) -> None:
        text = sites.SMALL.replace("zone: z1", "zone: z9\n    bogus: 1")
        text = text.replace("share: 0.1", "share: 7")
        self.write("site.yaml", text)
        text = "\n".join(self.findings())
        for part in ("'z9'", "unknown key 'bogus'", "got 7, expected less"):
            self.assertIn(part, text)

    def test_a_bad_entry_is_not_reported_as_undeclared_too(self) -> None:
        text = sites.SMALL.replace("{region: r1}", "{regio: r1}", 1)
        self.write("site.yaml", text)
        self.assertEqual(len(self.findings()), 2)


class FolderTest(sites.FolderCase):
    def only_finding(self) -> str:
        """Return the only finding of the folder."""
        texts = self.findings()
        self.assertEqual(len(texts), 1, texts)
        return texts[0]

    def test_missing_folder(self) -> None:
        self.folder = self.folder / "nosuch"
        self.assertIn("got No such file", self.only_finding())

    def test_file_instead_of_folder(self) -> None:
        self.folder = self.write("a.yaml", "")
        self.assertIn("got Not a directory", self.only_finding())

    def test_empty_folder(self) -> None:
        self.assertIn(
            "got no such file, expected a folder with", self.only_finding()
        )

    def test_files_without_content(self) -> None:
        self.write("a.yaml", "# nothing\n")
        self.write("b.yaml", "")
        self.assertIn("got empty files", self.only_finding())

    def test_not_utf8(self) -> None:
        (self.folder / "a.yaml").write_bytes(b"a: 1\nb: \xff\n")
        self.assertEqual(
            self.only_finding(), "a.yaml:2: got byte 0xff, expected UTF-8"
        )

    def test_not_yaml(self) -> None:
        self.write("a.yaml", "zones:\n  z1: {region\n")
        self.assertRegex(
            self.only_finding(), r"^a.yaml:\d: got .*, expected YAML$"
        )

    def test_control_characters(self) -> None:
        (self.folder / "a.yaml").write_bytes(b"a: \x00\x07")
        self.assertIn("expected YAML", self.only_finding())

    def test_top_level_is_not_a_mapping(self) -> None:
        for text, got in (("- a\n", "a list"), ("hello\n", "a value")):
            with self.subTest(text):
                self.write("a.yaml", text)
                self.assertEqual(
                    self.only_finding(),
                    f"a.yaml:1: got {got}, expected a mapping at the top",
                )

    def test_symlink_loop(self) -> None:
        os.symlink(self.folder / "b.yaml", self.folder / "a.yaml")
        os.symlink(self.folder / "a.yaml", self.folder / "b.yaml")
        texts = self.findings()
        self.assertEqual(len(texts), 2)
        for item in texts:
            self.assertIn("Too many levels of symbolic links", item)

    def test_symlink_without_target(self) -> None:
        os.symlink(self.folder / "gone", self.folder / "a.yaml")
        self.assertIn("a.yaml: got No such file", self.only_finding())

    def test_symlink_to_a_file(self) -> None:
        outside = self.write("site.txt", sites.SMALL)
        inside = self.folder / "in"
        inside.mkdir()
        os.symlink(outside, inside / "a.yaml")
        self.folder = inside
        self.assertEqual(self.findings(), [])

    def test_directory_named_as_a_file(self) -> None:
        (self.folder / "a.yaml").mkdir()
        self.assertIn("a.yaml: got a folder, expected", self.only_finding())

    def test_fifo_does_not_block(self) -> None:
        os.mkfifo(self.folder / "a.yaml")
        self.assertIn(
            "a.yaml: got a special file, expected", self.only_finding()
        )

    def test_unreadable_file(self) -> None:
        self.write("a.yaml", "")
        denied = PermissionError(13, "Permission denied")
        with mock.patch("builtins.open", side_effect=denied):
            self.assertIn("a.yaml: got Permission denied", self.only_finding())

    def test_large_file(self) -> None:
        self.write("a.yaml", "#" * (yamlfile.MAX_FILE_BYTES + 1))
        self.assertIn("expected at most", self.only_finding())

    def test_large_folder(self) -> None:
        self.write("a.yaml", "#" * 100)
        with mock.patch.object(loader, "MAX_FOLDER_BYTES", 99):
            self.assertIn("got 100 bytes, more than 99", self.only_finding())
        with mock.patch.object(loader, "MAX_FILES", 0):
            self.assertIn("got 1 files, more than 0", self.only_finding())

    def test_nested_aliases_are_not_expanded(self) -> None:
        lines = ["a0: &a0 [x, x, x, x, x, x, x, x, x]"]
        for step in range(1, 12):
            items = ", ".join([f"*a{step - 1}"] * 9)
            lines.append(f"a{step}: &a{step} [{items}]")
        self.write("a.yaml", "\n".join(lines))
        texts = self.findings()
        self.assertIn("a.yaml:2: got alias *a0", texts[0])

    def test_alias_of_itself(self) -> None:
        self.write("a.yaml", "zones: &z\n  z1: *z\n")
        self.assertIn("a.yaml:2: got alias *z", self.only_finding())

    def test_deep_nesting(self) -> None:
        for text in ("[" * 60000, "{a: " * 60000, "- " * 5000 + "x"):
            with self.subTest(text[:4]):
                self.write("a.yaml", text)
                self.assertIn("a.yaml", self.findings()[0])

    def test_other_file_names_give_a_warning(self) -> None:
        self.write("site.yaml", sites.SMALL)
        self.write("notes.txt", "x")
        self.write(".hidden.yaml.swp", "x")
        outcome = loader.load_folder_with_locations(str(self.folder)).unwrap()
        ignored = [item for item in outcome.warnings if item.id == "ignored"]
        self.assertEqual(len(ignored), 1)
        self.assertIn("notes.txt", str(ignored[0]))

    def test_names_in_an_unreadable_file_are_not_undeclared(self) -> None:
        head, tail = sites.SMALL.split("servers:")
        self.write("a.yaml", "servers:" + tail)
        self.write("b.yaml", head + "]")
        texts = self.findings()
        self.assertEqual(len(texts), 1, texts)
        self.assertTrue(texts[0].startswith("b.yaml:"))


class MergeTest(sites.FolderCase):
    def load(self) -> loader.LoadedFolder:
        """Return the loaded folder."""
        return loader.load_folder_with_locations(str(self.folder)).unwrap()

    def location(self, loaded: loader.LoadedFolder, *path: str) -> str:
        """Return the place of a value without the folder's path."""
        location = located.location_of(loaded.tree, path)
        assert location is not None
        return f"{pathlib.Path(location.file).name}:{location.line}"

    def test_later_file_replaces_single_values(self) -> None:
        self.write("10-site.yaml", sites.SMALL)
        self.write("20-more.yaml", "servers:\n  e1:\n    concurrency: 3\n")
        self.write("9-early.yaml", "servers:\n  e1:\n    concurrency: 5\n")
        loaded = self.load()
        # Names are sorted as text, so "9-early" is the last file.
        self.assertEqual(loaded.document.servers["e1"].concurrency, 5)
        self.assertEqual(loaded.document.servers["e1"].zone, "z1")
        self.assertEqual(
            self.location(loaded, "servers", "e1", "concurrency"),
            "9-early.yaml:3",
        )
        self.assertEqual(
            self.location(loaded, "servers", "e1", "zone"), "10-site.yaml:16"
        )

    def test_later_list_replaces_the_earlier(self) -> None:
        self.write("1.yaml", sites.SMALL)
        self.write("2.yaml", "workspaces: {desk: {services: []}}\n")
        desk = self.load().document.workspaces["desk"]
        self.assertEqual(desk.services, ())
        self.assertEqual(desk.models, ("cheap", "strong"))

    def test_keys_and_dates_are_text(self) -> None:
        text = sites.SMALL.replace('"1"', "1.10").replace(
            "default_version: 1.10", 'default_version: "1.10"'
        )
        text = text.replace('["1.10"', '["1.10"').replace(
            "cheap: [1.10", 'cheap: ["1.10"'
        )
        text = text.replace("base: 1.10", 'base: "1.10"')
        self.write("1.yaml", text.replace("region: r1", "region: 2026-05-01"))
        doc = self.load().document
        self.assertIn("1.10", doc.models["cheap"].versions)
        self.assertEqual(doc.zones["z1"].region, "2026-05-01")

    def test_bytes_round_trip_and_do_not_depend_on_files(self) -> None:
        self.write("1.yaml", sites.SMALL)
        first = self.load().document
        (self.folder / "1.yaml").unlink()
        head, tail = sites.SMALL.split("rollouts:\n")
        self.write("a.yaml", "rollouts:\n" + tail)
        self.write("b.yaml", head)
        second = self.load().document
        self.assertEqual(first.to_bytes(), second.to_bytes())
        again = type(first).from_bytes(first.to_bytes())
        self.assertEqual(again.to_bytes(), first.to_bytes())
