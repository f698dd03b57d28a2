"""Bill entries of answers, written before an answer is released."""

import asyncio

from limpetwalk import clock as clocks
from limpetwalk import exceptions
from limpetwalk import metrics as measures
from limpetwalk.ledger import base as ledger

from .. import lifecycle


class AnswerBiller:
    """Writes one entry for each answer.

    :param node: name of the node.
    :param biller: writes entries.
    :param node_lifecycle: in-flight count, which covers entries being written.
    :param clock: clock of the entries' times.
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
        self._writing: set[asyncio.Task[None]] = set()
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
        """Write an entry, also when the caller leaves meanwhile.

        Returns when the entry is safe, or when neither store nor peers can
        take it: it then stays at this node, which is counted.
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
        self._writing.add(task)
        task.add_done_callback(self._writing.discard)
        await asyncio.shield(task)

    async def write_service_call(
        self, workspace: str, request_key: str, request_id: str, service: str
    ) -> None:
        """Write the entry of a call of a plain service."""
        await self.write(
            workspace, request_key, request_id, service, (service,)
        )

    async def _write(self, entry: ledger.BillEntry) -> None:
        began = self._clock.monotonic()
        self._lifecycle.begin_work()
        try:
            await self._biller.bill(entry)
        except exceptions.StoreError:
            self._unsafe.inc()
        finally:
            self._lifecycle.end_work()
            self._latency.record(self._clock.monotonic() - began)
