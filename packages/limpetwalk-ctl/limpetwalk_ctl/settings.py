"""Settings of limpetctl."""

import getpass

import pydantic
from result import Err
from result import Ok
from result import Result

from limpetwalk.conf import findings
from limpetwalk.conf import located
from limpetwalk.conf import validation
from limpetwalk.conf import yamlfile
from limpetwalk.providers import settings as platform_settings


class CtlSettings(pydantic.BaseModel):
    """Settings of limpetctl, read from a YAML file.

    :param platform: addresses and clients of the platform's services.
    :param operator: name under which changes are recorded; empty means the
        login name.
    :param wait_timeout: longest wait for nodes to report a generation, in
        seconds.
    :param node_timeout: longest wait for one answer of a node, in seconds.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    platform: platform_settings.PlatformSettings
    operator: str = ""
    wait_timeout: float = pydantic.Field(default=15.0, gt=0)
    node_timeout: float = pydantic.Field(default=1.0, gt=0)


def read(path: str) -> Result[CtlSettings, list[findings.Finding]]:
    """Return the settings of a file, or all findings in it.

    :param path: path of the YAML file.
    """
    outcome = yamlfile.read(path)
    if isinstance(outcome, Err):
        return outcome
    tree = outcome.ok_value
    try:
        return Ok(CtlSettings.model_validate(tree.plain()))
    except pydantic.ValidationError as exc:
        items = validation.from_error(exc, CtlSettings)
        return Err([located.with_location(item, tree) for item in items])


def login_name() -> str:
    """Return the login name, or "unknown" when there is none."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"
