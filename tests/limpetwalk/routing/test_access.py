"""Tests of the access checks and of the routes of plain services."""

import dataclasses
import unittest

from limpetwalk import refusals
from limpetwalk.conf import snapshot
from limpetwalk.routing import access
from limpetwalk.routing import attempts
from limpetwalk.routing import service_routes

LIVE = snapshot.VersionState.LIVE
WITHDRAWN = snapshot.VersionState.WITHDRAWN


def workspace(**changes):
    base = snapshot.Workspace(
        name="w",
        key_digests=(),
        cascades=frozenset({"quick"}),
        models=frozenset({"small", "large"}),
        services=frozenset({"registry"}),
        rate=1.0,
        concurrency=1,
        priority=0,
    )
    return dataclasses.replace(base, **changes)


def config(declared=None, state=LIVE):
    return snapshot.Snapshot(
        digest="",
        models={"small": snapshot.Model("small", {"v1": state}, "v1", 1, 1)},
        servers={},
        cascades={
            name: snapshot.Cascade(name, "fixed", ("small", "large"), 0.5)
            for name in ("quick", "review")
        },
        services={"registry": SERVICE},
        workspaces={"w": declared or workspace()},
        rollouts={},
        zones={},
        session_keys=(),
        tuning=snapshot.Tuning(),
    )


SERVICE = snapshot.Service(
    "registry",
    (
        snapshot.ServiceRoute("GET", "/owners/*/fees", True),
        snapshot.ServiceRoute("POST", "/payments", False),
    ),
    5.0,
)
SMALL = snapshot.ModelVersion("small", "v1")


class RefusalTestCase(unittest.TestCase):
    def assert_refused(self, reason, call, *args):
        with self.assertRaises(refusals.Refused) as caught:
            call(*args)
        self.assertEqual(reason, caught.exception.refusal.reason)
        self.assertEqual(
            refusals.RunState.NOT_RUN, caught.exception.refusal.run_state
        )


class VersionAccess(RefusalTestCase):
    def test_allowed(self):
        access.check_version(config(), "w", "quick", SMALL)

    def test_reasons_of_refusals(self):
        reason = refusals.Reason
        cases = [
            (config(), "other", "quick", SMALL, reason.WRONG_KEY),
            (config(), "w", "none", SMALL, reason.UNKNOWN_MODEL),
            (config(), "w", "review", SMALL, reason.MODEL_NOT_ALLOWED),
            (
                config(workspace(models=frozenset({"large"}))),
                "w",
                "quick",
                SMALL,
                reason.MODEL_NOT_ALLOWED,
            ),
            (
                config(workspace(models=frozenset())),
                "w",
                "quick",
                SMALL,
                reason.MODEL_NOT_ALLOWED,
            ),
            (
                config(state=WITHDRAWN),
                "w",
                "quick",
                SMALL,
                reason.VERSION_WITHDRAWN,
            ),
            (
                config(),
                "w",
                "quick",
                snapshot.ModelVersion("small", "v9"),
                reason.VERSION_WITHDRAWN,
            ),
        ]
        for number, (cfg, name, cascade, target, expected) in enumerate(cases):
            with self.subTest(case=number):
                self.assert_refused(
                    expected, access.check_version, cfg, name, cascade, target
                )

    def test_refusal_after_an_attempt_that_ran_keeps_its_reason(self):
        earlier_attempts = attempts.Attempts("r", 1.0)
        earlier_attempts.run_state = refusals.RunState.RUN
        try:
            access.check_version(config(), "other", "quick", SMALL)
        except refusals.Refused as exc:
            refusal = earlier_attempts.with_run_state(exc).refusal
        self.assertEqual(refusals.Reason.WRONG_KEY, refusal.reason)
        self.assertEqual(refusals.RunState.RUN, refusal.run_state)


class ServiceAccess(RefusalTestCase):
    def test_allowed(self):
        access.check_service(config(), "w", "registry")

    def test_denied(self):
        denied = config(workspace(services=frozenset()))
        self.assert_refused(
            refusals.Reason.SERVICE_NOT_ALLOWED,
            access.check_service,
            denied,
            "w",
            "registry",
        )
        self.assert_refused(
            refusals.Reason.UNKNOWN_SERVICE,
            access.check_service,
            config(),
            "w",
            "orders",
        )


class ServiceRoutes(RefusalTestCase):
    def test_declared_routes_match(self):
        cases = [
            ("GET", "owners/7/fees", True),
            ("GET", "/owners/a%20b/fees", True),
            ("POST", "payments", False),
        ]
        for method, path, idempotent in cases:
            with self.subTest(path=path):
                route = service_routes.match_route(SERVICE, method, path)
                self.assertEqual(idempotent, route.idempotent)

    def test_undeclared_paths_are_refused(self):
        cases = [
            ("PUT", "payments"),
            ("post", "payments"),
            ("POST", "Payments"),
            ("POST", "pay%6dents"),
            ("POST", "x/../payments"),
            ("GET", "owners/../fees"),
            ("GET", "owners/%2e%2e/fees"),
            ("GET", "owners/a%2fb/fees"),
            ("GET", "owners//fees"),
            ("GET", "owners/7/fees/8"),
            ("GET", ""),
            ("POST", "payments/"),
            ("POST", "//payments"),
        ]
        for method, path in cases:
            with self.subTest(method=method, path=path):
                self.assert_refused(
                    refusals.Reason.UNKNOWN_ROUTE,
                    service_routes.match_route,
                    SERVICE,
                    method,
                    path,
                )
