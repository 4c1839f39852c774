"""What the lines of a call say about its outcome."""

from collections.abc import Callable, Mapping
from http import HTTPStatus
from types import MappingProxyType
from typing import Any, Final

from mustardspur_core.record import Record

from mustardspur_client.explain.log_lines import LogLine, LogLines

# Changes of what the processes believe that can explain a call's outcome.
CHANGES: Final = frozenset(
    (
        'attached',
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
        'target changed',
        'target left',
        'transfer decided',
        'voters_changed',
    )
)
# What a fault of one attempt means; docs/OPERATIONS.md has the same kinds.
_FAULTS: Final[Mapping[str, str]] = MappingProxyType(
    {
        'busy': 'no slot was free within the time that the call could wait',
        'closed': 'the target was leaving or took no connections',
        'moved': 'another target had taken its place',
        'unreachable': 'its node could not be reached; nothing was sent',
        'refused': 'the target refused the call and did not run it',
        'broken': 'the connection broke after the call was sent',
        'timeout': 'no answer came in the time that was left',
    }
)
_MAY_HAVE_RUN: Final = 'the call may have run'

Describe = Callable[[dict[str, Any]], str]
_descriptions: dict[str, Describe] = {}


class Explanation(Record):
    """The path of a call and its cause.

    Parameters
    ----------
    path : list of LogLine
        The call's lines.
    cause : str
        What decided its outcome, for a person.
    around : list of LogLine
        Changes shortly before and after it, in all processes.
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
        Lines of all processes.
    request : str
        Identifier of the call, as its caller sent it.
    window_s : float
        Time before and after the call in which changes are looked for.

    Returns
    -------
    Explanation
        With an empty path if no line names the call.
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


def describes(event: str) -> Callable[[Describe], Describe]:
    """Register what a line of an event says about a call's outcome."""

    def decorator(describe: Describe) -> Describe:
        _descriptions[event] = describe
        return describe

    return decorator


def _cause(path: list[LogLine]) -> str:
    """Describe the last line, and the fault that led to it."""
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


@describes('target gave no answer')
def _describe_fault(details: dict[str, Any]) -> str:
    kind = str(details.get('kind'))
    meaning = _FAULTS.get(kind, kind)
    text = f'target {details.get("target")}: {meaning}'
    if not details.get('not_run'):
        text = f'{text}; {_MAY_HAVE_RUN}'
    return f'{text} ({details.get("detail")})'


@describes('call ended without an answer')
def _describe_end(details: dict[str, Any]) -> str:
    outcome = 'the call certainly did not run'
    if details.get('status') != HTTPStatus.SERVICE_UNAVAILABLE:
        outcome = _MAY_HAVE_RUN
    return (
        f'answered {details.get("status")} after {details.get("held_ms")} ms, '
        f'{outcome}: {details.get("reason")}'
    )


@describes('target failed a call')
def _describe_failure(details: dict[str, Any]) -> str:
    return (
        f'target {details.get("target")} ran the call and answered '
        f'{details.get("status")}'
    )


@describes('call answered')
def _describe_answer(details: dict[str, Any]) -> str:
    return (
        f'target {details.get("target")} answered {details.get("status")} '
        f'after {details.get("held_ms")} ms'
    )


@describes('no route')
def _describe_missing_route(details: dict[str, Any]) -> str:
    return (
        f'answered 404: the table of index {details.get("table_index")} has '
        f'no route for {details.get("host")}{details.get("path")}'
    )


@describes('no table')
def _describe_missing_table(_: dict[str, Any]) -> str:
    return (
        'answered 503: the node had no routing table yet, the call certainly '
        'did not run'
    )
