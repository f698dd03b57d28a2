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

CONNECTIONS = 8
# Errors with status 5xx that say that the operation was not started.
NOT_STARTED = frozenset({"SlowDown", "ServiceUnavailable"})


@functools.cache
def _session() -> aiosession.AioSession:
    """Return the session, which reads the protocol's description once."""
    return aiosession.get_session()


@registry.register(registry.Kind.OBJECT_STORE, "s3")
class S3Objects:
    """Object store over the S3 protocol.

    :param cfg: where the bucket is.
    """

    def __init__(self, cfg: settings.ObjectSettings) -> None:
        self._cfg = cfg
        self._stack = contextlib.AsyncExitStack()
        self._client: Any = None

    async def open(self) -> None:
        """Make the client; no connection is opened yet."""
        cfg = self._cfg
        client = _session().create_client(
            "s3",
            region_name=cfg.region,
            endpoint_url=cfg.endpoint,
            aws_access_key_id=cfg.access_key,
            aws_secret_access_key=cfg.secret_key,
            config=aioconfig.AioConfig(
                connect_timeout=cfg.timeout,
                read_timeout=cfg.timeout,
                retries={"total_max_attempts": 1},
                max_pool_connections=CONNECTIONS,
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
            answer = await self._client.get_object(
                Bucket=self._cfg.bucket, Key=name
            )
            async with answer["Body"] as stream:
                return await stream.read()
        except Exception as exc:
            if _code(exc) == "NoSuchKey":
                return None
            raise _read_error(exc) from exc

    async def names(self, prefix: str) -> list[str]:
        """Return the sorted names that start with a prefix."""
        found: list[str] = []
        more: dict[str, str] = {}
        try:
            while True:
                answer = await self._client.list_objects_v2(
                    Bucket=self._cfg.bucket, Prefix=prefix, **more
                )
                found += [entry["Key"] for entry in answer.get("Contents", [])]
                if not answer.get("IsTruncated"):
                    return sorted(found)
                token = answer["NextContinuationToken"]
                more = {"ContinuationToken": token}
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

    Only failures that prove that nothing was stored make it
    ``StoreUnavailable``.
    """
    text = str(exc) or type(exc).__name__
    unsent = (botoexc.EndpointConnectionError, botoexc.ConnectTimeoutError)
    if isinstance(exc, unsent):
        return exceptions.StoreUnavailable(text)
    if 400 <= _status(exc) < 500 or _code(exc) in NOT_STARTED:
        return exceptions.StoreUnavailable(text)
    return exceptions.StoreOutcomeUnknown(text)


def _read_error(exc: Exception) -> exceptions.StoreError:
    return exceptions.StoreUnavailable(str(exc) or type(exc).__name__)
