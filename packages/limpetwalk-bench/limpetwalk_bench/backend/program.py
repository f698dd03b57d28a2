"""Command-line program that runs a stand-in."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import json
import logging
import pathlib
import signal
import sys
from typing import Any
from typing import Protocol
from typing import TypeVar

from absl import app
from absl import flags
import pydantic
import uvloop
import yaml

FLAGS = flags.FLAGS
Settings = TypeVar("Settings", bound=pydantic.BaseModel)


class StandIn(Protocol):
    """Stand-in that a program can start and close."""

    async def start(self) -> dict[str, int]:
        """Start listening and return the ports by name."""
        ...

    async def close(self) -> None:
        """Stop listening and all background tasks."""
        ...


flags.DEFINE_string("settings", None, "YAML file with the settings.")
flags.DEFINE_multi_string(
    "set", [], "A setting as name=value, the value in YAML; goes first."
)


def read_settings(settings_type: type[Settings]) -> Settings:
    """Return the settings of the file, overridden by the command line.

    :raises OSError: when the file cannot be read.
    :raises ValueError: when a setting is unknown or malformed.
    :raises yaml.YAMLError: when the file or a value is not YAML.
    """
    values: dict[str, Any] = {}
    if FLAGS.settings:
        text = pathlib.Path(FLAGS.settings).read_text(encoding="utf-8")
        values.update(yaml.safe_load(text) or {})
    for assignment in FLAGS["set"].value or ():
        name, _, value = assignment.partition("=")
        values[name] = yaml.safe_load(value)
    return settings_type.model_validate(values)


async def _serve(stand_in: StandIn) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    ports = await stand_in.start()
    print(json.dumps({"ready": True, "ports": ports}), flush=True)
    await stop.wait()
    await stand_in.close()


def run(
    settings_type: type[Settings],
    build: Callable[[Settings], Awaitable[StandIn]],
) -> None:
    """Run a stand-in until SIGTERM or SIGINT.

    :param settings_type: model of its settings.
    :param build: creates the stand-in within the event loop.
    """

    async def serve(settings: Settings) -> None:
        await _serve(await build(settings))

    def main(argv: list[str]) -> None:
        logging.basicConfig(level=logging.WARNING)
        if len(argv) > 1:
            raise app.UsageError(f"unexpected arguments: {argv[1:]}")
        try:
            settings = read_settings(settings_type)
        except (OSError, ValueError, yaml.YAMLError) as exc:
            print(f"settings: {exc}", file=sys.stderr)
            sys.exit(1)
        uvloop.run(serve(settings))

    app.run(main)
