"""Bill entries and the interface through which nodes write them."""

from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class BillEntry:
    """Bill of one answered request; unique by workspace and request key.

    :param workspace: workspace that pays.
    :param request_key: idempotency key, or the request id without one.
    :param request_id: identifier sent to the backend servers.
    :param subject: public model name or plain service.
    :param steps: versions or servers that ran, in order.
    :param input_tokens: tokens of the prompt that the caller pays for.
    :param output_tokens: tokens of the answer that the caller pays for.
    :param cost: price in micro-units.
    :param answered_at: Unix time in seconds.
    :param node: node that answered.
    """

    workspace: str
    request_key: str
    request_id: str
    subject: str
    steps: tuple[str, ...]
    input_tokens: int
    output_tokens: int
    cost: int
    answered_at: float
    node: str


class Biller(Protocol):
    """Writes bill entries."""

    async def bill(self, entry: BillEntry) -> None:
        """Return once the loss of one node can no longer lose the entry.

        :raises StoreUnavailable: when neither the store nor a peer in
            another zone could store the entry; it is kept and retried.
        """
        ...

    async def flush(self, timeout: float) -> int:
        """Wait until pending entries are durable.

        :param timeout: longest wait, in seconds.
        :returns: number of entries that still only this node has.
        """
        ...
