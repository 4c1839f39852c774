"""Requests to a target, and the answers that belong to them."""

from http import HTTPStatus
from typing import Final

from aiohttp.http_parser import RawResponseMessage
from mustardspur_core.mesh.call_messages import CallOpen

from mustardspur_node.mesh.answer_parser import RawAnswer
from mustardspur_node.mesh.calls import PlacementFault
from mustardspur_node.mesh.names import HeaderNames
from mustardspur_node.mesh.reports import TargetReport

_BODYLESS_METHODS: Final = frozenset(('GET', 'HEAD', 'DELETE', 'OPTIONS'))


class TargetRequests:
    """Encodes calls as requests to the target and matches answers to them.

    Parameters
    ----------
    names : HeaderNames
        Names of the HTTP headers.
    """

    __slots__ = ('_names',)

    def __init__(self, names: HeaderNames) -> None:
        """Initialise with the names of the headers."""
        self._names = names

    def head(
        self,
        call: CallOpen,
        report: TargetReport,
        left_ms: float,
    ) -> bytes:
        """Return the head of the request for a call.

        Parameters
        ----------
        report : TargetReport
            Report of the target that the call is for.
        left_ms : float
            Remaining milliseconds until the deadline.
        """
        lines = [f'{call.method} {call.path} HTTP/1.1']
        lines.extend(f'{name}: {text}' for name, text in call.headers)
        names = self._names
        lines.append(f'{names.deadline_ms}: {int(left_ms)}')
        lines.append(f'{names.expected_target}: {report.id}')
        if call.body or call.method not in _BODYLESS_METHODS:
            lines.append(f'content-length: {len(call.body)}')
        lines.append('\r\n')
        return '\r\n'.join(lines).encode('utf-8', 'surrogateescape')

    def request_id(self, call: CallOpen) -> str:
        """Return the identifier of a call, empty if it has none."""
        return _header(call, self._names.request_id)

    def identify(
        self,
        call: CallOpen,
        message: RawResponseMessage,
    ) -> bool | None:
        """Return whether an answer has the request ID of a call.

        None if only the answer has none; a call without one accepts answers
        without one.
        """
        echoed = message.headers.get(self._names.request_id)
        sent = self.request_id(call)
        if sent and echoed is None:
            return None
        return (echoed or '') == sent

    def raise_if_refused(self, answer: RawAnswer) -> None:
        """Raise a `PlacementFault` if the target did not run the request."""
        refused = answer.header(self._names.not_run) is not None
        misdirected = answer.status == HTTPStatus.MISDIRECTED_REQUEST
        if refused or misdirected:
            raise PlacementFault(
                'refused',
                f'target answered {answer.status}',
                not_run=True,
                arrived=True,
            )


def _header(call: CallOpen, wanted: str) -> str:
    lowered = wanted.lower()
    for name, text in call.headers:
        if name.lower() == lowered:
            return text
    return ''
