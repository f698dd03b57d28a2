"""Composition of the node from its parts."""

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
import random
from typing import Any

from limpetwalk import clock as clocks
from limpetwalk import metrics as measures
from limpetwalk.conf import snapshot
from limpetwalk.ledger import base as ledger
from limpetwalk.providers import base as platform
from limpetwalk.records import base as records
from limpetwalk.routing import cascade_runner

from . import lifecycle
from . import protocols
from . import sessions
from .api import callers
from .api import chat
from .api import services
from .billing import answer_biller
from .operations import operators
from .records import non_idempotent_runner
from .records import record_resolver
from .records import record_writer


@dataclass(frozen=True, slots=True)
class Parts:
    """Parts that the callers' API and operators' interface are built on.

    :param name: name of the node.
    :param holder: name under which it claims records.
    :param config: configuration in force.
    :param offer: takes the snapshot of an accepted generation.
    :param engines: runs steps at model engines.
    :param services: calls plain services.
    :param ratings: rating service, or None without one.
    :param records: durable records.
    :param biller: writes bill entries.
    :param is_live: tells whether a holder of records is still at work.
    :param ask: asks the backend server for the outcome of a record.
    :param is_full: tells whether so many bill entries are held that no more
        work may be taken.
    :param status: returns what ``/status`` shows.
    :param waits: bounds of a repeat's wait for the run under way.
    :param retries: bound of the tries to note the end of a run.
    :param observer: told of the outcomes of cascades' steps.
    """

    name: str
    holder: str
    config: protocols.ConfigSource
    offer: Callable[[int, bytes], Awaitable[bool]]
    engines: cascade_runner.Engines
    services: protocols.ServiceCaller
    ratings: platform.RatingService | None
    records: records.RecordStore
    biller: ledger.Biller
    is_live: Callable[[str], bool]
    ask: record_resolver.FetchAnswer
    is_full: Callable[[], bool]
    status: Callable[[lifecycle.Lifecycle], dict[str, Any]]
    clock: clocks.Clock
    metrics: measures.Metrics
    rng: random.Random
    waits: non_idempotent_runner.WaitLimits = (
        non_idempotent_runner.WaitLimits()
    )
    retries: record_writer.WriteRetries = record_writer.WriteRetries()
    observer: cascade_runner.StepObserver | None = None


@dataclass(frozen=True, slots=True)
class Interfaces:
    """Both interfaces of a node with the state that they share."""

    node_lifecycle: lifecycle.Lifecycle
    callers: callers.Callers
    operators: operators.Operators


def compose(held: Parts) -> Interfaces:
    """Return the interfaces of a node that has these parts."""
    node_lifecycle = lifecycle.Lifecycle()
    api = callers.Callers(
        held.config,
        node_lifecycle,
        held.is_full,
        held.clock,
        held.metrics,
        held.rng,
    )
    bills_ = answer_biller.AnswerBiller(
        held.name, held.biller, node_lifecycle, held.clock, held.metrics
    )
    api.add("POST", "/v1/chat/completions", _chat(held, bills_))
    api.add("GET", "/v1/models", sessions.list_models)
    api.add("POST", "/v1/sessions", sessions.OpenSession(held.rng))
    flow = _record_flow(held, bills_, node_lifecycle)
    plain = services.PlainServices(
        _in_force(held.config),
        held.services,
        flow,
        bills_,
        held.clock,
        held.metrics,
    )
    api.add_prefix(services.SERVICES_PREFIX, plain)
    outcomes = services.Outcomes(held.records, flow)
    api.add_prefix(services.OUTCOMES_PREFIX, outcomes)
    interface = operators.Operators(
        held.config,
        node_lifecycle,
        held.metrics,
        lambda: held.status(node_lifecycle),
        held.offer,
    )
    return Interfaces(node_lifecycle, api, interface)


def _chat(
    held: Parts, bills_: answer_biller.AnswerBiller
) -> chat.ChatCompletions:
    runner = cascade_runner.CascadeRunner(
        _in_force(held.config),
        held.engines,
        held.ratings,
        held.clock,
        held.metrics,
        held.rng,
        held.observer,
    )
    return chat.ChatCompletions(runner, bills_, held.clock, held.metrics)


def _record_flow(
    held: Parts,
    bills_: answer_biller.AnswerBiller,
    node_lifecycle: lifecycle.Lifecycle,
) -> non_idempotent_runner.NonIdempotentRunner:
    notes = record_writer.RecordWriter(
        held.records, node_lifecycle, held.metrics, held.retries
    )
    return non_idempotent_runner.NonIdempotentRunner(
        held.holder,
        held.records,
        held.services,
        notes,
        bills_,
        node_lifecycle,
        held.is_live,
        record_resolver.RecordResolver(held.ask, notes, bills_),
        held.clock,
        held.waits,
    )


def _in_force(
    config: protocols.ConfigSource,
) -> Callable[[], snapshot.AppliedSnapshot]:
    def current() -> snapshot.AppliedSnapshot:
        applied = config.current()
        # Requests are only taken in while there is a configuration.
        assert applied is not None
        return applied

    return current
