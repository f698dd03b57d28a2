"""Test case of the commands that change what is in force."""

import shutil
import zlib

from limpetwalk import clock as clocks
from limpetwalk.conf import compiler
from limpetwalk.conf import editor
from limpetwalk.conf import edits
from limpetwalk.conf import head
from limpetwalk.conf import snapshot
from limpetwalk.providers import memory

from . import shell


class ChangesCase(shell.ShellCase):
    """Test case with an accepted configuration and a copy of its folder."""

    def setUp(self) -> None:
        super().setUp()
        self.site = self.folder / "site"
        shutil.copytree(shell.EXAMPLE, self.site)
        self.assertEqual(self.shell.run("apply", str(self.site))[0], 0)

    def snapshot(self) -> snapshot.Snapshot:
        """Return the snapshot in force."""
        _, answer = self.shell.json("status")
        name = "config/" + answer["head"]["digest"]
        data = zlib.decompress(self.shell.objects.blobs[name])
        return compiler.compile_document(data)

    def rival(self, edit: edits.Edit) -> None:
        """Let another operator's edit come first, once."""
        table = memory.MemoryTable(self.shell.table.rows)
        objects = memory.MemoryObjects(self.shell.objects.blobs)
        store = head.HeadStore(table, objects, clocks.ManualClock())

        async def before(operation: str) -> None:
            if operation == "transact":
                self.shell.table.faults.before = None
                (await editor.Editor(store, "rival").edit(edit)).unwrap()

        self.shell.table.faults.before = before

    def generation(self) -> int:
        """Return the generation in force."""
        return self.shell.json("status")[1]["head"]["generation"]
