"""Builders of the gateway's domain objects with default values."""

from typing import Any

from limpetwalk.gateway import types


def route(**changes: Any) -> types.Route:
    """Return an idempotent route of a plain service."""
    fields: dict[str, Any] = {
        "name": "r",
        "host": "api.example",
        "prefix": "/r/",
        "idempotency": types.Idempotency.IDEMPOTENT,
        "streaming": False,
        "resumable": False,
        "timeout": 1.0,
        "target_latency": 0.2,
        "largest_gap": 0.0,
        "attempts": 2,
        "priority": 1,
        "public": False,
        "models": (),
        "targets": (("s", 1),),
    }
    return types.Route(**{**fields, **changes})


def version(counter: int, era: int = 1) -> types.Version:
    """Return a version of the store."""
    return types.Version(era, counter)


def server(server_id: str, **changes: Any) -> types.Server:
    """Return a server of the service ``s``."""
    fields: dict[str, Any] = {
        "id": server_id,
        "service": "s",
        "host": "127.0.0.1",
        "port": 1,
        "zone": "z1",
        "version": "v1",
        "slots": 8,
        "leaving": False,
        "cold_left": 0.0,
        "boot_ms": 1,
        "models": None,
    }
    return types.Server(**{**fields, **changes})


def prompt(*parts: tuple[str, int]) -> types.Prompt:
    """Return a prompt from the ids of its parts and their tokens."""
    prompt_parts = tuple(
        types.PromptPart(part_id, tokens) for part_id, tokens in parts
    )
    return types.Prompt(
        sum(part.tokens for part in prompt_parts), 10, prompt_parts
    )
