"""Whether the target beside a node that has just started takes calls."""

import asyncio
import logging
from http import HTTPStatus
from typing import Final

from mustardspur_node.mesh.answer_parser import BrokenAnswer
from mustardspur_node.mesh.calls import PlacementFault
from mustardspur_node.mesh.local_target import LocalTarget
from mustardspur_node.mesh.reports import LATE_REPORTS_S
from mustardspur_node.mesh.view import MeshView

_LOG: Final = logging.getLogger(__name__)

# Between two looks for a report and a table.
CHECK_S: Final = 0.05
# Between two questions to a target that did not say that it takes calls.
RETRY_S: Final = 0.5
# A sound target answers within some milliseconds.
HEALTH_TIMEOUT_S: Final = 1.0
_QUESTION: Final = 'GET {path} HTTP/1.1\r\nhost: {address}\r\n\r\n'


async def confirm_target(local: LocalTarget, view: MeshView) -> None:
    """Open the gate once the target itself says that it takes calls.

    Parameters
    ----------
    local : LocalTarget
        The target beside the node.
    view : MeshView
        Its table names the path at which the target is asked.
    """
    loop = asyncio.get_running_loop()
    until_s = loop.time() + LATE_REPORTS_S
    while loop.time() < until_s:
        path = _health_path(local, view)
        if path is None:
            await asyncio.sleep(CHECK_S)
        elif await _is_serving(local, path):
            break
        else:
            await asyncio.sleep(RETRY_S)
    _LOG.info(
        'target confirmed',
        extra={'by_target': loop.time() < until_s},
    )
    local.confirm()


def _health_path(local: LocalTarget, view: MeshView) -> str | None:
    report = local.book.current
    if report is None or view.routes is None:
        return None
    rule = view.routes.table.services.get(report.service)
    return rule.health_path if rule else None


async def _is_serving(local: LocalTarget, path: str) -> bool:
    """Ask the target itself whether it takes calls."""
    head = _QUESTION.format(path=path, address=local.book.address)
    try:
        async with (
            asyncio.timeout(HEALTH_TIMEOUT_S),
            local.pool.lent() as connection,
        ):
            answer = await connection.exchange(
                'GET',
                head.encode(),
                b'',
                lambda _: True,
            )
    except (PlacementFault, BrokenAnswer, TimeoutError) as error:
        _LOG.info('target not asked', extra={'reason': repr(error)})
        return False
    return answer.status == HTTPStatus.OK
