"""The fault matrix is complete and names only tests that exist."""

import importlib
import pathlib
import unittest

import pydantic

from limpetwalk_bench import matrix

ROOT = pathlib.Path(__file__).parents[2]
MATRIX = ROOT / "tests" / "matrix" / "matrix.yaml"
PAGE = ROOT / "docs" / "fault-matrix.md"


def _exists(test_id: str) -> bool:
    module, class_name, method_name = test_id.rsplit(".", 2)
    try:
        test_class = getattr(importlib.import_module(module), class_name, None)
    except ModuleNotFoundError:
        return False
    return (
        isinstance(test_class, type)
        and issubclass(test_class, unittest.TestCase)
        and method_name.startswith(("test", "runTest"))
        and callable(getattr(test_class, method_name, None))
    )


class MatrixTest(unittest.TestCase):
    """Tests of the matrix in this folder."""

    def test_named_tests_exist(self) -> None:
        tests = matrix.load_matrix(MATRIX).tests()
        self.assertEqual([], [test for test in tests if not _exists(test)])

    def test_page_is_what_the_matrix_renders(self) -> None:
        page = matrix.render(matrix.load_matrix(MATRIX))
        self.assertEqual(page, PAGE.read_text("utf-8"))


class ModelTest(unittest.TestCase):
    """Tests of the validation of a matrix."""

    CASES = (
        (
            "missing step",
            [{"at": matrix.STEPS[1:], "open": "x"}],
            "without a cell: request.admit",
        ),
        ("no kind", [{"at": matrix.STEPS}], "got: none"),
        (
            "two kinds",
            [{"at": matrix.STEPS, "open": "x", "reason": "y"}],
            "got: reason, open",
        ),
        ("no test", [{"at": matrix.STEPS, "test": []}], "at least 1"),
        (
            "unknown step",
            [{"at": [*matrix.STEPS, "role.sleep"], "open": "x"}],
            "unknown steps: role.sleep",
        ),
        (
            "repeated step",
            [
                {"at": matrix.STEPS, "open": "x"},
                {"at": matrix.STEPS[:1], "reason": "y"},
            ],
            "in more than one cell: request.admit",
        ),
    )

    def test_malformed_rows(self) -> None:
        for name, cells, message in self.CASES:
            with self.subTest(name):
                with self.assertRaisesRegex(pydantic.ValidationError, message):
                    matrix.Row.model_validate({"fault": "f", "cells": cells})
