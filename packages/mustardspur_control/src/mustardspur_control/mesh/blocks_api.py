"""HTTP interface for the blocks of calls that crash targets."""

import string
from http import HTTPStatus
from typing import Final

from aiohttp import web
from mustardspur_core.conversion import encode_mapping
from mustardspur_core.findings import Finding

from mustardspur_control.mesh.blocks import UNKNOWN, BlockOperations
from mustardspur_control.mesh.http_errors import (
    findings_response,
    unavailable_response,
)

BLOCKS_PATH: Final = '/v1/blocks'
FINGERPRINT_DIGITS: Final = 32
_BLOCK_PATH: Final = f'{BLOCKS_PATH}/{{fingerprint}}'


class BlocksApi:
    """Handlers that show the blocks and lift one.

    Parameters
    ----------
    operations : BlockOperations
        Operations that the handlers call.
    """

    __slots__ = ('_operations',)

    def __init__(self, operations: BlockOperations) -> None:
        """Initialise the handlers."""
        self._operations = operations

    def add_to(self, app: web.Application) -> web.Application:
        """Add the handlers to an application and return it."""
        app.router.add_get(BLOCKS_PATH, self.list_blocks)
        app.router.add_delete(_BLOCK_PATH, self.lift)
        return app

    async def list_blocks(self, _: web.Request) -> web.Response:
        """Return the blocks that this instance knows."""
        blocks = self._operations.read()
        return web.json_response({'blocks': encode_mapping(blocks)})

    async def lift(self, request: web.Request) -> web.Response:
        """Lift the block of the path's fingerprint; a body is not read."""
        digits = request.match_info['fingerprint']
        if not _is_fingerprint(digits):
            return findings_response(
                [_finding(digits, f'{FINGERPRINT_DIGITS} hexadecimal digits')],
            )
        outcome = await self._operations.lift(bytes.fromhex(digits))
        if outcome.is_error():
            return unavailable_response(outcome.error)
        if outcome.ok == UNKNOWN:
            return findings_response(
                [_finding(digits, 'the fingerprint of a blocked call')],
                HTTPStatus.NOT_FOUND,
            )
        return web.json_response({'fingerprint': digits.lower()})


def _is_fingerprint(digits: str) -> bool:
    return len(digits) == FINGERPRINT_DIGITS and set(digits).issubset(
        string.hexdigits
    )


def _finding(digits: str, expected: str) -> Finding:
    return Finding(
        source='request',
        path='fingerprint',
        expected=expected,
        found=digits,
    )
