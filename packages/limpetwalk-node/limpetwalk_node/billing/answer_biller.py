"""Writes bill entries of answers before the answers are released."""

import asyncio

from limpetwalk import clock as clocks
from limpetwalk import exceptions
from limpetwalk import metrics as measures
from limpetwalk.ledger import base as ledger

from .. import lifecycle


class AnswerBiller:
    """Writes one bill entry for each answer.

    :param node: name of the node.
    :param biller: writes bill entries to the ledger.
    :param node_lifecycle: lifecycle whose in-flight count covers unfinished
        writes.
    :param clock: source of time.
    :param metrics: metrics of the process.
    """

    def __init__(
        self,
        node: str,
        biller: ledger.Biller,
        node_lifecycle: lifecycle.Lifecycle,
        clock: clocks.Clock,
        metrics: measures.Metrics,
    ) -> None:
        self._node = node
        self._biller = biller
        self._lifecycle = node_lifecycle
        self._clock = clock
        self._write_tasks: set[asyncio.Task[None]] = set()
        self._unsafe = metrics.counter(
            "limpetwalk_bills_unsafe",
            "Answers released while only this node held their bill entry.",
        )
        self._latency = metrics.latency(
            "limpetwalk_bill",
            "Time until a bill entry can't be lost with one node.",
        )

    async def write(
        self,
        workspace: str,
        request_key: str,
        request_id: str,
        subject: str,
        steps: tuple[str, ...],
        input_tokens: int = 0,
        output_tokens: int = 0,
        cost: int = 0,
    ) -> None:
        """Write an entry, even if the caller disconnects meanwhile.

        It returns when the entry survives the loss of this node, or when
        neither the stores nor the peers can take it. In the latter case the
        entry stays pending at this node, and the answer is counted as unsafe.
        """
        entry = ledger.BillEntry(
            workspace,
            request_key,
            request_id,
            subject,
            steps,
            input_tokens,
            output_tokens,
            cost,
            self._clock.wall(),
            self._node,
        )
        task = asyncio.create_task(self._write(entry))
        self._write_tasks.add(task)
        task.add_done_callback(self._write_tasks.discard)
        await asyncio.shield(task)

    async def write_service_call(
        self, workspace: str, request_key: str, request_id: str, service: str
    ) -> None:
        """Write the bill entry of a call to a plain service."""
        await self.write(
            workspace, request_key, request_id, service, (service,)
        )

    async def _write(self, entry: ledger.BillEntry) -> None:
        started_at = self._clock.monotonic()
        self._lifecycle.begin_work()
        try:
            await self._biller.bill(entry)
        except exceptions.StoreError:
            self._unsafe.inc()
        finally:
            self._lifecycle.end_work()
            self._latency.record(self._clock.monotonic() - started_at)
