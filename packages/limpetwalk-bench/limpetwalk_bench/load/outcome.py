"""What became of each request of a load run."""

from dataclasses import dataclass
from dataclasses import field


@dataclass(slots=True)
class Planned:
    """Request that the load tool will send.

    :param number: position in the run.
    :param at: arrival, in seconds after the start.
    :param caller: workspace that sends it.
    :param request_class: name of its class.
    :param key: idempotency key.
    :param seed: seed of its own random choices.
    """

    number: int
    at: float
    caller: str
    request_class: str
    key: str
    seed: int


@dataclass(slots=True)
class Outcome:
    """Outcome of one request as its caller saw it.

    :param plan: the request.
    :param status: HTTP status code; 0 when the connection broke.
    :param reason: ``answered``, the refusal's reason, or ``connection``.
    :param run: what the refusal said of the run; empty for an answer.
    :param whole: whether the answer came with its terminal event.
    :param own: whether the answer belongs to this request.
    :param tokens: tokens of the answer.
    :param first_token: seconds to the first token; None without one.
    :param latency: seconds to the end.
    :param tries: times that the caller sent it.
    :param version: version that answered, as the router says.
    :param session: session token that it went on with.
    :param gaps: seconds between tokens of a stream.
    """

    plan: Planned
    status: int = 0
    reason: str = "connection"
    run: str = ""
    whole: bool = False
    own: bool = False
    tokens: int = 0
    first_token: float | None = None
    latency: float = 0.0
    tries: int = 0
    version: str = ""
    session: str = ""
    gaps: list[float] = field(default_factory=list)

    @property
    def answered(self) -> bool:
        """Whether the caller got a whole answer."""
        return self.reason == "answered" and self.whole
