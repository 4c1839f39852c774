"""Refusals of bodies of callers, and their log lines."""

import asyncio
from http import HTTPStatus
from typing import Final

from mustardspur_core.record import Record
from mustardspur_core.units import MS_PER_S

from mustardspur_node.mesh.body_room import BodyRoom
from mustardspur_node.mesh.decisions import DecisionLog
from mustardspur_node.mesh.request_body import CallerBodyError
from mustardspur_node.mesh.upload_admission import UploadAdmission

# Delay after which a refused caller may retry, at least: about the length of
# a burst.
MIN_RETRY_AFTER_S: Final = 0.4


class UploadTerms(Record):
    """What decides on the reading of a body.

    Parameters
    ----------
    request_id : str
        Identifier of the request.
    route : str
        Name of the route.
    priority : int
        Priority of the route; lower ones are more urgent.
    deadline_s : float
        Time by which the caller is answered.
    """

    __slots__ = ('request_id', 'route', 'priority', 'deadline_s')
    request_id: str
    route: str
    priority: int
    deadline_s: float


class UploadRefusals:
    """Refuses bodies of callers.

    Parameters
    ----------
    room : BodyRoom
        Bytes of all bodies that the node holds.
    admission : UploadAdmission
        Decides on the bodies.
    """

    __slots__ = ('_admission', '_decisions', '_room')

    def __init__(self, room: BodyRoom, admission: UploadAdmission) -> None:
        """Initialise with lines of its own rate limit."""
        self._room = room
        self._admission = admission
        self._decisions = DecisionLog()

    def no_room(
        self,
        terms: UploadTerms,
        size: int,
        reason: str,
    ) -> CallerBodyError:
        """Return the refusal of a body for which there is no room in time."""
        self._write('no room for body', terms, size, reason)
        mean_s = self._admission.hold_time.mean_s
        return CallerBodyError(
            HTTPStatus.SERVICE_UNAVAILABLE,
            f'no room for the request body: {reason}',
            max(mean_s, MIN_RETRY_AFTER_S),
        )

    def stalled(self, terms: UploadTerms, size: int) -> CallerBodyError:
        """Return the refusal of a body that arrives too slowly."""
        self._write('body stalled', terms, size, 'others wait for its room')
        return late_body()

    def _write(
        self,
        event: str,
        terms: UploadTerms,
        size: int,
        reason: str,
    ) -> None:
        left_s = terms.deadline_s - asyncio.get_running_loop().time()
        self._decisions.write(
            event,
            request=terms.request_id,
            route=terms.route,
            size=size,
            held_bytes=self._room.held_bytes,
            limit_bytes=self._room.limit_bytes,
            waiting=self._admission.waiting,
            left_ms=round(left_s * MS_PER_S),
            reason=reason,
        )


def late_body() -> CallerBodyError:
    """Return the refusal of a body that does not arrive in time."""
    return CallerBodyError(
        HTTPStatus.REQUEST_TIMEOUT,
        'request body did not arrive in time',
    )
