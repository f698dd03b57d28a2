"""Measures the processor time of calls to the table service.

The project's client and aiobotocore's client make the same calls, one after
the other on one connection:
``python -m limpetwalk_bench.client_cost --endpoint http://127.0.0.1:8001``.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import itertools
import json
import time
from typing import Any

from absl import app
from absl import flags
from aiobotocore import config as aioconfig
from aiobotocore import session as aiosession
import uvloop

from limpetwalk.providers import base
from limpetwalk.providers import dynamodb
from limpetwalk.providers import dynamodb_wire as wire
from limpetwalk.providers import settings

ROW_VALUE = "x" * 1000

ENDPOINT = flags.DEFINE_string("endpoint", None, "URL of a table service.")
CALLS = flags.DEFINE_integer("calls", 500, "Calls of each kind.")

TableCall = Callable[[base.Put], Awaitable[Any]]


async def cost_ms(table_call: TableCall) -> float:
    """Return the mean processor time of a call in milliseconds.

    A first call, which may have to open the connection, is not counted.
    """
    run_id = f"{time.time_ns()}"
    numbers = itertools.count()

    def make_put() -> base.Put:
        return base.Put(
            base.RowKey(run_id, f"{next(numbers):06d}"), ROW_VALUE, 0
        )

    await table_call(make_put())
    cpu_started = time.process_time()
    for _ in range(CALLS.value):
        await table_call(make_put())
    return (time.process_time() - cpu_started) / CALLS.value * 1e3


async def measure_project_client(
    cfg: settings.TableSettings,
) -> dict[str, float]:
    """Return the cost of the project's client, in ms by operation."""
    table = dynamodb.DynamoTable(cfg)
    await table.open()
    try:
        return {
            "GetItem": await cost_ms(lambda put: table.get(put.key)),
            "Query": await cost_ms(lambda put: table.query(put.key.sort)),
            "TransactWriteItems": await cost_ms(
                lambda put: table.transact([put], "w")
            ),
        }
    finally:
        await table.close()


async def measure_aiobotocore(
    cfg: settings.TableSettings,
) -> dict[str, float]:
    """Return the cost of aiobotocore's client, in ms by operation."""
    session = aiosession.get_session()
    async with session.create_client(
        "dynamodb",
        region_name=cfg.region,
        endpoint_url=cfg.endpoint,
        aws_access_key_id=cfg.access_key,
        aws_secret_access_key=cfg.secret_key,
        config=aioconfig.AioConfig(retries={"total_max_attempts": 1}),
    ) as client:

        def get(put: base.Put) -> Awaitable[Any]:
            return client.get_item(
                **json.loads(wire.get_body(cfg.table, put.key))
            )

        def query(put: base.Put) -> Awaitable[Any]:
            body = wire.query_body(
                cfg.table, put.key.sort, "", "", 1000, False
            )
            return client.query(**json.loads(body))

        def transact(put: base.Put) -> Awaitable[Any]:
            body = wire.transact_body(cfg.table, [put], "w")
            return client.transact_write_items(**json.loads(body))

        return {
            "GetItem": await cost_ms(get),
            "Query": await cost_ms(query),
            "TransactWriteItems": await cost_ms(transact),
        }


async def run() -> str:
    """Measure both clients and return the report as Markdown."""
    cfg = settings.TableSettings(endpoint=ENDPOINT.value, timeout=5.0)
    project_costs = await measure_project_client(cfg)
    other_costs = await measure_aiobotocore(cfg)
    lines = [
        "# Processor time of one call of the table service\n",
        f"{CALLS.value} calls of each kind, one connection.\n",
        "| operation | aiohttp and botocore's signer | aiobotocore |",
        "|---|---|---|",
    ]
    lines += [
        f"| {name} | {project_costs[name]:.2f} ms "
        f"| {other_costs[name]:.2f} ms |"
        for name in project_costs
    ]
    return "\n".join(lines)


def main(argv: list[str]) -> None:
    """Run the measurement and print the report."""
    if len(argv) > 1:
        raise app.UsageError(f"unexpected argument {argv[1]!r}")
    print(uvloop.run(run()))


if __name__ == "__main__":
    flags.mark_flag_as_required("endpoint")
    app.run(main)
