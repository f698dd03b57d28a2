"""Workload file: who asks for what, how often, and what fails when."""

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

    :param key: bearer key.
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
    :param session: share of requests that go on with an open session.
    :param prompt_words: fewest and most words of the prompt.
    :param max_tokens: fewest and most tokens of the answer.
    :param deadline: seconds within which an answer is in time.
    :param callers: workspaces that send it; empty for all.
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
    """Class of calls of a plain service.

    :param kind: ``service``.
    :param weight: share of the requests, relative to the other classes.
    :param service: name of the service.
    :param method: HTTP method.
    :param path: path below the service.
    :param once: whether the call is non-idempotent and carries a key.
    :param repeat: share of such calls that the caller sends twice at once.
    :param deadline: seconds within which an answer is in time.
    :param callers: workspaces that send it; empty for all.
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

    :param kind: steady (Poisson), bursts (Poisson of groups) or dawn (rate
        that rises to a peak in the middle of the run and falls again).
    :param rate: mean requests a second.
    :param burst: mean size of a group, for bursts.
    :param peak: peak rate over the mean rate, for dawn.
    """

    kind: ArrivalKind = ArrivalKind.STEADY
    rate: Annotated[float, pydantic.Field(gt=0)]
    burst: Annotated[int, pydantic.Field(ge=1)] = 10
    peak: Annotated[float, pydantic.Field(ge=1)] = 3.0


class Fault(_Model):
    """Fault that is brought about while the load runs.

    :param at: seconds after the start.
    :param target: name of a stand-in in the site file, or of a node for a
        signal.
    :param fault: fault of a backend server's stand-in; for the target
        ``platform`` the name of the service.
    :param options: options of the fault; for the target ``platform`` the
        service's switches.
    :param lasts: seconds until it is cleared; None leaves it.
    :param signal: signal sent to the process of the target instead.
    """

    at: Annotated[float, pydantic.Field(ge=0)]
    target: str
    fault: str = ""
    options: dict[str, float | int | str | bool] = {}
    lasts: float | None = None
    signal: Literal["", "KILL", "TERM", "STOP", "CONT"] = ""


class Workload(_Model):
    """Whole workload.

    :param seed: seed of every random choice.
    :param duration: seconds during which requests arrive.
    :param callers: workspaces by name.
    :param classes: request classes by name.
    :param arrivals: arrival process.
    :param faults: faults in time.
    :param settle: seconds after the last answer for ledgers to settle.
    :param ledger_partitions: partitions of the site's ledger.
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

    :param url: HTTP address for control and logs, or the callers' API.
    :param operators: HTTP address of a node's operator interface.
    :param pid_file: file that holds its process id.
    """

    url: str
    operators: str = ""
    pid_file: str = ""


class Site(_Model):
    """Where the processes of a site are.

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

    :raises pydantic.ValidationError: when it has findings.
    """
    return Workload.model_validate(yaml.safe_load(path.read_text("utf-8")))


def read_site(path: pathlib.Path) -> Site:
    """Read a site file.

    :raises pydantic.ValidationError: when it has findings.
    """
    return Site.model_validate(yaml.safe_load(path.read_text("utf-8")))
