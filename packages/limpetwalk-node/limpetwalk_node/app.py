"""Composition of the node's HTTP interfaces from its components."""

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
from .api import caller_api
from .api import chat
from .api import services
from .billing import answer_biller
from .operations import operator_api
from .records import non_idempotent_runner
from .records import record_resolver
from .records import record_writer


@dataclass(frozen=True, slots=True)
class NodeComponents:
    """Components that the callers' API and the operators' interface use.

    :param name: name of the node.
    :param holder: name under which the node claims records.
    :param config: configuration in force.
    :param apply_config: applies the snapshot of an accepted generation;
        returns whether it is in force now.
    :param engines: runs cascade steps at model engines.
    :param services: calls plain services.
    :param ratings: rating service, or None without one.
    :param records: durable records.
    :param biller: writes bill entries.
    :param is_holder_live: returns whether a holder of records still runs.
    :param fetch_answer: asks the backend server for the answer of a record.
    :param is_full: returns whether this node stores so many unwritten bill
        entries that it may accept no more work.
    :param status: returns the body of ``/status``.
    :param clock: clock of the node.
    :param metrics: metrics of the process.
    :param rng: source of random identifiers and choices.
    :param wait_limits: bounds of the time a retry waits for a run in
        progress.
    :param write_retries: bounds of the retries to record the end of a run.
    :param observer: receives the outcomes of cascade steps, if set.
    """

    name: str
    holder: str
    config: protocols.ConfigSource
    apply_config: Callable[[int, bytes], Awaitable[bool]]
    engines: cascade_runner.EngineCaller
    services: protocols.ServiceCaller
    ratings: platform.RatingService | None
    records: records.RecordStore
    biller: ledger.Biller
    is_holder_live: Callable[[str], bool]
    fetch_answer: record_resolver.FetchAnswer
    is_full: Callable[[], bool]
    status: Callable[[lifecycle.Lifecycle], dict[str, Any]]
    clock: clocks.Clock
    metrics: measures.Metrics
    rng: random.Random
    wait_limits: non_idempotent_runner.WaitLimits = (
        non_idempotent_runner.WaitLimits()
    )
    write_retries: record_writer.WriteRetries = record_writer.WriteRetries()
    observer: cascade_runner.StepObserver | None = None


@dataclass(frozen=True, slots=True)
class Interfaces:
    """Both HTTP interfaces of a node and the lifecycle that they share."""

    node_lifecycle: lifecycle.Lifecycle
    callers: caller_api.CallerApi
    operators: operator_api.OperatorApi


def compose(components: NodeComponents) -> Interfaces:
    """Return the HTTP interfaces of a node, built from its components."""
    node_lifecycle = lifecycle.Lifecycle()
    api = caller_api.CallerApi(
        components.config,
        node_lifecycle,
        components.is_full,
        components.clock,
        components.metrics,
        components.rng,
    )
    answer_biller_ = answer_biller.AnswerBiller(
        components.name,
        components.biller,
        node_lifecycle,
        components.clock,
        components.metrics,
    )
    api.add(
        "POST",
        "/v1/chat/completions",
        _make_chat_endpoint(components, answer_biller_),
    )
    api.add("GET", "/v1/models", sessions.list_models)
    api.add("POST", "/v1/sessions", sessions.SessionEndpoint(components.rng))
    runner = _make_runner(components, answer_biller_, node_lifecycle)
    service_endpoint = services.ServiceEndpoint(
        _config_getter(components.config),
        components.services,
        runner,
        answer_biller_,
        components.clock,
        components.metrics,
    )
    api.add_prefix(services.SERVICES_PREFIX, service_endpoint)
    outcomes = services.OutcomeEndpoint(components.records, runner)
    api.add_prefix(services.OUTCOMES_PREFIX, outcomes)
    interface = operator_api.OperatorApi(
        components.config,
        node_lifecycle,
        components.metrics,
        lambda: components.status(node_lifecycle),
        components.apply_config,
    )
    return Interfaces(node_lifecycle, api, interface)


def _make_chat_endpoint(
    components: NodeComponents, answer_biller_: answer_biller.AnswerBiller
) -> chat.ChatCompletions:
    runner = cascade_runner.CascadeRunner(
        _config_getter(components.config),
        components.engines,
        components.ratings,
        components.clock,
        components.metrics,
        components.rng,
        components.observer,
    )
    return chat.ChatCompletions(
        runner, answer_biller_, components.clock, components.metrics
    )


def _make_runner(
    components: NodeComponents,
    answer_biller_: answer_biller.AnswerBiller,
    node_lifecycle: lifecycle.Lifecycle,
) -> non_idempotent_runner.NonIdempotentRunner:
    record_writer_ = record_writer.RecordWriter(
        components.records,
        node_lifecycle,
        components.metrics,
        components.write_retries,
    )
    return non_idempotent_runner.NonIdempotentRunner(
        components.holder,
        components.records,
        components.services,
        record_writer_,
        answer_biller_,
        node_lifecycle,
        components.is_holder_live,
        record_resolver.RecordResolver(
            components.fetch_answer, record_writer_, answer_biller_
        ),
        components.clock,
        components.wait_limits,
    )


def _config_getter(
    config: protocols.ConfigSource,
) -> Callable[[], snapshot.AppliedSnapshot]:
    def current() -> snapshot.AppliedSnapshot:
        applied = config.current()
        # Requests are only admitted while there is a configuration.
        assert applied is not None
        return applied

    return current
