"""Test of the verbs for blocked calls."""

import io

from aiohttp.test_utils import BaseTestServer, TestServer
from mustardspur_client.main import run

from tests.control.mesh.block_orders import (
    DEADLY,
    BlockingControl,
    record_crashes,
)


async def _run(server: BaseTestServer, *line: str) -> tuple[int, str]:
    output = io.StringIO()
    address = f'{server.host}:{server.port}'
    code = await run([*line, '--control', address], output, output)
    return code.value, ' '.join(output.getvalue().split())


async def test_block_verbs() -> None:
    """Guards against a block that an operator cannot see or lift, and against
    a misspelt fingerprint that ends like an accepted order.
    """
    control = BlockingControl()
    async with TestServer(control.app) as server:
        assert await _run(server, 'blocks') == (0, 'no call is blocked')
        record_crashes(control.crashes)
        code, shown = await _run(server, 'blocks')
        assert code == 0
        assert DEADLY.hex() in shown
        assert '10.0.0.0:9000, 10.0.0.1:9000, 10.0.0.2:9000' in shown
        assert (await _run(server, 'unblock', 'ab'))[0] == 3
        assert (await _run(server, 'unblock', 'ab' * 16))[0] == 5
        lifted = (0, f'lifted: {DEADLY.hex()}')
        assert await _run(server, 'unblock', DEADLY.hex()) == lifted
        assert await _run(server, 'unblock', DEADLY.hex()) == lifted
        assert await _run(server, 'blocks') == (0, 'no call is blocked')
