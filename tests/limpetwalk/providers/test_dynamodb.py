"""Tests of how the table client interprets the service's responses."""

import json
import unittest

from aiohttp import test_utils
from aiohttp import web
from result import Err

from limpetwalk import exceptions
from limpetwalk.providers import base
from limpetwalk.providers import dynamodb
from limpetwalk.providers import settings

KEY = base.RowKey("p", "k")
OTHER = base.RowKey("p", "o")
WRITES = [base.Put(KEY, "{}", 0), base.Check(OTHER, 1)]
Unavailable = exceptions.StoreUnavailable
Unknown = exceptions.StoreOutcomeUnknown


def error(code, *reasons):
    body = {"__type": f"com.amazonaws.dynamodb.v20120810#{code}"}
    if reasons:
        entries = [{"Code": reason} for reason in reasons]
        body["CancellationReasons"] = entries
    return json.dumps(body)


CANCELLED = "TransactionCanceledException"
FAILED = "ConditionalCheckFailed"
WRITE_RESPONSES = [
    (400, error("ThrottlingException"), Unavailable),
    (400, error("ProvisionedThroughputExceededException"), Unavailable),
    (400, error("RequestLimitExceeded"), Unavailable),
    (400, error("ResourceNotFoundException"), Unavailable),
    (400, error(CANCELLED, "TransactionConflict", "None"), Unavailable),
    (400, error(CANCELLED, "ThrottlingError", "None"), Unavailable),
    (400, "no json", Unavailable),
    (403, error("AccessDeniedException"), Unavailable),
    (503, error("ServiceUnavailable"), Unavailable),
    (503, "from a balancer", Unknown),
    (500, error("InternalServerError"), Unknown),
    (502, "", Unknown),
    (504, "", Unknown),
    (200, "no json", Unknown),
    (200, "[]", Unknown),
]
CONFLICTS = [
    ((FAILED, "None"), (KEY,)),
    (("None", FAILED), (OTHER,)),
    ((FAILED, FAILED), (KEY, OTHER)),
    ((FAILED, "TransactionConflict"), (KEY,)),
]
MALFORMED_READ_RESPONSES = [
    '{"Item": {"pk": {"S": "p"}}}',
    '{"Item": {"pk": "p", "sk": "k"}}',
    '{"Item": []}',
    "<html>",
]


class DynamoResponseTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.status = 200
        self.text = "{}"
        self.requests = []
        app = web.Application()
        app.add_routes([web.post("/", self.answer)])
        server = test_utils.TestServer(app, host="127.0.0.1")
        await server.start_server()
        self.addAsyncCleanup(server.close)
        cfg = settings.TableSettings(
            endpoint=str(server.make_url("")), table="t", timeout=5.0
        )
        self.table = dynamodb.DynamoTable(cfg)
        await self.table.open()
        self.addAsyncCleanup(self.table.close)

    async def answer(self, req):
        self.requests.append((req.headers, await req.json()))
        return web.Response(status=self.status, text=self.text)

    async def test_responses_to_a_write(self):
        for status, text, expected in WRITE_RESPONSES:
            with self.subTest(status=status, text=text):
                self.status, self.text = status, text
                with self.assertRaises(expected):
                    await self.table.transact(WRITES, "w")

    async def test_conflict_contains_the_rows_of_failed_conditions(self):
        self.status = 400
        for reasons, keys in CONFLICTS:
            with self.subTest(reasons=reasons):
                self.text = error(CANCELLED, *reasons)
                outcome = await self.table.transact(WRITES, "w")
                self.assertEqual(Err(base.Conflict(keys)), outcome)

    async def test_malformed_response_to_a_read(self):
        for text in MALFORMED_READ_RESPONSES:
            with self.subTest(text=text):
                self.text = text
                with self.assertRaises(Unavailable):
                    await self.table.get(KEY)
                with self.assertRaises(Unavailable):
                    await self.table.query("p")

    async def test_requests_are_signed_consistent_reads(self):
        await self.table.get(KEY)
        headers, body = self.requests[0]
        self.assertEqual("DynamoDB_20120810.GetItem", headers["X-Amz-Target"])
        self.assertIn("AWS4-HMAC-SHA256", headers["Authorization"])
        self.assertEqual(
            {
                "TableName": "t",
                "Key": {"pk": {"S": "p"}, "sk": {"S": "k"}},
                "ConsistentRead": True,
            },
            body,
        )

    async def test_one_call_is_one_request(self):
        self.status = 500
        for call in (
            self.table.get(KEY),
            self.table.query("p"),
            self.table.transact(WRITES, "w"),
        ):
            self.requests.clear()
            with self.assertRaises(exceptions.StoreError):
                await call
            self.assertEqual(1, len(self.requests))
