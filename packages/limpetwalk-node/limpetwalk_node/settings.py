"""Settings of an entry node, read from one YAML file."""

import pathlib
from typing import Literal

import pydantic
from result import Err
from result import Ok
from result import Result
import yaml

from limpetwalk.providers import settings as platform


class _Settings(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Listener(_Settings):
    """Address that the node listens on.

    :param host: IP address.
    :param port: TCP port; 0 lets the system choose a free one.
    """

    host: pydantic.IPvAnyAddress
    port: int = pydantic.Field(default=0, ge=0, le=65535)


class LogSettings(_Settings):
    """Format and level of the log.

    :param format: ``text`` for human readers, ``json`` for programs.
    :param level: lowest level that is logged.
    """

    format: Literal["text", "json"] = "text"
    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


class ShutdownSettings(_Settings):
    """Bounds of a graceful shutdown, in seconds.

    :param balancer_wait: time for which the node still serves while it
        reports not ready, so that the load balancer stops sending work.
    :param drain_timeout: maximum wait for requests in flight.
    """

    balancer_wait: float = pydantic.Field(default=5.0, ge=0)
    drain_timeout: float = pydantic.Field(default=60.0, ge=0)


class NodeSettings(_Settings):
    """Settings of an entry node.

    :param name: unique name of the node.
    :param zone: availability zone that the node runs in.
    :param region: region that contains the zone.
    """

    name: str = pydantic.Field(min_length=1)
    zone: str = pydantic.Field(min_length=1)
    region: str = pydantic.Field(min_length=1)
    callers: Listener
    operators: Listener
    peers: Listener
    platform: platform.PlatformSettings
    log: LogSettings = LogSettings()
    shutdown: ShutdownSettings = ShutdownSettings()


def load(path: str) -> Result[NodeSettings, list[str]]:
    """Read the settings of a node from a YAML file.

    :returns: the settings, or all findings as ``file: path: message``.
    """
    try:
        data = yaml.safe_load(pathlib.Path(path).read_text("utf-8"))
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as exc:
        return Err([f"{path}: {' '.join(str(exc).split())}"])
    try:
        return Ok(NodeSettings.model_validate(data))
    except pydantic.ValidationError as exc:
        return Err([_finding(path, error) for error in exc.errors()])


def _finding(path: str, error: object) -> str:
    assert isinstance(error, dict)
    location = ".".join(str(part) for part in error["loc"]) or "(root)"
    return f"{path}: {location}: {error['msg']}, got {error['input']!r:.80}"
