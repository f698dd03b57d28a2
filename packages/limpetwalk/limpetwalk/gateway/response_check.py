"""What the head of a server's answer says about the request."""

from collections.abc import Mapping
from dataclasses import dataclass

from . import ports
from . import retries

# Statuses that promise callers that the request has not run. A server
# backs the promise by a header of its own.
PROMISES = frozenset((408, 421, 429, 503))
MISDIRECTED = 421


@dataclass(frozen=True, slots=True)
class Verdict:
    """Judgement of an answer's head.

    :param outcome: why the answer does not serve, or None when it does.
    :param detail: what was found, for the log.
    :param final: whether it may be passed on when nothing better comes.
    """

    outcome: retries.Outcome | None
    detail: str = ""
    final: bool = False


def check_response(
    status: int,
    headers: Mapping[str, str],
    names: ports.HeaderNames,
    attempt: str,
) -> Verdict:
    """Judge the head of an answer.

    :param attempt: identifier of the request that was sent.
    """
    if status == MISDIRECTED or names.not_run in headers:
        return Verdict(retries.Outcome.NOT_RUN, f"status {status}")
    echoed = headers.get(names.attempt)
    if echoed is not None and echoed != attempt:
        return Verdict(
            retries.Outcome.UNKNOWN, f"answer of another request {echoed}"
        )
    sealed = names.seal in headers
    if not sealed or status in PROMISES:
        return Verdict(
            retries.Outcome.UNKNOWN, f"status {status}, sealed {sealed}"
        )
    if "Content-Encoding" in headers:
        return Verdict(retries.Outcome.UNKNOWN, "encoded body")
    if status >= 500:
        return Verdict(retries.Outcome.FAILED, f"status {status}", final=True)
    return Verdict(None, final=True)
