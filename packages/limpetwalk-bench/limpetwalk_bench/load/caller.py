"""Callers that send each request over HTTP, with the usual client retries.

A caller retries a request with the same idempotency key when its connection
failed or the refusal says when to retry. It judges no result itself; the
checks compare its outcomes with the logs of the backend servers.
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

# Maximum number of attempts for one request.
MAX_ATTEMPTS = 6
# Pause before a retry when the refusal names none, and the longest pause
# before any retry, in seconds.
RETRY_PAUSE = 0.25
MAX_PAUSE = 2.0
TAG_PREFIX = "tag-"
# Data of the terminal event of a stream.
DONE = b"[DONE]"


def make_tag(plan: outcome.PlannedRequest) -> str:
    """Return the tag that the answer to a request must contain."""
    return f"{TAG_PREFIX}{plan.key}"


class SessionTokens:
    """Tokens of open sessions, by caller and model."""

    def __init__(self) -> None:
        self._tokens: dict[str, list[str]] = {}

    def choose(self, pool: str, rng: random.Random) -> str:
        """Return a random token of an open session, or an empty string.

        :param pool: name of the caller and the model.
        """
        tokens = self._tokens.get(pool)
        return rng.choice(tokens) if tokens else ""

    def add(self, pool: str, token: str) -> None:
        """Add a token for later requests."""
        self._tokens.setdefault(pool, []).append(token)

    def remove(self, pool: str, token: str) -> None:
        """Remove a token that was refused."""
        tokens = self._tokens.get(pool, [])
        if token in tokens:
            tokens.remove(token)


class Caller:
    """Sends the requests of a run.

    :param cfg: workload.
    :param site: site whose nodes get the requests.
    :param balancer: balancer that chooses a node for each attempt.
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
        self._session_tokens = SessionTokens()

    async def send(self, plan: outcome.PlannedRequest) -> outcome.Outcome:
        """Send a request, with retries, and return its outcome."""
        result = outcome.Outcome(plan)
        cfg = self._cfg.classes[plan.request_class]
        rng = random.Random(plan.seed)
        started = time.monotonic()
        if isinstance(cfg, workload.ChatClass):
            await self._send_chat(cfg, result, rng, started)
        else:
            await self._send_service(cfg, result, rng, started)
        result.latency = time.monotonic() - started
        return result

    async def _send_chat(
        self,
        cfg: workload.ChatClass,
        result: outcome.Outcome,
        rng: random.Random,
        started: float,
    ) -> None:
        body = _chat_body(cfg, result.plan, rng)
        pool = f"{result.plan.caller}/{cfg.model}"
        session = ""
        if rng.random() < cfg.session:
            session = self._session_tokens.choose(pool, rng)
        result.session = session
        headers = self._headers(result.plan)
        headers["X-Request-Class"] = result.plan.request_class
        if session:
            headers["X-Session"] = session
        await self._retry(
            result,
            lambda base: self._post_chat(base, headers, body, result, started),
            cfg.deadline,
            started,
        )
        if result.reason in ("version_withdrawn", "unknown_session"):
            self._session_tokens.remove(pool, session)
        elif result.answered and result.session:
            self._session_tokens.add(pool, result.session)

    async def _send_service(
        self,
        cfg: workload.ServiceClass,
        result: outcome.Outcome,
        rng: random.Random,
        started: float,
    ) -> None:
        headers = self._headers(result.plan)
        body = {
            "reference": make_tag(result.plan),
            "amount": rng.randint(1, 900),
        }
        path = f"/services/{cfg.service}{cfg.path}"

        async def send_once(base: str) -> None:
            await self._call_service(
                cfg.method, base + path, headers, body, result
            )

        if cfg.once and rng.random() < cfg.repeat:
            duplicate_result = outcome.Outcome(result.plan)
            await asyncio.gather(
                self._retry(result, send_once, cfg.deadline, started),
                self._send_duplicate(
                    cfg.method, path, headers, body, duplicate_result
                ),
            )
            return
        await self._retry(result, send_once, cfg.deadline, started)

    async def _send_duplicate(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: dict[str, Any],
        result: outcome.Outcome,
    ) -> None:
        name = self._balancer.choose()
        if name is None:
            return
        base = self._site.nodes[name].url
        try:
            await self._call_service(
                method, base + path, headers, body, result
            )
        except (aiohttp.ClientError, TimeoutError, OSError):
            return

    def _headers(self, plan: outcome.PlannedRequest) -> dict[str, str]:
        key = self._cfg.callers[plan.caller].key
        return {
            "Authorization": f"Bearer {key}",
            "Idempotency-Key": plan.key,
        }

    async def _retry(
        self,
        result: outcome.Outcome,
        send_once: Any,
        deadline: float,
        started: float,
    ) -> None:
        failed_node = ""
        while result.attempts < MAX_ATTEMPTS:
            result.attempts += 1
            name = self._balancer.choose(avoid=failed_node)
            pause = RETRY_PAUSE
            if name is not None:
                remaining = deadline - (time.monotonic() - started)
                retry_pause = await self._attempt(
                    result, send_once, name, remaining
                )
                if retry_pause is None:
                    return
                pause = retry_pause
                failed_node = name
            if time.monotonic() - started + pause > deadline:
                return
            await asyncio.sleep(pause)

    async def _attempt(
        self,
        result: outcome.Outcome,
        send_once: Any,
        name: str,
        remaining: float,
    ) -> float | None:
        # Returns the pause before the next attempt, in seconds, or None when
        # the outcome is final.
        retry_after: float | None
        try:
            async with asyncio.timeout(max(0.05, remaining)):
                retry_after = await send_once(self._site.nodes[name].url)
        except TimeoutError:
            result.reason = "caller_timeout"
            result.status = 0
            return None
        except (aiohttp.ClientError, OSError):
            result.reason = "connection"
            result.status = 0
            return RETRY_PAUSE
        if retry_after is None:
            return None
        return min(max(retry_after, 0.05), MAX_PAUSE)

    async def _post_chat(
        self,
        base: str,
        headers: dict[str, str],
        body: dict[str, Any],
        result: outcome.Outcome,
        started: float,
    ) -> float | None:
        url = f"{base}/v1/chat/completions"
        async with self._http.post(url, json=body, headers=headers) as resp:
            result.status = resp.status
            result.version = resp.headers.get("X-Model-Version", "")
            if resp.status != 200:
                return await _read_refusal(resp, result)
            result.session = resp.headers.get("X-Session", result.session)
            if body["stream"]:
                return await _read_stream(resp, result, started)
            answer = await resp.json()
            _record_answer(result, answer)
            return None

    async def _call_service(
        self,
        method: str,
        url: str,
        headers: dict[str, str],
        body: dict[str, Any],
        result: outcome.Outcome,
    ) -> float | None:
        async with self._http.request(
            method, url, json=body, headers=headers
        ) as resp:
            result.status = resp.status
            raw = await resp.read()
            if resp.status >= 400:
                return _record_refusal(raw, result)
            result.reason = "answered"
            result.complete = True
            result.own = make_tag(result.plan).encode() in raw
            return None


