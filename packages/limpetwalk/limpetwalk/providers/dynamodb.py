"""Table store client for services that speak the DynamoDB protocol.

Requests are sent with aiohttp and signed by botocore's signer. A call with
aiobotocore takes about three times the processor time of one with this client
(docs/design/platform.md).
"""

import asyncio
from collections.abc import Sequence
from typing import TypeVar

import aiohttp
from botocore import auth
from botocore import awsrequest
from botocore import credentials
import pydantic
from result import Err
from result import Ok
from result import Result

from .. import exceptions
from .. import registry
from . import base
from . import dynamodb_wire as wire
from . import http
from . import settings

MAX_CONNECTIONS = 32
TARGET = "DynamoDB_20120810."
CONTENT_TYPE = "application/x-amz-json-1.0"
# Errors with a 5xx status that state that the operation was not started.
NOT_STARTED = frozenset({"ServiceUnavailable", "ServiceUnavailableException"})

Response = TypeVar("Response", bound=pydantic.BaseModel)


class _Rejected(Exception):
    """The service responded with an error.

    :param status: HTTP status code.
    :param body: body of the response.
    """

    def __init__(self, status: int, body: wire.ErrorResponse) -> None:
        super().__init__(f"{status} {body.code}: {body.message}")
        self.status = status
        self.body = body

    @property
    def not_applied(self) -> bool:
        """Whether the response proves that nothing was applied."""
        return self.status < 500 or self.body.code in NOT_STARTED


@registry.register(registry.Kind.TABLE_STORE, "dynamodb")
class DynamoTable:
    """Table store over the DynamoDB protocol.

    :param cfg: settings of the table service.
    """

    def __init__(self, cfg: settings.TableSettings) -> None:
        self._cfg = cfg
        self._url = cfg.endpoint.rstrip("/") + "/"
        aws_credentials = credentials.Credentials(
            cfg.access_key, cfg.secret_key
        )
        self._signer = auth.SigV4Auth(aws_credentials, "dynamodb", cfg.region)
        self._session: aiohttp.ClientSession | None = None

    async def open(self) -> None:
        """Create the HTTP session; no connection is opened yet."""
        # The attempt to connect fails after half of the timeout, before the
        # request is sent, so that the failure is known to have no effect.
        timeout = aiohttp.ClientTimeout(
            total=self._cfg.timeout, connect=self._cfg.timeout / 2
        )
        self._session = http.open_session(timeout, MAX_CONNECTIONS)

    async def get(self, key: base.RowKey) -> base.Row | None:
        """Return a row by a consistent read."""
        body = wire.get_body(self._cfg.table, key)
        response = await self._read("GetItem", body, wire.GetItemResponse)
        return response.row()

    async def query(
        self,
        partition: str,
        after: str = "",
        prefix: str = "",
        limit: int = 1000,
        descending: bool = False,
    ) -> list[base.Row]:
        """Return rows of a partition in the order of their sort names."""
        if after and prefix and not after.startswith(prefix):
            # The protocol accepts only a start key that meets the condition.
            if (after > prefix) != descending:
                return []
            after = ""
        rows: list[base.Row] = []
        while len(rows) < limit:
            remaining = limit - len(rows)
            body = wire.query_body(
                self._cfg.table,
                partition,
                after,
                prefix,
                remaining,
                descending,
            )
            page = await self._read("Query", body, wire.QueryResponse)
            rows += page.rows()
            after = page.last_sort()
            if not after:
                break
        return rows

    async def transact(
        self, writes: Sequence[base.Write], write_id: str
    ) -> Result[None, base.Conflict]:
        """Apply all writes or none."""
        body = wire.transact_body(self._cfg.table, writes, write_id)
        try:
            await self._call(
                "TransactWriteItems", body, wire.TransactWriteItemsResponse
            )
        except _Rejected as exc:
            conflict = exc.body.conflict(writes)
            if conflict is not None:
                return Err(conflict)
            if exc.not_applied:
                raise exceptions.StoreUnavailable(str(exc)) from exc
            raise exceptions.StoreOutcomeUnknown(str(exc)) from exc
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as exc:
            raise exceptions.StoreUnavailable(_describe(exc)) from exc
        except (
            aiohttp.ClientError,
            asyncio.TimeoutError,
            pydantic.ValidationError,
        ) as exc:
            raise exceptions.StoreOutcomeUnknown(_describe(exc)) from exc
        return Ok(None)

    async def close(self) -> None:
        """Release connections."""
        if self._session is not None:
            await self._session.close()

    async def _read(
        self, operation: str, body: bytes, model: type[Response]
    ) -> Response:
        try:
            return await self._call(operation, body, model)
        except (
            _Rejected,
            aiohttp.ClientError,
            asyncio.TimeoutError,
            pydantic.ValidationError,
        ) as exc:
            raise exceptions.StoreUnavailable(_describe(exc)) from exc

    async def _call(
        self, operation: str, body: bytes, model: type[Response]
    ) -> Response:
        assert self._session is not None
        aws_req = awsrequest.AWSRequest(
            method="POST",
            url=self._url,
            data=body,
            headers={
                "X-Amz-Target": TARGET + operation,
                "Content-Type": CONTENT_TYPE,
            },
        )
        self._signer.add_auth(aws_req)
        async with self._session.post(
            self._url, data=body, headers=dict(aws_req.headers.items())
        ) as resp:
            data = await resp.read()
            if resp.status != 200:
                raise _Rejected(resp.status, _parse_error(data))
            return model.model_validate_json(data)


def _parse_error(data: bytes) -> wire.ErrorResponse:
    try:
        return wire.ErrorResponse.model_validate_json(data)
    except pydantic.ValidationError:
        return wire.ErrorResponse(message="malformed error")


def _describe(exc: Exception) -> str:
    return str(exc) or type(exc).__name__
