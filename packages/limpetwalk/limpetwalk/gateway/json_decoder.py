"""Decodes JSON that others wrote.

Serves rows, answers and reports with odd contents: each fault that
``json.loads`` or a later use of the value may meet raises ``ValueError``.
"""

import json
import math
from typing import Any


def decode(text: str | bytes, any_text: bool = False) -> Any:
    """Return the value of a JSON document.

    Its floats are finite and its texts can be encoded.

    :param text: the document; bytes are UTF-8.
    :param any_text: whether it may hold texts that can't be encoded.
    :raises ValueError: when it can't be decoded.
    """
    try:
        if isinstance(text, bytes):
            text = text.decode("utf-8-sig")
        value = json.loads(
            text, parse_float=_finite, parse_constant=_refuse_constant
        )
        if not any_text and "\\ud" in text.lower():
            # Possibly half of a surrogate pair, which can't be encoded.
            json.dumps(value, ensure_ascii=False).encode()
    except RecursionError as exc:
        raise ValueError("the document is nested too deeply") from exc
    return value


def integer(value: Any, lowest: int, highest: int) -> int:
    """Return a decoded value that must be an integer within bounds.

    :raises ValueError: when it is something else.
    """
    if type(value) is not int or not lowest <= value <= highest:
        raise ValueError(
            f"expected an integer from {lowest} to {highest}, got a value"
            f" of type {type(value).__name__}"
        )
    return value


def number(value: Any, lowest: float, highest: float) -> float:
    """Return a decoded value that must be a number within bounds.

    :raises ValueError: when it is something else.
    """
    if type(value) not in (int, float) or not lowest <= value <= highest:
        raise ValueError(
            f"expected a number from {lowest} to {highest}, got a value"
            f" of type {type(value).__name__}"
        )
    return float(value)


def _finite(text: str) -> float:
    value = float(text)
    if not math.isfinite(value):
        raise ValueError("a number is too large")
    return value


def _refuse_constant(text: str) -> float:
    raise ValueError(f"{text} is no JSON")