def _chat_body(
    cfg: workload.ChatClass, plan: outcome.PlannedRequest, rng: random.Random
) -> dict[str, Any]:
    words = " ".join(
        f"w{rng.randint(0, 999)}"
        for _ in range(rng.randint(*cfg.prompt_words))
    )
    return {
        "model": cfg.model,
        "messages": [{"role": "user", "content": f"{words} {make_tag(plan)}"}],
        "max_tokens": rng.randint(*cfg.max_tokens),
        "stream": rng.random() < cfg.stream,
    }


def _record_answer(result: outcome.Outcome, answer: dict[str, Any]) -> None:
    content = answer["choices"][0]["message"]["content"]
    result.reason = "answered"
    result.complete = answer["choices"][0].get("finish_reason") is not None
    result.own = make_tag(result.plan) in content
    result.tokens = answer.get("usage", {}).get("completion_tokens", 0)


async def _read_stream(
    resp: aiohttp.ClientResponse, result: outcome.Outcome, started: float
) -> float | None:
    pieces: list[str] = []
    last_token_at = 0.0
    finished = False
    async for line in resp.content:
        if not line.startswith(b"data:"):
            continue
        data = line[5:].strip()
        if data == DONE:
            result.reason = "answered"
            result.complete = finished
            result.own = make_tag(result.plan) in "".join(pieces)
            return None
        event = json.loads(data)
        if "error" in event:
            return _record_error(event["error"], result)
        now = time.monotonic()
        for choice in event.get("choices", []):
            piece = choice.get("delta", {}).get("content") or ""
            finished = finished or bool(choice.get("finish_reason"))
            if not piece:
                continue
            pieces.append(piece)
            if result.first_token is None:
                result.first_token = now - started
            else:
                result.gaps.append(now - last_token_at)
            last_token_at = now
        if event.get("usage"):
            result.tokens = event["usage"].get("completion_tokens", 0)
    # The stream ended without its terminal event.
    result.reason = "truncated"
    return RETRY_PAUSE


async def _read_refusal(
    resp: aiohttp.ClientResponse, result: outcome.Outcome
) -> float | None:
    return _record_refusal(await resp.read(), result)


def _record_refusal(raw: bytes, result: outcome.Outcome) -> float | None:
    try:
        error = json.loads(raw)["error"]
    except (ValueError, KeyError, TypeError):
        result.reason = "untyped"
        return None
    return _record_error(error, result)


def _record_error(
    error: dict[str, Any], result: outcome.Outcome
) -> float | None:
    result.reason = error.get("reason", "untyped")
    result.run = error.get("run", "")
    return error.get("retry_after")
