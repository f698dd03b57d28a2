"""Table store client for services that speak the DynamoDB protocol."""

from collections.abc import Sequence
import contextlib
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

# Codes with which the service says that it did not start the operation.
NOT_APPLIED = frozenset(
    {
        "ThrottlingException",
        "ProvisionedThroughputExceededException",
        "RequestLimitExceeded",
        "ServiceUnavailable",
        "ServiceUnavailableException",
        "TransactionInProgressException",
        "ExpiredTokenException",
        "UnrecognizedClientException",
        "ResourceNotFoundException",
        "SlowDown",
    }
)


def open_client(
    service: str, cfg: settings.TableSettings | settings.ObjectSettings
) -> Any:
    """Return the context manager of an aiobotocore client.

    :param service: name of the AWS service whose protocol is spoken.
    :param cfg: where the service is.
    """
    return aiosession.get_session().create_client(
        service,
        region_name=cfg.region,
        endpoint_url=cfg.endpoint,
        aws_access_key_id=cfg.access_key,
        aws_secret_access_key=cfg.secret_key,
        config=aioconfig.AioConfig(
            connect_timeout=cfg.timeout,
            read_timeout=cfg.timeout,
            retries={"total_max_attempts": 1},
            max_pool_connections=32,
            s3={"addressing_style": "path"},
        ),
    )


def write_error(exc: Exception) -> exceptions.StoreError:
    """Return the error for a write that failed.

    Only failures that prove that nothing was applied make it
    ``StoreUnavailable``.
    """
    if isinstance(
        exc, (botoexc.EndpointConnectionError, botoexc.ConnectTimeoutError)
    ):
        return exceptions.StoreUnavailable(str(exc))
    if isinstance(exc, botoexc.ClientError):
        status = exc.response["ResponseMetadata"].get("HTTPStatusCode", 0)
        code = exc.response.get("Error", {}).get("Code", "")
        if 400 <= status < 500 or code in NOT_APPLIED:
            return exceptions.StoreUnavailable(str(exc))
    return exceptions.StoreOutcomeUnknown(str(exc) or type(exc).__name__)


def read_error(exc: Exception) -> exceptions.StoreError:
    """Return the error for a read that failed."""
    return exceptions.StoreUnavailable(str(exc) or type(exc).__name__)


def _item(put: base.Put, write_id: str) -> dict[str, Any]:
    item: dict[str, Any] = {
        "pk": {"S": put.key.partition},
        "sk": {"S": put.key.sort},
        "v": {"N": str(put.expect_version + 1)},
        "w": {"S": write_id},
        "d": {"S": put.value},
    }
    if put.expires_at is not None:
        item["ttl"] = {"N": str(put.expires_at)}
    return item


def _key(key: base.RowKey) -> dict[str, Any]:
    return {"pk": {"S": key.partition}, "sk": {"S": key.sort}}


def _row(item: dict[str, Any]) -> base.Row:
    expires = item.get("ttl")
    return base.Row(
        key=base.RowKey(item["pk"]["S"], item["sk"]["S"]),
        version=int(item["v"]["N"]),
        write_id=item["w"]["S"],
        value=item["d"]["S"],
        expires_at=None if expires is None else int(expires["N"]),
    )


@registry.register(registry.Kind.TABLE_STORE, "dynamodb")
class DynamoTable:
    """Table store over the DynamoDB protocol.

    :param cfg: where the table is.
    """

    def __init__(self, cfg: settings.TableSettings) -> None:
        self._cfg = cfg
        self._stack = contextlib.AsyncExitStack()
        self._client: Any = None

    async def open(self) -> None:
        """Make the client; no connection is opened yet."""
        self._client = await self._stack.enter_async_context(
            open_client("dynamodb", self._cfg)
        )

    async def get(self, key: base.RowKey) -> base.Row | None:
        """Return a row by a consistent read."""
        try:
            answer = await self._client.get_item(
                TableName=self._cfg.table, Key=_key(key), ConsistentRead=True
            )
            item = answer.get("Item")
            return None if item is None else _row(item)
        except Exception as exc:
            raise read_error(exc) from exc

    async def query(
        self,
        partition: str,
        after: str = "",
        prefix: str = "",
        limit: int = 1000,
        descending: bool = False,
    ) -> list[base.Row]:
        """Return rows of a partition in the order of their sort names."""
        condition = "pk = :p"
        values = {":p": {"S": partition}}
        if prefix:
            condition += " AND begins_with(sk, :x)"
            values[":x"] = {"S": prefix}
        start: dict[str, Any] | None = None
        if after and (not prefix or after.startswith(prefix)):
            start = _key(base.RowKey(partition, after))
        elif after and (after > prefix) != descending:
            return []
        rows: list[base.Row] = []
        try:
            while len(rows) < limit:
                more = {} if start is None else {"ExclusiveStartKey": start}
                answer = await self._client.query(
                    TableName=self._cfg.table,
                    KeyConditionExpression=condition,
                    ExpressionAttributeValues=values,
                    ConsistentRead=True,
                    ScanIndexForward=not descending,
                    Limit=limit - len(rows),
                    **more,
                )
                rows += [_row(item) for item in answer["Items"]]
                start = answer.get("LastEvaluatedKey")
                if start is None:
                    break
        except Exception as exc:
            raise read_error(exc) from exc
        return rows

    async def transact(
        self, writes: Sequence[base.Write], write_id: str
    ) -> Result[None, base.Conflict]:
        """Apply all writes or none."""
        items = [self._operation(write, write_id) for write in writes]
        try:
            await self._client.transact_write_items(TransactItems=items)
        except Exception as exc:
            reasons = _reasons(exc)
            failed = tuple(
                write.key
                for write, reason in zip(writes, reasons, strict=False)
                if reason == "ConditionalCheckFailed"
            )
            if failed:
                return Err(base.Conflict(failed))
            raise write_error(exc) from exc
        return Ok(None)

    async def close(self) -> None:
        """Release connections."""
        await self._stack.aclose()

    def _operation(self, write: base.Write, write_id: str) -> dict[str, Any]:
        body: dict[str, Any] = {"TableName": self._cfg.table}
        if write.expect_version == 0:
            body["ConditionExpression"] = "attribute_not_exists(pk)"
        else:
            body["ConditionExpression"] = "v = :v"
            body["ExpressionAttributeValues"] = {
                ":v": {"N": str(write.expect_version)}
            }
        if isinstance(write, base.Put):
            return {"Put": {**body, "Item": _item(write, write_id)}}
        name = "ConditionCheck" if isinstance(write, base.Check) else "Delete"
        return {name: {**body, "Key": _key(write.key)}}


def _reasons(exc: Exception) -> list[str]:
    if not isinstance(exc, botoexc.ClientError):
        return []
    listed = exc.response.get("CancellationReasons", [])
    return [reason.get("Code", "None") for reason in listed]
