"""Workload file (callers, requests, arrivals, faults) and site file."""

from enum import Enum
import pathlib
from typing import Annotated
from typing import Literal

import pydantic
import yaml


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Caller(_Model):
    """Workspace that sends requests.

    :param key: API key that is sent as a bearer token.
    :param weight: share of the requests, relative to the other callers.
    """

    key: str
    weight: Annotated[float, pydantic.Field(gt=0)] = 1.0


class ChatClass(_Model):
    """Class of chat requests.

    :param kind: ``chat``.
    :param weight: share of the requests, relative to the other classes.
    :param model: public model name.
    :param stream: share of requests that ask for a stream.
    :param session: share of requests that continue an open session.
    :param prompt_words: minimum and maximum number of words of the prompt.
    :param max_tokens: minimum and maximum of the requested ``max_tokens``.
    :param deadline: seconds after which the caller gives up.
    :param callers: workspaces that send such requests; empty for all.
    """

    kind: Literal["chat"]
    weight: Annotated[float, pydantic.Field(gt=0)] = 1.0
    model: str
    stream: Annotated[float, pydantic.Field(ge=0, le=1)] = 0.5
    session: Annotated[float, pydantic.Field(ge=0, le=1)] = 0.0
    prompt_words: tuple[int, int] = (20, 60)
    max_tokens: tuple[int, int] = (8, 24)
    deadline: float = 10.0
    callers: tuple[str, ...] = ()


class ServiceClass(_Model):
    """Class of calls to a plain service.

    :param kind: ``service``.
    :param weight: share of the requests, relative to the other classes.
    :param service: name of the service.
    :param method: HTTP method.
    :param path: path below the service.
    :param once: whether the call is non-idempotent and carries an idempotency
        key.
    :param repeat: share of non-idempotent calls that the caller sends twice
        at the same time.
    :param deadline: seconds after which the caller gives up.
    :param callers: workspaces that send such requests; empty for all.
    """

    kind: Literal["service"]
    weight: Annotated[float, pydantic.Field(gt=0)] = 1.0
    service: str
    method: str = "POST"
    path: str
    once: bool = False
    repeat: Annotated[float, pydantic.Field(ge=0, le=1)] = 0.0
    deadline: float = 5.0
    callers: tuple[str, ...] = ()


RequestClass = Annotated[
    ChatClass | ServiceClass, pydantic.Field(discriminator="kind")
]


class ArrivalKind(Enum):
    """Shape of the arrivals over time."""

    STEADY = "steady"
    BURSTS = "bursts"
    DAWN = "dawn"


class Arrivals(_Model):
    """Arrival process.

    :param kind: steady (Poisson), bursts (groups with Poisson arrivals) or
        dawn (rate that rises to a peak in the middle of the run and falls
        again).
    :param rate: mean number of requests per second.
    :param burst: mean size of a group, for bursts.
    :param peak: ratio of the peak rate to the mean rate, for dawn.
    """

    kind: ArrivalKind = ArrivalKind.STEADY
    rate: Annotated[float, pydantic.Field(gt=0)]
    burst: Annotated[int, pydantic.Field(ge=1)] = 10
    peak: Annotated[float, pydantic.Field(ge=1)] = 3.0


class Fault(_Model):
    """Fault that is injected during the run.

    :param at: seconds after the start.
    :param target: name of a stand-in in the site file, or of a node for a
        signal.
    :param fault: fault of a backend server's stand-in; for the target
        ``platform`` the name of the service.
    :param options: options of the fault; for the target ``platform`` the
        service's switches.
    :param lasts: seconds until it is cleared; None if it is never cleared.
    :param signal: signal to send to the target's process instead of a fault;
        empty for none.
    """

    at: Annotated[float, pydantic.Field(ge=0)]
    target: str
    fault: str = ""
    options: dict[str, float | int | str | bool] = {}
    lasts: float | None = None
    signal: Literal["", "KILL", "TERM", "STOP", "CONT"] = ""


class Workload(_Model):
    """Contents of a workload file.

    :param seed: seed of every random choice.
    :param duration: seconds during which requests arrive.
    :param callers: workspaces by name.
    :param classes: request classes by name.
    :param arrivals: arrival process.
    :param faults: faults with their times.
    :param settle: seconds after the last answer to wait for its bill entries.
    :param ledger_partitions: number of partitions of the site's ledger.
    """

    seed: int = 1
    duration: Annotated[float, pydantic.Field(gt=0, le=600)] = 10.0
    callers: dict[str, Caller]
    classes: dict[str, RequestClass]
    arrivals: Arrivals
    faults: tuple[Fault, ...] = ()
    settle: Annotated[float, pydantic.Field(ge=0, le=60)] = 5.0
    ledger_partitions: int = 16


class SiteProcess(_Model):
    """Process of the site under load.

    :param url: URL of the control and log endpoints of a stand-in, or of the
        callers' API of a node.
    :param operators: URL of a node's operator interface.
    :param pid_file: file that holds its process id.
    """

    url: str
    operators: str = ""
    pid_file: str = ""


class Site(_Model):
    """Contents of a site file, which locates the processes of a site.

    :param nodes: entry nodes by name.
    :param engines: engine stand-ins by name.
    :param services: plain service stand-ins by name.
    :param platform: platform stand-in.
    :param ctl_settings: settings file of limpetctl, for the ledger.
    """

    nodes: dict[str, SiteProcess]
    engines: dict[str, SiteProcess]
    services: dict[str, SiteProcess]
    platform: SiteProcess
    ctl_settings: str


def read_workload(path: pathlib.Path) -> Workload:
    """Read a workload file.

    :raises pydantic.ValidationError: if the file is invalid.
    """
    return Workload.model_validate(yaml.safe_load(path.read_text("utf-8")))


def read_site(path: pathlib.Path) -> Site:
    """Read a site file.

    :raises pydantic.ValidationError: if the file is invalid.
    """
    return Site.model_validate(yaml.safe_load(path.read_text("utf-8")))
