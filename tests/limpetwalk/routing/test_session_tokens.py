"""Tests of session tokens and of the version that a session starts on."""

import dataclasses
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from limpetwalk import refusals
from limpetwalk.conf import snapshot
from limpetwalk.routing import rollout_share
from limpetwalk.routing import session_tokens

KEY = snapshot.SessionKey("k1", "secret one")
OTHER = snapshot.SessionKey("k2", "secret two")
SESSION = session_tokens.Session(
    id="s1", workspace="bercvar", generation=3, versions={"small": "v1"}
)


class Token(unittest.TestCase):
    def assert_refused(self, keys, token, workspace="bercvar"):
        with self.assertRaises(refusals.Refused) as caught:
            session_tokens.verify_token(keys, token, workspace)
        refusal = caught.exception.refusal
        self.assertEqual(refusals.Reason.UNKNOWN_SESSION, refusal.reason)
        self.assertEqual(refusals.RunState.NOT_RUN, refusal.run_state)

    def test_round_trip(self):
        token = session_tokens.issue_token([KEY], SESSION)
        self.assertEqual(
            SESSION, session_tokens.verify_token([KEY], token, "bercvar")
        )

    def test_new_key_signs_and_the_old_one_still_verifies(self):
        old = session_tokens.issue_token([KEY], SESSION)
        new = session_tokens.issue_token([OTHER, KEY], SESSION)
        self.assertTrue(new.startswith("k2."))
        for token in (old, new):
            self.assertEqual(
                SESSION,
                session_tokens.verify_token([OTHER, KEY], token, "bercvar"),
            )

    def test_key_that_was_removed_is_refused(self):
        self.assert_refused(
            [OTHER], session_tokens.issue_token([KEY], SESSION)
        )

    def test_other_secret_under_the_same_key_name_is_refused(self):
        forged = snapshot.SessionKey("k1", "guess")
        self.assert_refused(
            [KEY], session_tokens.issue_token([forged], SESSION)
        )

    def test_token_of_another_workspace_is_refused(self):
        self.assert_refused(
            [KEY], session_tokens.issue_token([KEY], SESSION), "navarrete"
        )

    def test_issuing_without_a_configured_key_is_refused(self):
        with self.assertRaises(refusals.Refused) as caught:
            session_tokens.issue_token([], SESSION)
        self.assertEqual(
            refusals.Reason.NOT_READY, caught.exception.refusal.reason
        )

    def test_model_added_after_the_session_is_refused(self):
        with self.assertRaises(refusals.Refused):
            SESSION.version("large")

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(st.text(max_size=60))
    def test_any_text_is_refused(self, token):
        self.assert_refused([KEY], token)

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(st.data())
    def test_any_changed_character_is_refused(self, data):
        token = session_tokens.issue_token([KEY], SESSION)
        position = data.draw(st.integers(0, len(token) - 1))
        # The last character of unpadded base64 has unused bits, so changing it
        # may leave the decoded value unchanged.
        if position in (len(token) - 1, token.rindex(".") - 1):
            return
        new = data.draw(st.characters(max_codepoint=127))
        if new != token[position]:
            self.assert_refused(
                [KEY], token[:position] + new + token[position + 1 :]
            )


class Share(unittest.TestCase):
    def setUp(self):
        live = snapshot.VersionState.LIVE
        self.model = snapshot.Model(
            "small", {"v1": live, "v2": live, "v3": live}, "v1", 1, 1
        )

    def choose(self, subject, share=0.3, **changes):
        rollout = snapshot.Rollout(
            name="r",
            model="small",
            base="v2",
            candidate="v3",
            share=share,
            state=snapshot.RolloutState.RUNNING,
            guard="sequential",
        )
        rollout = dataclasses.replace(rollout, **changes)
        cfg = snapshot.Snapshot(
            digest="",
            models={"small": self.model},
            servers={},
            cascades={},
            services={},
            workspaces={},
            rollouts={"r": rollout},
            zones={},
            session_keys=(),
            tuning=snapshot.Tuning(),
        )
        return rollout_share.choose_version(cfg, self.model, subject)

    def test_share_of_subjects(self):
        chosen = [self.choose(f"s{n}") for n in range(4000)]
        self.assertEqual({"v2", "v3"}, set(chosen))
        self.assertAlmostEqual(0.3, chosen.count("v3") / 4000, delta=0.03)

    def test_share_of_none_and_of_all(self):
        subjects = [f"s{n}" for n in range(200)]
        self.assertEqual({"v2"}, {self.choose(s, 0.0) for s in subjects})
        self.assertEqual({"v3"}, {self.choose(s, 1.0) for s in subjects})

    def test_growing_share_keeps_subjects_on_the_candidate(self):
        for number in range(500):
            subject = f"s{number}"
            if self.choose(subject, 0.2) == "v3":
                self.assertEqual("v3", self.choose(subject, 0.4))

    def test_only_a_running_roll_out_counts(self):
        for state in snapshot.RolloutState:
            running = state is snapshot.RolloutState.RUNNING
            with self.subTest(state=state):
                chosen = self.choose("s", 1.0, state=state)
                self.assertEqual("v3" if running else "v1", chosen)

    def test_withdrawn_versions_are_not_chosen(self):
        withdrawn = snapshot.VersionState.WITHDRAWN
        self.model.versions["v3"] = withdrawn
        self.assertEqual("v2", self.choose("s", 1.0))
        self.model.versions["v2"] = withdrawn
        self.assertEqual("v1", self.choose("s", 1.0))
