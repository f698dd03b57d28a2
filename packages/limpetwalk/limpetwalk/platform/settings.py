"""Settings that say where the platform's services are."""

import pydantic


class _Settings(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class TableSettings(_Settings):
    """Table service.

    :param client: name of the table store plug-in.
    :param endpoint: URL of the service.
    :param table: name of the table.
    :param timeout: longest wait for one call, in seconds.
    """

    client: str = "dynamodb"
    endpoint: str
    table: str = "limpetwalk"
    region: str = "local"
    access_key: str = "local"
    secret_key: str = "local"
    timeout: float = 1.0


class ObjectSettings(_Settings):
    """Object store.

    :param client: name of the object store plug-in.
    :param endpoint: URL of the service.
    :param bucket: name of the bucket.
    :param timeout: longest wait for one call, in seconds.
    """

    client: str = "s3"
    endpoint: str
    bucket: str = "limpetwalk"
    region: str = "local"
    access_key: str = "local"
    secret_key: str = "local"
    timeout: float = 2.0


class InstanceListSettings(_Settings):
    """Instance list.

    :param client: name of the instance list plug-in.
    :param url: URL of the list.
    :param interval: time between reads, in seconds.
    :param timeout: longest wait for one read, in seconds.
    """

    client: str = "http_sd"
    url: str
    interval: float = 2.0
    timeout: float = 2.0


class RatingSettings(_Settings):
    """Rating service.

    :param client: name of the rating service plug-in.
    :param url: URL that answers are posted to.
    """

    client: str = "http"
    url: str


class PlatformSettings(_Settings):
    """Services of the platform that a program uses."""

    table: TableSettings
    objects: ObjectSettings
    instances: InstanceListSettings
    ratings: RatingSettings | None = None
