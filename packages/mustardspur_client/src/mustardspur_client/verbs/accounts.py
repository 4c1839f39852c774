"""Verb that shows the rate limits of client accounts."""

from typing import Any, Final

from mustardspur_client.exit_codes import ExitCode
from mustardspur_client.invocation import Invocation
from mustardspur_client.verb_errors import VerbError
from mustardspur_client.verbs.registry import verb

_COLUMNS: Final = (
    'limit',
    'rate/s',
    'burst',
    'control',
    'demand/s',
    'share',
    'tokens',
)
_FIELDS: Final = (
    'rate_per_s',
    'burst',
)
_FIELDS_BY_CONTROL: Final = ('demand_per_s', 'share', 'tokens')


@verb('accounts')
async def accounts(invocation: Invocation) -> ExitCode:
    """Show limits of accounts with demand and share by control instance."""
    bodies = await invocation.control.read_each('/v1/allowances')
    if all('limits' not in body for body in bodies.values()):
        raise VerbError(ExitCode.UNAVAILABLE, 'no control instance answers')
    rows = [
        _row(address, limit)
        for address, body in bodies.items()
        for limit in body.get('limits', [])
    ]
    rows.sort(key=lambda row: str(row[0]))
    invocation.output.show(
        bodies,
        lambda _: _show(invocation, rows, bodies),
    )
    return ExitCode.OK


def _show(
    invocation: Invocation,
    rows: list[list[object]],
    bodies: dict[str, dict[str, Any]],
) -> None:
    invocation.output.table(_COLUMNS, rows)
    for address, body in bodies.items():
        if 'limits' not in body:
            reason = body.get('unreachable', 'knows no limits')
            invocation.output.line(f'{address}: {reason}')


def _row(address: str, limit: dict[str, Any]) -> list[object]:
    return [
        limit['limit'],
        *(limit[field] for field in _FIELDS),
        address,
        *(limit[field] for field in _FIELDS_BY_CONTROL),
    ]
