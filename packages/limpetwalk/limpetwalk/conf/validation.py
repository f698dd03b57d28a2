"""Converts pydantic's validation errors to findings."""

from collections.abc import Iterable
from collections.abc import Mapping
import types
import typing
from typing import Any

import pydantic

from . import document
from . import findings

MAX_SHOWN_CHARACTERS = 60
_PREFIXES = ("Input should be ", "Value error, ")
_TYPE_NAMES = {dict: "a mapping", list: "a list", type(None): "nothing"}


def from_error(
    exc: pydantic.ValidationError, model: type[pydantic.BaseModel]
) -> list[findings.Finding]:
    """Return one finding for each error of a validation.

    A list that is too short only because items of it do not validate is left
    out.

    :param exc: errors of the validation.
    :param model: model that the data was validated against.
    """
    all_findings = [
        _finding(error, model) for error in exc.errors(include_url=False)
    ]
    paths = [finding.path for finding in all_findings]
    return [
        finding
        for finding in all_findings
        if finding.id != "too-short" or not _encloses(finding.path, paths)
    ]


def _encloses(
    path: findings.KeyPath, paths: Iterable[findings.KeyPath]
) -> bool:
    """Return whether a path is a proper prefix of another one."""
    return any(
        len(other) > len(path) and other[: len(path)] == path
        for other in paths
    )


def _finding(error: Any, model: Any) -> findings.Finding:
    """Return the finding of one entry of ``ValidationError.errors``."""
    path = tuple(key for key in error["loc"] if key != "[key]")
    kind = error["type"]
    if kind == "extra_forbidden":
        keys = ", ".join(_known_keys(model, path[:-1])) or "none"
        got, expected = f"unknown key {str(path[-1])!r}", f"one of {keys}"
    elif kind == "missing":
        got, expected = "nothing", f"key {str(path[-1])!r}"
    elif kind == "string_pattern_mismatch" and "[key]" in error["loc"]:
        got, expected = f"key {str(path[-1])!r}", _expected(error)
    else:
        got, expected = describe(error["input"]), _expected(error)
    hint = ""
    if kind == "string_type" and isinstance(error["input"], (int, float)):
        hint = "put the value in quotes"
    return findings.Finding(
        kind.replace("_", "-"),
        findings.Level.ERROR,
        path,
        got,
        expected,
        hint,
    )


def describe(value: Any) -> str:
    """Return a short description of a value for messages to operators."""
    description = _TYPE_NAMES.get(type(value)) or repr(value)
    if len(description) > MAX_SHOWN_CHARACTERS:
        return description[:MAX_SHOWN_CHARACTERS] + "..."
    return description


def _expected(error: Any) -> str:
    """Return an error's expected value in the terms of YAML."""
    if error["type"] == "too_short":
        return f"at least {error['ctx']['min_length']} item"
    message = str(error["msg"])
    for prefix in _PREFIXES:
        message = message.removeprefix(prefix)
    message = message.replace("a valid dictionary", "a mapping")
    message = message.replace("an object", "a mapping")
    message = message.replace("a valid array", "a list")
    return message.replace(
        f"String should match pattern '{document.NAME_PATTERN}'",
        "a name of up to 63 letters, digits, dots, dashes and underscores",
    )


def _known_keys(model: Any, path: findings.KeyPath) -> list[str]:
    """Return the keys that the section at a path may have."""
    annotation = model
    for key in path:
        annotation = _member_type(annotation, key)
        if annotation is None:
            return []
    return sorted(annotation.model_fields) if _is_section(annotation) else []


def _is_section(annotation: Any) -> bool:
    return isinstance(annotation, type) and issubclass(
        annotation, pydantic.BaseModel
    )


def _member_type(annotation: Any, key: str | int) -> Any:
    """Return the type of a member of a section, mapping or tuple.

    :returns: None when there is no such member.
    """
    if _is_section(annotation):
        field = annotation.model_fields.get(str(key))
        annotation = field.annotation if field else None
    else:
        origin, arguments = (
            typing.get_origin(annotation),
            typing.get_args(annotation),
        )
        if origin in (dict, Mapping):
            annotation = arguments[1]
        elif origin is tuple:
            annotation = arguments[0]
        else:
            return None
    return _unwrap_optional(annotation)


def _unwrap_optional(annotation: Any) -> Any:
    """Return the first type of a union, as of ``X | None``."""
    if typing.get_origin(annotation) in (typing.Union, types.UnionType):
        return typing.get_args(annotation)[0]
    return annotation
