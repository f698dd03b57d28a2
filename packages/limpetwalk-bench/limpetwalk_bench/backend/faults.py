"""Faults that the engine and service stand-ins can show at run time."""

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
    :param count: number of answers that it affects; None for all until it
        is switched off.
    :param seconds: length of a delay.
    :param version: version that a bad version fault affects; empty for all.
    :param quality: mean quality of a bad version's answers.
    :param one_in: on average one of this many requests fails; 0 fails no
        request of a bad version and every request of a plain service.
    :param where: place of the other ids in a crossed answer: ``header``,
        ``event`` or ``both``.
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
    """Fault that is switched on.

    :param remaining: number of answers that it still affects; None for all.
    :param order: order that switched it on.
    """

    remaining: int | None
    order: FaultOrder


class ActiveFaults:
    """Faults that are on, by name."""

    def __init__(self) -> None:
        self._active: dict[str, ActiveFault] = {}

    def set(self, order: FaultOrder) -> None:
        """Switch a fault on or off."""
        if order.on:
            self._active[order.fault] = ActiveFault(order.count, order)
        else:
            self._active.pop(order.fault, None)

    def consume(self, fault: str) -> FaultOrder | None:
        """Return the order of an active fault and count one answer for it.

        The fault is switched off after its last answer.

        :returns: None when the fault is not active.
        """
        active = self._active.get(fault)
        if active is None:
            return None
        if active.remaining is not None:
            active.remaining -= 1
            if active.remaining <= 0:
                del self._active[fault]
        return active.order

    def peek(self, fault: str) -> FaultOrder | None:
        """Return the order of an active fault without counting an answer."""
        active = self._active.get(fault)
        return active.order if active else None

    def as_json(self) -> dict[str, Any]:
        """Return the faults that are on."""
        return {
            name: active.order.model_dump() | {"left": active.remaining}
            for name, active in self._active.items()
        }


def crossed_ids(request_id: str, attempt_id: str) -> tuple[str, str]:
    """Return the ids of an answer that belongs to another attempt."""
    return (f"other-{request_id}", f"other-{attempt_id}")
