"""Command line: lay out a site, or register its instances.

``python -m limpetwalk_bench.site lay-out`` writes a site's folder;
``python -m limpetwalk_bench.site register`` tells the platform's stand-in
which instances there are; ``show servers.NAME`` prints the URL of a process.
"""

import json
import pathlib
import shutil
import sys
import urllib.request

from absl import app
from absl import flags
import yaml

from . import layout
from . import ports

_EXAMPLE = flags.DEFINE_string("example", "examples/bercvar", "configuration")
_NODES = flags.DEFINE_integer("nodes", 3, "number of entry nodes")
_OUT = flags.DEFINE_string("out", "run/demo", "folder of the site")
_SCALE = flags.DEFINE_float("time_scale", 1.0, "factor on stand-ins' times")
REGISTER_TIMEOUT_SECONDS = 5.0


def _lay_out(out: pathlib.Path) -> None:
    shutil.rmtree(out, ignore_errors=True)
    example = pathlib.Path(_EXAMPLE.value)
    options = layout.LayoutOptions(example, _NODES.value, out, _SCALE.value)
    layout.write(layout.lay_out(options), out)
    for path in sorted(example.glob("*.yaml")):
        shutil.copy(path, out / "config" / path.name)


def _register(out: pathlib.Path) -> None:
    site = yaml.safe_load((out / "site.yaml").read_text("utf-8"))
    entries = yaml.safe_load((out / "instances.yaml").read_text("utf-8"))
    req = urllib.request.Request(
        f"{site['platform']['url']}/_control",
        data=json.dumps(entries).encode(),
        headers={"Content-Type": "application/json"},
    )
    with urllib.request.urlopen(req, timeout=REGISTER_TIMEOUT_SECONDS) as resp:
        resp.read()


def _show(out: pathlib.Path, target: str) -> None:
    group, _, name = target.partition(".")
    if group == "servers":
        settings = yaml.safe_load(
            (out / "servers" / f"{name}.yaml").read_text("utf-8")
        )
        print(f"http://{ports.HOST}:{settings['port']}")
        return
    site = yaml.safe_load((out / "site.yaml").read_text("utf-8"))
    print(site[group][name]["url"])


def main(argv: list[str]) -> int:
    """Run one of the commands."""
    out = pathlib.Path(_OUT.value)
    if len(argv) == 3 and argv[1] == "show":
        _show(out, argv[2])
        return 0
    commands = {"lay-out": _lay_out, "register": _register}
    if len(argv) != 2 or argv[1] not in commands:
        raise app.UsageError("expected: lay-out, register or show GROUP.NAME")
    commands[argv[1]](out)
    return 0


if __name__ == "__main__":
    sys.exit(app.run(main))
