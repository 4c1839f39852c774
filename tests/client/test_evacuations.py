"""Test of the verbs for evacuations."""

import io

from aiohttp.test_utils import BaseTestServer, TestServer
from mustardspur_client.main import run
from mustardspur_control.mesh.http_api import MeshApi

from tests.control.mesh.evacuation_orders import OrderedControl


async def _run(server: BaseTestServer, *line: str) -> tuple[int, str]:
    output = io.StringIO()
    address = f'{server.host}:{server.port}'
    code = await run([*line, '--control', address], output, output)
    return code.value, ' '.join(output.getvalue().split())


async def test_evacuation_verbs() -> None:
    """Guards against an order that was refused but ends like an accepted
    one, and against a refusal that does not tell why.
    """
    control = OrderedControl('split-a', 'split-b')
    app = MeshApi(control.operations, control.evacuations).app()
    async with TestServer(app) as server:
        evacuated = (0, 'evacuated: split-a; left: split-b')
        assert await _run(server, 'evacuate', 'split-a') == evacuated
        assert await _run(server, 'evacuations') == evacuated
        code, shown = await _run(server, 'evacuate', 'split-b')
        assert code == 4
        assert 'left without split-b: none; evacuated: split-a' in shown
        code, shown = await _run(server, 'readmit', 'split-x')
        assert code == 5
        assert 'split-x' in shown
        code, _ = await _run(server, 'readmit', 'split-a')
        assert code == 0
