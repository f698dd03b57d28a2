"""Object store client for services that speak the S3 protocol."""

import contextlib
import functools
from typing import Any

from aiobotocore import config as aioconfig
from aiobotocore import session as aiosession
from botocore import exceptions as botoexc
from result import Err
from result import Ok
from result import Result

from .. import exceptions
from .. import registry
from . import base
from . import settings

MAX_CONNECTIONS = 8
# Errors with a 5xx status that state that the operation was not started.
NOT_STARTED = frozenset({"SlowDown", "ServiceUnavailable"})


@functools.cache
def _shared_session() -> aiosession.AioSession:
    """Return the shared session, which loads the S3 service model once."""
    return aiosession.get_session()


@registry.register(registry.Kind.OBJECT_STORE, "s3")
class S3Objects:
    """Object store over the S3 protocol.

    :param cfg: settings of the object store.
    """

    def __init__(self, cfg: settings.ObjectSettings) -> None:
        self._cfg = cfg
        self._stack = contextlib.AsyncExitStack()
        self._client: Any = None

    async def open(self) -> None:
        """Create the client; no connection is opened yet."""
        cfg = self._cfg
        client = _shared_session().create_client(
            "s3",
            region_name=cfg.region,
            endpoint_url=cfg.endpoint,
            aws_access_key_id=cfg.access_key,
            aws_secret_access_key=cfg.secret_key,
            config=aioconfig.AioConfig(
                connect_timeout=cfg.timeout,
                read_timeout=cfg.timeout,
                retries={"total_max_attempts": 1},
                max_pool_connections=MAX_CONNECTIONS,
                s3={"addressing_style": "path"},
            ),
        )
        self._client = await self._stack.enter_async_context(client)

    async def put_if_absent(
        self, name: str, data: bytes
    ) -> Result[None, base.AlreadyExists]:
        """Store an object unless the name is taken."""
        try:
            await self._client.put_object(
                Bucket=self._cfg.bucket, Key=name, Body=data, IfNoneMatch="*"
            )
        except Exception as exc:
            if _status(exc) == 412:
                return Err(base.AlreadyExists(name))
            raise _write_error(exc) from exc
        return Ok(None)

    async def get(self, name: str) -> bytes | None:
        """Return an object's contents, or None when it is absent."""
        try:
            response = await self._client.get_object(
                Bucket=self._cfg.bucket, Key=name
            )
            async with response["Body"] as stream:
                return await stream.read()
        except Exception as exc:
            if _code(exc) == "NoSuchKey":
                return None
            raise _read_error(exc) from exc

    async def names(self, prefix: str) -> list[str]:
        """Return the sorted names that start with a prefix."""
        names: list[str] = []
        continuation: dict[str, str] = {}
        try:
            while True:
                response = await self._client.list_objects_v2(
                    Bucket=self._cfg.bucket, Prefix=prefix, **continuation
                )
                names += [
                    entry["Key"] for entry in response.get("Contents", [])
                ]
                if not response.get("IsTruncated"):
                    return sorted(names)
                token = response["NextContinuationToken"]
                continuation = {"ContinuationToken": token}
        except Exception as exc:
            raise _read_error(exc) from exc

    async def close(self) -> None:
        """Release connections."""
        await self._stack.aclose()


def _status(exc: Exception) -> int:
    if not isinstance(exc, botoexc.ClientError):
        return 0
    return exc.response["ResponseMetadata"].get("HTTPStatusCode", 0)


def _code(exc: Exception) -> str:
    if not isinstance(exc, botoexc.ClientError):
        return ""
    return exc.response.get("Error", {}).get("Code", "")


def _write_error(exc: Exception) -> exceptions.StoreError:
    """Return the error for a write that failed.

    It is ``StoreUnavailable`` only for failures that prove that nothing was
    stored.
    """
    reason = str(exc) or type(exc).__name__
    connect_errors = (
        botoexc.EndpointConnectionError,
        botoexc.ConnectTimeoutError,
    )
    if isinstance(exc, connect_errors):
        return exceptions.StoreUnavailable(reason)
    if 400 <= _status(exc) < 500 or _code(exc) in NOT_STARTED:
        return exceptions.StoreUnavailable(reason)
    return exceptions.StoreOutcomeUnknown(reason)


def _read_error(exc: Exception) -> exceptions.StoreError:
    return exceptions.StoreUnavailable(str(exc) or type(exc).__name__)
