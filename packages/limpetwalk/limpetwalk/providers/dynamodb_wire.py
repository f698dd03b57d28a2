"""JSON bodies of the DynamoDB protocol."""

from collections.abc import Sequence
import json
from typing import Any

import pydantic

from . import base

CONDITION_ABSENT = "attribute_not_exists(pk)"
CONDITION_VERSION = "v = :v"
FAILED_CONDITION = "ConditionalCheckFailed"


class _StringAttribute(pydantic.BaseModel):
    value: str = pydantic.Field(alias="S")


class _NumberAttribute(pydantic.BaseModel):
    value: int = pydantic.Field(alias="N")


class _KeyAttributes(pydantic.BaseModel):
    pk: _StringAttribute
    sk: _StringAttribute


class _Item(_KeyAttributes):
    v: _NumberAttribute
    w: _StringAttribute
    d: _StringAttribute
    ttl: _NumberAttribute | None = None

    def row(self) -> base.Row:
        return base.Row(
            key=base.RowKey(self.pk.value, self.sk.value),
            version=self.v.value,
            write_id=self.w.value,
            value=self.d.value,
            expires_at=None if self.ttl is None else self.ttl.value,
        )


class GetItemResponse(pydantic.BaseModel):
    """Response of GetItem."""

    item: _Item | None = pydantic.Field(None, alias="Item")

    def row(self) -> base.Row | None:
        """Return the row, or None when it is absent."""
        return None if self.item is None else self.item.row()


class QueryResponse(pydantic.BaseModel):
    """Response of Query: one page of rows."""

    items: list[_Item] = pydantic.Field(alias="Items")
    last: _KeyAttributes | None = pydantic.Field(
        None, alias="LastEvaluatedKey"
    )

    def rows(self) -> list[base.Row]:
        """Return the rows of the page."""
        return [item.row() for item in self.items]

    def last_sort(self) -> str:
        """Return the sort name after which the next page starts.

        It is empty for the last page.
        """
        return "" if self.last is None else self.last.sk.value


class TransactWriteItemsResponse(pydantic.BaseModel):
    """Response of TransactWriteItems."""


class _CancellationReason(pydantic.BaseModel):
    code: str = pydantic.Field("None", alias="Code")


class ErrorResponse(pydantic.BaseModel):
    """Response with a status other than 200."""

    kind: str = pydantic.Field("", alias="__type")
    message: str = ""
    reasons: list[_CancellationReason] = pydantic.Field(
        [], alias="CancellationReasons"
    )

    @property
    def code(self) -> str:
        """Name of the error without its namespace."""
        return self.kind.rpartition("#")[2]

    def conflict(self, writes: Sequence[base.Write]) -> base.Conflict | None:
        """Return the rows whose conditions failed, if that is the error.

        :param writes: writes of the transaction, in the order sent.
        """
        failed = tuple(
            write.key
            for write, reason in zip(writes, self.reasons, strict=False)
            if reason.code == FAILED_CONDITION
        )
        return base.Conflict(failed) if failed else None


def get_body(table: str, key: base.RowKey) -> bytes:
    """Return the request body of GetItem."""
    return _encode(
        {"TableName": table, "Key": _key(key), "ConsistentRead": True}
    )


def query_body(
    table: str,
    partition: str,
    after: str,
    prefix: str,
    limit: int,
    descending: bool,
) -> bytes:
    """Return the request body of Query."""
    condition = "pk = :p"
    values = {":p": {"S": partition}}
    if prefix:
        condition += " AND begins_with(sk, :x)"
        values[":x"] = {"S": prefix}
    body = {
        "TableName": table,
        "KeyConditionExpression": condition,
        "ExpressionAttributeValues": values,
        "ConsistentRead": True,
        "ScanIndexForward": not descending,
        "Limit": limit,
    }
    if after:
        body["ExclusiveStartKey"] = _key(base.RowKey(partition, after))
    return _encode(body)


def transact_body(
    table: str, writes: Sequence[base.Write], write_id: str
) -> bytes:
    """Return the request body of TransactWriteItems."""
    operations = [_operation(table, write, write_id) for write in writes]
    return _encode({"TransactItems": operations})


def _operation(table: str, write: base.Write, write_id: str) -> dict[str, Any]:
    body: dict[str, Any] = {"TableName": table}
    if write.expect_version == 0:
        body["ConditionExpression"] = CONDITION_ABSENT
    else:
        body["ConditionExpression"] = CONDITION_VERSION
        expected = {"N": str(write.expect_version)}
        body["ExpressionAttributeValues"] = {":v": expected}
    if isinstance(write, base.Put):
        return {"Put": {**body, "Item": _item(write, write_id)}}
    name = "ConditionCheck" if isinstance(write, base.Check) else "Delete"
    return {name: {**body, "Key": _key(write.key)}}


def _item(put: base.Put, write_id: str) -> dict[str, Any]:
    item = {
        **_key(put.key),
        "v": {"N": str(put.expect_version + 1)},
        "w": {"S": write_id},
        "d": {"S": put.value},
    }
    if put.expires_at is not None:
        item["ttl"] = {"N": str(put.expires_at)}
    return item


def _key(key: base.RowKey) -> dict[str, Any]:
    return {"pk": {"S": key.partition}, "sk": {"S": key.sort}}


def _encode(body: dict[str, Any]) -> bytes:
    return json.dumps(body, separators=(",", ":")).encode()
