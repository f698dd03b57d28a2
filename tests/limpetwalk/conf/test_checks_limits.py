"""Tests of the warnings of limits that contradict each other."""

from . import sites


class TuningCase(sites.FolderCase):
    def tuning(self, text: str) -> list[tuple[str, str]]:
        """Return the warnings of the small site with a section of tuning."""
        return self.warnings(("zones:\n", f"tuning: {{{text}}}\nzones:\n"))


class TimeoutsTest(TuningCase):
    def test_timeout_that_another_one_ends_is_found(self) -> None:
        for text, key in (
            ("connect_timeout: 5", "connect_timeout"),
            ("first_token_timeout: 60", "first_token_timeout"),
            ("token_gap_timeout: 61", "token_gap_timeout"),
            ("rating_timeout: 60", "rating_timeout"),
        ):
            with self.subTest(text):
                self.assertEqual(
                    self.tuning(text),
                    [("timeout-without-effect", f"tuning.{key}")],
                )

    def test_timeout_just_below_is_not(self) -> None:
        for text in (
            "connect_timeout: 4.9",
            "first_token_timeout: 59",
            "token_gap_timeout: 59",
            "rating_timeout: 59",
        ):
            with self.subTest(text):
                self.assertEqual(self.tuning(text), [])

    def test_service_that_ends_before_its_connection_is_found(self) -> None:
        for seconds, expected in (
            ("0.5", [("timeout-without-effect", "services.orders.timeout")]),
            ("0.6", []),
        ):
            with self.subTest(seconds):
                service = f"  orders:\n    timeout: {seconds}\n    routes"
                self.assertEqual(
                    self.warnings(("  orders:\n    routes", service)), expected
                )


class RecordsTest(TuningCase):
    def test_record_that_ends_before_its_request_is_found(self) -> None:
        self.assertEqual(
            self.tuning("record_ttl: 10"),
            [("record-too-short", "services.orders.timeout")],
        )

    def test_record_that_outlives_its_request_is_not(self) -> None:
        self.assertEqual(self.tuning("record_ttl: 10.5"), [])

    def test_service_without_records_is_not(self) -> None:
        self.assertEqual(
            self.warnings(
                ("zones:\n", "tuning: {record_ttl: 10}\nzones:\n"),
                ("idempotent: false", "idempotent: true"),
            ),
            [],
        )


class BodiesTest(TuningCase):
    def test_body_that_memory_can_not_hold_is_found(self) -> None:
        self.assertEqual(
            self.tuning("body_limit_bytes: 201, bodies_limit_bytes: 300"),
            [("body-above-memory", "tuning.body_limit_bytes")],
        )

    def test_body_that_just_fits_is_not(self) -> None:
        self.assertEqual(
            self.tuning("body_limit_bytes: 200, bodies_limit_bytes: 300"), []
        )
