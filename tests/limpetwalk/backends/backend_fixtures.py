"""Servers, calls and fault orders shared by tests of backend clients."""

import time

from limpetwalk.backends import base
from limpetwalk.conf import snapshot
from limpetwalk_bench.backend import faults

VERSION = snapshot.ModelVersion("small", "v1")
TUNING = snapshot.Tuning(
    first_token_timeout=0.25, token_gap_timeout=0.25, connect_timeout=0.25
)
PATIENT = snapshot.Tuning(
    first_token_timeout=5.0, token_gap_timeout=5.0, connect_timeout=5.0
)


def server(
    name: str,
    port: int,
    service: str = "",
    zone: str = "z1",
    concurrency: int = 16,
    warmup: snapshot.WarmUp = snapshot.WarmUp(2, 0.0),
    state: snapshot.PlacementState = snapshot.PlacementState.IN,
    version: snapshot.ModelVersion = VERSION,
) -> snapshot.Server:
    """Return a declared backend server.

    :param name: name of the server.
    :param port: port on this machine.
    :param service: plain service that it runs; empty for a model engine.
    """
    kind = snapshot.ServerKind.ENGINE
    protocol = "openai"
    serves = frozenset([version])
    if service:
        kind = snapshot.ServerKind.SERVICE
        protocol = "plain"
        serves = frozenset()
    return snapshot.Server(
        name,
        kind,
        protocol,
        f"127.0.0.1:{port}",
        zone,
        state,
        serves,
        service,
        concurrency,
        warmup,
        True,
    )


def chat(text: str = "hello there", tokens: int = 6) -> dict:
    """Return a chat completion body."""
    return {
        "model": "assistant",
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": text}],
    }


def engine_call(
    body: dict | None = None,
    request_id: str = "r1",
    version: snapshot.ModelVersion = VERSION,
    timeout: float = 10.0,
    resume_from: int = 0,
) -> base.EngineCall:
    """Return an attempt at a model engine.

    :param timeout: time until the deadline, in seconds.
    """
    return base.EngineCall(
        request_id,
        f"{request_id}.1",
        version,
        body or chat(),
        1,
        time.monotonic() + timeout,
        resume_from,
    )


def service_call(
    method: str = "POST",
    path: str = "/payments",
    body: bytes = b'{"reference": "k1"}',
    request_id: str = "r1",
    timeout: float = 10.0,
) -> base.ServiceCall:
    """Return an attempt at a plain service.

    :param timeout: time until the deadline, in seconds.
    """
    return base.ServiceCall(
        request_id,
        f"{request_id}.1",
        method,
        path,
        {"Content-Type": "application/json"},
        body,
        time.monotonic() + timeout,
    )


def fault_order(fault: str, **values) -> faults.FaultOrder:
    """Return the order that makes a stand-in show a fault."""
    return faults.FaultOrder(fault=fault, **values)


async def apply_fault(stand_in, order: faults.FaultOrder) -> None:
    """Make a stand-in in this process show a fault."""
    if order.fault == "silent":
        stand_in.listener.silence()
    elif not await stand_in.apply(order):
        stand_in.active_faults.set(order)
