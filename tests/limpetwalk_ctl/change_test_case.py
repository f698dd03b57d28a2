"""Base class for tests of commands that change the configuration."""

import shutil
import zlib

from limpetwalk import clock as clocks
from limpetwalk.conf import compiler
from limpetwalk.conf import editor
from limpetwalk.conf import edits
from limpetwalk.conf import head
from limpetwalk.conf import snapshot
from limpetwalk.providers import memory

from . import ctl_runner


class ChangeTestCase(ctl_runner.CtlTestCase):
    """Test case with an accepted configuration and a copy of its folder."""

    def setUp(self) -> None:
        super().setUp()
        self.config_folder = self.folder / "site"
        shutil.copytree(ctl_runner.EXAMPLE, self.config_folder)
        self.assertEqual(self.ctl.run("apply", str(self.config_folder))[0], 0)

    def snapshot(self) -> snapshot.Snapshot:
        """Return the snapshot in force."""
        _, answer = self.ctl.json("status")
        object_name = "config/" + answer["head"]["digest"]
        data = zlib.decompress(self.ctl.objects.blobs[object_name])
        return compiler.compile_document(data)

    def commit_rival_edit_first(self, edit: edits.Edit) -> None:
        """Commit another operator's edit right before the next write.

        :param edit: edit that is committed first, once.
        """
        table = memory.MemoryTable(self.ctl.table.rows)
        objects = memory.MemoryObjects(self.ctl.objects.blobs)
        store = head.HeadStore(table, objects, clocks.ManualClock())

        async def commit_edit(operation: str) -> None:
            if operation == "transact":
                self.ctl.table.faults.before = None
                (await editor.Editor(store, "rival").edit(edit)).unwrap()

        self.ctl.table.faults.before = commit_edit

    def generation(self) -> int:
        """Return the generation in force."""
        return self.ctl.json("status")[1]["head"]["generation"]
