"""Takes the only key of the only workspace away, then sends requests."""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))
import deployment  # noqa: E402

# Bound of the settings after which a configuration must be in force, seconds.
CONFIG_APPLY = 2.0
HELD_KEY, STRANGE_KEY = "n2ctnfzs989anu6wsjnb", "zzzzzzzzzzzzzzzzzzzz"


def config(version: int, keys: list[str]) -> dict:
    return {
        "version": version,
        "routes": [
            {
                "name": "r-fees",
                "hostname": "ficu95.example",
                "prefix": "/puxa403/",
                "type": "non_idempotent",
                "timeout_ms": 1000,
                "slo_ms": 200,
                "priority": 2,
                "backend": "wuno96b",
                "attempts": 1,
                "public": False,
            }
        ],
        "backends": [{"name": "wuno96b", "health_path": "/healthz"}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "hule930", "api_keys": keys, "priority": 1}],
    }


def headers(attempt: str, key: str | None) -> list[tuple[str, str]]:
    found = [
        ("Host", "ficu95.example"),
        ("Attempt-Id", attempt),
        ("Deadline-Ms", "1000"),
    ]
    if key is not None:
        found.append(("Authorization", f"Token {key}"))
    return found


async def case(site: deployment.Site) -> int:
    await site.start(2)
    site.store.put("op", "config", config(7, [HELD_KEY]))
    for number in range(2):
        await site.add_server(f"i-{number}", "wuno96b", "hu-central-a")
    for node in site.nodes:
        await node.start()
    for node in site.nodes:
        await node.await_ready()
    # Three seconds without trouble: all nodes are in touch.
    await asyncio.sleep(4)
    number = 0

    async def send_all(phase: str) -> dict[str, list[str]]:
        """Send each kind of request to each node; return their ids."""
        nonlocal number
        ids: dict[str, list[str]] = {}
        for kind, key in (
            ("held", HELD_KEY),
            ("strange", STRANGE_KEY),
            ("none", None),
        ):
            for node in site.nodes * 5:
                number += 1
                attempt = f"{phase}-{kind}-{number}"
                ids.setdefault(kind, []).append(attempt)
                await site.send(
                    node, "POST", "/puxa403/fee", headers(attempt, key), b"fee"
                )
        return ids

    before = await send_all("before")
    if not all(attempt in site.runs for attempt in before["held"]):
        raise deployment.CannotRun("sound requests did not run")
    if deployment.TROUBLE:
        site.store.put("op", "config", config(9, []))
        site.note("revoked", version=9)
    acknowledged = time.monotonic()
    await asyncio.sleep(2 * CONFIG_APPLY)
    after = await send_all("after")
    await asyncio.sleep(0.3)
    stale = (
        []
        if not deployment.TROUBLE
        else [attempt for attempt in after["held"] if attempt in site.runs]
    )
    strange = [
        attempt
        for ids in (before, after)
        for attempt in ids["strange"] + ids["none"]
        if attempt in site.runs
    ]
    site.note(
        "result",
        seconds_after_acknowledgement=round(
            time.monotonic() - acknowledged, 1
        ),
        ran_with_revoked_key=len(stale),
        ran_with_key_never_held_or_none=len(strange),
    )
    print(f"ran with the revoked key: {len(stale)} of {len(after['held'])}")
    print(f"ran with a key never held, or with none: {len(strange)}")
    return deployment.BROKEN if stale or strange else deployment.HELD


deployment.run(case, str(HERE))
