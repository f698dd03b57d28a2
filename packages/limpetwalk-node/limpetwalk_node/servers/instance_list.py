"""The platform's instance list, read once for all parts of the node."""

from limpetwalk.providers import base as platform


class TrackedInstanceList:
    """Instance list that remembers what was read last.

    :param source: the platform's list.
    """

    def __init__(self, source: platform.InstanceList) -> None:
        self._source = source
        self._leaving: frozenset[str] = frozenset()

    async def fetch(self) -> list[platform.Instance]:
        """Return the list as it stands now.

        :raises InstanceListUnavailable: when it can't be read.
        """
        found = await self._source.fetch()
        self._leaving = frozenset(
            instance.address
            for instance in found
            if instance.kind is platform.InstanceKind.BACKEND
            and instance.state is platform.InstanceState.LEAVING
        )
        return found

    async def close(self) -> None:
        """Release connections."""
        await self._source.close()

    def leaving_addresses(self) -> frozenset[str]:
        """Return the addresses of the backend servers that leave."""
        return self._leaving
