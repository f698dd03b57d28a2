"""Table store client for services that speak the DynamoDB protocol.

Requests go through aiohttp and are signed by botocore's signer; a call by
aiobotocore takes about three times the processor time of one by this client
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
from . import settings

CONNECTIONS = 32
TARGET = "DynamoDB_20120810."
CONTENT_TYPE = "application/x-amz-json-1.0"
# Errors with status 5xx that say that the operation was not started.
NOT_STARTED = frozenset({"ServiceUnavailable", "ServiceUnavailableException"})

Answer = TypeVar("Answer", bound=pydantic.BaseModel)


class _Rejected(Exception):
    """The service answered with an error.

    :param status: HTTP status code.
    :param answer: body of the answer.
    """

    def __init__(self, status: int, answer: wire.ErrorAnswer) -> None:
        super().__init__(f"{status} {answer.code}: {answer.message}")
        self.status = status
        self.answer = answer

    @property
    def not_applied(self) -> bool:
        """Whether the answer proves that nothing was applied."""
        return self.status < 500 or self.answer.code in NOT_STARTED


@registry.register(registry.Kind.TABLE_STORE, "dynamodb")
class DynamoTable:
    """Table store over the DynamoDB protocol.

    :param cfg: where the table is.
    """

    def __init__(self, cfg: settings.TableSettings) -> None:
        self._cfg = cfg
        self._url = cfg.endpoint.rstrip("/") + "/"
        keys = credentials.Credentials(cfg.access_key, cfg.secret_key)
        self._signer = auth.SigV4Auth(keys, "dynamodb", cfg.region)
        self._session: aiohttp.ClientSession | None = None

    async def open(self) -> None:
        """Make the HTTP session; no connection is opened yet."""
        # A connection that takes half of the time is given up before the
        # request is sent, so that the failure is known to have no effect.
        timeout = aiohttp.ClientTimeout(
            total=self._cfg.timeout, connect=self._cfg.timeout / 2
        )
        self._session = aiohttp.ClientSession(
            timeout=timeout,
            connector=aiohttp.TCPConnector(limit=CONNECTIONS),
        )

    async def get(self, key: base.RowKey) -> base.Row | None:
        """Return a row by a consistent read."""
        body = wire.get_body(self._cfg.table, key)
        answer = await self._read("GetItem", body, wire.GetAnswer)
        return answer.row()

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
            # The protocol takes only a start that fulfils the condition.
            if (after > prefix) != descending:
                return []
            after = ""
        rows: list[base.Row] = []
        while len(rows) < limit:
            left = limit - len(rows)
            body = wire.query_body(
                self._cfg.table, partition, after, prefix, left, descending
            )
            page = await self._read("Query", body, wire.QueryAnswer)
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
            await self._call("TransactWriteItems", body, wire.TransactAnswer)
        except _Rejected as exc:
            conflict = exc.answer.conflict(writes)
            if conflict is not None:
                return Err(conflict)
            if exc.not_applied:
                raise exceptions.StoreUnavailable(str(exc)) from exc
            raise exceptions.StoreOutcomeUnknown(str(exc)) from exc
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as exc:
            raise exceptions.StoreUnavailable(_text(exc)) from exc
        except (
            aiohttp.ClientError,
            asyncio.TimeoutError,
            pydantic.ValidationError,
        ) as exc:
            raise exceptions.StoreOutcomeUnknown(_text(exc)) from exc
        return Ok(None)

    async def close(self) -> None:
        """Release connections."""
        if self._session is not None:
            await self._session.close()

    async def _read(
        self, operation: str, body: bytes, model: type[Answer]
    ) -> Answer:
        try:
            return await self._call(operation, body, model)
        except (
            _Rejected,
            aiohttp.ClientError,
            asyncio.TimeoutError,
            pydantic.ValidationError,
        ) as exc:
            raise exceptions.StoreUnavailable(_text(exc)) from exc

    async def _call(
        self, operation: str, body: bytes, model: type[Answer]
    ) -> Answer:
        assert self._session is not None
        signed = awsrequest.AWSRequest(
            method="POST",
            url=self._url,
            data=body,
            headers={
                "X-Amz-Target": TARGET + operation,
                "Content-Type": CONTENT_TYPE,
            },
        )
        self._signer.add_auth(signed)
        async with self._session.post(
            self._url, data=body, headers=dict(signed.headers.items())
        ) as answer:
            data = await answer.read()
            if answer.status != 200:
                raise _Rejected(answer.status, _error(data))
            return model.model_validate_json(data)


def _error(data: bytes) -> wire.ErrorAnswer:
    try:
        return wire.ErrorAnswer.model_validate_json(data)
    except pydantic.ValidationError:
        return wire.ErrorAnswer(message="malformed error")


def _text(exc: Exception) -> str:
    return str(exc) or type(exc).__name__
