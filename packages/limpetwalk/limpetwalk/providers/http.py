"""HTTP sessions towards the platform's services."""

import aiohttp


def open_session(
    timeout: aiohttp.ClientTimeout | None = None, limit: int = 0
) -> aiohttp.ClientSession:
    """Return a session that opens a connection for each call.

    The answers of these services don't say which call they belong to, and
    aiohttp takes bytes that arrive on an idle connection, such as a second
    copy of an answer, for the answer of the next call.

    :param timeout: timeouts of a call, None for aiohttp's.
    :param limit: maximum number of connections, 0 for any.
    """
    return aiohttp.ClientSession(
        timeout=timeout or aiohttp.client.DEFAULT_TIMEOUT,
        connector=aiohttp.TCPConnector(limit=limit, force_close=True),
    )
