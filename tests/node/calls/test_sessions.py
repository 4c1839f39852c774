"""Snapshot tests of complete sessions of two client accounts."""

from typing import Any

import pytest
from syrupy.assertion import SnapshotAssertion
from syrupy.extensions.json import JSONSnapshotExtension

from tests.node.stand_ins.mesh import run_mesh, run_target
from tests.node.stand_ins.sessions import (
    FORMS_ROUTES,
    SessionTarget,
    Step,
    routes,
    transcript,
)
from tests.node.stand_ins.views import LENS_ROUTES, make_target, make_view

LENS: tuple[Step, ...] = (
    ('GET', '/stock/+1.25', {}),
    ('POST', '/prescriptions/p1', {}),
    ('GET', '/batches/b1/broken', {}),
    ('POST', '/boxes/x1/busy', {}),
    ('POST', '/boxes/x2/lost', {}),
    ('GET', '/stock/none/busy', {}),
    ('DELETE', '/batches/b1', {}),
    ('GET', '/stock/+2.00', {'x-mustardspur-deadline-ms': '0'}),
)
FORMS: tuple[Step, ...] = (
    ('GET', '/drafts/d1', {}),
    ('POST', '/filings/f1', {'idempotency-key': 'f1'}),
    ('POST', '/filings/f1', {'idempotency-key': 'f1'}),
    ('POST', '/fees/s1/lost', {'idempotency-key': 's1'}),
    ('POST', '/fees/s1/lost', {'idempotency-key': 's1'}),
    (
        'POST',
        '/fees/s2',
        {'idempotency-key': 's2', 'x-mustardspur-resend': '1'},
    ),
    ('POST', '/fees/s3/busy', {'idempotency-key': 's3'}),
    ('GET', '/addresses/split', {}),
    ('GET', '/drafts/d2/lost', {}),
)


@pytest.mark.parametrize(
    ('route_fields', 'steps'),
    [(LENS_ROUTES, LENS), (FORMS_ROUTES, FORMS)],
    ids=['lens-bench and intake', 'forms and stamps'],
)
async def test_session(
    route_fields: tuple[Any, ...],
    steps: tuple[Step, ...],
    snapshot: SnapshotAssertion,
) -> None:
    """Guards against any change visible to callers or targets."""
    target = SessionTarget()
    async with run_target(target.serve) as address:
        view = make_view(
            [make_target(address)],
            routes=routes(route_fields),
        )
        async with run_mesh(view) as mesh:
            session = await transcript(mesh, target, steps)
    assert session == snapshot(extension_class=JSONSnapshotExtension)
