"""State of a node as JSON, for people on its instance."""

from typing import Final

from aiohttp import web

from mustardspur_node.announcements import Announcements
from mustardspur_node.calls import CallForwarder
from mustardspur_node.control_link import ControlLink
from mustardspur_node.held import HeldConfig

STATUS_PATH: Final = '/mustardspur/v1/status'


class NodeStatus:
    """Answers what the node holds, hears and serves.

    Parameters
    ----------
    held : HeldConfig
        Configurations in force.
    link : ControlLink
        Stream to a control instance.
    announcements : Announcements
        Targets of the own instance.
    forwarder : CallForwarder
        Path of the calls.
    """

    __slots__ = ('_announcements', '_forwarder', '_held', '_link')

    def __init__(
        self,
        held: HeldConfig,
        link: ControlLink,
        announcements: Announcements,
        forwarder: CallForwarder,
    ) -> None:
        """Read from the parts of a node."""
        self._held = held
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
                        'index': self._held.applied(service).index,
                        'waiting': self._held.waiting.get(service, ''),
                    }
                    for service in self._held.services
                },
                'targets': [
                    target.id for target in self._announcements.targets
                ],
            }
        )
