"""Settings of the platform's services."""

from typing import Annotated
import urllib.parse

import pydantic


def _check_url(url: str) -> str:
    try:
        parts = urllib.parse.urlsplit(url)
        port = parts.port
    except ValueError as exc:
        raise ValueError(f"a URL ({exc})") from None
    is_http = parts.scheme in ("http", "https")
    if not is_http or not parts.hostname or port == 0:
        raise ValueError("a URL, as http://10.0.0.1:8000")
    return url


Url = Annotated[str, pydantic.AfterValidator(_check_url)]


class _Settings(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class TableSettings(_Settings):
    """Settings of the table service.

    :param client: name of the table store plug-in.
    :param endpoint: URL of the service.
    :param table: name of the table.
    :param timeout: longest wait for one call, in seconds.
    """

    client: str = "dynamodb"
    endpoint: Url
    table: str = "limpetwalk"
    region: str = "local"
    access_key: str = "local"
    secret_key: str = "local"
    timeout: float = 1.0


class ObjectSettings(_Settings):
    """Settings of the object store.

    :param client: name of the object store plug-in.
    :param endpoint: URL of the service.
    :param bucket: name of the bucket.
    :param timeout: longest wait for one call, in seconds.
    """

    client: str = "s3"
    endpoint: Url
    bucket: str = "limpetwalk"
    region: str = "local"
    access_key: str = "local"
    secret_key: str = "local"
    timeout: float = 2.0


class InstanceListSettings(_Settings):
    """Settings of the instance list.

    :param client: name of the instance list plug-in.
    :param url: URL of the list.
    :param interval: time between reads, in seconds.
    :param timeout: longest wait for one read, in seconds.
    """

    client: str = "http_sd"
    url: Url
    interval: float = 2.0
    timeout: float = 2.0


class RatingSettings(_Settings):
    """Settings of the rating service.

    :param client: name of the rating service plug-in.
    :param url: URL that answers are posted to.
    """

    client: str = "http"
    url: Url


class PlatformSettings(_Settings):
    """Settings of all platform services that a program uses."""

    table: TableSettings
    objects: ObjectSettings
    instances: InstanceListSettings
    ratings: RatingSettings | None = None
