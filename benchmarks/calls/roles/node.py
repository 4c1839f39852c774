"""Node whose targets are set by the benchmark."""

from typing import Any

from aiohttp import web
from mustardspur_core.garbage_collection import tune_garbage_collector
from mustardspur_core.metrics import NullMetrics
from mustardspur_core.settings import parse_settings
from mustardspur_core.state import Target
from mustardspur_core.timeline import Timeline
from mustardspur_node.calls import CallForwarder, run_forwarder
from mustardspur_node.views import ServiceView

from benchmarks.calls.roles.registry import role
from benchmarks.calls.roles.serving import announce
from benchmarks.calls.traffic import SERVICE, make_view

VIEW_PATH = '/mustardspur/v1/view'


class StaticViews:
    """Views with the targets that the benchmark set.

    Parameters
    ----------
    settings : dict
        ``targets``, and optionally ``attempts`` and ``services``.
    """

    def __init__(self, settings: dict[str, Any]) -> None:
        """Initialise all services with the same targets."""
        self._settings = settings
        self._views_by_service: dict[str, ServiceView] = {}
        self.replace(settings['targets'])

    def replace(self, targets: list[dict[str, Any]]) -> None:
        """Replace the targets of all services."""
        attempts = self._settings.get('attempts', 3)
        services = self._settings.get('services', [SERVICE])
        self._views_by_service = {
            service: make_view(service, targets, attempts)
            for service in services
        }

    def view(self, service: str) -> ServiceView | None:
        """Return the view of a service, None if it is unknown."""
        return self._views_by_service.get(service)

    def record_outcome(
        self,
        view: ServiceView,
        route: str,
        target: Target,
        outcome: str,
        latency_ms: float,
        caller: str = '',
    ) -> None:
        """Discard the outcome."""


@role('node')
async def run_node(settings: dict[str, Any]) -> None:
    """Run a node until it is terminated."""
    views = StaticViews(settings)
    document = {
        'role': 'node',
        'id': 'bench-node',
        'data_centre': 'erie-toledo',
        'region': 'erie',
        'listen': {'http': '127.0.0.1:0'},
        'control': ['127.0.0.1:1'],
        'service': settings.get('services', [SERVICE])[0],
    }

    async def factory(request: web.BaseRequest) -> web.StreamResponse:
        views.replace(await request.json())
        return web.Response()

    forwarder = CallForwarder(
        parse_settings(document, 'bench').ok,
        views,
        views,
        NullMetrics(),
        Timeline('bench-node', 'erie-toledo', None),
    )
    async with run_forwarder(
        forwarder,
        '127.0.0.1:0',
        1,
        {VIEW_PATH: factory},
    ) as address:
        tune_garbage_collector()
        await announce(address=address)
