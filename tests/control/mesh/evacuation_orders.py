"""A control instance without a network, for orders of evacuations."""

from types import SimpleNamespace
from typing import Any

from aiohttp import ClientSession, web
from aiohttp.test_utils import TestServer
from mustardspur_control.mesh import EvacuationOperations, MeshOperations
from mustardspur_control.mesh.evacuations import KnownDataCentres
from mustardspur_control.mesh.log_access import LogAccess
from mustardspur_control.mesh.registry import MeshRegistry
from mustardspur_control.mesh.state_machine import MeshStateMachine
from mustardspur_control.mesh.store import MeshStore
from mustardspur_control.store import Store

from tests.control.operators_api.fakes import LEADER_ADDRESS, FakeLog
from tests.core.mesh.builders import mesh_settings


class OrderedControl:
    """Operations of a control instance on a log that can fail.

    Parameters
    ----------
    data_centres : str
        Data centres that the settings state.
    """

    def __init__(self, *data_centres: str) -> None:
        """Initialise without evacuations, in data centre ``split-c``."""
        self.store = MeshStore()
        machine: Any = MeshStateMachine(Store(), self.store)
        # Only what `LogAccess` uses of a replicated log.
        log: Any = _Log(machine)
        self.log = log
        self.registry = MeshRegistry()
        mesh = mesh_settings()
        mesh.data_centres = dict.fromkeys(data_centres, 'dalmacija')
        own = SimpleNamespace(data_centre='split-c')
        members: Any = SimpleNamespace(controls=[own])
        access = LogAccess(log)
        self.evacuations = EvacuationOperations(
            access,
            self.store,
            KnownDataCentres(mesh, self.registry, members),
        )
        self.operations = MeshOperations(access, self.store)


class _Log(FakeLog):
    @property
    def voter_peers(self) -> dict[str, Any]:
        return {'c2': SimpleNamespace(http=LEADER_ADDRESS)}


async def order(
    app: web.Application,
    method: str,
    path: str,
) -> tuple[int, str]:
    """Return the status and the text of the answer to an order.

    The text of a redirect is its location.
    """
    async with (
        TestServer(app) as server,
        ClientSession() as session,
        session.request(
            method,
            server.make_url(path),
            allow_redirects=False,
        ) as answer,
    ):
        text = await answer.text()
        return answer.status, answer.headers.get('Location', text)
