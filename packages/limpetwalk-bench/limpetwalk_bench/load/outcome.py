"""Requests of a load run and their outcomes."""

from dataclasses import dataclass
from dataclasses import field


@dataclass(slots=True)
class PlannedRequest:
    """Request that the load tool will send.

    :param number: position in the run.
    :param at: arrival time, in seconds after the start.
    :param caller: workspace that sends it.
    :param request_class: name of its class.
    :param key: idempotency key.
    :param seed: seed of the random choices made for this request.
    """

    number: int
    at: float
    caller: str
    request_class: str
    key: str
    seed: int


@dataclass(slots=True)
class Outcome:
    """Outcome of one request as its caller recorded it.

    :param plan: request as planned.
    :param status: HTTP status code; 0 when the connection failed.
    :param reason: ``answered``, the refusal's reason, or ``connection``.
    :param run: whether the request was executed, as the refusal states;
        empty for an answer.
    :param complete: whether the answer came with its terminal event.
    :param own: whether the answer contains the tag of this request.
    :param tokens: completion tokens that the answer reports.
    :param first_token: seconds until the first token of a stream; None
        without one.
    :param latency: seconds until the end.
    :param attempts: number of times that the caller tried to send it.
    :param version: model version that answered, as the router reports.
    :param session: token of the session to which it belongs.
    :param gaps: seconds between consecutive tokens of a stream.
    """

    plan: PlannedRequest
    status: int = 0
    reason: str = "connection"
    run: str = ""
    complete: bool = False
    own: bool = False
    tokens: int = 0
    first_token: float | None = None
    latency: float = 0.0
    attempts: int = 0
    version: str = ""
    session: str = ""
    gaps: list[float] = field(default_factory=list)

    @property
    def answered(self) -> bool:
        """Whether the caller got a complete answer."""
        return self.reason == "answered" and self.complete
