"""Faults that both stand-ins can show while they run."""

from dataclasses import dataclass
from typing import Any

import pydantic

ECHO_HEADERS = ("X-Request-Id", "X-Attempt-Id")
BOOT_HEADER = "X-Boot-Id"
RUN_STATE_HEADER = "X-Run-State"
NOT_RUN_HEADERS = {RUN_STATE_HEADER: "not_run"}


class FaultOrder(pydantic.BaseModel):
    """Body of ``POST /_control``.

    :param fault: name of the fault.
    :param on: whether to switch it on or off.
    :param count: answers that it touches; None for all until it is off.
    :param seconds: length of a delay.
    :param version: version that a bad version fault touches.
    :param quality: mean quality that a bad version falls to.
    :param one_in: a bad version fails one request in so many; 0 for none.
    :param where: ``header``, ``event`` or ``both`` for crossed answers.
    :param new_boot: whether turning cold changes the boot id.
    """

    model_config = pydantic.ConfigDict(extra="forbid")

    fault: str
    on: bool = True
    count: int | None = None
    seconds: float = 0.5
    version: str = ""
    quality: float | None = None
    one_in: int = 0
    where: str = "both"
    new_boot: bool = True


@dataclass(slots=True)
class ActiveFault:
    """Fault that touches some or all answers.

    :param left: answers that it still touches; None for all.
    :param order: order that switched it on.
    """

    left: int | None
    order: FaultOrder


class ActiveFaults:
    """Faults that are on, by name."""

    def __init__(self) -> None:
        self._held: dict[str, ActiveFault] = {}

    def set(self, order: FaultOrder) -> None:
        """Switch a fault on or off."""
        if order.on:
            self._held[order.fault] = ActiveFault(order.count, order)
        else:
            self._held.pop(order.fault, None)

    def consume(self, fault: str) -> FaultOrder | None:
        """Return the order of a fault that touches this answer, if on."""
        held = self._held.get(fault)
        if held is None:
            return None
        if held.left is not None:
            held.left -= 1
            if held.left <= 0:
                del self._held[fault]
        return held.order

    def peek(self, fault: str) -> FaultOrder | None:
        """Return the order of a fault without using it up."""
        held = self._held.get(fault)
        return held.order if held else None

    def as_json(self) -> dict[str, Any]:
        """Return the faults that are on."""
        return {
            name: held.order.model_dump() | {"left": held.left}
            for name, held in self._held.items()
        }


def crossed(request_id: str, attempt_id: str) -> tuple[str, str]:
    """Return the ids of an answer that belongs to another attempt."""
    return (f"other-{request_id}", f"other-{attempt_id}")
