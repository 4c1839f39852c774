"""Status of a node as JSON, served on its instance."""

from typing import Final

from aiohttp import web

from mustardspur_node.announcements import Announcements
from mustardspur_node.calls import CallForwarder
from mustardspur_node.config_store import ConfigStore
from mustardspur_node.control_link import ControlLink

STATUS_PATH: Final = '/mustardspur/v1/status'


class NodeStatus:
    """Serves the status of the node.

    Parameters
    ----------
    store : ConfigStore
        Configurations in force.
    link : ControlLink
        Stream to a control instance.
    announcements : Announcements
        Targets of this instance.
    forwarder : CallForwarder
        Forwarder of the calls.
    """

    __slots__ = ('_announcements', '_forwarder', '_store', '_link')

    def __init__(
        self,
        store: ConfigStore,
        link: ControlLink,
        announcements: Announcements,
        forwarder: CallForwarder,
    ) -> None:
        """Initialise with the components whose state is reported."""
        self._store = store
        self._link = link
        self._announcements = announcements
        self._forwarder = forwarder

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Answer ``GET /mustardspur/v1/status``."""
        sent, received = self._link.traffic_bytes
        return web.json_response(
            {
                'control': self._link.control,
                'control_bytes_sent': sent,
                'control_bytes_received': received,
                'ready': self._forwarder.ready,
                'in_flight': self._forwarder.in_flight.count,
                'services': {
                    service: {
                        'index': self._store.applied(service).index,
                        'waiting': self._store.waiting.get(service, ''),
                    }
                    for service in self._store.services
                },
                'targets': [
                    target.id for target in self._announcements.targets
                ],
            }
        )
