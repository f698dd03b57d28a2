"""What requests may see while the operator changes things."""

import math
import unittest

from limpetwalk_bench.soak import operator_model

HELD = operator_model.Rules({"k": "w"}, {"r": False})
TAKEN = operator_model.Rules({}, {"r": False})
PUBLIC = operator_model.Rules({}, {"r": True})
DROPPED = operator_model.Rules({"k": "w"}, {})


class Allowed(unittest.TestCase):
    """Requests that one configuration allows."""

    def test_key_and_route_decide(self) -> None:
        for rules, key, allowed in (
            (HELD, "k", True),
            (HELD, "other", False),
            (HELD, "", False),
            (TAKEN, "k", False),
            (PUBLIC, "", True),
            (DROPPED, "k", False),
        ):
            with self.subTest(rules=rules, key=key):
                self.assertEqual(allowed, rules.allow("r", key))


class InForce(unittest.TestCase):
    """Configurations that may decide about a request."""

    def setUp(self) -> None:
        self.history = operator_model.History(HELD)
        self.history.write(TAKEN, 10.0, 10.1)
        self.history.write(PUBLIC, 20.0, 20.1)

    def test_node_in_touch_follows_in_time(self) -> None:
        for sent_at, ended_at, expected in (
            (9.0, 9.9, [HELD]),
            (9.0, 10.0, [HELD, TAKEN]),
            (13.0, 13.5, [HELD, TAKEN]),
            (13.2, 13.5, [TAKEN]),
            (19.0, 21.0, [TAKEN, PUBLIC]),
            (23.2, 24.0, [PUBLIC]),
        ):
            with self.subTest(sent_at=sent_at, ended_at=ended_at):
                self.assertEqual(
                    expected, self.history.in_force(sent_at, ended_at, True)
                )

    def test_node_out_of_touch_may_know_any_earlier_one(self) -> None:
        self.assertEqual(
            [HELD, TAKEN], self.history.in_force(19.0, 19.5, False)
        )


class Evacuated(unittest.TestCase):
    """Times in which the servers of a zone get nothing."""

    def test_bound(self) -> None:
        history = operator_model.History(HELD)
        history.evacuations.append(
            operator_model.Evacuation(frozenset(("s",)), 10.0, math.inf)
        )
        bound = 10.0 + operator_model.EVACUATE_TIME
        self.assertFalse(history.was_evacuated("s", bound))
        self.assertTrue(history.was_evacuated("s", bound + 0.1))
        self.assertFalse(history.was_evacuated("t", bound + 0.1))
        history.evacuations[0].removed_at = bound + 0.05
        self.assertFalse(history.was_evacuated("s", bound + 0.1))
