"""Plans of cascades: options, policy and first step of a request."""

from collections.abc import Callable
import random

from loguru import logger

from .. import clock as clocks
from .. import exceptions
from .. import registry
from ..conf import snapshot
from . import access
from . import answers
from . import cascade as policies
from . import rollout_share

DURATION_DECAY = 0.9
# A request starts with a cheaper option only if the time before the deadline
# is this many times the usual duration of both answers and the rating.
ESCALATION_MARGIN = 1.5


class Planner:
    """Plans cascades by the configuration in force.

    :param config: returns the configuration in force.
    :param clock: clock of deadlines.
    :param rng: random source of the policies.
    """

    def __init__(
        self,
        config: Callable[[], snapshot.AppliedSnapshot],
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self._config = config
        self._clock = clock
        self._rng = rng
        self._policies: dict[str, policies.CascadePolicy] = {}
        self._durations: dict[str, float] = {}

    def question(self, request: answers.AnswerRequest) -> policies.Question:
        """Return the question for the policy, with the options of a request.

        :raises Refused: when the workspace may use no model of the cascade.
        """
        cfg = self._config().snapshot
        workspace = access.get_workspace(cfg, request.workspace)
        cascade = access.get_cascade(cfg, workspace, request.cascade)
        options = []
        for name in access.allowed_models(workspace, cascade):
            model = cfg.models[name]
            options.append(
                policies.Option(
                    snapshot.ModelVersion(name, self._version(request, model)),
                    model.input_price,
                    model.output_price,
                )
            )
        return policies.Question(
            workspace.name,
            cascade.name,
            request.request_class,
            cascade.target,
            tuple(options),
        )

    def policy(self, request: answers.AnswerRequest) -> policies.CascadePolicy:
        """Return the policy of the cascade that was requested."""
        name = self._config().snapshot.cascades[request.cascade].policy
        if name not in self._policies:
            self._policies[name] = self._make_policy(name)
        return self._policies[name]

    def _make_policy(self, name: str) -> policies.CascadePolicy:
        """Return a new policy.

        An unknown policy is replaced by ``always_strong``, which keeps the
        quality of the answers.
        """
        try:
            factory = registry.get(registry.Kind.CASCADE_POLICY, name)
        except exceptions.UnknownPlugin as exc:
            logger.error("{}; using always_strong instead", exc)
            factory = policies.AlwaysStrong
        return factory(self._rng)

    def first_step(
        self,
        request: answers.AnswerRequest,
        question: policies.Question,
        policy: policies.CascadePolicy,
    ) -> policies.Step:
        """Return the first step.

        It is the strongest option when the time before the deadline is too
        short for an escalation.
        """
        step = policy.start(question)
        if step.rating is not policies.Rating.BEFORE_RELEASE:
            return step
        tuning = self._config().snapshot.tuning
        strongest = question.options[question.last].target.model
        first = question.options[step.index].target.model
        duration = tuning.rating_timeout + self._durations.get(first, 0.0)
        duration += self._durations.get(strongest, 0.0)
        if (
            request.deadline - self._clock.monotonic()
            < ESCALATION_MARGIN * duration
        ):
            return policies.Step(question.last, policies.Rating.NONE)
        return step

    def target(
        self, request: answers.AnswerRequest, option: policies.Option
    ) -> snapshot.ModelVersion:
        """Return the version of a step under the configuration in force."""
        cfg = self._config().snapshot
        model = cfg.models.get(option.target.model)
        if model is None:
            return option.target
        return snapshot.ModelVersion(model.name, self._version(request, model))

    def record_duration(self, model: str, seconds: float) -> None:
        """Record how long an answer of a model took."""
        average = self._durations.get(model, seconds)
        self._durations[model] = (
            DURATION_DECAY * average + (1 - DURATION_DECAY) * seconds
        )

    def _version(
        self, request: answers.AnswerRequest, model: snapshot.Model
    ) -> str:
        if request.session is not None:
            return request.session.version(model.name)
        cfg = self._config().snapshot
        return rollout_share.choose_version(cfg, model, request.request_id)
