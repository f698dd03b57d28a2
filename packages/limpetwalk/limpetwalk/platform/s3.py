"""Object store client for services that speak the S3 protocol."""

import contextlib
from typing import Any

from botocore import exceptions as botoexc
from result import Err
from result import Ok
from result import Result

from .. import registry
from . import base
from . import dynamodb
from . import settings


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
        self._client = await self._stack.enter_async_context(
            dynamodb.open_client("s3", self._cfg)
        )

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
            raise dynamodb.write_error(exc) from exc
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
            raise dynamodb.read_error(exc) from exc

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
            raise dynamodb.read_error(exc) from exc

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
