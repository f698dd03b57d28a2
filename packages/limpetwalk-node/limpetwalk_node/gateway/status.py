"""Readiness check and metrics page."""

from aiohttp import web

from limpetwalk import metrics as metrics_

from . import cluster_state
from . import events
from . import logs


class Readiness:
    """Answers the readiness checks of the balancer.

    :param path: path of the check.
    """

    def __init__(
        self,
        state: cluster_state.ClusterState,
        journal: logs.Journal,
        path: str,
    ) -> None:
        self._cluster_state = state
        self._journal = journal
        self._path = path
        self._last_answer: bool | None = None
        self.draining = False

    @property
    def ready(self) -> bool:
        """Whether the node accepts requests of callers."""
        return self._cluster_state.ready and not self.draining

    async def handle(self, req: web.BaseRequest) -> web.StreamResponse:
        """Answer a readiness check, and log a change of readiness."""
        if req.path != self._path:
            return web.Response(status=404)
        ready = self.ready
        if ready is not self._last_answer:
            self._last_answer = ready
            self._journal.emit(events.ReadyChanged(ready, self._reason()))
        return web.Response(status=200 if ready else 503)

    def _reason(self) -> str:
        if self.draining:
            return "stopping"
        return (
            "beliefs read" if self._cluster_state.ready else "nothing read yet"
        )


class MetricsPage:
    """Serves the metrics in the Prometheus text format.

    :param path: path of the page.
    """

    def __init__(self, metrics: metrics_.Metrics, path: str) -> None:
        self._metrics = metrics
        self._path = path

    async def handle(self, req: web.BaseRequest) -> web.StreamResponse:
        """Answer a scrape of the metrics."""
        if req.path != self._path:
            return web.Response(status=404)
        return web.Response(
            body=self._metrics.expose(), content_type="text/plain"
        )
