"""Settings of the stand-in of a plain service."""

import pydantic


class RouteSettings(pydantic.BaseModel):
    """Route of the service.

    :param method: HTTP method.
    :param path: path; the segment ``*`` matches any one segment.
    :param idempotent: whether a request may run more than once.
    """

    model_config = pydantic.ConfigDict(extra="forbid")

    method: str
    path: str
    idempotent: bool

    def matches(self, method: str, path: str) -> bool:
        """Whether the method and path of a request match this route."""
        if method != self.method:
            return False
        pattern = self.path.split("/")
        segments = path.split("/")
        if len(pattern) != len(segments):
            return False
        pairs = zip(pattern, segments, strict=True)
        return all(expected in ("*", segment) for expected, segment in pairs)


class ServiceSettings(pydantic.BaseModel):
    """Settings; durations are scaled by ``time_scale``.

    :param name: name shown in answers.
    :param host: IP number to listen on.
    :param port: port of the service, 0 for any.
    :param control_port: port of the control interface, which stays up when
        the service crashes.
    :param seed: seed of random faults.
    :param time_scale: factor on every duration.
    :param routes: routes that it serves.
    :param key_field: field of a JSON body with the business key.
    :param work_ms: time until a request takes effect.
    :param answer_ms: time from the effect to the answer.
    :param keep_outcomes: whether answers are kept for ``/outcome``.
    :param start_cold: whether the service is cold when it starts.
    :param cold_allowance: maximum number of requests in flight while cold.
    :param cold_factor: factor on the run and answer time of a cold service.
    :param warm_after: seconds from the first request until it is warm.
    :param restart_delay: seconds until it restarts by itself after a crash;
        None waits for the control interface.
    :param poison_marker: text in a body that crashes the service.
    """

    model_config = pydantic.ConfigDict(extra="forbid")

    name: str = "service"
    host: str = "127.0.0.1"
    port: int = 0
    control_port: int = 0
    seed: int = 1
    time_scale: float = pydantic.Field(default=1.0, gt=0)
    routes: list[RouteSettings] = [
        RouteSettings(method="GET", path="/status", idempotent=True),
        RouteSettings(method="GET", path="/items/*", idempotent=True),
        RouteSettings(method="PUT", path="/items/*", idempotent=True),
        RouteSettings(method="POST", path="/payments", idempotent=False),
        RouteSettings(method="POST", path="/orders", idempotent=False),
    ]
    key_field: str = "reference"
    work_ms: float = 5.0
    answer_ms: float = 1.0
    keep_outcomes: bool = True
    start_cold: bool = False
    cold_allowance: int = 4
    cold_factor: float = 3.0
    warm_after: float = 5.0
    restart_delay: float | None = None
    poison_marker: str = "[[crash]]"

    def route(self, method: str, path: str) -> RouteSettings | None:
        """Return the route that matches a request, or None."""
        for route in self.routes:
            if route.matches(method, path):
                return route
        return None
