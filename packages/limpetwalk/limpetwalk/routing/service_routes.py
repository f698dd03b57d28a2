"""Matching of calls against the declared routes of a plain service."""

from .. import refusals
from ..conf import snapshot

# Encoded slash, backslash and dot.
_UNSAFE_ENCODINGS = ("%2f", "%5c", "%2e")


def match_route(
    service: snapshot.Service, method: str, path: str
) -> snapshot.ServiceRoute:
    """Return the declared route of a call.

    Segments are compared as sent, without decoding. An encoded form of a
    declared path therefore does not match, and a path cannot match a route
    other than the one that the service would see.

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
        if any(code in lowered for code in _UNSAFE_ENCODINGS):
            return False
    return True


def _matches(declared: str, segments: list[str]) -> bool:
    pattern = declared.strip("/").split("/")
    if len(pattern) != len(segments):
        return False
    return all(
        expected in ("*", segment)
        for expected, segment in zip(pattern, segments, strict=True)
    )
