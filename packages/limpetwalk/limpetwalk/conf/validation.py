"""Turns pydantic's errors into findings."""

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
_KINDS = {dict: "a mapping", list: "a list", type(None): "nothing"}


def from_error(
    exc: pydantic.ValidationError, model: type[pydantic.BaseModel]
) -> list[findings.Finding]:
    """Return one finding for each error of a validation.

    :param exc: errors of the validation.
    :param model: model that was validated.
    """
    found = [_finding(error, model) for error in exc.errors(include_url=False)]
    paths = [item.path for item in found]
    return [
        item
        for item in found
        if item.id != "too-short" or not _encloses(item.path, paths)
    ]


def _encloses(
    path: findings.KeyPath, paths: Iterable[findings.KeyPath]
) -> bool:
    """Return whether a path leads to the list around another one.

    Items that do not validate make their list too short as well.
    """
    return any(
        len(other) > len(path) and other[: len(path)] == path
        for other in paths
    )


def _finding(error: Any, model: Any) -> findings.Finding:
    path = tuple(key for key in error["loc"] if key != "[key]")
    kind = error["type"]
    if kind == "extra_forbidden":
        known = ", ".join(_known_keys(model, path[:-1])) or "none"
        got, expected = f"unknown key {str(path[-1])!r}", f"one of {known}"
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
    """Return a short text that shows a value to an operator."""
    shown = _KINDS.get(type(value)) or repr(value)
    if len(shown) > MAX_SHOWN_CHARACTERS:
        return shown[:MAX_SHOWN_CHARACTERS] + "..."
    return shown


def _expected(error: Any) -> str:
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
    kind = model
    for key in path:
        kind = _member(kind, key)
        if kind is None:
            return []
    return sorted(kind.model_fields) if _is_section(kind) else []


def _is_section(kind: Any) -> bool:
    return isinstance(kind, type) and issubclass(kind, pydantic.BaseModel)


def _member(kind: Any, key: str | int) -> Any:
    """Return the type of a member of a section, mapping or list."""
    if _is_section(kind):
        field = kind.model_fields.get(str(key))
        kind = field.annotation if field else None
    else:
        origin, arguments = typing.get_origin(kind), typing.get_args(kind)
        if origin in (dict, Mapping):
            kind = arguments[1]
        elif origin is tuple:
            kind = arguments[0]
        else:
            return None
    return _unwrap(kind)


def _unwrap(kind: Any) -> Any:
    if typing.get_origin(kind) in (typing.Union, types.UnionType):
        return typing.get_args(kind)[0]
    return kind
