"""Table service stand-in that speaks the DynamoDB JSON protocol."""

import json
from typing import Any

from aiohttp import web
from result import Err

from limpetwalk.providers import base
from limpetwalk.providers import memory

from . import faults

PAGE_BYTES = 1024 * 1024
TARGET = "X-Amz-Target"
CONTENT_TYPE = "application/x-amz-json-1.0"


class ProtocolError(Exception):
    """The service refuses a request.

    :param code: name of the error in the DynamoDB protocol.
    :param message: text that is sent to the client.
    """

    def __init__(self, code: str, message: str) -> None:
        super().__init__(message)
        self.code = code

    def body(self) -> dict[str, Any]:
        """Return the body of the answer."""
        error_type = f"com.amazonaws.dynamodb.v20120810#{self.code}"
        return {"__type": error_type, "message": str(self)}


class Cancelled(ProtocolError):
    """A transaction was cancelled because a condition failed.

    :param writes: writes of the transaction.
    :param conflict: keys whose condition failed.
    """

    def __init__(
        self, writes: list[base.Write], conflict: base.Conflict
    ) -> None:
        super().__init__("TransactionCanceledException", "cancelled")
        self.reasons = [
            "ConditionalCheckFailed" if write.key in conflict.keys else "None"
            for write in writes
        ]

    def body(self) -> dict[str, Any]:
        """Return the body of the answer, with a reason for each write."""
        reasons = [{"Code": reason} for reason in self.reasons]
        return {**super().body(), "CancellationReasons": reasons}


def _key(attributes: dict[str, Any]) -> base.RowKey:
    return base.RowKey(attributes["pk"]["S"], attributes["sk"]["S"])


def _key_attributes(key: base.RowKey) -> dict[str, Any]:
    return {"pk": {"S": key.partition}, "sk": {"S": key.sort}}


def _item(row: base.Row) -> dict[str, Any]:
    item = {
        **_key_attributes(row.key),
        "v": {"N": str(row.version)},
        "w": {"S": row.write_id},
        "d": {"S": row.value},
    }
    if row.expires_at is not None:
        item["ttl"] = {"N": str(row.expires_at)}
    return item


def _expected_version(body: dict[str, Any]) -> int:
    condition = body.get("ConditionExpression")
    if condition == "attribute_not_exists(pk)":
        return 0
    if condition == "v = :v":
        return int(body["ExpressionAttributeValues"][":v"]["N"])
    raise ProtocolError("ValidationException", f"condition {condition!r}")


def _write(operation: dict[str, Any]) -> tuple[base.Write, str]:
    ((name, body),) = operation.items()
    expect = _expected_version(body)
    if name == "ConditionCheck":
        return base.Check(_key(body["Key"]), expect), ""
    if name == "Delete":
        return base.Delete(_key(body["Key"]), expect), ""
    if name != "Put":
        raise ProtocolError("ValidationException", f"operation {name!r}")
    item = body["Item"]
    if len(json.dumps(item)) > base.ROW_LIMIT_BYTES:
        raise ProtocolError("ValidationException", "item size exceeded")
    if int(item["v"]["N"]) != expect + 1:
        raise ProtocolError("ValidationException", "version out of step")
    expires = int(item["ttl"]["N"]) if "ttl" in item else None
    put = base.Put(_key(item), item["d"]["S"], expect, expires)
    return put, item["w"]["S"]


class TableService:
    """Table service.

    :param service: faults and counts of the service.
    """

    def __init__(self, service: faults.FaultyService) -> None:
        self.rows = memory.Rows()
        self._service = service
        self._operations = {
            "GetItem": self._get,
            "Query": self._query,
            "TransactWriteItems": self._transact,
        }

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the service."""
        return [web.post("/", self._handle)]

    async def _handle(self, req: web.Request) -> web.StreamResponse:
        operation = req.headers.get(TARGET, "").rpartition(".")[2]
        self._service.count(operation or "unknown")
        body = await req.json()

        async def apply(_: web.Request) -> web.StreamResponse:
            return self._answer(operation, body)

        write = operation == "TransactWriteItems"
        return await self._service.handle(req, write, apply)

    def _answer(self, operation: str, body: dict[str, Any]) -> web.Response:
        try:
            handler = self._operations.get(operation)
            if handler is None:
                raise ProtocolError("UnknownOperationException", operation)
            return _reply(200, handler(body))
        except ProtocolError as exc:
            return _reply(400, exc.body())
        except (KeyError, TypeError, ValueError) as exc:
            error_type = "com.amazon.coral.validate#ValidationException"
            return _reply(400, {"__type": error_type, "message": repr(exc)})

    def _get(self, body: dict[str, Any]) -> dict[str, Any]:
        row = self.rows.get(_key(body["Key"]))
        return {} if row is None else {"Item": _item(row)}

    def _query(self, body: dict[str, Any]) -> dict[str, Any]:
        values = body["ExpressionAttributeValues"]
        limit = int(body.get("Limit", 1000))
        start = body.get("ExclusiveStartKey")
        rows = self.rows.query(
            values[":p"]["S"],
            after=start["sk"]["S"] if start else "",
            prefix=values[":x"]["S"] if ":x" in values else "",
            limit=limit + 1,
            descending=not body.get("ScanIndexForward", True),
        )
        items: list[dict[str, Any]] = []
        size_bytes = 0
        for row in rows[:limit]:
            size_bytes += len(row.value)
            if items and size_bytes > PAGE_BYTES:
                break
            items.append(_item(row))
        answer: dict[str, Any] = {"Items": items, "Count": len(items)}
        if len(items) < len(rows):
            last = rows[len(items) - 1].key
            answer["LastEvaluatedKey"] = _key_attributes(last)
        return answer

    def _transact(self, body: dict[str, Any]) -> dict[str, Any]:
        parsed = [_write(operation) for operation in body["TransactItems"]]
        writes = [write for write, _ in parsed]
        write_id = max(
            (item_write_id for _, item_write_id in parsed), default=""
        )
        outcome = self.rows.transact(writes, write_id)
        if isinstance(outcome, Err):
            raise Cancelled(writes, outcome.err_value)
        return {}


def _reply(status: int, body: dict[str, Any]) -> web.Response:
    return web.Response(
        status=status, text=json.dumps(body), content_type=CONTENT_TYPE
    )
