"""Cause of the outcome of a call, derived from its log lines."""

from collections.abc import Callable, Mapping
from http import HTTPStatus
from types import MappingProxyType
from typing import Any, Final

from mustardspur_core.record import Record

from mustardspur_client.explain.log_lines import LogLine, LogLines

# Events that change the state of a process and can explain the outcome of a
# call.
CHANGES: Final = frozenset(
    (
        'attached',
        'call blocked',
        'control instance lost',
        'drained',
        'leader_elected',
        'leader_stepped_down',
        'lines left out',
        'node is silent',
        'started',
        'stopping',
        'stream to node ended',
        'table edited',
        'table in force',
        'rate limit of the target changed',
        'target changed',
        'target crashed',
        'target left',
        'evacuations changed',
        'target withdrawn',
        'target readmitted',
        'target states that it leaves',
        'transfer decided',
        'voters_changed',
    )
)
# Meaning of each kind of fault of an attempt; docs/OPERATIONS.md lists the same
# kinds.
_FAULTS: Final[Mapping[str, str]] = MappingProxyType(
    {
        'busy': 'no slot was free within the time that the call could wait',
        'closed': 'the target was draining or accepted no connections',
        'moved': 'another target had replaced it',
        'unreachable': 'its node could not be reached; nothing was sent',
        'refused': 'the target refused the call and did not run it',
        'blocked': 'the call has crashed several targets, so none runs it',
        'broken': 'the connection broke after the call was sent',
        'timeout': 'no answer came before the deadline',
    }
)
_MAY_HAVE_RUN: Final = 'the call may have run'

EventDescriber = Callable[[dict[str, Any]], str]
_descriptions: dict[str, EventDescriber] = {}


class Explanation(Record):
    """Path of a call and cause of its outcome.

    Parameters
    ----------
    path : list of LogLine
        Log lines of the call.
    cause : str
        Cause of the outcome, as text for the operator.
    around : list of LogLine
        Changes in all processes shortly before and after the call.
    """

    __slots__ = ('path', 'cause', 'around')
    path: list[LogLine]
    cause: str
    around: list[LogLine]


def explain(lines: LogLines, request: str, window_s: float) -> Explanation:
    """Explain the outcome of a call.

    Parameters
    ----------
    lines : LogLines
        Log lines of all processes.
    request : str
        Identifier of the call that its caller sent.
    window_s : float
        Time in seconds before and after the call in which changes are listed.

    Returns
    -------
    Explanation
        With an empty path if no line has the identifier.
    """
    path = [line for line in lines.entries if line.request == request]
    if not path:
        return Explanation(path=[], cause='', around=[])
    first_s = path[0].at_s - window_s
    last_s = path[-1].at_s + window_s
    around = [
        line
        for line in lines.entries
        if first_s <= line.at_s <= last_s
        and line.event in CHANGES
        and not line.request
    ]
    return Explanation(path=path, cause=_cause(path), around=around)


def describes_event(event: str) -> Callable[[EventDescriber], EventDescriber]:
    """Register a function that describes the details of an event."""

    def decorator(describe: EventDescriber) -> EventDescriber:
        _descriptions[event] = describe
        return describe

    return decorator


def _cause(path: list[LogLine]) -> str:
    """Return a description of the last line and of the faults before it."""
    final = path[-1]
    describe = _descriptions.get(final.event)
    if describe is None:
        return f'the log has no outcome; the last line is: {final.event}'
    faults = [
        _describe_fault(line.details)
        for line in path[:-1]
        if line.event == 'target gave no answer'
    ]
    return '; '.join([describe(final.details), *faults])


@describes_event('target gave no answer')
def _describe_fault(details: dict[str, Any]) -> str:
    kind = str(details.get('kind'))
    meaning = _FAULTS.get(kind, kind)
    text = f'target {details.get("target")}: {meaning}'
    if not details.get('not_run'):
        text = f'{text}; {_MAY_HAVE_RUN}'
    return f'{text} ({details.get("detail")})'


@describes_event('call ended without an answer')
def _describe_end(details: dict[str, Any]) -> str:
    outcome = 'the call certainly did not run'
    if details.get('status') != HTTPStatus.SERVICE_UNAVAILABLE:
        outcome = _MAY_HAVE_RUN
    return (
        f'answered {details.get("status")} after {details.get("held_ms")} ms, '
        f'{outcome}: {details.get("reason")}'
    )


@describes_event('target failed a call')
def _describe_failure(details: dict[str, Any]) -> str:
    return (
        f'target {details.get("target")} ran the call and answered '
        f'{details.get("status")}'
    )


@describes_event('call answered')
def _describe_answer(details: dict[str, Any]) -> str:
    return (
        f'target {details.get("target")} answered {details.get("status")} '
        f'after {details.get("held_ms")} ms'
    )


@describes_event('no route')
def _describe_missing_route(details: dict[str, Any]) -> str:
    return (
        f'answered 404: the table of index {details.get("table_index")} has '
        f'no route for {details.get("host")}{details.get("path")}'
    )


@describes_event('no table')
def _describe_missing_table(_: dict[str, Any]) -> str:
    return (
        'answered 503: the node had no routing table yet, the call certainly '
        'did not run'
    )


@describes_event('no room for body')
def _describe_missing_room(details: dict[str, Any]) -> str:
    return (
        f'answered 503, the call certainly did not run: no room for its body '
        f'of {details.get("size")} bytes beside {details.get("held_bytes")} '
        f'of {details.get("limit_bytes")} bytes that the node held, '
        f'{details.get("waiting")} bodies waiting: {details.get("reason")}'
    )


@describes_event('body stalled')
def _describe_stalled_body(_: dict[str, Any]) -> str:
    return (
        'answered 408, the call certainly did not run: its body arrived too '
        'slowly while others waited for room'
    )


@describes_event('rate limit reached')
def _describe_rate_limit(details: dict[str, Any]) -> str:
    age_ms = details.get('grant_age_ms')
    grant = 'no grant so far'
    if age_ms is not None:
        grant = f'last granted {age_ms} ms before'
    return (
        f'answered 429, the call certainly did not run: account '
        f'{details.get("account")} is at its limit of '
        f'{details.get("limit_per_s")} calls/s with a burst of '
        f'{details.get("burst")}, decided by {details.get("decided_by")}, '
        f'{grant}; a retry may succeed after {details.get("retry_after_ms")} ms'
    )


@describes_event('key refused')
def _describe_refused_key(details: dict[str, Any]) -> str:
    digest = details.get('digest')
    presented = f'no account has the key of digest {digest}'
    if not digest:
        presented = 'no key was presented'
    return f'answered 401: {presented}, and the route is not public'
