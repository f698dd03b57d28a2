"""The platform's instance list, shared by all parts of the node."""

from limpetwalk.providers import base as platform


class TrackedInstanceList:
    """Instance list that remembers the backend servers that are leaving.

    :param source: the platform's instance list.
    """

    def __init__(self, source: platform.InstanceList) -> None:
        self._source = source
        self._leaving: frozenset[str] = frozenset()

    async def fetch(self) -> list[platform.Instance]:
        """Return the current instance list.

        :raises InstanceListUnavailable: when the list can't be read.
        """
        instances = await self._source.fetch()
        self._leaving = frozenset(
            instance.address
            for instance in instances
            if instance.kind is platform.InstanceKind.BACKEND
            and instance.state is platform.InstanceState.LEAVING
        )
        return instances

    async def close(self) -> None:
        """Release connections."""
        await self._source.close()

    def leaving_addresses(self) -> frozenset[str]:
        """Return the addresses of backend servers leaving at the last read."""
        return self._leaving
