"""Stored form of answers; large bodies go to the object store."""

import base64
import hashlib

from .. import exceptions
from ..backends import base as backends
from ..providers import base as platform
from . import rows

# Larger bodies go to the object store. Base 64 takes 4/3 of a body's size, and
# the row's other fields need room below the limit of 400 KB.
INLINE_LIMIT_BYTES = 225_000


class AnswerBodies:
    """Converts answers to their stored form and back.

    :param objects: object store of large bodies; without one, a large
        body raises ``StoreUnavailable``.
    """

    def __init__(self, objects: platform.ObjectStore | None) -> None:
        self._objects = objects

    async def store(self, answer: backends.ServiceAnswer) -> rows.AnswerValue:
        """Return the stored form of an answer.

        On return the body is durable, or contained in the stored form.

        :raises StoreUnavailable: when a large body can't be stored.
        """
        value = rows.AnswerValue(
            status=answer.status, headers=dict(answer.headers)
        )
        if len(answer.body) <= INLINE_LIMIT_BYTES:
            value.body = base64.b64encode(answer.body).decode()
        else:
            value.body_object = await self._put(answer.body)
        return value

    async def load(self, value: rows.AnswerValue) -> backends.ServiceAnswer:
        """Return an answer from its stored form.

        :raises StoreUnavailable: when a large body can't be read.
        """
        if value.body_object:
            body = await self._get(value.body_object)
        else:
            body = base64.b64decode(value.body)
        return backends.ServiceAnswer(
            status=value.status, body=body, headers=value.headers
        )

    async def _put(self, body: bytes) -> str:
        digest = hashlib.sha256(body).hexdigest()
        name = f"answers/{digest}"
        try:
            # The name contains the digest, so an object that has this name
            # already has the same body.
            await self._require_objects().put_if_absent(name, body)
        except exceptions.StoreOutcomeUnknown as exc:
            raise exceptions.StoreUnavailable(str(exc)) from exc
        return name

    async def _get(self, name: str) -> bytes:
        body = await self._require_objects().get(name)
        if body is None:
            raise exceptions.StoreUnavailable(
                f"object {name} with the body of an answer does not exist"
            )
        return body

    def _require_objects(self) -> platform.ObjectStore:
        if self._objects is None:
            raise exceptions.StoreUnavailable(
                "a large answer needs an object store, but there is none"
            )
        return self._objects
