"""Callers: each request over HTTP, with the retries of a sensible client.

A caller repeats a request with the same idempotency key when its connection
broke or the refusal says when to retry. It tells nobody what it expects;
the checks compare what it saw with the logs of the backend servers.
"""

import asyncio
import json
import random
import time
from typing import Any

import aiohttp

from . import balancer as balancers
from . import outcome
from . import workload

MAX_TRIES = 6
RETRY_PAUSE = 0.25
LONGEST_PAUSE = 2.0
TAG_PREFIX = "tag-"
DONE = b"[DONE]"


def tag_of(plan: outcome.Planned) -> str:
    """Return the word that a request's answer must carry."""
    return f"{TAG_PREFIX}{plan.key}"


class Sessions:
    """Open session tokens of each caller and model."""

    def __init__(self) -> None:
        self._tokens: dict[str, list[str]] = {}

    def choose(self, name: str, rng: random.Random) -> str:
        """Return an open session's token, or an empty string."""
        held = self._tokens.get(name)
        return rng.choice(held) if held else ""

    def add(self, name: str, token: str) -> None:
        """Keep a token for later requests."""
        self._tokens.setdefault(name, []).append(token)

    def drop(self, name: str, token: str) -> None:
        """Forget a token that was refused."""
        held = self._tokens.get(name, [])
        if token in held:
            held.remove(token)


class Caller:
    """Sends the requests of a run.

    :param cfg: workload.
    :param site: nodes by name.
    :param balancer: choice of a node.
    :param http: client session.
    """

    def __init__(
        self,
        cfg: workload.Workload,
        site: workload.Site,
        balancer: balancers.Balancer,
        http: aiohttp.ClientSession,
    ) -> None:
        self._cfg = cfg
        self._site = site
        self._balancer = balancer
        self._http = http
        self._sessions = Sessions()

    async def send(self, plan: outcome.Planned) -> outcome.Outcome:
        """Send a request until it has an outcome."""
        found = outcome.Outcome(plan)
        cfg = self._cfg.classes[plan.request_class]
        rng = random.Random(plan.seed)
        started = time.monotonic()
        if isinstance(cfg, workload.ChatClass):
            await self._send_chat(cfg, found, rng, started)
        else:
            await self._send_service(cfg, found, rng, started)
        found.latency = time.monotonic() - started
        return found

    async def _send_chat(
        self,
        cfg: workload.ChatClass,
        found: outcome.Outcome,
        rng: random.Random,
        started: float,
    ) -> None:
        body = _chat_body(cfg, found.plan, rng)
        pool = f"{found.plan.caller}/{cfg.model}"
        session = ""
        if rng.random() < cfg.session:
            session = self._sessions.choose(pool, rng)
        found.session = session
        headers = self._headers(found.plan)
        headers["X-Request-Class"] = found.plan.request_class
        if session:
            headers["X-Session"] = session
        await self._retry(
            found,
            lambda base: self._post_chat(base, headers, body, found, started),
            cfg.deadline,
            started,
        )
        if found.reason in ("version_withdrawn", "unknown_session"):
            self._sessions.drop(pool, session)
        elif found.answered and found.session:
            self._sessions.add(pool, found.session)

    async def _send_service(
        self,
        cfg: workload.ServiceClass,
        found: outcome.Outcome,
        rng: random.Random,
        started: float,
    ) -> None:
        headers = self._headers(found.plan)
        body = {"reference": tag_of(found.plan), "amount": rng.randint(1, 900)}
        path = f"/services/{cfg.service}{cfg.path}"

        async def attempt(base: str) -> None:
            await self._call_service(
                cfg.method, base + path, headers, body, found
            )

        if cfg.once and rng.random() < cfg.repeat:
            twin = outcome.Outcome(found.plan)
            await asyncio.gather(
                self._retry(found, attempt, cfg.deadline, started),
                self._twin(cfg.method, path, headers, body, twin),
            )
            return
        await self._retry(found, attempt, cfg.deadline, started)

    async def _twin(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: dict[str, Any],
        twin: outcome.Outcome,
    ) -> None:
        name = self._balancer.choose()
        if name is None:
            return
        base = self._site.nodes[name].url
        try:
            await self._call_service(method, base + path, headers, body, twin)
        except (aiohttp.ClientError, TimeoutError, OSError):
            return

    def _headers(self, plan: outcome.Planned) -> dict[str, str]:
        key = self._cfg.callers[plan.caller].key
        return {
            "Authorization": f"Bearer {key}",
            "Idempotency-Key": plan.key,
        }

    async def _retry(
        self,
        found: outcome.Outcome,
        attempt: Any,
        deadline: float,
        started: float,
    ) -> None:
        failed = ""
        while found.tries < MAX_TRIES:
            found.tries += 1
            name = self._balancer.choose(avoid=failed)
            pause = RETRY_PAUSE
            if name is not None:
                left = deadline - (time.monotonic() - started)
                pause_or_none = await self._try_once(
                    found, attempt, name, left
                )
                if pause_or_none is None:
                    return
                pause = pause_or_none
                failed = name
            if time.monotonic() - started + pause > deadline:
                return
            await asyncio.sleep(pause)

    async def _try_once(
        self,
        found: outcome.Outcome,
        attempt: Any,
        name: str,
        left: float,
    ) -> float | None:
        # Returns the pause before the next try, or None for an outcome.
        retry_after: float | None
        try:
            async with asyncio.timeout(max(0.05, left)):
                retry_after = await attempt(self._site.nodes[name].url)
        except TimeoutError:
            found.reason = "caller_timeout"
            found.status = 0
            return None
        except (aiohttp.ClientError, OSError):
            found.reason = "connection"
            found.status = 0
            return RETRY_PAUSE
        if retry_after is None:
            return None
        return min(max(retry_after, 0.05), LONGEST_PAUSE)

    async def _post_chat(
        self,
        base: str,
        headers: dict[str, str],
        body: dict[str, Any],
        found: outcome.Outcome,
        started: float,
    ) -> float | None:
        url = f"{base}/v1/chat/completions"
        async with self._http.post(url, json=body, headers=headers) as resp:
            found.status = resp.status
            found.version = resp.headers.get("X-Model-Version", "")
            if resp.status != 200:
                return await _read_refusal(resp, found)
            found.session = resp.headers.get("X-Session", found.session)
            if body["stream"]:
                return await _read_stream(resp, found, started)
            answer = await resp.json()
            _take_answer(found, answer)
            return None

    async def _call_service(
        self,
        method: str,
        url: str,
        headers: dict[str, str],
        body: dict[str, Any],
        found: outcome.Outcome,
    ) -> float | None:
        async with self._http.request(
            method, url, json=body, headers=headers
        ) as resp:
            found.status = resp.status
            raw = await resp.read()
            if resp.status >= 400:
                return _take_refusal(raw, found)
            found.reason = "answered"
            found.whole = True
            found.own = tag_of(found.plan).encode() in raw
            return None


