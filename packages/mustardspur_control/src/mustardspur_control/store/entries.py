"""Applies log entries to the applied state."""

from mustardspur_core.edits import FollowProfile, OrderMove, PutProfile
from mustardspur_core.record import Record
from mustardspur_core.wire import MalformedFrame, decode_frame

from mustardspur_control.store import following, orders, profiles, steps
from mustardspur_control.store.answers import (
    MAX_STORED_ANSWERS,
    AnswerHistory,
    Edit,
    EditIdReused,
)
from mustardspur_control.store.checks import edit_findings
from mustardspur_control.store.handlers import Effect, effect, handler_of
from mustardspur_control.store.records import StoreState
from mustardspur_control.store.results import edit_finding, refused

# Importing these modules registers the handler of each type of entry.
ENTRY_MODULES = (following, orders, profiles, steps)


def apply_entry(
    state: StoreState,
    answers: AnswerHistory,
    index: int,
    entry: bytes,
) -> Effect:
    """Apply an entry of the log and return its effect.

    Parameters
    ----------
    state : StoreState
        The applied state, modified in place.
    answers : AnswerHistory
        Stored answers to edits, modified in place.
    index : int
        Log index of the entry.
    entry : bytes
        The encoded entry. One that cannot be decoded changes nothing and
        is answered as invalid, so that all replicas stay the same.
    """
    try:
        body = decode_frame(entry).body
    except MalformedFrame as error:
        finding = edit_finding('$', 'an entry of the log', error)
        return effect(refused(index, [finding]))
    if isinstance(body, PutProfile | FollowProfile | OrderMove):
        return _apply_edit(state, answers, index, body)
    return _call_handler(state, index, body)


def _apply_edit(
    state: StoreState,
    answers: AnswerHistory,
    index: int,
    edit: Edit,
) -> Effect:
    try:
        first = answers.first_answer(edit)
    except EditIdReused:
        finding = edit_finding('$.edit_id', 'an unused one', edit.edit_id)
        return effect(refused(index, [finding]))
    if first is not None:
        return effect(first)
    answers.remove_expired(edit.at_s)
    if answers.is_full:
        return _refuse_over_limit(index)
    findings = edit_findings(edit)
    if findings:
        outcome = effect(refused(index, findings))
    else:
        outcome = _call_handler(state, index, edit)
    answers.record(edit, outcome.answer)
    return outcome


def _call_handler(state: StoreState, index: int, body: Record) -> Effect:
    handler = handler_of(body)
    if handler is None:
        finding = edit_finding('$', 'an edit or a step', type(body).__name__)
        return effect(refused(index, [finding]))
    return handler(state, index, body)


def _refuse_over_limit(index: int) -> Effect:
    finding = edit_finding(
        '$.edit_id',
        f'fewer than {MAX_STORED_ANSWERS} edits within the resend window',
        MAX_STORED_ANSWERS,
    )
    return effect(refused(index, [finding]))
