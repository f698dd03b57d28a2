"""Object store stand-in that speaks the S3 REST protocol."""

import hashlib
from xml.sax import saxutils

from aiohttp import web

from . import faults

OBJECT_LIMIT_BYTES = 64 * 1024 * 1024
PAGE_KEYS = 1000


def error(status: int, code: str) -> web.Response:
    """Return an error in the format of S3."""
    text = f"<Error><Code>{code}</Code><Message>{code}</Message></Error>"
    return web.Response(
        status=status, text=text, content_type="application/xml"
    )


class ObjectService:
    """Object store.

    :param service: faults and counts of the service.
    """

    def __init__(self, service: faults.FaultyService) -> None:
        self.blobs: dict[str, bytes] = {}
        self._service = service

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the service."""
        return [
            web.get("/{bucket}", self._list, allow_head=False),
            web.get("/{bucket}/{name:.+}", self._get, allow_head=False),
            web.put("/{bucket}/{name:.+}", self._put),
        ]

    async def _put(self, req: web.Request) -> web.StreamResponse:
        self._service.count("PutObject")
        data = await req.read()

        async def apply(_: web.Request) -> web.StreamResponse:
            name = req.match_info["name"]
            if req.headers.get("If-None-Match") == "*" and name in self.blobs:
                return error(412, "PreconditionFailed")
            self.blobs[name] = data
            return web.Response(headers={"ETag": _etag(data)})

        return await self._service.handle(req, True, apply)

    async def _get(self, req: web.Request) -> web.StreamResponse:
        self._service.count("GetObject")

        async def apply(_: web.Request) -> web.StreamResponse:
            data = self.blobs.get(req.match_info["name"])
            if data is None:
                return error(404, "NoSuchKey")
            return web.Response(body=data, headers={"ETag": _etag(data)})

        return await self._service.handle(req, False, apply)

    async def _list(self, req: web.Request) -> web.StreamResponse:
        self._service.count("ListObjectsV2")

        async def apply(_: web.Request) -> web.StreamResponse:
            prefix = req.query.get("prefix", "")
            after = req.query.get("continuation-token", "")
            names = sorted(
                name
                for name in self.blobs
                if name.startswith(prefix) and name > after
            )
            return _listing(names[:PAGE_KEYS], len(names) > PAGE_KEYS)

        return await self._service.handle(req, False, apply)


def _etag(data: bytes) -> str:
    digest = hashlib.md5(data, usedforsecurity=False).hexdigest()
    return f'"{digest}"'


def _listing(names: list[str], truncated: bool) -> web.Response:
    keys = "".join(
        f"<Contents><Key>{saxutils.escape(name)}</Key></Contents>"
        for name in names
    )
    next_token = ""
    if truncated:
        token = saxutils.escape(names[-1])
        next_token = f"<NextContinuationToken>{token}</NextContinuationToken>"
    is_truncated = "true" if truncated else "false"
    text = (
        f"<ListBucketResult><IsTruncated>{is_truncated}</IsTruncated>"
        f"{next_token}{keys}</ListBucketResult>"
    )
    return web.Response(text=text, content_type="application/xml")
