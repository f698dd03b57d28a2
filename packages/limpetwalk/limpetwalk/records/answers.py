"""Stored answers: small ones in the record's row, large ones beside it."""

import base64
import hashlib

from .. import exceptions
from ..backends import base as backends
from ..providers import base as platform
from . import rows

# Larger bodies go to the object store; base 64 makes 4/3 of them and the
# row's other fields need room below the limit of 400 KB.
INLINE_LIMIT_BYTES = 225_000


class AnswerBodies:
    """Turns answers into their stored form and back.

    :param objects: store of large bodies; None refuses them.
    """

    def __init__(self, objects: platform.ObjectStore | None) -> None:
        self._objects = objects

    async def store(self, answer: backends.ServiceAnswer) -> rows.AnswerValue:
        """Return the stored form of an answer, its body being durable then.

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
            # The name is the digest, so a name that is taken is this body.
            await self._required().put_if_absent(name, body)
        except exceptions.StoreOutcomeUnknown as exc:
            raise exceptions.StoreUnavailable(str(exc)) from exc
        return name

    async def _get(self, name: str) -> bytes:
        body = await self._required().get(name)
        if body is None:
            raise exceptions.StoreUnavailable(f"object {name} is gone")
        return body

    def _required(self) -> platform.ObjectStore:
        if self._objects is None:
            raise exceptions.StoreUnavailable("no store for a large answer")
        return self._objects
