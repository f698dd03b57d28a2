"""Command line of the load tool."""

import pathlib
import sys

from absl import app
from absl import flags
import uvloop

from . import report
from . import runner
from . import workload

_WORKLOAD = flags.DEFINE_string("workload", "", "workload file (YAML)")
_SITE = flags.DEFINE_string("site", "", "site file (YAML)")
_JSON = flags.DEFINE_string("json", None, "file for the raw data")


def main(argv: list[str]) -> int:
    """Run a workload; return 1 when a guarantee was violated."""
    del argv
    cfg = workload.read_workload(pathlib.Path(_WORKLOAD.value))
    site = workload.read_site(pathlib.Path(_SITE.value))
    result = uvloop.run(runner.run_workload(cfg, site))
    report.print_report(result)
    if _JSON.value:
        report.write_json(result, pathlib.Path(_JSON.value))
    return 0 if report.all_hold(result) else 1


if __name__ == "__main__":
    sys.exit(app.run(main))
