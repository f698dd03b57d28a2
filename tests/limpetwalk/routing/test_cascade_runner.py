"""Tests of the execution of cascades."""

import asyncio
import dataclasses
import random
import unittest

from limpetwalk import metrics as metrics_module
from limpetwalk import refusals
from limpetwalk import registry
from limpetwalk.backends import base as backends
from limpetwalk.conf import snapshot
from limpetwalk.routing import answers
from limpetwalk.routing import cascade_runner
from limpetwalk.routing import dispatch_refusals
from limpetwalk.routing import planner
from tests.limpetwalk_node import fakes


class CascadeTestCase(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.config = fakes.FakeConfig()
        self.engines = fakes.FakeEngines()
        self.ratings = fakes.FakeRatings()
        self.metrics = metrics_module.Metrics()
        self.clock = fakes.SkewedClock()
        self.runner = cascade_runner.CascadeRunner(
            self.config.current,
            self.engines,
            self.ratings,
            self.clock,
            self.metrics,
            random.Random(1),
            self,
        )
        self.observed = []

    def finished(self, target):
        self.observed.append((target.model, "finished"))

    def failed(self, target):
        self.observed.append((target.model, "failed"))

    def rated(self, target, score):
        self.observed.append((target.model, score))

    def job(self, cascade="assistant", remaining=60.0):
        return answers.AnswerRequest(
            request_id="r",
            workspace="bercvar",
            cascade=cascade,
            request_class="default",
            body={},
            question="q",
            session=None,
            deadline=self.clock.monotonic() + remaining,
        )

    async def steps(self, job=None):
        events = [
            event async for event in self.runner.answer(job or self.job())
        ]
        self.assertIsInstance(events[0], answers.Started)
        self.assertIsInstance(events[-1], answers.Answered)
        self.assertEqual(events[0].target, events[-1].target)
        return [step.model for step in events[-1].steps]

    def use_policy(self, name):
        cascades = dict(self.config.applied.snapshot.cascades)
        cascades["assistant"] = dataclasses.replace(
            cascades["assistant"], policy=name
        )
        self.config.change(cascades=cascades)


class Steps(CascadeTestCase):
    async def test_rating_decides_whether_to_escalate(self):
        self.assertEqual(["small"], await self.steps())
        self.ratings.scores["small"] = 0.2
        self.assertEqual(["small", "large"], await self.steps())

    async def test_unavailable_rating_service_leads_to_the_strongest(self):
        self.ratings.available = False
        self.assertEqual(["small", "large"], await self.steps())
        unrated = self.metrics.value("limpetwalk_ratings_unavailable_total")
        self.assertEqual(1, unrated)

    async def test_trusted_option_answers_without_ratings(self):
        registry.load_plugins(["limpetwalk.routing.adaptive"])
        self.use_policy("adaptive")
        for _ in range(80):
            await self.steps()
        self.ratings.available = False
        step_lists = [await self.steps() for _ in range(20)]
        self.assertNotIn(["small", "large"], step_lists)
        self.assertIn(["small"], step_lists)

    async def test_short_deadline_starts_with_the_strongest(self):
        duration = self.config.applied.snapshot.tuning.rating_timeout
        remaining = planner.ESCALATION_MARGIN * duration
        self.assertEqual(
            ["large"], await self.steps(self.job(remaining=remaining - 0.1))
        )
        self.assertEqual(
            ["small"], await self.steps(self.job(remaining=remaining + 5.0))
        )

    async def test_unknown_policy_uses_the_strongest(self):
        self.use_policy("of a later release")
        self.assertEqual(["large"], await self.steps())

    async def test_model_that_the_workspace_may_not_use_is_left_out(self):
        workspaces = dict(self.config.applied.snapshot.workspaces)
        workspaces["bercvar"] = dataclasses.replace(
            workspaces["bercvar"], models=frozenset({"large"})
        )
        self.config.change(workspaces=workspaces)
        self.assertEqual(["large"], await self.steps())


class ChangesMeanwhile(CascadeTestCase):
    def withdraw(self, model, version):
        versions = self.config.applied.snapshot.models[model].versions
        versions[version] = snapshot.VersionState.WITHDRAWN

    async def test_withdrawal_while_the_draft_is_rated(self):
        self.ratings.scores["small"] = 0.2
        rate = self.ratings.rate

        async def withdraw(req, timeout):
            self.withdraw("large", "v1")
            return await rate(req, timeout)

        self.ratings.rate = withdraw
        with self.assertRaises(refusals.Refused) as caught:
            await self.steps()
        refusal = caught.exception.refusal
        self.assertEqual(refusals.Reason.VERSION_WITHDRAWN, refusal.reason)
        self.assertEqual(refusals.RunState.RUN, refusal.run_state)
        self.assertEqual(1, len(self.engines.work_items))

    async def test_check_of_the_work_applies_a_later_denial(self):
        await self.steps()
        (item,) = self.engines.work_items
        item.check()
        self.config.change(workspaces={})
        with self.assertRaises(refusals.Refused) as caught:
            item.check()
        reason = caught.exception.refusal.reason
        self.assertEqual(refusals.Reason.WRONG_KEY, reason)

    async def test_closing_the_answer_cancels_the_engine(self):
        self.engines.gate = asyncio.Event()
        events = self.runner.answer(self.job("strong"))
        await anext(events)
        await anext(events)
        await events.aclose()
        self.assertTrue(self.engines.cancelled.is_set())


class Observations(CascadeTestCase):
    async def test_each_step_and_rating_is_reported(self):
        self.ratings.scores["small"] = 0.2
        await self.steps()
        expected = [("small", "finished"), ("small", 0.2)]
        self.assertEqual([*expected, ("large", "finished")], self.observed)

    async def test_failure_before_a_successful_retry_is_reported(self):
        kind = backends.FailureKind
        cases = [
            (kind.SERVER_ERROR, "failed"),
            (kind.TRUNCATED, "failed"),
            (kind.SILENT, "failed"),
            (kind.CONNECTION_LOST, "failed"),
            (kind.CONNECT_FAILED, "finished"),
            (kind.OVERLOADED, "finished"),
            (kind.NOT_RUN, "finished"),
        ]
        complete = self.engines.complete
        for failure, expected in cases:
            with self.subTest(failure):

                async def retried(item, failure=failure):
                    item.on_failure(failure)
                    async for event in complete(item):
                        yield event

                self.observed.clear()
                self.engines.complete = retried
                await self.steps(self.job("strong"))
                self.assertEqual([("large", expected)], self.observed)

    async def test_refusals_by_fault_of_the_version_are_reported(self):
        reason = refusals.Reason
        state = refusals.RunState
        cases = [
            (reason.DEADLINE_EXCEEDED, state.UNKNOWN, ["failed"]),
            (reason.DEADLINE_EXCEEDED, state.NOT_RUN, []),
            (reason.MALFORMED_BODY, state.UNKNOWN, []),
            (reason.QUEUE_FULL, state.NOT_RUN, []),
        ]
        for refusal_reason, run, expected in cases:
            with self.subTest(refusal_reason, run=run):
                self.observed.clear()
                self.engines.failure = dispatch_refusals.build_refused(
                    refusal_reason, run, "x"
                )
                with self.assertRaises(refusals.Refused):
                    await self.steps(self.job("strong"))
                self.assertEqual(
                    [("large", e) for e in expected], self.observed
                )
