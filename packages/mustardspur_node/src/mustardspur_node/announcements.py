"""Announcements of targets to the node of their instance."""

import time
from collections.abc import Callable
from typing import Any, Final

from aiohttp import web
from expression import Error, Ok, Result
from mustardspur_core.addresses import has_valid_port
from mustardspur_core.conversion import encode_mapping
from mustardspur_core.findings import Finding, Findings
from mustardspur_core.http_bodies import SMALL_BODY_BYTES, read_body
from mustardspur_core.running_clock import RunningClock
from mustardspur_core.schemas import load_schema, schema_findings
from mustardspur_core.settings import Settings
from mustardspur_core.state import Target
from mustardspur_core.strict_json import parse_json

_SOURCE: Final = 'announcement'
_VALIDATOR = load_schema('mustardspur_node', 'announcement.schema.json')


class Announcements:
    """Targets of this instance, each with a lease.

    Parameters
    ----------
    settings : Settings
        Settings of the node.
    clock : callable
        Monotonic clock in seconds; jumps of the wall clock have no effect.
    """

    __slots__ = (
        '_callbacks',
        '_clock',
        '_lease_ends_s',
        '_settings',
        '_targets',
    )

    def __init__(
        self,
        settings: Settings,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Initialise without targets."""
        self._settings = settings
        self._clock = RunningClock(clock)
        self._targets: dict[str, Target] = {}
        self._lease_ends_s: dict[str, float] = {}
        self._callbacks: list[Callable[[], None]] = []

    @property
    def targets(self) -> list[Target]:
        """Targets whose lease has not ended."""
        return [
            self._targets[target_id] for target_id in sorted(self._lease_ends_s)
        ]

    def on_change(self, callback: Callable[[], None]) -> None:
        """Register a callback for new, changed and removed targets."""
        self._callbacks.append(callback)

    def accept(self, document: Any) -> Result[Target, Findings]:
        """Check an announcement and renew the target's lease.

        Parameters
        ----------
        document : object
            Decoded JSON of the announcement.

        Returns
        -------
        Result
            The target, or all findings with their paths.
        """
        entries = schema_findings(_VALIDATOR, document, _SOURCE)
        if not entries:
            entries = self._check(document)
        if entries:
            return Error(Findings(entries=entries))
        target = self._target(document)
        is_known = target.id in self._lease_ends_s
        self._remove_other_at_address(target)
        lease_s = self._settings.intervals.lease_s
        self._lease_ends_s[target.id] = self._clock() + lease_s
        if not is_known or self._targets[target.id] != target:
            self._targets[target.id] = target
            self._notify()
        return Ok(target)

    def expire(self) -> None:
        """Remove the targets whose lease has ended."""
        now_s = self._clock()
        expired = [
            target_id
            for target_id, end_s in self._lease_ends_s.items()
            if end_s <= now_s
        ]
        for target_id in expired:
            self._lease_ends_s.pop(target_id)
        if expired:
            self._notify()

    def _check(self, document: dict[str, Any]) -> list[Finding]:
        host = _host(self._settings.listen.http)
        service = self._settings.service
        expected = {
            '$.address': (
                f'an address of this instance ({host})',
                document['address'],
                _host(document['address']) == host
                and has_valid_port(document['address']),
            ),
            '$.service': (
                f'{service}, the service of this instance',
                document['service'],
                document['service'] == service,
            ),
        }
        incarnation = self._newest_incarnation(document)
        expected['$.incarnation'] = (
            f'at least {incarnation}, which was announced before',
            str(document['incarnation']),
            document['incarnation'] >= incarnation,
        )
        return [
            Finding(source=_SOURCE, path=path, expected=wanted, found=found)
            for path, (wanted, found, is_right) in expected.items()
            if not is_right
        ]

    def _newest_incarnation(self, document: dict[str, Any]) -> int:
        own_id = self._target_id(document)
        return max(
            (
                target.incarnation
                for target in self.targets
                if target.id == own_id or target.address == document['address']
            ),
            default=0,
        )

    def _remove_other_at_address(self, newer: Target) -> None:
        # A new target replaces an earlier one with the same address.
        for target in self.targets:
            if target.address == newer.address and target.id != newer.id:
                self._lease_ends_s.pop(target.id)

    def _target(self, document: dict[str, Any]) -> Target:
        return Target(
            id=self._target_id(document),
            service=document['service'],
            version=document['version'],
            address=document['address'],
            incarnation=document['incarnation'],
            slots=document['slots'],
            state=document['state'],
            node=self._settings.id,
            data_centre=self._settings.data_centre,
            region=self._settings.region,
        )

    def _target_id(self, document: dict[str, Any]) -> str:
        port = document['address'].rpartition(':')[2]
        own_id = self._settings.id
        name: str = document.get('id', f'{own_id}-{port}')
        return name

    def _notify(self) -> None:
        for callback in self._callbacks:
            callback()


async def post_target(
    announcements: Announcements,
    request: web.BaseRequest,
) -> web.Response:
    """Answer ``POST /mustardspur/v1/targets``."""
    document = parse_json(await read_body(request, SMALL_BODY_BYTES), _SOURCE)
    if document.is_error():
        return _refusal(document.error)
    outcome = announcements.accept(document.ok)
    if outcome.is_error():
        return _refusal(outcome.error)
    return web.json_response({'id': outcome.ok.id})


def _host(address: str) -> str:
    return address.rpartition(':')[0]


def _refusal(findings: Findings) -> web.Response:
    status = web.HTTPUnprocessableEntity.status_code
    return web.json_response(
        {'findings': encode_mapping(findings.entries)},
        status=status,
    )