def _chat_body(
    cfg: workload.ChatClass, plan: outcome.Planned, rng: random.Random
) -> dict[str, Any]:
    words = " ".join(
        f"w{rng.randint(0, 999)}"
        for _ in range(rng.randint(*cfg.prompt_words))
    )
    return {
        "model": cfg.model,
        "messages": [{"role": "user", "content": f"{words} {tag_of(plan)}"}],
        "max_tokens": rng.randint(*cfg.max_tokens),
        "stream": rng.random() < cfg.stream,
    }


def _take_answer(found: outcome.Outcome, answer: dict[str, Any]) -> None:
    text = answer["choices"][0]["message"]["content"]
    found.reason = "answered"
    found.whole = answer["choices"][0].get("finish_reason") is not None
    found.own = tag_of(found.plan) in text
    found.tokens = answer.get("usage", {}).get("completion_tokens", 0)


async def _read_stream(
    resp: aiohttp.ClientResponse, found: outcome.Outcome, started: float
) -> float | None:
    text: list[str] = []
    last = 0.0
    finished = False
    async for line in resp.content:
        if not line.startswith(b"data:"):
            continue
        data = line[5:].strip()
        if data == DONE:
            found.reason = "answered"
            found.whole = finished
            found.own = tag_of(found.plan) in "".join(text)
            return None
        event = json.loads(data)
        if "error" in event:
            return _take_error(event["error"], found)
        now = time.monotonic()
        for choice in event.get("choices", []):
            piece = choice.get("delta", {}).get("content") or ""
            finished = finished or bool(choice.get("finish_reason"))
            if not piece:
                continue
            text.append(piece)
            if found.first_token is None:
                found.first_token = now - started
            else:
                found.gaps.append(now - last)
            last = now
        if event.get("usage"):
            found.tokens = event["usage"].get("completion_tokens", 0)
    # The stream ended without its terminal event.
    found.reason = "truncated"
    return RETRY_PAUSE


async def _read_refusal(
    resp: aiohttp.ClientResponse, found: outcome.Outcome
) -> float | None:
    return _take_refusal(await resp.read(), found)


def _take_refusal(raw: bytes, found: outcome.Outcome) -> float | None:
    try:
        error = json.loads(raw)["error"]
    except (ValueError, KeyError, TypeError):
        found.reason = "untyped"
        return None
    return _take_error(error, found)


def _take_error(error: dict[str, Any], found: outcome.Outcome) -> float | None:
    found.reason = error.get("reason", "untyped")
    found.run = error.get("run", "")
    return error.get("retry_after")
