"""Tests of the platform's interface for operators."""

import json

from mustardspur_platform.operator_api import OperatorApi

from tests.control.mesh.evacuation_orders import OrderedControl, order
from tests.control.operators_api.fakes import LEADER_ADDRESS, failure


async def _order(
    control: OrderedControl,
    method: str,
    zone: str,
) -> tuple[int, str]:
    app = OperatorApi(control.operations, control.evacuations).app()
    return await order(app, method, f'/api/evacuations/{zone}')


async def test_evacuations_of_zones() -> None:
    """Guards against orders of the platform with another meaning, status or
    path than its operators expect.
    """
    control = OrderedControl('split-a', 'split-b')
    answers = [
        await _order(control, 'POST', 'split-a'),
        await _order(control, 'POST', 'split-a'),
        await _order(control, 'POST', 'split-b'),
        await _order(control, 'POST', 'split-x'),
        await _order(control, 'DELETE', 'split-a'),
    ]
    errors = [
        (status, json.loads(body).get('error')) for status, body in answers
    ]
    assert errors == [
        (200, None),
        (200, None),
        (409, 'no zone is left without split-b'),
        (404, 'unknown zone split-x'),
        (200, None),
    ]
    control.log.failure = failure('not_leader')
    redirect = (307, f'http://{LEADER_ADDRESS}/api/evacuations/split-a')
    assert await _order(control, 'DELETE', 'split-a') == redirect
