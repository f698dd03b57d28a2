"""Tests of settings that change while the node runs."""

import os
import pathlib
from unittest import mock

from limpetwalk_node.gateway import node
from limpetwalk_platform import settings

from . import harness


class Changes(harness.GatewayCase):
    """The settings file changes without a signal."""

    async def asyncSetUp(self) -> None:
        patch = mock.patch.object(node, "SETTINGS_CHECK_INTERVAL", 0.02)
        patch.start()
        self.addCleanup(patch.stop)
        await super().asyncSetUp()
        self.path = pathlib.Path(os.environ[settings.PATH_VARIABLE])
        self.text = self.path.read_text()

    @property
    def grace(self) -> float:
        return self.run_.gateway.platform.settings.bounds.grace

    def lines(self) -> list[dict[str, object]]:
        return self.run_.lines.events("settings.reloaded")

    async def test_change_is_applied(self) -> None:
        self.path.write_text(self.text.replace("grace_s = 3", "grace_s = 5"))
        await self.run_.until(lambda: self.grace == 5.0)
        self.assertEqual(1, len(self.lines()))

    async def test_invalid_file_is_logged_once_and_changes_nothing(
        self,
    ) -> None:
        self.path.write_text("node_name = ")
        await self.run_.until(self.lines)
        self.assertEqual(3.0, self.grace)
        self.path.write_text(self.text.replace("grace_s = 3", "grace_s = 4"))
        await self.run_.until(lambda: self.grace == 4.0)
        self.assertEqual(2, len(self.lines()))

    async def test_pauses_after_changes_follow_the_bounds(self) -> None:
        bounds = "grace_s = 3\nconfig_apply_ms = 4000\ndrain_ms = 3000"
        self.path.write_text(self.text.replace("grace_s = 3", bounds))
        await self.run_.until(self.lines)
        operator, servers, _ = (
            follower.longest_pause()
            for follower in self.run_.gateway.followers
        )
        self.assertAlmostEqual(1.6, operator)
        self.assertAlmostEqual(1.8, servers)

    async def test_missing_file_is_logged_once(self) -> None:
        self.path.rename(self.path.with_suffix(".away"))
        await self.run_.until(self.lines)
        self.path.with_suffix(".away").rename(self.path)
        self.path.write_text(self.text.replace("grace_s = 3", "grace_s = 6"))
        await self.run_.until(lambda: self.grace == 6.0)
        self.assertEqual(2, len(self.lines()))
