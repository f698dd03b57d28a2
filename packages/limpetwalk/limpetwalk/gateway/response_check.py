"""Classifies a server's response by its status and headers."""

from collections.abc import Mapping
from dataclasses import dataclass

from . import ports
from . import retries

# Statuses that tell callers that the request has not run. A server confirms
# this by its own ``not_run`` header.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
MISDIRECTED = 421
UNAVAILABLE = 503


@dataclass(frozen=True, slots=True)
class Verdict:
    """Classification of a response's status and headers.

    :param outcome: why the response can't be used, or None when it can.
    :param detail: explanation for the log.
    :param final: whether the response may be passed on to the caller when no
        other attempt gives a better one.
    :param foreign: whether it belongs to another request, or comes from
        another server than was asked.
    """

    outcome: retries.Outcome | None
    detail: str = ""
    final: bool = False
    foreign: bool = False


def check_response(
    status: int,
    headers: Mapping[str, str],
    names: ports.HeaderNames,
    attempt: str,
) -> Verdict:
    """Classify a response by its status and headers.

    :param names: names of the headers to look for.
    :param attempt: identifier of the attempt that was sent; a response that
        echoes another one belongs to another request.
    """
    echoed = headers.get(names.attempt)
    if echoed is not None and echoed != attempt:
        return Verdict(
            retries.Outcome.UNKNOWN,
            f"answer of another request {echoed}",
            foreign=True,
        )
    if status == MISDIRECTED or names.not_run in headers:
        return Verdict(
            retries.Outcome.NOT_RUN,
            f"status {status}",
            foreign=status == MISDIRECTED,
        )
    sealed = names.seal in headers
    if not sealed or status in NOT_RUN_STATUSES:
        return Verdict(
            retries.Outcome.UNKNOWN, f"status {status}, sealed {sealed}"
        )
    if "Content-Encoding" in headers:
        return Verdict(retries.Outcome.UNKNOWN, "encoded body")
    if status >= 500:
        return Verdict(retries.Outcome.FAILED, f"status {status}", final=True)
    return Verdict(None, final=True)
