"""Match of a plain service's declared routes."""

from .. import refusals
from ..conf import snapshot

_UNSAFE = ("%2f", "%5c", "%2e")


def match_route(
    service: snapshot.Service, method: str, path: str
) -> snapshot.ServiceRoute:
    """Return the declared route of a call.

    Segments are compared as they were sent, so an encoded spelling of a
    declared path does not match it and can't pass for another route.

    :param path: path below the service, without query, as it was sent.
    :raises Refused: when no declared route matches.
    """
    segments = path.removeprefix("/").split("/")
    if _is_safe(segments):
        for route in service.routes:
            if route.method == method and _matches(route.path, segments):
                return route
    raise refusals.Refused(
        refusals.Refusal(
            refusals.Reason.UNKNOWN_ROUTE,
            refusals.RunState.NOT_RUN,
            404,
            f"Service {service.name} declares no route {method} {path!r}.",
        )
    )


def _is_safe(segments: list[str]) -> bool:
    for segment in segments:
        lowered = segment.lower()
        if segment in ("", ".", ".."):
            return False
        if any(code in lowered for code in _UNSAFE):
            return False
    return True


def _matches(declared: str, segments: list[str]) -> bool:
    pattern = declared.strip("/").split("/")
    if len(pattern) != len(segments):
        return False
    return all(
        want in ("*", got) for want, got in zip(pattern, segments, strict=True)
    )
