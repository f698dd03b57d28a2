"""Tests of the warnings of entries that no request can reach."""

from limpetwalk.conf import loader

from . import sites

ROUTES = "routes: [{method: POST, path: /orders, idempotent: false}]"


class ExamplesTest(sites.FolderCase):
    def test_sites_in_order_get_no_warning(self) -> None:
        self.assertEqual(self.warnings(), [])
        for folder in (sites.ROOT / "examples").glob("*/10-*.yaml"):
            with self.subTest(folder.parent.name):
                loaded = loader.load_folder_with_locations(str(folder.parent))
                self.assertEqual(loaded.unwrap().warnings, [])


class RoutesTest(sites.FolderCase):
    def routes(self, *paths: str) -> list[tuple[str, str]]:
        """Return the warnings of a service with routes of some paths."""
        items = ", ".join(
            f"{{method: POST, path: {path!r}, idempotent: false}}"
            for path in paths
        )
        return self.warnings((ROUTES, f"routes: [{items}]"))

    def test_route_below_an_equal_or_wider_one_is_found(self) -> None:
        for earlier, later in (
            ("/a", "/a"),
            ("/a/*", "/a/b"),
            ("/*/b", "/a/b"),
            ("/*/*", "/*/b"),
            ("/a/", "/a"),
        ):
            with self.subTest(f"{earlier} {later}"):
                self.assertEqual(
                    self.routes(earlier, later),
                    [("route-shadowed", "services.orders.routes.1")],
                )

    def test_route_that_an_earlier_one_covers_in_part_is_not(self) -> None:
        for earlier, later in (
            ("/a/b", "/a/*"),
            ("/a/*", "/*/b"),
            ("/*", "/a/b"),
            ("/a", "/A"),
        ):
            with self.subTest(f"{earlier} {later}"):
                self.assertEqual(self.routes(earlier, later), [])

    def test_route_of_another_method_is_not_shadowed(self) -> None:
        routes = ROUTES.replace(
            "}]", "}, {method: GET, path: /orders, idempotent: true}]"
        )
        self.assertEqual(self.warnings((ROUTES, routes)), [])

    def test_path_that_no_call_can_have_is_found(self) -> None:
        for path in ("/", "/a//b", "/a/../b", "/a%2Fb"):
            with self.subTest(path):
                self.assertEqual(
                    self.routes(path),
                    [("route-unmatched", "services.orders.routes.0.path")],
                )

    def test_unusual_path_that_calls_can_have_is_not(self) -> None:
        for path in ("/a/", "/a.b", "/...", "/a%20b", "/*"):
            with self.subTest(path):
                self.assertEqual(self.routes(path), [])


class CascadesTest(sites.FolderCase):
    def test_model_that_the_policy_never_uses_is_found(self) -> None:
        for policy, index in (("always_cheap", 1), ("always_strong", 0)):
            with self.subTest(policy):
                self.assertEqual(
                    self.warnings(("policy: fixed", f"policy: {policy}")),
                    [("step-unreachable", f"cascades.ask.models.{index}")],
                )

    def test_policy_that_escalates_or_has_one_model_is_not(self) -> None:
        for edit in (
            ("policy: fixed", "policy: adaptive"),
            # The other cascade keeps both models in use.
            (
                "cascades:\n",
                "cascades:\n  one: {policy: always_cheap, models: [cheap]}\n",
            ),
        ):
            with self.subTest(edit[1]):
                allowed = ("cascades: [ask]", "cascades: [ask, one]")
                edits = [edit] if "one" not in edit[1] else [edit, allowed]
                self.assertEqual(self.warnings(*edits), [])


class WorkspacesTest(sites.FolderCase):
    def test_cascade_that_no_workspace_may_use_is_found(self) -> None:
        more = "cascades:\n  more: {policy: fixed, models: [cheap]}\n"
        self.assertEqual(
            self.warnings(("cascades:\n", more)),
            [("no-workspace", "cascades.more")],
        )

    def test_service_that_no_workspace_may_use_is_found(self) -> None:
        self.assertEqual(
            self.warnings(("    services: [orders]\n", "")),
            [("no-workspace", "services.orders")],
        )

    def test_entry_of_a_single_workspace_is_not(self) -> None:
        other = "workspaces:\n  other:\n    key_digests: [" + "b" * 64 + "]\n"
        self.assertEqual(self.warnings(("workspaces:\n", other)), [])


class ModelsTest(sites.FolderCase):
    def test_model_that_no_cascade_uses_is_found(self) -> None:
        self.assertEqual(
            self.warnings(
                ("models: [cheap, strong], t", "models: [cheap], t")
            ),
            [("no-cascade", "models.strong")],
        )

    def test_model_that_a_workspaces_cascades_do_not_use_is_found(
        self,
    ) -> None:
        other = (
            "workspaces:\n  other:\n    key_digests: ["
            + "b" * 64
            + "]\n    models: [cheap, strong]\n    cascades: [one]\n"
        )
        one = "cascades:\n  one: {policy: fixed, models: [cheap]}\n"
        self.assertEqual(
            self.warnings(("workspaces:\n", other), ("cascades:\n", one)),
            [("model-unused", "workspaces.other.models.1")],
        )

    def test_model_of_a_later_step_is_not(self) -> None:
        self.assertEqual(
            self.warnings(
                ("models: [cheap, strong], t", "models: [strong, cheap], t")
            ),
            [],
        )


class VersionsTest(sites.FolderCase):
    def test_live_version_that_no_server_serves_is_found(self) -> None:
        self.assertEqual(
            self.warnings(('"0": {state: withdrawn}', '"0": {}')),
            [("version-unserved", "models.cheap.versions.0")],
        )

    def test_server_of_withdrawn_versions_only_is_found(self) -> None:
        old = (
            "servers:\n  e0: {kind: engine, protocol: openai, address: "
            "'127.0.0.1:9009', zone: z1, serves: {cheap: ['0']}}\n"
        )
        self.assertEqual(
            self.warnings(("servers:\n", old)),
            [("server-unused", "servers.e0.serves")],
        )

    def test_server_with_one_live_version_is_not(self) -> None:
        self.assertEqual(
            self.warnings(('cheap: ["1", "2"]', 'cheap: ["0", "1", "2"]')), []
        )

    def test_version_of_a_server_that_is_out_is_not(self) -> None:
        spare = (
            "servers:\n  e0: {kind: engine, protocol: openai, address: "
            "'127.0.0.1:9009', zone: z1, state: out, serves: {cheap: ['0']}}"
            "\n"
        )
        self.assertEqual(
            self.warnings(
                ("servers:\n", spare), ('"0": {state: withdrawn}', '"0": {}')
            ),
            [],
        )


class RolloutsTest(sites.FolderCase):
    def test_running_rollout_without_a_share_is_found(self) -> None:
        self.assertEqual(
            self.warnings(("share: 0.1", "share: 0")),
            [("no-share", "rollouts.cheap-2.share")],
        )

    def test_paused_rollout_without_a_share_is_not(self) -> None:
        self.assertEqual(
            self.warnings(
                ("share: 0.1", "share: 0"),
                ("state: running", "state: paused"),
            ),
            [],
        )
