"""The fault matrix is complete and names only tests that exist."""

import importlib
import pathlib
import unittest

import pydantic

from limpetwalk_bench import matrix

ROOT = pathlib.Path(__file__).parents[2]
MATRIX = ROOT / "tests" / "matrix" / "matrix.yaml"
PAGE = ROOT / "docs" / "fault-matrix.md"


def _exists(test: str) -> bool:
    module, cls, method = test.rsplit(".", 2)
    try:
        case = getattr(importlib.import_module(module), cls, None)
    except ModuleNotFoundError:
        return False
    return (
        isinstance(case, type)
        and issubclass(case, unittest.TestCase)
        and method.startswith(("test", "runTest"))
        and callable(getattr(case, method, None))
    )


class MatrixTest(unittest.TestCase):
    """Tests of the matrix as it is kept."""

    def test_named_tests_exist(self) -> None:
        tests = matrix.load_matrix(MATRIX).tests()
        self.assertEqual([], [test for test in tests if not _exists(test)])

    def test_page_is_what_the_matrix_renders(self) -> None:
        page = matrix.render(matrix.load_matrix(MATRIX))
        self.assertEqual(page, PAGE.read_text("utf-8"))


class ModelTest(unittest.TestCase):
    """Tests of what a matrix may hold."""

    CASES = (
        ("empty cell", [{"at": matrix.STEPS[1:], "open": "x"}], "empty"),
        ("no kind", [{"at": matrix.STEPS}], "got: none"),
        (
            "two kinds",
            [{"at": matrix.STEPS, "open": "x", "reason": "y"}],
            "got: reason, open",
        ),
        ("no test", [{"at": matrix.STEPS, "test": []}], "at least 1"),
        (
            "unknown column",
            [{"at": [*matrix.STEPS, "role.sleep"], "open": "x"}],
            "unknown columns: role.sleep",
        ),
        (
            "cell given twice",
            [
                {"at": matrix.STEPS, "open": "x"},
                {"at": matrix.STEPS[:1], "reason": "y"},
            ],
            "twice: request.admit",
        ),
    )

    def test_malformed_rows(self) -> None:
        for name, cells, message in self.CASES:
            with self.subTest(name):
                with self.assertRaisesRegex(pydantic.ValidationError, message):
                    matrix.Row.model_validate({"fault": "f", "cells": cells})
