"""Checks that warn of limits that contradict each other."""

from collections.abc import Iterator

from .. import registry
from ..gateway import memory_account
from . import checks
from . import findings

# Pairs of limits in the section of tuning: the first must be below the second
# to have an effect.
_ORDERED_TIMEOUTS = (
    ("connect_timeout", "first_token_timeout"),
    ("first_token_timeout", "request_timeout"),
    ("token_gap_timeout", "request_timeout"),
    ("rating_timeout", "request_timeout"),
)


@registry.register(registry.Kind.CONFIG_CHECK, "limits.timeouts")
def check_timeouts(config: checks.CheckInput) -> Iterator[findings.Finding]:
    """Warn of timeouts that another one always ends first."""
    doc = config.effective
    for shorter, longer in _ORDERED_TIMEOUTS:
        value, limit = (
            getattr(doc.tuning, shorter),
            getattr(doc.tuning, longer),
        )
        if value >= limit:
            yield checks.warning(
                "timeout-without-effect",
                ("tuning", shorter),
                f"{value:g} s",
                f"less than {longer}, {limit:g} s, which ends first",
            )
    for name, service in doc.services.items():
        if service.timeout <= doc.tuning.connect_timeout:
            yield checks.warning(
                "timeout-without-effect",
                ("services", name, "timeout"),
                f"{service.timeout:g} s",
                f"more than connect_timeout, {doc.tuning.connect_timeout:g} "
                f"s, so that a call can be sent again",
            )


@registry.register(registry.Kind.CONFIG_CHECK, "limits.records")
def check_records(config: checks.CheckInput) -> Iterator[findings.Finding]:
    """Warn of idempotency records that end before their requests may."""
    doc = config.effective
    for name, service in doc.services.items():
        is_recorded = any(not route.idempotent for route in service.routes)
        if is_recorded and service.timeout >= doc.tuning.record_ttl:
            yield checks.warning(
                "record-too-short",
                ("services", name, "timeout"),
                f"{service.timeout:g} s",
                f"less than record_ttl, {doc.tuning.record_ttl:g} s",
                "a repeated request would no longer find its record",
            )


@registry.register(registry.Kind.CONFIG_CHECK, "limits.bodies")
def check_bodies(config: checks.CheckInput) -> Iterator[findings.Finding]:
    """Warn of a body limit that the memory for bodies can't hold."""
    tuning = config.effective.tuning
    share = memory_account.SHARE_OF_FREE / (1 + memory_account.SHARE_OF_FREE)
    room = int(tuning.bodies_limit_bytes * share)
    if tuning.body_limit_bytes > room:
        yield checks.warning(
            "body-above-memory",
            ("tuning", "body_limit_bytes"),
            str(tuning.body_limit_bytes),
            f"at most {room}, what one workspace gets of bodies_limit_bytes",
        )
