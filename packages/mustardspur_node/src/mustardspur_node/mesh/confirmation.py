"""Health check of the local target after a start or a readmission."""

import asyncio
import logging
from http import HTTPStatus
from typing import Final

from mustardspur_node.mesh.answer_parser import BrokenAnswer
from mustardspur_node.mesh.calls import PlacementFault
from mustardspur_node.mesh.local_target import LocalTarget
from mustardspur_node.mesh.reports import MAX_REPORT_DELAY_S, is_ready
from mustardspur_node.mesh.view import MeshView

_LOG: Final = logging.getLogger(__name__)

# Interval of the checks for a report and a table.
CHECK_S: Final = 0.05
# Delay after a failed health check.
RETRY_S: Final = 0.5
# A healthy target answers within a few milliseconds.
HEALTH_TIMEOUT_S: Final = 1.0
_HEALTH_REQUEST: Final = 'GET {path} HTTP/1.1\r\nhost: {address}\r\n\r\n'


async def confirm_target(local: LocalTarget, view: MeshView) -> None:
    """Confirm the target once it is healthy, or once it reports again.

    Explanation
    ===========

    Until then it gets no calls: a report that the node receives just after
    its start may be a late one of a target that was removed, and a target of
    a data centre that was evacuated may be cold. If no health
    check succeeds within `MAX_REPORT_DELAY_S`, a further report shows that
    the target is still there, since late ones have arrived by then.

    Parameters
    ----------
    local : LocalTarget
        The local target of the node.
    view : MeshView
        View whose table contains the health path of the service.
    """
    by_target = await _is_healthy_in_time(local, view)
    if not by_target:
        await _wait_for_further_report(local)
    _LOG.info('target confirmed', extra={'by_target': by_target})
    local.confirm()


async def _is_healthy_in_time(local: LocalTarget, view: MeshView) -> bool:
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + MAX_REPORT_DELAY_S
    while loop.time() < deadline_s:
        path = health_path(local, view)
        if path is None:
            await asyncio.sleep(CHECK_S)
        elif await is_healthy(local, path):
            return True
        else:
            await asyncio.sleep(RETRY_S)
    return False


async def _wait_for_further_report(local: LocalTarget) -> None:
    previous = local.reports.current
    while local.reports.current in {None, previous}:
        await asyncio.sleep(CHECK_S)


def health_path(local: LocalTarget, view: MeshView) -> str | None:
    """Return the path of the target's health check, None if unknown."""
    report = local.reports.current
    if report is None or view.routes is None:
        return None
    rule = view.routes.table.services.get(report.service)
    return rule.health_path if rule else None


def ready_health_path(local: LocalTarget, view: MeshView) -> str | None:
    """Return the path of the health check of a target that is not leaving."""
    if not is_ready(local.reports.current):
        return None
    return health_path(local, view)


async def is_healthy(local: LocalTarget, path: str) -> bool:
    """Return whether the target passes its health check."""
    report = local.reports.current
    sent_s = asyncio.get_running_loop().time()
    head = _HEALTH_REQUEST.format(path=path, address=local.reports.address)
    try:
        async with (
            asyncio.timeout(HEALTH_TIMEOUT_S),
            local.pool.acquire() as connection,
        ):
            answer = await connection.check(head.encode())
    except (PlacementFault, BrokenAnswer, TimeoutError) as error:
        _LOG.info('health check failed', extra={'reason': repr(error)})
        return False
    if report is not None:
        local.statements.apply(report, answer, sent_s)
    return answer.status == HTTPStatus.OK
