"""Program ``limpetwalk``: an entry node."""

import sys

from absl import app as absl_app
from absl import flags
from result import Err

from . import logs
from . import settings

EXIT_SETTINGS = 1

_SETTINGS = flags.DEFINE_string("settings", "", "YAML file of settings.")


def run() -> None:
    """Run the program."""
    flags.mark_flag_as_required("settings")
    absl_app.run(_main)


def _main(argv: list[str]) -> int:
    loaded = settings.load(_SETTINGS.value or "")
    if isinstance(loaded, Err):
        for finding in loaded.err_value:
            print(finding, file=sys.stderr)
        return EXIT_SETTINGS
    logs.configure(loaded.ok_value.log)
    return 0


if __name__ == "__main__":
    run()
