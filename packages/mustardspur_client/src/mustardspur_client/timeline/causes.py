"""Pairs of events in a happened-before relation.

Each rule is based on a message: an event that the sender recorded before
sending it precedes an event that the receiver recorded after receiving it.
"""

from collections.abc import Callable, Iterator

from mustardspur_client.timeline.events import Event, Events

Pair = tuple[Event, Event]
_Key = tuple[object, ...]
Rule = Callable[[Events], Iterator[Pair]]
_rules: list[Rule] = []


def cause_rule(rule: Rule) -> Rule:
    """Register a rule."""
    _rules.append(rule)
    return rule


def causes(events: Events) -> list[Pair]:
    """Return all pairs of cause and effect that the rules find."""
    return [pair for rule in _rules for pair in rule(events)]


@cause_rule
def _proposal_before_index(events: Events) -> Iterator[Pair]:
    """The entry of an index is proposed before any process has the index."""
    proposed: dict[_Key, Event] = {
        (event.run, event.details.get('entry')): event
        for event in events.named('entry_proposed')
    }
    cause_by_index = {}
    for committed in events.named('entry_committed'):
        cause = proposed.get((committed.run, committed.details.get('entry')))
        if cause is not None:
            cause_by_index[committed.details.get('index')] = cause
    for effect in events.named('config_accepted', 'config_in_force', 'applied'):
        cause = cause_by_index.get(effect.details.get('index'))
        if cause is not None:
            yield cause, effect


@cause_rule
def _in_force_before_report(events: Events) -> Iterator[Pair]:
    """An index is in force on a node before its control instance knows."""
    first_by_key = _first_in_force(events)
    for applied in events.named('applied'):
        cause = first_by_key.get(_report_key(applied))
        if cause is not None:
            yield cause, applied


@cause_rule
def _accepted_before_in_force(events: Events) -> Iterator[Pair]:
    """A control instance accepts an index before its nodes receive it.

    A node may change to another control instance, so the rule applies only if
    the node was connected from before the acceptance until its report.
    """
    first_by_key = _first_in_force(events)
    for run_events in events.by_run.values():
        for accepted, node_key in _accepted_before_reports(run_events):
            effect = first_by_key.get(node_key)
            if effect is not None:
                yield accepted, effect


@cause_rule
def _first_cut_off_before_others(events: Events) -> Iterator[Pair]:
    """The process that originates a cut-off records it first."""
    cut_offs = events.named('cut_off')
    origins: dict[_Key, Event] = {
        (event.details.get('move'), event.process): event
        for event in reversed(cut_offs)
    }
    for effect in cut_offs:
        origin = effect.details.get('origin')
        cause = origins.get((effect.details.get('move'), origin))
        if cause is not None and effect.process != origin:
            yield cause, effect


@cause_rule
def _election_before_notice(events: Events) -> Iterator[Pair]:
    """A leader is elected before other control instances know of it."""
    elected: dict[_Key, Event] = {
        (event.process, event.details.get('term')): event
        for event in events.named('leader_elected')
    }
    for effect in events.named('leader_known'):
        leader = effect.details.get('leader')
        cause = elected.get((leader, effect.details.get('term')))
        if cause is not None and effect.process != leader:
            yield cause, effect


@cause_rule
def _run_before_next_run(events: Events) -> Iterator[Pair]:
    """The last event of a run precedes the first event of the next run."""
    last_by_process: dict[str, Event] = {}
    for run_events in events.by_run.values():
        first = run_events[0]
        last = last_by_process.get(first.process)
        if last is not None:
            yield last, first
        last_by_process[first.process] = run_events[-1]


class _ControlState:
    """Accepted indexes and connected nodes of one control instance."""

    __slots__ = ('_accepted', '_connected_since')

    def __init__(self) -> None:
        self._accepted: dict[_Key, Event] = {}
        self._connected_since: dict[object, int] = {}

    def apply(self, event: Event) -> None:
        """Update the state with the next event of the run."""
        node = event.details.get('node')
        if event.name == 'node_connected':
            self._connected_since[node] = event.line_number
        elif event.name == 'node_lost':
            self._connected_since.pop(node, None)
        elif event.name == 'config_accepted':
            self._accepted[_service_index(event)] = event

    def cause_of(self, applied: Event) -> Event | None:
        """Return the acceptance that led to a report of a node, if known."""
        cause = self._accepted.get(_service_index(applied))
        since = self._connected_since.get(applied.details.get('node'))
        if cause is None or since is None or since > cause.line_number:
            return None
        return cause


def _accepted_before_reports(
    run_events: list[Event],
) -> Iterator[tuple[Event, _Key]]:
    """Yield each acceptance with the key of the node's report it led to."""
    state = _ControlState()
    for event in run_events:
        state.apply(event)
        if event.name == 'applied':
            cause = state.cause_of(event)
            if cause is not None:
                yield cause, _report_key(event)


def _first_in_force(events: Events) -> dict[_Key, Event]:
    return {
        (event.process, *_service_index(event)): event
        for event in reversed(events.named('config_in_force'))
    }


def _report_key(applied: Event) -> _Key:
    return (applied.details.get('node'), *_service_index(applied))


def _service_index(event: Event) -> _Key:
    return event.details.get('service'), event.details.get('index')
